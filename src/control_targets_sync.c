#include "control_targets_sync.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_log.h"
#include "wire_client.h"

/* Maximum time for which a member may hold a call, and the call's deadline, in
   milliseconds. */
#define LONG_POLL_MS 400
#define CALL_TIMEOUT_MS 1200
/* Pause after a failed call, in milliseconds. */
#define RETRY_PAUSE_MS 150
/* Time for which a departure waits for members beyond a majority, in
   milliseconds: a few round trips between regions. */
#define CONFIRM_WAIT_MS 300
/* Time after its last call at which a member isn't waited for, in
   milliseconds. */
#define CALLER_TIMEOUT_MS 1500
/* Number of members that are watched at most. */
#define SOURCES_MAX 32

/* The thread that watches one member. */
struct watcher
{
  struct control_targets_sync *sync;
  uint32_t source;
  uint64_t member_id;
  char address[16];
  uint16_t port;
  /* Last change that was received, within the member's epoch. */
  uint64_t epoch;
  uint64_t change;
  uint64_t routers_change;
  bool is_lost;
  atomic_bool stopping;
  GThread *thread;
};

/* What a member that watches this one has received. */
struct confirmation
{
  uint64_t change;
  uint64_t called_ms;
};

struct control_targets_sync
{
  struct control_targets_sync_options options;
  /* struct watcher; those of former members end by themselves. */
  GPtrArray *watchers;
  bool is_stopping;
  GMutex mutex;
  GCond changed;
  /* Guarded by the mutex: struct confirmation by address, and the members. */
  GHashTable *confirmations;
  struct consensus_configuration members;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* Merges what the member reports.  Returns the number of the newest change by
   which one of the reported targets departed here, or 0. */
static uint64_t
merge (const struct watcher *watcher,
       const struct control_watch_result *result)
{
  const struct control_targets_sync_options *options = &watcher->sync->options;
  uint64_t wall_ms = base_clock_steady_wall_ms ();
  uint64_t departure = 0;
  g_mutex_lock (options->mutex);
  if (result->epoch != watcher->epoch)
    control_targets_forget_source (options->targets, watcher->source,
                                   now_ms ());
  for (u_int i = 0; i < result->targets.targets_len; i++)
    {
      const struct control_target *target = &result->targets.targets_val[i];
      if (control_targets_learn (options->targets, watcher->source, target,
                                 now_ms (), wall_ms))
        base_log (BASE_LOG_NOTICE,
                  "target-learned target=%s state=%d born_ms=%" PRIu64
                  " from=%s",
                  target->name, (int)target->state, (uint64_t)target->born_ms,
                  watcher->address);
      departure = MAX (departure, control_targets_departure (options->targets,
                                                             target->name));
    }
  g_mutex_unlock (options->mutex);
  return departure;
}

/* Stores the departures up to change number @p departure, if any.  Returns
   whether they are on the disk. */
static bool
store_departures (const struct watcher *watcher, uint64_t departure)
{
  const struct control_targets_sync_options *options = &watcher->sync->options;
  return departure == 0 || options->store (options->context, departure);
}

static void
forget (struct watcher *watcher)
{
  const struct control_targets_sync_options *options = &watcher->sync->options;
  g_mutex_lock (options->mutex);
  control_targets_forget_source (options->targets, watcher->source, now_ms ());
  g_mutex_unlock (options->mutex);
}

/* Handles the answer to a call, or its failure. */
static void
handle_answer (struct watcher *watcher, enum wire_status status,
               const struct control_watch_result *result)
{
  bool is_lost = status != WIRE_OK || result->answer.status != CONTROL_OK;
  if (is_lost != watcher->is_lost)
    base_log (BASE_LOG_NOTICE, "member-watch address=%s:%u lost=%d status=%s",
              watcher->address, (unsigned)watcher->port, (int)is_lost,
              wire_status_name (status));
  watcher->is_lost = is_lost;
  if (is_lost)
    {
      forget (watcher);
      watcher->epoch = 0;
      return;
    }
  /* The next call confirms what this one names: a departure that isn't on the
     disk is asked for again. */
  if (store_departures (watcher, merge (watcher, result)))
    watcher->change = result->change;
  else if (result->epoch != watcher->epoch)
    watcher->change = 0;
  watcher->epoch = result->epoch;
  watcher->routers_change = result->routers_change;
}

static void
watch_once (struct watcher *watcher, struct wire_client *client)
{
  const struct control_targets_sync_options *options = &watcher->sync->options;
  struct control_watch_result result = { 0 };
  struct control_watch_args args = { 0 };
  char empty[] = "";
  args.cluster = (char *)(uintptr_t)options->cluster;
  args.router = (char *)(uintptr_t)options->address;
  args.epoch = watcher->epoch;
  args.change = watcher->change;
  args.wait_ms = LONG_POLL_MS;
  args.document_version = UINT64_MAX;
  args.suspects_version = UINT64_MAX;
  args.limits_version = UINT64_MAX;
  args.routers_change = watcher->routers_change;
  args.self.name = empty;
  args.self.address = empty;
  args.self.availability_zone = empty;
  enum wire_status status = wire_client_call (
      client, CONTROL_WATCH, (xdrproc_t)xdr_control_watch_args, &args,
      (xdrproc_t)xdr_control_watch_result, &result, sizeof result,
      CALL_TIMEOUT_MS);
  handle_answer (watcher, status, &result);
  if (status == WIRE_OK)
    xdr_free ((xdrproc_t)xdr_control_watch_result, (char *)&result);
}

static gpointer
run (gpointer data)
{
  struct watcher *watcher = data;
  struct wire_client *client = wire_client_create (
      watcher->address, watcher->port, CONTROL_PROGRAM, CONTROL_VERSION);
  while (!atomic_load (&watcher->stopping))
    {
      watch_once (watcher, client);
      if (watcher->is_lost)
        g_usleep (1000 * RETRY_PAUSE_MS);
    }
  forget (watcher);
  wire_client_destroy (client);
  return NULL;
}

struct control_targets_sync *
control_targets_sync_create (
    const struct control_targets_sync_options *options)
{
  struct control_targets_sync *sync = g_new0 (struct control_targets_sync, 1);
  sync->options = *options;
  sync->watchers = g_ptr_array_new ();
  sync->confirmations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_mutex_init (&sync->mutex);
  g_cond_init (&sync->changed);
  return sync;
}

void
control_targets_sync_stop (struct control_targets_sync *sync)
{
  sync->is_stopping = true;
  for (guint i = 0; i < sync->watchers->len; i++)
    {
      struct watcher *watcher = sync->watchers->pdata[i];
      atomic_store (&watcher->stopping, true);
    }
}

void
control_targets_sync_destroy (struct control_targets_sync *sync)
{
  if (!sync)
    return;
  control_targets_sync_stop (sync);
  for (guint i = 0; i < sync->watchers->len; i++)
    {
      struct watcher *watcher = sync->watchers->pdata[i];
      g_thread_join (watcher->thread);
      g_free (watcher);
    }
  g_ptr_array_unref (sync->watchers);
  g_hash_table_unref (sync->confirmations);
  g_mutex_clear (&sync->mutex);
  g_cond_clear (&sync->changed);
  g_free (sync);
}

static bool
is_at (const struct watcher *watcher, const struct consensus_member *member)
{
  return watcher->member_id == member->id && watcher->port == member->port
         && strcmp (watcher->address, member->address) == 0;
}

/* Returns the first source number that no running watcher has, or
   SOURCES_MAX. */
static uint32_t
free_source (const struct control_targets_sync *sync)
{
  uint32_t used = 0;
  uint32_t source = 0;
  for (guint i = 0; i < sync->watchers->len; i++)
    {
      struct watcher *watcher = sync->watchers->pdata[i];
      if (!atomic_load (&watcher->stopping))
        used |= UINT32_C (1) << watcher->source;
    }
  while (source < SOURCES_MAX && (used & (UINT32_C (1) << source)))
    source++;
  return source;
}

static void
add_watcher (struct control_targets_sync *sync,
             const struct consensus_member *member)
{
  uint32_t source = free_source (sync);
  if (source == SOURCES_MAX)
    return;
  struct watcher *watcher = g_new0 (struct watcher, 1);
  watcher->sync = sync;
  watcher->source = source;
  watcher->member_id = member->id;
  watcher->port = member->port;
  g_strlcpy (watcher->address, member->address, sizeof watcher->address);
  watcher->thread = g_thread_new ("targets", run, watcher);
  g_ptr_array_add (sync->watchers, watcher);
}

/* Stops the watchers of members that are no longer listed. */
static void
stop_former (struct control_targets_sync *sync,
             const struct consensus_configuration *members)
{
  for (guint i = 0; i < sync->watchers->len; i++)
    {
      struct watcher *watcher = sync->watchers->pdata[i];
      bool is_listed = false;
      for (uint32_t j = 0; j < members->count; j++)
        is_listed |= is_at (watcher, &members->members[j]);
      if (!is_listed)
        atomic_store (&watcher->stopping, true);
    }
}

static bool
is_watched (const struct control_targets_sync *sync,
            const struct consensus_member *member)
{
  for (guint i = 0; i < sync->watchers->len; i++)
    {
      struct watcher *watcher = sync->watchers->pdata[i];
      if (!atomic_load (&watcher->stopping) && is_at (watcher, member))
        return true;
    }
  return false;
}

void
control_targets_sync_update (struct control_targets_sync *sync,
                             const struct consensus_configuration *members,
                             uint64_t self)
{
  if (sync->is_stopping)
    return;
  stop_former (sync, members);
  for (uint32_t i = 0; i < members->count; i++)
    if (members->members[i].id != self
        && !is_watched (sync, &members->members[i]))
      add_watcher (sync, &members->members[i]);
  g_mutex_lock (&sync->mutex);
  sync->members = *members;
  g_mutex_unlock (&sync->mutex);
}

bool
control_targets_sync_is_member (const struct control_watch_args *args)
{
  return !*args->self.name && *args->router;
}

void
control_targets_sync_note_call (struct control_targets_sync *sync,
                                const char *address, uint64_t change,
                                uint64_t now_ms)
{
  g_mutex_lock (&sync->mutex);
  struct confirmation *known
      = g_hash_table_lookup (sync->confirmations, address);
  if (!known)
    {
      known = g_new0 (struct confirmation, 1);
      g_hash_table_insert (sync->confirmations, g_strdup (address), known);
    }
  known->change = change;
  known->called_ms = now_ms;
  g_cond_broadcast (&sync->changed);
  g_mutex_unlock (&sync->mutex);
}

/* Which members have confirmed a change. */
enum confirmed
{
  CONFIRMED_BY_FEW,
  CONFIRMED_BY_MAJORITY,
  /* And by all that have called lately. */
  CONFIRMED_BY_ALL
};

/* Whether a member has the address; others may call, such as one that was
   removed.  Called with the mutex held. */
static bool
is_member_address (const struct control_targets_sync *sync,
                   const char *address)
{
  for (uint32_t i = 0; i < sync->members.count; i++)
    if (strcmp (sync->members.members[i].address, address) == 0)
      return true;
  return false;
}

/* Called with the mutex held. */
static enum confirmed
count_confirmed (const struct control_targets_sync *sync, uint64_t change)
{
  GHashTableIter iterator;
  gpointer address;
  gpointer value;
  uint32_t confirmed = 0;
  bool is_awaited = false;
  g_hash_table_iter_init (&iterator, sync->confirmations);
  while (g_hash_table_iter_next (&iterator, &address, &value))
    {
      const struct confirmation *known = value;
      if (known->change >= change)
        confirmed += is_member_address (sync, address);
      else if (now_ms () < known->called_ms + CALLER_TIMEOUT_MS)
        is_awaited = true;
    }
  if (confirmed < sync->members.count / 2)
    return CONFIRMED_BY_FEW;
  return is_awaited ? CONFIRMED_BY_MAJORITY : CONFIRMED_BY_ALL;
}

bool
control_targets_sync_wait (struct control_targets_sync *sync, uint64_t change,
                           uint32_t timeout_ms)
{
  gint64 start_us = g_get_monotonic_time ();
  gint64 all_us = start_us + 1000 * CONFIRM_WAIT_MS;
  gint64 end_us = start_us + 1000 * (gint64)timeout_ms;
  g_mutex_lock (&sync->mutex);
  enum confirmed confirmed = count_confirmed (sync, change);
  while (confirmed != CONFIRMED_BY_ALL)
    {
      gint64 until_us
          = confirmed == CONFIRMED_BY_MAJORITY ? MIN (all_us, end_us) : end_us;
      if (!g_cond_wait_until (&sync->changed, &sync->mutex, until_us))
        break;
      confirmed = count_confirmed (sync, change);
    }
  confirmed = count_confirmed (sync, change);
  g_mutex_unlock (&sync->mutex);
  return confirmed != CONFIRMED_BY_FEW;
}
