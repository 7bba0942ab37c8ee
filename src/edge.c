#include "edge.h"

#include <signal.h>
#include <stdatomic.h>
#include <string.h>

#include "base_clock.h"
#include "base_event.h"
#include "base_log.h"
#include "edge_attempt.h"
#include "edge_front.h"
#include "edge_links.h"
#include "edge_loans.h"
#include "edge_probe.h"
#include "edge_reach.h"
#include "edge_relay.h"
#include "edge_request.h"
#include "edge_room.h"
#include "edge_timeouts.h"
#include "escrow_allowance.h"
#include "http_status.h"

/* Interval of timeout checks while requests are open, and maximum wait of the
   loop while none are. */
#define TIMEOUT_CHECK_INTERVAL_MS 20
#define IDLE_WAIT_MS 100
#define LOG_FLUSH_INTERVAL_MS 100
#define TICK_INTERVAL_MS 1000
/* Minimum duration of a graceful stop, so that the load balancer notices it.
 */
#define STOP_MIN_MS 3000
/* Maximum wait for control when leases are returned at a stop. */
#define LEASE_RETURN_WAIT_MS 700
/* Maximum age of control's last answer before control counts as unreachable,
   in milliseconds: three intervals of lease calls. */
#define CONTROL_TIMEOUT_MS 1000
/* While control has been silent for a time in this range, in milliseconds,
   requests wait: the router may soon use more tokens without its answer, and
   then serves those that wait. */
#define SILENCE_WAIT_FROM_MS 500
#define SILENCE_WAIT_UNTIL_MS (ESCROW_SILENCE_MS + 1000)
/* Percentage of the grace period after which a stop is forced; the remaining
   time is for returning leases and shutting down. */
#define FORCED_STOP_PERCENT 88

uint64_t
edge_now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static void
make_counters (struct edge *edge)
{
  static const char *const kind_labels[]
      = { "kind=\"safe\"", "kind=\"unsafe\"", "kind=\"stream\"" };
  struct base_metrics *metrics = edge->metrics;
  edge->counters = (struct edge_counters){
    .requests = base_metrics_counter (metrics, "edge_requests_total", NULL),
    .served = base_metrics_counter (metrics, "edge_served_total", NULL),
    .refused = base_metrics_counter (metrics, "edge_refused_total", NULL),
    .failed = base_metrics_counter (metrics, "edge_failed_total", NULL),
    .callers_left
    = base_metrics_counter (metrics, "edge_callers_left_total", NULL),
    .resent = base_metrics_counter (metrics, "edge_resent_total", NULL),
    .resumed = base_metrics_counter (metrics, "edge_resumed_total", NULL),
    .exhausted = base_metrics_counter (metrics, "edge_exhausted_total", NULL),
    .unsent = base_metrics_counter (metrics, "edge_unsent_total", NULL),
    .pools_replaced
    = base_metrics_counter (metrics, "edge_pools_replaced_total", NULL),
    .lost_targets
    = base_metrics_gauge (metrics, "edge_unreachable_targets", NULL),
    .sent_via_others
    = base_metrics_counter (metrics, "edge_sent_via_others_total", NULL),
    .target_statements
    = base_metrics_counter (metrics, "edge_target_statements_total", NULL),
    .room_rejected
    = base_metrics_counter (metrics, "edge_room_rejected_total", NULL),
    .link_closed = base_metrics_gauge (metrics, "edge_link_closed", NULL),
    .cold_only = base_metrics_counter (metrics, "edge_cold_only_total", NULL),
    .region_rejected
    = base_metrics_counter (metrics, "edge_region_rejected_total", NULL),
    .relayed = base_metrics_counter (metrics, "edge_relayed_total", NULL),
    .relay_refused
    = base_metrics_counter (metrics, "edge_relay_refused_total", NULL),
    .quarantined
    = base_metrics_counter (metrics, "edge_quarantined_total", NULL),
    .limited_targets
    = base_metrics_gauge (metrics, "edge_limited_targets", NULL),
    .limited_sends
    = base_metrics_counter (metrics, "edge_limited_sends_total", NULL),
    .permits_granted
    = base_metrics_counter (metrics, "edge_permits_granted_total", NULL),
    .limit_rejected
    = base_metrics_counter (metrics, "edge_limit_rejected_total", NULL),
    .streams_noted
    = base_metrics_counter (metrics, "edge_streams_noted_total", NULL),
    .streams_taken_up
    = base_metrics_counter (metrics, "edge_streams_taken_up_total", NULL),
    .streams_rejected
    = base_metrics_counter (metrics, "edge_streams_rejected_total", NULL),
    .evacuated_zones
    = base_metrics_gauge (metrics, "edge_evacuated_zones", NULL),
    .evacuations_version
    = base_metrics_gauge (metrics, "edge_evacuations_version", NULL),
    .evacuated_rejected
    = base_metrics_counter (metrics, "edge_evacuated_rejected_total", NULL),
    .table_version = base_metrics_gauge (metrics, "edge_table_version", NULL),
    .targets_changed
    = base_metrics_counter (metrics, "edge_targets_changed_total", NULL),
    .open_requests = base_metrics_gauge (metrics, "edge_open_requests", NULL),
    .log_lines_dropped
    = base_metrics_gauge (metrics, "edge_log_lines_dropped", NULL),
    .documents_read = base_metrics_counter (
        metrics, "edge_document_reads_total", "outcome=\"complete\""),
    .document_reads_restarted = base_metrics_counter (
        metrics, "edge_document_reads_total", "outcome=\"restarted\""),
    .document_reads_failed = base_metrics_counter (
        metrics, "edge_document_reads_total", "outcome=\"failed\""),
    .document_bytes
    = base_metrics_counter (metrics, "edge_document_bytes_total", NULL),
    .loop_gap_us = base_metrics_histogram (metrics, "edge_loop_gap_us", NULL),
  };
  for (size_t i = 0; i < G_N_ELEMENTS (kind_labels); i++)
    {
      edge->counters.first_event_us[i] = base_metrics_histogram (
          metrics, "edge_first_event_us", kind_labels[i]);
      edge->counters.request_us[i] = base_metrics_histogram (
          metrics, "edge_request_us", kind_labels[i]);
    }
}

static bool
status_ready (void *context)
{
  return edge_is_ready (context);
}

struct edge *
edge_create (const struct edge_options *options, const char *const *members)
{
  struct edge *edge = g_new0 (struct edge, 1);
  edge->options = *options;
  edge->metrics = base_metrics_create ();
  make_counters (edge);
  edge_disconnect_metrics_create (&edge->disconnect_metrics, edge->metrics);
  edge->accounts = edge_accounts_create (edge->metrics);
  base_random_seed (&edge->random, base_random_system_seed ());
  edge->targets = edge_targets_create ();
  edge->evacuations = edge_evacuations_create ();
  edge->peers = edge_peers_create ();
  edge->prepaid = edge_prepaid_create ();
  edge->quarantine = edge_quarantine_create ();
  edge->limits = edge_limits_create ();
  edge->streams = edge_streams_create ();
  edge->demand = edge_demand_create ();
  edge->room_demand = edge_demand_create ();
  g_queue_init (&edge->probes);
  edge->retry = edge_retry_create (
      &options->retry,
      options->is_first_start ? 0 : edge_now_ms () + options->retry.window_ms);
  edge->pressure = edge_pressure_create (options->link_mbps);
  g_queue_init (&edge->requests);
  edge->loop = router_poll_create (edge_attempt_finish);
  if (!edge->loop)
    goto failed;
  edge->front = edge_front_create (edge);
  if (!edge->front)
    goto failed;
  if (options->relay_port > 0)
    edge->relay
        = edge_relay_create (edge, options->address, options->relay_port);
  if (options->relay_port > 0 && !edge->relay)
    {
      base_log (BASE_LOG_ERROR, "can't listen relay=%s:%u", options->address,
                (unsigned)options->relay_port);
      goto failed;
    }
  if (options->relay_port > 0)
    edge->loans
        = edge_loans_create (edge, options->address, options->relay_port);
  if (options->relay_port > 0 && !edge->loans)
    base_log (BASE_LOG_WARNING,
              "can't listen loans=%s:%u; all tokens come from control",
              options->address, (unsigned)options->relay_port);
  if (options->metrics_port > 0)
    edge->status
        = http_status_create (options->metrics_address, options->metrics_port,
                              edge->metrics, status_ready, edge);
  if (options->metrics_port > 0 && !edge->status)
    base_log (BASE_LOG_ERROR, "metrics-unserved address=%s:%u",
              options->metrics_address, (unsigned)options->metrics_port);
  edge->links = edge_links_create (edge, members);
  return edge;
failed:
  edge_destroy (edge);
  return NULL;
}

void
edge_destroy (struct edge *edge)
{
  if (!edge)
    return;
  edge_links_destroy (edge->links);
  http_status_destroy (edge->status);
  edge_front_destroy (edge->front);
  edge_relay_destroy (edge->relay);
  edge_loans_destroy (edge->loans);
  edge_probe_cancel_all (edge);
  router_poll_destroy (edge->loop);
  edge_table_unref (edge->table);
  edge_targets_destroy (edge->targets);
  edge_evacuations_destroy (edge->evacuations);
  edge_peers_destroy (edge->peers);
  edge_prepaid_destroy (edge->prepaid);
  edge_quarantine_destroy (edge->quarantine);
  edge_limits_destroy (edge->limits);
  edge_streams_destroy (edge->streams);
  edge_demand_destroy (edge->demand);
  edge_demand_destroy (edge->room_demand);
  edge_retry_destroy (edge->retry);
  edge_pressure_destroy (edge->pressure);
  edge_accounts_destroy (edge->accounts);
  base_metrics_destroy (edge->metrics);
  g_free (edge);
}

void
edge_stop (struct edge *edge)
{
  atomic_store (&edge->stop_requested, true);
  router_poll_wake (edge->loop);
}

void
edge_set_members (struct edge *edge, const char *const *members)
{
  edge_links_set_members (edge->links, members);
}

void
edge_set_tick (struct edge *edge, void (*tick) (void *context), void *context)
{
  edge->tick = tick;
  edge->tick_context = context;
}

/* Before the first lease answer to this incarnation, answers of any member to
   a watch call count instead, so that requests wait while control elects a
   leader. */
bool
edge_control_is_unreachable (const struct edge *edge)
{
  uint64_t last_answer_ms = edge_prepaid_last_answer_ms (edge->prepaid);
  if (last_answer_ms == 0)
    last_answer_ms = edge_links_last_answer_ms (edge->links);
  return edge_now_ms () > last_answer_ms + CONTROL_TIMEOUT_MS;
}

bool
edge_silence_ends_soon (const struct edge *edge, uint64_t now_ms)
{
  uint64_t silent_ms = now_ms - edge_prepaid_last_answer_ms (edge->prepaid);
  return silent_ms >= SILENCE_WAIT_FROM_MS
         && silent_ms < SILENCE_WAIT_UNTIL_MS;
}

enum place_distance
edge_distance_to (const struct edge *edge, const char *zone)
{
  const struct edge_options *options = &edge->options;
  if (strcmp (zone, options->availability_zone) == 0)
    return PLACE_SAME_ZONE;
  const char *region = options->region_of (options->region_context, zone);
  return region && strcmp (region, options->region) == 0 ? PLACE_SAME_REGION
                                                         : PLACE_OTHER_REGION;
}

void
edge_set_table (struct edge *edge, struct edge_table *table)
{
  uint64_t version = edge_table_version (table);
  if (edge->table && version <= edge_table_version (edge->table))
    {
      edge_table_unref (table);
      return;
    }
  base_event ("table-in-force version=%" G_GUINT64_FORMAT
              " former=%" G_GUINT64_FORMAT,
              version, edge->table ? edge_table_version (edge->table) : 0);
  base_counter_set (edge->counters.table_version, version);
  edge_table_unref (edge->table);
  edge->table = table;
}

bool
edge_is_informed (const struct edge *edge)
{
  return edge->table
         && (!edge->options.awaits_evacuations
             || edge_evacuations_is_known (edge->evacuations, edge_now_ms ()));
}

bool
edge_is_ready (const struct edge *edge)
{
  return edge_is_informed (edge) && !edge->stopping
         && edge_pressure_is_open (edge->pressure);
}

/* Opens or closes the router to new connections. */
static void
run_pressure (struct edge *edge, uint64_t now_ms)
{
  if (!edge_pressure_update (edge->pressure, now_ms))
    return;
  bool is_open = edge_pressure_is_open (edge->pressure);
  base_counter_set (edge->counters.link_closed, !is_open);
  base_event ("link-%s share=%.2f open=%u", is_open ? "free" : "busy",
              edge_pressure_share (edge->pressure, now_ms),
              edge->requests.length);
}

static void
check_timeouts (struct edge *edge, uint64_t now_ms)
{
  GList *link = edge->requests.head;
  edge->last_timeout_check_ms = now_ms;
  /* What others did since the last look isn't known yet. */
  uint64_t looked_ms = router_poll_looked_ms (edge->loop);
  edge_reach_run (edge, now_ms);
  edge_probe_run (edge, looked_ms);
  run_pressure (edge, now_ms);
  while (link)
    {
      GList *next = link->next;
      edge_timeouts_check (link->data, now_ms, looked_ms);
      link = next;
    }
}

static void
run_timers (struct edge *edge, uint64_t now_ms)
{
  if (now_ms >= edge->last_timeout_check_ms + TIMEOUT_CHECK_INTERVAL_MS)
    check_timeouts (edge, now_ms);
  if (now_ms >= edge->last_log_flush_ms + LOG_FLUSH_INTERVAL_MS)
    {
      edge->last_log_flush_ms = now_ms;
      base_event_flush ();
      base_counter_set (edge->counters.log_lines_dropped,
                        base_event_dropped ());
    }
  if (now_ms >= edge->last_tick_ms + TICK_INTERVAL_MS)
    {
      edge->last_tick_ms = now_ms;
      edge_front_check (edge->front);
      if (edge->tick)
        edge->tick (edge->tick_context);
    }
}

static uint32_t
wait_ms (struct edge *edge)
{
  uint32_t limit = edge->requests.length > 0 || edge->probes.length > 0
                           || edge_relay_open (edge->relay) > 0
                       ? TIMEOUT_CHECK_INTERVAL_MS
                       : IDLE_WAIT_MS;
  return MIN (limit, edge_front_wait_ms (edge->front));
}

/* Starts a requested stop.  Returns whether the stop is complete. */
static bool
stop_is_complete (struct edge *edge, uint64_t now_ms)
{
  if (!edge->stopping && atomic_load (&edge->stop_requested))
    {
      edge->stopping = true;
      edge->stop_started_ms = now_ms;
      base_event ("stopping open=%u", edge->requests.length);
    }
  if (!edge->stopping)
    return false;
  uint64_t elapsed_ms = now_ms - edge->stop_started_ms;
  uint64_t limit_ms
      = (uint64_t)edge->options.grace_ms * FORCED_STOP_PERCENT / 100;
  if (elapsed_ms >= limit_ms)
    return true;
  return elapsed_ms >= STOP_MIN_MS
         && edge_front_open_requests (edge->front) == 0
         && edge_relay_open (edge->relay) == 0;
}

/* Ends the responses that a forced stop cuts off. */
static void
abort_open_requests (struct edge *edge)
{
  for (GList *link = edge->requests.head; link; link = link->next)
    {
      struct edge_request *request = link->data;
      router_stream_abort (&request->stream);
    }
}

void
edge_run (struct edge *edge)
{
  uint64_t now_ms = edge_now_ms ();
  base_event ("started zone=%s region=%s callers=%s:%u",
              edge->options.availability_zone, edge->options.region,
              edge->options.callers_address,
              (unsigned)edge->options.callers_port);
  while (!stop_is_complete (edge, now_ms))
    {
      router_poll_run (edge->loop, wait_ms (edge));
      base_histogram_record (edge->counters.loop_gap_us,
                             1000 * router_poll_gap_ms (edge->loop));
      now_ms = edge_now_ms ();
      edge_links_run (edge->links, now_ms);
      edge_loans_run (edge->loans, now_ms);
      edge_relay_run (edge->relay, router_poll_looked_ms (edge->loop));
      run_timers (edge, now_ms);
      edge_front_run (edge->front);
      edge_room_run (edge, now_ms);
    }
  edge_links_return_leases (edge->links, LEASE_RETURN_WAIT_MS);
  base_event ("stopped open=%u after_ms=%" G_GUINT64_FORMAT,
              edge->requests.length, edge_now_ms () - edge->stop_started_ms);
  abort_open_requests (edge);
  base_event_flush ();
}
