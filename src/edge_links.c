#include "edge_links.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base_clock.h"
#include "base_event.h"
#include "base_log.h"
#include "base_settings.h"
#include "edge_incarnation.h"
#include "edge_lease_client.h"
#include "edge_permits.h"
#include "edge_reader.h"
#include "edge_request.h"
#include "edge_streams.h"
#include "edge_streams_caller.h"
#include "edge_watcher.h"

/* Interval of lease calls that are not urgent, in milliseconds. */
#define LEASE_INTERVAL_MS 200
/* Time after which a member that no other member lists any more is dropped,
   and time after which an unreachable member's reports on targets are
   discarded, in milliseconds. */
#define MEMBER_EXPIRY_MS 15000
#define REPORT_LIFETIME_MS 3000
/* Polling interval while leases are returned at a stop, in microseconds. */
#define RETURN_POLL_US 10000

/* The connection to one control member. */
struct link
{
  struct edge_watcher *watcher;
  struct edge_streams_caller *streams_caller;
  char address[16];
  uint16_t port;
  /* The member comes from the settings, so it does not expire. */
  bool is_configured;
  /* Time at which the settings or another member last listed the member. */
  uint64_t last_listed_ms;
  uint64_t last_answer_ms;
  /* The last watch call to the member failed. */
  bool is_unreachable;
  /* The member's reports on targets were discarded. */
  bool is_forgotten;
  /* Epoch of the member's change numbers; it changes when the member
     restarts. */
  uint64_t epoch;
};

struct edge_links
{
  struct edge *edge;
  struct edge_watcher_shared shared;
  /* Links by source number; NULL where the number is unused. */
  struct link *links[EDGE_SOURCES_MAX];
  struct edge_reader *reader;
  struct edge_lease_client *lease_client;
  struct edge_incarnation incarnation;
  /* Sequence number of the last lease call. */
  uint64_t sequence;
  uint64_t next_lease_call_ms;
  /* Time at which the last call was first sent (base_clock_steady_wall_ms). */
  uint64_t called_ms;
  /* Time at which any member last answered a watch call. */
  uint64_t last_answer_ms;
  /* Time at which the latest watch call that was answered was sent
     (base_clock_steady_wall_ms). */
  uint64_t answered_call_ms;
};

static void
wake (void *context)
{
  struct edge_links *links = context;
  router_poll_wake (links->edge->loop);
}

static struct link *
find_link (struct edge_links *links, const char *address, uint16_t port)
{
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    if (links->links[i] && links->links[i]->port == port
        && strcmp (links->links[i]->address, address) == 0)
      return links->links[i];
  return NULL;
}

static struct link *
add_link (struct edge_links *links, const char *address, uint16_t port,
          uint64_t now_ms)
{
  struct link *link = find_link (links, address, port);
  uint32_t source = 0;
  while (source < EDGE_SOURCES_MAX && links->links[source])
    source++;
  if (!link && source < EDGE_SOURCES_MAX)
    {
      link = g_new0 (struct link, 1);
      g_strlcpy (link->address, address, sizeof link->address);
      link->port = port;
      link->last_answer_ms = now_ms;
      links->links[source] = link;
      link->watcher
          = edge_watcher_create (&links->shared, source, address, port);
      link->streams_caller
          = edge_streams_caller_create (address, port, wake, links);
      edge_streams_set_member (links->edge->streams, source, true);
      edge_lease_client_add_member (links->lease_client, address, port);
      base_event ("member-watched address=%s:%u", address, (unsigned)port);
    }
  if (link)
    link->last_listed_ms = now_ms;
  return link;
}

void
edge_links_set_members (struct edge_links *links, const char *const *members)
{
  char address[16];
  uint16_t port;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    if (links->links[i])
      links->links[i]->is_configured = false;
  for (; members && *members; members++)
    {
      if (base_endpoint_split (*members, address, &port) != 0)
        continue;
      struct link *link = add_link (links, address, port, edge_now_ms ());
      if (link)
        link->is_configured = true;
    }
}

struct edge_links *
edge_links_create (struct edge *edge, const char *const *members)
{
  struct edge_links *links = g_new0 (struct edge_links, 1);
  links->edge = edge;
  links->shared.cluster = g_strdup (edge->options.cluster);
  links->shared.router = g_strdup (edge->options.host);
  links->shared.address
      = g_strdup (edge->options.address ? edge->options.address : "");
  links->shared.availability_zone = g_strdup (edge->options.availability_zone);
  atomic_store (&links->shared.relay_port, edge->options.relay_port);
  edge_incarnation_begin (&links->incarnation, base_clock_steady_wall_ms (),
                          base_random_system_seed ());
  links->shared.updates = g_async_queue_new ();
  links->shared.wake = wake;
  links->shared.wake_context = links;
  links->reader = edge_reader_create (edge, wake, links);
  links->lease_client = edge_lease_client_create (members, wake, links);
  edge_links_set_members (links, members);
  return links;
}

/* Tells the reader which document the member holds. */
static void
report_document (struct edge_links *links, const struct link *link,
                 const struct edge_update *update)
{
  const struct edge_options *options = &links->edge->options;
  const char *region = options->region_of (
      options->region_context, update->answer.result.availability_zone);
  edge_reader_report (links->reader, update->source, link->address, link->port,
                      region && strcmp (region, options->region) == 0,
                      update->answer.result.document_version);
}

static void
apply_targets (struct edge_links *links, const struct edge_update *update,
               uint64_t now_ms)
{
  struct edge *edge = links->edge;
  for (u_int i = 0; i < update->answer.result.targets.targets_len; i++)
    {
      const struct control_target *target
          = &update->answer.result.targets.targets_val[i];
      if (!edge_targets_merge (edge->targets, update->source, target, now_ms))
        continue;
      base_counter_add (edge->counters.targets_changed, 1);
      base_event ("target-changed target=%s service=%s address=%s:%u state=%d "
                  "silent=%d born_ms=%" PRIu64 " sequence=%" PRIu64
                  " software=%s from=%s",
                  target->name, target->service, target->address, target->port,
                  (int)target->state, (int)target->silent,
                  (uint64_t)target->born_ms, (uint64_t)target->sequence,
                  *target->software_version ? target->software_version : "-",
                  links->links[update->source]->address);
    }
}

static void
apply_routers (struct edge_links *links, const struct edge_update *update)
{
  struct edge *edge = links->edge;
  const struct control_watch_result *result = &update->answer.result;
  for (u_int i = 0; i < result->changed_routers.changed_routers_len; i++)
    {
      const struct control_router_record *record
          = &result->changed_routers.changed_routers_val[i];
      edge_peers_merge (edge->peers, update->source, record,
                        edge_distance_to (edge, record->availability_zone));
    }
}

static void
apply_members (struct edge_links *links,
               const struct control_watch_result *result, uint64_t now_ms)
{
  for (u_int i = 0; i < result->members.members_len; i++)
    {
      const struct control_member *member = &result->members.members_val[i];
      add_link (links, member->address, (uint16_t)member->port, now_ms);
    }
}

static void
apply_evacuations (struct edge_links *links, const struct edge_update *update,
                   uint64_t now_ms)
{
  struct edge *edge = links->edge;
  struct edge_evacuations *evacuations = edge->evacuations;
  const struct control_evacuations *list = &update->answer.evacuations;
  if (!edge_evacuations_apply (
          evacuations, update->answer.has_evacuations ? list : NULL, now_ms))
    return;
  atomic_store (&links->shared.evacuations_version,
                edge_evacuations_version (evacuations));
  base_counter_set (edge->counters.evacuated_zones,
                    edge_evacuations_count (evacuations));
  base_counter_set (edge->counters.evacuations_version,
                    edge_evacuations_version (evacuations));
  base_event ("evacuations-in-force version=%" PRIu64 " zones=%" PRIu32
              " from=%s",
              edge_evacuations_version (evacuations),
              edge_evacuations_count (evacuations),
              links->links[update->source]->address);
  for (u_int i = 0; i < list->zones.zones_len; i++)
    base_event ("zone-evacuated zone=%s since_ms=%" PRIu64 " change=%" PRIu64,
                list->zones.zones_val[i].availability_zone,
                (uint64_t)list->zones.zones_val[i].since_ms,
                (uint64_t)list->zones.zones_val[i].change);
}

static void
handle_answer (struct edge_links *links, struct link *link,
               const struct edge_update *update, uint64_t now_ms)
{
  const struct control_watch_result *result = &update->answer.result;
  if (link->is_unreachable)
    base_event ("member-regained address=%s:%u after_ms=%" PRIu64,
                link->address, (unsigned)link->port,
                now_ms - link->last_answer_ms);
  if (link->epoch != 0 && link->epoch != result->epoch)
    {
      edge_targets_forget_source (links->edge->targets, update->source,
                                  now_ms);
      edge_peers_forget_source (links->edge->peers, update->source, now_ms);
    }
  link->epoch = result->epoch;
  link->is_unreachable = false;
  link->is_forgotten = false;
  link->last_answer_ms = now_ms;
  links->last_answer_ms = now_ms;
  links->answered_call_ms = MAX (links->answered_call_ms, update->sent_ms);
  edge_retry_set_routers (links->edge->retry, result->routers);
  edge_prepaid_set_routers (links->edge->prepaid, result->routers);
  apply_evacuations (links, update, now_ms);
  report_document (links, link, update);
  apply_targets (links, update, now_ms);
  apply_routers (links, update);
  edge_quarantine_apply (links->edge->quarantine, &result->suspects, now_ms);
  edge_limits_apply_list (links->edge->limits, &result->limits,
                          base_clock_steady_wall_ms ());
  apply_members (links, result, now_ms);
}

static void
handle_update (struct edge_links *links, const struct edge_update *update,
               uint64_t now_ms)
{
  struct link *link = links->links[update->source];
  if (!link)
    return;
  edge_streams_set_reachable (links->edge->streams, update->source,
                              update->status == WIRE_OK);
  if (update->status == WIRE_OK)
    handle_answer (links, link, update, now_ms);
  else if (!link->is_unreachable)
    {
      link->is_unreachable = true;
      edge_reader_report_lost (links->reader, update->source);
      base_event ("member-lost address=%s:%u status=%s heard_ago_ms=%" PRIu64,
                  link->address, (unsigned)link->port,
                  wire_status_name (update->status),
                  now_ms - link->last_answer_ms);
    }
}

uint64_t
edge_links_last_answer_ms (const struct edge_links *links)
{
  return links->last_answer_ms;
}

uint64_t
edge_links_view_age_ms (const struct edge_links *links)
{
  uint64_t wall_ms = base_clock_steady_wall_ms ();
  return wall_ms > links->answered_call_ms ? wall_ms - links->answered_call_ms
                                           : 0;
}

static gpointer
destroy_watcher (gpointer watcher)
{
  edge_watcher_destroy (watcher);
  return NULL;
}

static gpointer
destroy_caller (gpointer caller)
{
  edge_streams_caller_destroy (caller);
  return NULL;
}

/* Drops a member.  Its threads are stopped on other threads, because that
   waits for the calls in progress. */
static void
stop_watching (struct edge_links *links, uint32_t source, uint64_t now_ms)
{
  struct link *link = links->links[source];
  base_event ("member-left address=%s:%u", link->address,
              (unsigned)link->port);
  edge_targets_forget_source (links->edge->targets, source, now_ms);
  edge_peers_forget_source (links->edge->peers, source, now_ms);
  edge_reader_forget (links->reader, source);
  edge_streams_set_member (links->edge->streams, source, false);
  g_thread_unref (g_thread_new ("unwatch", destroy_watcher, link->watcher));
  g_thread_unref (
      g_thread_new ("uncall", destroy_caller, link->streams_caller));
  g_free (link);
  links->links[source] = NULL;
}

/* Discards the reports of unreachable members, and drops members that are no
   longer listed.  Reports are kept while no member at all can be reached. */
static void
expire_links (struct edge_links *links, uint64_t now_ms)
{
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    {
      struct link *link = links->links[i];
      if (!link)
        continue;
      if (!link->is_forgotten
          && now_ms > link->last_answer_ms + REPORT_LIFETIME_MS
          && now_ms < links->last_answer_ms + REPORT_LIFETIME_MS)
        {
          link->is_forgotten = true;
          edge_targets_forget_source (links->edge->targets, i, now_ms);
          edge_peers_forget_source (links->edge->peers, i, now_ms);
        }
      if (!link->is_configured
          && now_ms >= link->last_listed_ms + MEMBER_EXPIRY_MS)
        stop_watching (links, i, now_ms);
    }
}

static void
apply_lease_result (struct edge_links *links, uint64_t now_ms)
{
  struct edge *edge = links->edge;
  struct control_router_result router_result;
  if (!edge_lease_client_take_result (links->lease_client, &router_result))
    return;
  const struct control_lease_result *result = &router_result.lease;
  for (u_int i = 0; i < result->lines.lines_len; i++)
    {
      const struct control_lease_line *line = &result->lines.lines_val[i];
      uint64_t reserved = 0;
      uint64_t spent = 0;
      edge_prepaid_get_totals (edge->prepaid, line->account, &reserved,
                               &spent);
      base_event ("lease account=%s granted_tokens=%" PRIu64
                  " left_tokens=%" PRIu64 " total_tokens=%" PRIu64
                  " free_tokens=%" PRIu64 " reserved_tokens=%" PRIu64
                  " spent_tokens=%" PRIu64 " unspent_tokens=%" PRIu64
                  " recalled_tokens=%" PRIu64 " sequence=%" PRIu64,
                  line->account, (uint64_t)line->granted_tokens,
                  (uint64_t)line->left_tokens, (uint64_t)line->total_tokens,
                  edge_prepaid_free_tokens (edge->prepaid, line->account),
                  reserved, spent, (uint64_t)line->unspent_tokens,
                  (uint64_t)line->recalled_tokens, (uint64_t)result->sequence);
    }
  if (edge_incarnation_handle_result (&links->incarnation, result))
    edge_prepaid_apply_result (edge->prepaid, result, now_ms);
  edge->answered_sequence = result->sequence;
  edge_quarantine_apply_trials (edge->quarantine, &router_result);
  edge_permits_handle_result (edge, &router_result, links->called_ms);
  xdr_free ((xdrproc_t)xdr_control_router_result, (char *)&router_result);
  GList *link = edge->requests.head;
  while (link)
    {
      GList *next = link->next;
      edge_request_retry_lease (link->data);
      link = next;
    }
}

static void
start_lease_call (struct edge_links *links, bool returns_all, uint64_t now_ms)
{
  struct edge *edge = links->edge;
  struct control_router_args args = { 0 };
  edge_prepaid_fill_call (edge->prepaid, now_ms, returns_all, &args.lease);
  links->called_ms = base_clock_steady_wall_ms ();
  edge_quarantine_fill_call (edge->quarantine, now_ms, links->called_ms,
                             &args.lease.reports);
  edge_quarantine_fill_requests (edge->quarantine, now_ms, links->called_ms,
                                 &args.requests);
  edge_limits_fill_call (edge->limits, links->called_ms, &args.limits);
  links->sequence++;
  if (!returns_all)
    edge_permits_fill_asks (edge, links->sequence, &args.limits);
  args.lease.cluster = strdup (links->shared.cluster);
  args.lease.router = strdup (links->shared.router);
  args.lease.router_incarnation = links->incarnation.number;
  args.lease.sequence = links->sequence;
  edge_lease_client_call (links->lease_client, &args);
  xdr_free ((xdrproc_t)xdr_control_router_args, (char *)&args);
}

/* Continues the requests that wait for the software version of a stream. */
static void
retry_versions (struct edge *edge)
{
  GList *link = edge->requests.head;
  while (link)
    {
      GList *next = link->next;
      edge_request_retry_version (link->data);
      link = next;
    }
}

/* Handles the results of calls about streams, and makes the next ones. */
static void
run_streams (struct edge_links *links, uint64_t now_ms)
{
  struct edge_streams *streams = links->edge->streams;
  bool is_decided = false;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    {
      enum wire_status status;
      struct control_streams_result result;
      struct control_streams_args args = { 0 };
      const struct link *link = links->links[i];
      if (!link)
        continue;
      if (edge_streams_caller_take_result (link->streams_caller, &status,
                                           &result))
        {
          is_decided |= edge_streams_handle_result (
              streams, i, status == WIRE_OK ? &result : NULL);
          if (status == WIRE_OK)
            xdr_free ((xdrproc_t)xdr_control_streams_result, (char *)&result);
        }
      if (!edge_streams_fill_call (streams, i, now_ms, &args))
        continue;
      args.cluster = strdup (links->shared.cluster);
      edge_streams_caller_call (link->streams_caller, &args);
    }
  if (is_decided)
    retry_versions (links->edge);
}

void
edge_links_run (struct edge_links *links, uint64_t now_ms)
{
  struct edge_update *update;
  while ((update = g_async_queue_try_pop (links->shared.updates)))
    {
      handle_update (links, update, now_ms);
      edge_update_free (update);
    }
  atomic_store (&links->shared.is_cut_off, links->edge->is_cut_off);
  atomic_store (&links->shared.demand, links->edge->demand_weight);
  if (links->edge->stopping)
    atomic_store (&links->shared.relay_port, 0);
  struct edge_table *table = edge_reader_take_table (links->reader);
  if (table)
    edge_set_table (links->edge, table);
  apply_lease_result (links, now_ms);
  expire_links (links, now_ms);
  run_streams (links, now_ms);
  bool is_urgent = edge_prepaid_needs_call_now (links->edge->prepaid)
                   || edge_quarantine_needs_call (links->edge->quarantine)
                   || edge_limits_needs_call (links->edge->limits)
                   || edge_permits_needs_call (links->edge);
  if (edge_lease_client_is_busy (links->lease_client)
      || (!is_urgent && now_ms < links->next_lease_call_ms))
    return;
  links->next_lease_call_ms = now_ms + LEASE_INTERVAL_MS;
  start_lease_call (links, false, now_ms);
}

void
edge_links_return_leases (struct edge_links *links, uint32_t wait_ms)
{
  uint64_t deadline_ms = edge_now_ms () + wait_ms;
  bool returned = false;
  while (edge_now_ms () < deadline_ms)
    {
      apply_lease_result (links, edge_now_ms ());
      if (!edge_lease_client_is_busy (links->lease_client))
        {
          if (returned)
            break;
          returned = true;
          start_lease_call (links, true, edge_now_ms ());
        }
      g_usleep (RETURN_POLL_US);
    }
}

void
edge_links_destroy (struct edge_links *links)
{
  struct edge_update *update;
  if (!links)
    return;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    if (links->links[i])
      {
        edge_watcher_stop (links->links[i]->watcher);
        edge_streams_caller_stop (links->links[i]->streams_caller);
      }
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    if (links->links[i])
      {
        edge_watcher_destroy (links->links[i]->watcher);
        edge_streams_caller_destroy (links->links[i]->streams_caller);
        g_free (links->links[i]);
      }
  edge_reader_destroy (links->reader);
  edge_lease_client_destroy (links->lease_client);
  while ((update = g_async_queue_try_pop (links->shared.updates)))
    edge_update_free (update);
  g_async_queue_unref (links->shared.updates);
  g_free (links->shared.cluster);
  g_free (links->shared.router);
  g_free (links->shared.address);
  g_free (links->shared.availability_zone);
  g_free (links);
}
