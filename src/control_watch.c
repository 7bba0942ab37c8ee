#include "control_watch.h"

#include <stdlib.h>
#include <string.h>

#include "base_random.h"
#include "control_internal.h"
#include "control_routers.h"

/* Time for which a router is counted after its last call, in milliseconds. */
#define ROUTER_TIMEOUT_MS 3000
/* Maximum time that a call waits, in milliseconds; it is below the call's
   timeout at the router. */
#define WAIT_MAX_MS 500
/* Interval of the check for targets that timed out, in milliseconds. */
#define EXPIRE_INTERVAL_MS 250

/* A waiting call. */
struct watcher
{
  struct wire_call *call;
  /* Change number up to which the router knows the targets. */
  uint64_t change;
  /* Version up to which the router knows this member's document. */
  uint64_t document_version;
  /* Version of the router's list of suspected parts. */
  uint64_t suspects_version;
  /* Version of the router's list of limited targets. */
  uint64_t limits_version;
  /* Newest change of evacuations that the router knows, if it knows of them.
   */
  bool has_evacuations;
  uint64_t evacuations_change;
  /* Change number up to which the router, named so, knows the others. */
  uint64_t routers_change;
  char *router;
  /* Time at which the reply is sent even if there is nothing newer. */
  uint64_t due_ms;
};

struct control_watch
{
  struct control_daemon *daemon;
  /* Random number drawn at the start of the process: the numbers of changes
     restart with the process, so they are only compared under the same random
     number. */
  uint64_t epoch;
  /* Waiting calls (struct watcher). */
  GPtrArray *waiting;
  struct control_routers *routers;
  /* Time of the next check for targets that timed out, in milliseconds. */
  uint64_t expire_due_ms;
};

static void
free_watcher (gpointer data)
{
  struct watcher *watcher = data;
  g_free (watcher->router);
  g_free (watcher);
}

struct control_watch *
control_watch_create (struct control_daemon *daemon)
{
  struct control_watch *watch = g_new0 (struct control_watch, 1);
  watch->daemon = daemon;
  watch->epoch = base_random_system_seed ();
  watch->waiting = g_ptr_array_new_with_free_func (free_watcher);
  watch->routers = control_routers_create (ROUTER_TIMEOUT_MS);
  return watch;
}

void
control_watch_destroy (struct control_watch *watch)
{
  if (!watch)
    return;
  g_ptr_array_unref (watch->waiting);
  control_routers_destroy (watch->routers);
  g_free (watch);
}

/* Fills in what follows the result. */
static void
fill_evacuations (const struct control_daemon *daemon,
                  const struct watcher *watcher,
                  struct control_watch_answer *answer)
{
  const struct control_evacuations_set *evacuations
      = control_state_evacuations (daemon->state);
  uint64_t change = control_evacuations_change (evacuations);
  answer->has_evacuations = watcher->has_evacuations;
  answer->evacuations.is_current = consensus_is_current (daemon->consensus);
  if (!watcher->has_evacuations || change <= watcher->evacuations_change)
    return;
  answer->evacuations.list_version = change;
  answer->evacuations.zones.zones_len = control_evacuations_copy (
      evacuations, &answer->evacuations.zones.zones_val);
}

static void
reply (struct control_watch *watch, const struct watcher *watcher,
       uint64_t now_ms)
{
  struct control_watch_answer answer = { 0 };
  struct control_watch_result result = { 0 };
  struct control_daemon *daemon = watch->daemon;
  result.answer.leader_address = strdup ("");
  result.answer.text = strdup ("");
  result.epoch = watch->epoch;
  result.availability_zone = strdup (daemon->options.availability_zone
                                         ? daemon->options.availability_zone
                                         : "");
  result.document_version
      = control_documents_version (control_state_documents (daemon->state));
  g_mutex_lock (&daemon->mutex);
  result.change = control_targets_newest_change (daemon->targets);
  result.targets.targets_len = control_targets_changed_since (
      daemon->targets, watcher->change, &result.targets.targets_val);
  g_mutex_unlock (&daemon->mutex);
  struct control_quarantine *quarantine
      = control_state_quarantine (daemon->state);
  if (control_quarantine_version (quarantine) > watcher->suspects_version)
    control_quarantine_list (quarantine, control_state_wall_ms (daemon->state),
                             &result.suspects);
  struct control_limits *limits = control_state_limits (daemon->state);
  if (control_limits_version (limits) > watcher->limits_version)
    control_limits_list (limits, &result.limits);
  result.routers = control_routers_expire (watch->routers, now_ms);
  result.routers_change = control_routers_newest_change (watch->routers);
  result.changed_routers.changed_routers_len = control_routers_changed_since (
      watch->routers, watcher->routers_change, watcher->router,
      &result.changed_routers.changed_routers_val);
  result.members.members_len
      = control_members_list (daemon, &result.members.members_val);
  answer.result = result;
  fill_evacuations (daemon, watcher, &answer);
  wire_call_reply (watcher->call, (xdrproc_t)xdr_control_watch_answer,
                   &answer);
  xdr_free ((xdrproc_t)xdr_control_watch_answer, (char *)&answer);
}

static bool
has_update (struct control_watch *watch, const struct watcher *watcher)
{
  struct control_daemon *daemon = watch->daemon;
  g_mutex_lock (&daemon->mutex);
  uint64_t change = control_targets_newest_change (daemon->targets);
  g_mutex_unlock (&daemon->mutex);
  return change != watcher->change
         || control_documents_version (control_state_documents (daemon->state))
                > watcher->document_version
         || control_quarantine_version (
                control_state_quarantine (daemon->state))
                > watcher->suspects_version
         || control_limits_version (control_state_limits (daemon->state))
                > watcher->limits_version
         || (watcher->has_evacuations
             && control_evacuations_change (
                    control_state_evacuations (daemon->state))
                    > watcher->evacuations_change);
}

void
control_watch_handle (struct control_watch *watch, struct wire_call *call,
                      const struct control_watch_call *watch_call,
                      uint64_t now_ms)
{
  const struct control_watch_args *args = &watch_call->args;
  struct watcher *watcher = g_new0 (struct watcher, 1);
  bool is_member = control_targets_sync_is_member (args);
  if (is_member)
    control_targets_sync_note_call (
        watch->daemon->targets_sync, args->router,
        args->epoch == watch->epoch ? args->change : 0, now_ms);
  else
    {
      control_routers_note_call (watch->routers, &args->self, now_ms);
      control_routers_note_evacuations (watch->routers, args->self.name,
                                        watch_call->evacuations.in_force);
    }
  watcher->call = call;
  watcher->change = args->epoch == watch->epoch ? args->change : 0;
  watcher->document_version = args->document_version;
  watcher->suspects_version = args->suspects_version;
  watcher->limits_version = args->limits_version;
  watcher->has_evacuations = watch_call->has_evacuations;
  watcher->evacuations_change = watch_call->evacuations.from_member;
  watcher->routers_change
      = args->epoch == watch->epoch ? args->routers_change : 0;
  if (is_member)
    watcher->routers_change = UINT64_MAX;
  watcher->router = g_strdup (args->self.name);
  watcher->due_ms = now_ms + MIN (args->wait_ms, WAIT_MAX_MS);
  if (args->epoch != watch->epoch)
    watcher->due_ms = now_ms;
  g_ptr_array_add (watch->waiting, watcher);
}

void
control_watch_list_evacuations (struct control_watch *watch,
                                struct wire_call *call, uint64_t now_ms)
{
  struct control_evacuation_list_result result = { 0 };
  struct control_evacuation *zones = NULL;
  const struct control_evacuations_set *evacuations
      = control_state_evacuations (watch->daemon->state);
  uint32_t count = control_evacuations_copy (evacuations, &zones);
  result.answer.leader_address = strdup ("");
  result.answer.text = strdup ("");
  result.change = control_evacuations_change (evacuations);
  result.routers
      = control_routers_count_evacuations (watch->routers, 0, now_ms);
  result.zones.zones_len = count;
  result.zones.zones_val = calloc (count + 1, sizeof *result.zones.zones_val);
  for (uint32_t i = 0; i < count; i++)
    {
      result.zones.zones_val[i].evacuation = zones[i];
      result.zones.zones_val[i].routers_in_force
          = control_routers_count_evacuations (watch->routers, zones[i].change,
                                               now_ms);
    }
  free (zones);
  wire_call_reply (call, (xdrproc_t)xdr_control_evacuation_list_result,
                   &result);
  xdr_free ((xdrproc_t)xdr_control_evacuation_list_result, (char *)&result);
}

static void
expire_targets (struct control_watch *watch, uint64_t now_ms)
{
  struct control_daemon *daemon = watch->daemon;
  if (now_ms < watch->expire_due_ms)
    return;
  watch->expire_due_ms = now_ms + EXPIRE_INTERVAL_MS;
  g_mutex_lock (&daemon->mutex);
  control_targets_expire (daemon->targets, now_ms);
  g_mutex_unlock (&daemon->mutex);
}

void
control_watch_reply_due (struct control_watch *watch, uint64_t now_ms)
{
  expire_targets (watch, now_ms);
  for (guint i = watch->waiting->len; i-- > 0;)
    {
      const struct watcher *watcher = watch->waiting->pdata[i];
      if (now_ms < watcher->due_ms && !has_update (watch, watcher))
        continue;
      reply (watch, watcher, now_ms);
      g_ptr_array_remove_index_fast (watch->waiting, i);
    }
}
