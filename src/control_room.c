#include "control_internal.h"

#include <errno.h>
#include <inttypes.h>

#include "base_clock.h"
#include "base_log.h"
#include "store_file.h"

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
  if (atomic_load (&daemon->full_since_ms) == 0)
    {
      atomic_store (&daemon->full_since_ms, now_ms ());
      base_log (BASE_LOG_WARNING, "data-folder-full folder=%s",
                daemon->options.data_dir);
    }
  g_usleep (1000 * ROOM_POLL_MS);
  return !atomic_load (&daemon->stopping);
}

void
control_room_note (struct control_daemon *daemon)
{
  uint64_t since_ms = atomic_exchange (&daemon->full_since_ms, 0);
  if (since_ms != 0)
    base_log (BASE_LOG_NOTICE, "data-folder-room full_ms=%" PRIu64,
              now_ms () - since_ms);
}

struct control_store *
control_room_open_store (struct control_daemon *daemon,
                         struct base_findings *findings)
{
  const char *folder = daemon->options.data_dir;
  struct control_store *store;
  int error;
  do
    {
      struct base_findings *passing = base_findings_create ();
      errno = 0;
      store = control_store_open (folder, passing);
      error = errno;
      base_findings_destroy (passing);
    }
  while (!store && store_file_is_full (error) && control_room_wait (daemon));
  control_room_note (daemon);
  return store ? store : control_store_open (folder, findings);
}

bool
control_daemon_has_room (const struct control_daemon *daemon)
{
  return atomic_load (&daemon->full_since_ms) == 0;
}
