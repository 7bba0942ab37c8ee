#include "edge_links.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base_clock.h"
#include "base_event.h"
#include "base_log.h"
#include "base_settings.h"
#include "edge_lease_client.h"
#include "edge_request.h"
#include "edge_incarnation.h"
#include "edge_watcher.h"

/* Interval of lease calls that nobody waits for, in milliseconds. */
#define LEASE_INTERVAL_MS 300
/* Time after which a member that nobody names any more is left, and its word
   on targets void, in milliseconds. */
#define MEMBER_LEFT_MS 15000
#define WORD_LIFE_MS 3000
#define POLL_US 10000

/* A control member. */
struct link
{
  struct edge_watcher *watcher;
  char address[16];
  uint16_t port;
  bool is_fixed;
  uint64_t named_ms;
  uint64_t heard_ms;
  bool is_lost;
  bool is_void;
  uint64_t epoch;
};

struct edge_links
{
  struct edge *edge;
  struct edge_watcher_shared shared;
  struct link *links[EDGE_SOURCES_MAX];
  struct edge_lease_client *lessee;
  struct edge_incarnation run;
  uint64_t sequence;
  uint64_t lease_due_ms;
  uint64_t heard_ms;
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
      link->heard_ms = now_ms;
      links->links[source] = link;
      link->watcher
          = edge_watcher_create (&links->shared, source, address, port);
      edge_lease_client_add_member (links->lessee, address, port);
      base_event ("member-watched address=%s:%u", address, (unsigned)port);
    }
  if (link)
    link->named_ms = now_ms;
  return link;
}

void
edge_links_set_members (struct edge_links *links, const char *const *members)
{
  char address[16];
  uint16_t port;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    if (links->links[i])
      links->links[i]->is_fixed = false;
  for (; members && *members; members++)
    {
      if (base_endpoint_split (*members, address, &port) != 0)
        continue;
      struct link *link = add_link (links, address, port, edge_now_ms ());
      if (link)
        link->is_fixed = true;
    }
}

struct edge_links *
edge_links_create (struct edge *edge, const char *const *members)
{
  struct edge_links *links = g_new0 (struct edge_links, 1);
  links->edge = edge;
  links->shared.cluster = g_strdup (edge->options.cluster);
  links->shared.router = g_strdup (edge->options.host);
  edge_incarnation_begin (&links->run, base_clock_steady_wall_ms (),
                          base_random_system_seed ());
  links->shared.news = g_async_queue_new ();
  links->shared.wake = wake;
  links->shared.wake_context = links;
  links->lessee = edge_lease_client_create (members, wake, links);
  edge_links_set_members (links, members);
  return links;
}

static void
take_document (struct edge_links *links, const struct edge_news *news)
{
  struct edge *edge = links->edge;
  const struct edge_dialect *dialect = edge->options.dialect;
  if (!news->document)
    return;
  struct edge_table *table = dialect->read_table (
      dialect, news->result.document_version,
      (const char *)news->document->data, news->document->len);
  if (table)
    edge_take_table (edge, table);
}

static void
take_targets (struct edge_links *links, const struct edge_news *news,
              uint64_t now_ms)
{
  struct edge *edge = links->edge;
  for (u_int i = 0; i < news->result.targets.targets_len; i++)
    {
      const struct control_target *target
          = &news->result.targets.targets_val[i];
      if (!edge_targets_merge (edge->targets, news->source, target, now_ms))
        continue;
      base_counter_add (edge->counters.targets_changed, 1);
      base_event ("target-changed target=%s service=%s address=%s:%u state=%d "
                  "silent=%d born_ms=%" PRIu64 " sequence=%" PRIu64 " from=%s",
                  target->name, target->service, target->address, target->port,
                  (int)target->state, (int)target->silent,
                  (uint64_t)target->born_ms, (uint64_t)target->sequence,
                  links->links[news->source]->address);
    }
}

static void
take_members (struct edge_links *links,
              const struct control_watch_result *result, uint64_t now_ms)
{
  for (u_int i = 0; i < result->members.members_len; i++)
    {
      const struct control_member *member = &result->members.members_val[i];
      add_link (links, member->address, (uint16_t)member->port, now_ms);
    }
}

static void
take_answer (struct edge_links *links, struct link *link,
             const struct edge_news *news, uint64_t now_ms)
{
  const struct control_watch_result *result = &news->result;
  if (link->is_lost)
    base_event ("member-regained address=%s:%u after_ms=%" PRIu64,
                link->address, (unsigned)link->port, now_ms - link->heard_ms);
  if (link->epoch != 0 && link->epoch != result->epoch)
    edge_targets_forget_source (links->edge->targets, news->source, now_ms);
  link->epoch = result->epoch;
  link->is_lost = false;
  link->is_void = false;
  link->heard_ms = now_ms;
  links->heard_ms = now_ms;
  edge_retry_set_routers (links->edge->retry, result->routers);
  edge_prepaid_set_routers (links->edge->prepaid, result->routers);
  take_document (links, news);
  take_targets (links, news, now_ms);
  take_members (links, result, now_ms);
}

static void
take_news (struct edge_links *links, const struct edge_news *news,
           uint64_t now_ms)
{
  struct link *link = links->links[news->source];
  if (!link)
    return;
  if (news->status == WIRE_OK)
    take_answer (links, link, news, now_ms);
  else if (!link->is_lost)
    {
      link->is_lost = true;
      base_event ("member-lost address=%s:%u status=%s heard_ago_ms=%" PRIu64,
                  link->address, (unsigned)link->port,
                  wire_status_name (news->status), now_ms - link->heard_ms);
    }
}

uint64_t
edge_links_heard_ms (const struct edge_links *links)
{
  return links->heard_ms;
}

static gpointer
destroy_watcher (gpointer watcher)
{
  edge_watcher_destroy (watcher);
  return NULL;
}

/* On a thread of its own, since the call under way is waited for. */
static void
leave_member (struct edge_links *links, uint32_t source, uint64_t now_ms)
{
  struct link *link = links->links[source];
  base_event ("member-left address=%s:%u", link->address,
              (unsigned)link->port);
  edge_targets_forget_source (links->edge->targets, source, now_ms);
  g_thread_unref (g_thread_new ("unwatch", destroy_watcher, link->watcher));
  g_free (link);
  links->links[source] = NULL;
}

/* A lost member's word is void once another one can be heard. */
static void
age_links (struct edge_links *links, uint64_t now_ms)
{
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    {
      struct link *link = links->links[i];
      if (!link)
        continue;
      if (!link->is_void && now_ms > link->heard_ms + WORD_LIFE_MS
          && now_ms < links->heard_ms + WORD_LIFE_MS)
        {
          link->is_void = true;
          edge_targets_forget_source (links->edge->targets, i, now_ms);
        }
      if (!link->is_fixed && now_ms >= link->named_ms + MEMBER_LEFT_MS)
        leave_member (links, i, now_ms);
    }
}

static void
take_lease (struct edge_links *links, uint64_t now_ms)
{
  struct edge *edge = links->edge;
  struct control_lease_result result;
  if (!edge_lease_client_take_result (links->lessee, &result))
    return;
  for (u_int i = 0; i < result.lines.lines_len; i++)
    {
      const struct control_lease_line *line = &result.lines.lines_val[i];
      uint64_t reserved = 0;
      uint64_t spent = 0;
      edge_prepaid_used (edge->prepaid, line->account, &reserved, &spent);
      base_event ("lease account=%s granted_tokens=%" PRIu64
                  " left_tokens=%" PRIu64 " total_tokens=%" PRIu64
                  " free_tokens=%" PRIu64 " reserved_tokens=%" PRIu64
                  " spent_tokens=%" PRIu64 " unspent_tokens=%" PRIu64
                  " recalled_tokens=%" PRIu64 " sequence=%" PRIu64,
                  line->account, (uint64_t)line->granted_tokens,
                  (uint64_t)line->left_tokens, (uint64_t)line->total_tokens,
                  edge_prepaid_free (edge->prepaid, line->account), reserved,
                  spent, (uint64_t)line->unspent_tokens,
                  (uint64_t)line->recalled_tokens, (uint64_t)result.sequence);
    }
  if (edge_incarnation_handle_result (&links->run, &result))
    edge_prepaid_take (edge->prepaid, &result, now_ms);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&result);
  GList *link = edge->requests.head;
  while (link)
    {
      GList *next = link->next;
      edge_request_leased (link->data);
      link = next;
    }
}

static void
start_lease (struct edge_links *links, bool returns_all, uint64_t now_ms)
{
  struct control_lease_args args = { 0 };
  edge_prepaid_ask (links->edge->prepaid, now_ms, returns_all, &args);
  args.cluster = strdup (links->shared.cluster);
  args.router = strdup (links->shared.router);
  args.router_incarnation = links->run.incarnation;
  args.sequence = ++links->sequence;
  edge_lease_client_call (links->lessee, &args);
  xdr_free ((xdrproc_t)xdr_control_lease_args, (char *)&args);
}

void
edge_links_round (struct edge_links *links, uint64_t now_ms)
{
  struct edge_news *news;
  while ((news = g_async_queue_try_pop (links->shared.news)))
    {
      take_news (links, news, now_ms);
      edge_news_free (news);
    }
  take_lease (links, now_ms);
  age_links (links, now_ms);
  bool is_urgent = edge_prepaid_is_urgent (links->edge->prepaid);
  if (edge_lease_client_is_busy (links->lessee)
      || (!is_urgent && now_ms < links->lease_due_ms))
    return;
  links->lease_due_ms = now_ms + LEASE_INTERVAL_MS;
  start_lease (links, false, now_ms);
}

void
edge_links_return (struct edge_links *links, uint32_t wait_ms)
{
  uint64_t until_ms = edge_now_ms () + wait_ms;
  bool returned = false;
  while (edge_now_ms () < until_ms)
    {
      take_lease (links, edge_now_ms ());
      if (!edge_lease_client_is_busy (links->lessee))
        {
          if (returned)
            break;
          returned = true;
          start_lease (links, true, edge_now_ms ());
        }
      g_usleep (POLL_US);
    }
}

void
edge_links_destroy (struct edge_links *links)
{
  struct edge_news *news;
  if (!links)
    return;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    if (links->links[i])
      edge_watcher_stop (links->links[i]->watcher);
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    if (links->links[i])
      {
        edge_watcher_destroy (links->links[i]->watcher);
        g_free (links->links[i]);
      }
  edge_lease_client_destroy (links->lessee);
  while ((news = g_async_queue_try_pop (links->shared.news)))
    edge_news_free (news);
  g_async_queue_unref (links->shared.news);
  g_free (links->shared.cluster);
  g_free (links->shared.router);
  g_free (links);
}
