#include "control_internal.h"

#include <errno.h>

#include "base_clock.h"
#include "base_log.h"
#include "store_file.h"

/* Bytes of log records after which a snapshot replaces them. */
#define SNAPSHOT_LOG_BYTES (16u * 1024 * 1024)
/* Pause after a snapshot that found no room, in milliseconds. */
#define FULL_RETRY_MS 1000
/* Factors by which the log may grow beyond its limits while another member
   catches up. */
#define CATCH_UP_ENTRIES_FACTOR 8
#define CATCH_UP_BYTES_FACTOR 2

int
control_snapshot_load (struct control_daemon *daemon, GBytes *snapshot)
{
  struct consensus_wire_snapshot wire = { 0 };
  struct control_state *state = control_state_create ();
  int status = -1;
  if (consensus_snapshot_decode (snapshot, &wire))
    status = control_state_load (state, wire.state.state_val,
                                 wire.state.state_len);
  xdr_free ((xdrproc_t)xdr_consensus_wire_snapshot, (char *)&wire);
  if (status != 0)
    {
      base_log (BASE_LOG_ERROR, "snapshot-malformed");
      control_state_destroy (state);
      return -1;
    }
  control_state_destroy (daemon->state);
  daemon->state = state;
  return 0;
}

/* Returns whether the log is long enough for a snapshot.  A member does not
   respond while it writes one, so the limits are staggered by member id,
   which keeps members from writing at the same time.  While another member
   catches up, the log may grow further, so that the snapshot that it receives
   is followed by entries and not by the next snapshot. */
static bool
is_snapshot_due (const struct control_daemon *daemon, uint64_t now_ms)
{
  const struct consensus *consensus = daemon->consensus;
  bool catches_up = consensus_has_member_catching_up (consensus, now_ms);
  uint64_t entries = consensus_applied_index (consensus)
                     - consensus_snapshot_index (consensus);
  uint64_t limit_eighths = 8 + daemon->options.member_id % 8;
  uint64_t entries_limit = daemon->options.snapshot_entries * limit_eighths
                           * (catches_up ? CATCH_UP_ENTRIES_FACTOR : 1) / 8;
  uint64_t bytes_limit = SNAPSHOT_LOG_BYTES / 8 * limit_eighths
                         * (catches_up ? CATCH_UP_BYTES_FACTOR : 1);
  return entries > 0
         && (entries >= entries_limit
             || control_store_tail_bytes (daemon->store) >= bytes_limit);
}

/* Stores the snapshot that consensus holds.  On a full disk the member goes on
   with what is stored, which is whole, and tries again later. */
static void
store_snapshot (struct control_daemon *daemon, uint64_t now_ms)
{
  daemon->snapshot_retry_ms = 0;
  if (control_store_compact (daemon->store, daemon->consensus) == 0)
    {
      base_counter_add (daemon->counters.snapshots, 1);
      return;
    }
  int error = errno;
  base_log (BASE_LOG_ERROR, "snapshot-not-written error=%s",
            g_strerror (error));
  if (store_file_is_full (error))
    daemon->snapshot_retry_ms = now_ms + FULL_RETRY_MS;
  else
    daemon->failure = -1;
}

void
control_snapshot_write (struct control_daemon *daemon)
{
  struct consensus *consensus = daemon->consensus;
  uint32_t bytes = 0;
  uint64_t now_ms = base_clock_now_ms (base_clock_system ());
  bool is_retry = daemon->snapshot_retry_ms != 0;
  if (is_retry ? now_ms < daemon->snapshot_retry_ms
               : !is_snapshot_due (daemon, now_ms))
    return;
  /* A heartbeat restarts the followers' election timeouts before the leader
     stops responding to write the snapshot. */
  consensus_request_heartbeat (consensus);
  consensus_flush (consensus, now_ms);
  control_send_messages (daemon,
                         consensus_effects (consensus)->early_messages);
  if (!is_retry)
    {
      char *state = control_state_save (daemon->state, &bytes);
      consensus_compact (consensus, state, bytes);
      g_free (state);
    }
  store_snapshot (daemon, now_ms);
}
