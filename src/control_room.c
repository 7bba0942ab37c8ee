#include "control_internal.h"

#include <inttypes.h>

#include "base_clock.h"
#include "base_log.h"

/* Interval of the attempts to write while the disk is full. */
#define ROOM_POLL_MS 50

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

bool
control_room_wait (void *context)
{
  struct control_daemon *daemon = context;
  if (daemon->full_since_ms == 0)
    {
      daemon->full_since_ms = now_ms ();
      base_log (BASE_LOG_WARNING, "data-folder-full folder=%s",
                daemon->options.data_dir);
    }
  g_usleep (1000 * ROOM_POLL_MS);
  return !atomic_load (&daemon->stopping);
}

void
control_room_note (struct control_daemon *daemon)
{
  if (daemon->full_since_ms == 0)
    return;
  base_log (BASE_LOG_NOTICE, "data-folder-room full_ms=%" PRIu64,
            now_ms () - daemon->full_since_ms);
  daemon->full_since_ms = 0;
}
