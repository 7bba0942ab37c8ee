#include "control_internal.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base_clock.h"
#include "base_log.h"

/* Interval of the log lines of a member that knows no leader, in
   milliseconds. */
#define LEADERLESS_LOG_MS 2000

/* Logs now and then what keeps this member without a leader. */
static void
log_leaderless (struct control_daemon *daemon)
{
  uint64_t now_ms = base_clock_now_ms (base_clock_system ());
  const struct consensus_configuration *members
      = consensus_members (daemon->consensus);
  if (daemon->logged_leader != 0 || members->count == 0)
    {
      daemon->leaderless_log_due_ms = now_ms + LEADERLESS_LOG_MS;
      return;
    }
  if (now_ms < daemon->leaderless_log_due_ms)
    return;
  daemon->leaderless_log_due_ms = now_ms + LEADERLESS_LOG_MS;
  base_log (
      BASE_LOG_NOTICE,
      "leaderless term=%" PRIu64 " votes=%" PRIu32 " majority=%" PRIu32
      " members=%" PRIu32 " is_voter=%d last_index=%" PRIu64,
      consensus_term (daemon->consensus), consensus_votes (daemon->consensus),
      consensus_configuration_majority (members), members->count,
      (int)consensus_configuration_is_voter (
          members, daemon->options.member_id, daemon->identity.incarnation),
      consensus_last_index (daemon->consensus));
}

static void
log_leader (struct control_daemon *daemon)
{
  uint64_t leader = consensus_leader_id (daemon->consensus);
  if (leader == daemon->logged_leader)
    return;
  daemon->logged_leader = leader;
  base_counter_add (daemon->counters.leader_changes, 1);
  base_log (BASE_LOG_NOTICE, "leader-changed leader=%" PRIu64 " term=%" PRIu64,
            leader, consensus_term (daemon->consensus));
}

/* Logs each state of the evacuations once, also the one that a member has
   after its start. */
static void
log_evacuations (struct control_daemon *daemon)
{
  const struct control_evacuations_set *evacuations
      = control_state_evacuations (daemon->state);
  struct control_evacuation *zones = NULL;
  uint64_t change = control_evacuations_change (evacuations);
  if (change == atomic_load (&daemon->evacuations_change))
    return;
  atomic_store (&daemon->evacuations_change, change);
  uint32_t count = control_evacuations_copy (evacuations, &zones);
  base_counter_set (daemon->counters.evacuated_zones, count);
  base_counter_set (daemon->counters.evacuations_change, change);
  base_log (BASE_LOG_NOTICE, "evacuations change=%" PRIu64 " zones=%" PRIu32,
            change, count);
  for (uint32_t i = 0; i < count; i++)
    {
      base_log (BASE_LOG_NOTICE,
                "zone-evacuated zone=%s since_ms=%" PRIu64 " change=%" PRIu64,
                zones[i].availability_zone, (uint64_t)zones[i].since_ms,
                (uint64_t)zones[i].change);
      xdr_free ((xdrproc_t)xdr_control_evacuation, (char *)&zones[i]);
    }
  free (zones);
}

void
control_counters_update (struct control_daemon *daemon)
{
  struct control_counters *counters = &daemon->counters;
  log_leader (daemon);
  log_leaderless (daemon);
  log_evacuations (daemon);
  base_counter_set (counters->leader, consensus_is_ready (daemon->consensus));
  base_counter_set (counters->term, consensus_term (daemon->consensus));
  base_counter_set (
      counters->bundle_version,
      control_bundles_version (control_state_bundles (daemon->state)));
  base_counter_set (
      counters->claims,
      control_claims_count (control_state_claims (daemon->state)));
  const struct control_write_off *write_off
      = control_prepaid_write_off (control_state_prepaid (daemon->state));
  base_counter_set (counters->written_off_open, write_off->open_tokens);
  base_counter_set (counters->written_off_unreported,
                    write_off->unreported_tokens);
  base_counter_set (counters->dropped_messages,
                    control_peers_dropped (daemon->peers));
  base_counter_set (counters->silent_connections,
                    control_peers_silent_connections (daemon->peers));
  base_counter_set (counters->syncs, control_store_syncs (daemon->store));
  atomic_store (&daemon->ready, consensus_leader_id (daemon->consensus) != 0);
}

void
control_counters_create (struct control_daemon *daemon)
{
  struct base_metrics *metrics = daemon->options.metrics;
  struct control_counters *counters = &daemon->counters;
  counters->calls
      = base_metrics_counter (metrics, "cactus_control_calls_total", NULL);
  counters->applied
      = base_metrics_counter (metrics, "cactus_control_applied_total", NULL);
  counters->syncs
      = base_metrics_counter (metrics, "cactus_control_syncs_total", NULL);
  counters->dropped_messages = base_metrics_counter (
      metrics, "cactus_control_dropped_messages_total", NULL);
  counters->silent_connections = base_metrics_counter (
      metrics, "cactus_control_silent_connections_total", NULL);
  counters->snapshots
      = base_metrics_counter (metrics, "cactus_control_snapshots_total", NULL);
  counters->document_bytes = base_metrics_counter (
      metrics, "cactus_control_document_bytes_total", NULL);
  counters->streams_noted = base_metrics_counter (
      metrics, "cactus_control_streams_noted_total", NULL);
  counters->streams_dropped = base_metrics_counter (
      metrics, "cactus_control_streams_dropped_total", NULL);
  counters->streams_kept
      = base_metrics_gauge (metrics, "cactus_control_streams", NULL);
  counters->leader_changes = base_metrics_counter (
      metrics, "cactus_control_leader_changes_total", NULL);
  counters->round_us
      = base_metrics_histogram (metrics, "cactus_control_round_us", NULL);
  counters->leader
      = base_metrics_gauge (metrics, "cactus_control_leader", NULL);
  counters->term = base_metrics_gauge (metrics, "cactus_control_term", NULL);
  counters->bundle_version
      = base_metrics_gauge (metrics, "cactus_control_bundle_version", NULL);
  counters->claims
      = base_metrics_gauge (metrics, "cactus_control_claims", NULL);
  counters->evacuated_zones
      = base_metrics_gauge (metrics, "cactus_control_evacuated_zones", NULL);
  counters->evacuations_change = base_metrics_gauge (
      metrics, "cactus_control_evacuations_change", NULL);
  counters->written_off_open = base_metrics_gauge (
      metrics, "cactus_control_written_off_tokens", "part=\"open\"");
  counters->written_off_unreported = base_metrics_gauge (
      metrics, "cactus_control_written_off_tokens", "part=\"unreported\"");
}
