/** @file
 *  Error rates of the quarantine over random histories with prompt parts that
 *  crash targets at any moment, under several accounts by turns, beside
 *  crashes of other causes: a target that ends takes all its requests with it,
 *  and each of their parts is suspected. */

#include <string.h>

#include <glib.h>

#include "base_log.h"
#include "base_random.h"
#include "control_quarantine.h"
#include "edge_quarantine.h"

#define ROUTERS 7
#define ACCOUNTS 10
#define TARGETS 9
#define ZONES 3
#define OPEN_MAX 1024
#define STEP_MS 10
#define PROBE_MS 40
#define REPLACED_MS 4000
/* Time in which a response has a head and hardly any events. */
#define JUST_BEGUN_MS 60
#define HISTORY_MS 60000
/* Share of the requests of an account that have one of its common parts, in
   percent; the others have one of many rare parts. */
#define COMMON_PERCENT 70
#define COMMON_PARTS 5
#define RARE_PARTS 200
/* Time after the fifth crash from which on few requests may pass. */
#define LEARN_MS 4000
#define CRASHES_MAX 5
#define STRAYS_MAX 3
#define CULPRITS 2
/* Moments at which a culprit ends its target: before its response begins, and
   the time after that. */
#define BEFORE_HEAD (-1)
#define SEEDS 12

static struct place_request
prompt (uint64_t first, uint64_t second)
{
  static uint64_t own = UINT64_C (1) << 40;
  return (struct place_request){
    .parts = { { first, 100 }, { second, 100 }, { ++own, 10 } },
    .part_count = 3
  };
}

/* Moves a router's reports to control at @p now_ms, which is also the time of
   day. */
static void
report (struct edge_quarantine *router, struct control_quarantine *control,
        uint64_t now_ms)
{
  struct control_part_reports reports = { 0 };
  edge_quarantine_fill_call (router, now_ms, now_ms, &reports);
  control_quarantine_report (control, &reports, now_ms, now_ms);
  xdr_free ((xdrproc_t)xdr_control_part_reports, (char *)&reports);
  struct control_request_reports requests = { 0 };
  struct control_router_result result = { 0 };
  edge_quarantine_fill_requests (router, now_ms, now_ms, &requests);
  control_quarantine_call (control, &requests, now_ms, now_ms, &result);
  edge_quarantine_apply_trials (router, &result);
  xdr_free ((xdrproc_t)xdr_control_request_reports, (char *)&requests);
  xdr_free ((xdrproc_t)xdr_control_router_result, (char *)&result);
}

static void
learn (struct edge_quarantine *router,
       const struct control_quarantine *control, uint64_t now_ms)
{
  struct control_suspects suspects = { 0 };
  if (control_quarantine_version (control) <= edge_quarantine_version (router))
    return;
  control_quarantine_list (control, now_ms, &suspects);
  edge_quarantine_apply (router, &suspects, now_ms);
  xdr_free ((xdrproc_t)xdr_control_suspects, (char *)&suspects);
}

/* A request in a random history. */
struct open_request
{
  uint32_t router;
  uint32_t target;
  uint32_t account;
  struct place_request placement;
  uint64_t begins_ms;
  uint64_t ends_ms;
};

struct target
{
  char name[16];
  uint64_t starts_ms;
};

/* A probe of a target after a lost connection. */
struct probe
{
  uint32_t router;
  char target[16];
  bool has_ended;
  uint64_t due_ms;
};

struct history
{
  struct base_random random;
  uint64_t now_ms;
  struct control_quarantine *control;
  struct edge_quarantine *routers[ROUTERS];
  struct target targets[TARGETS];
  uint32_t incarnations;
  struct open_request open[OPEN_MAX];
  uint32_t open_count;
  GArray *probes;
  /* Crashes under each culprit, the time of the fifth, and later sends. */
  uint32_t crashes[CULPRITS];
  uint64_t fifth_ms[CULPRITS];
  uint32_t strays[CULPRITS];
  /* Sound requests, and those rejected. */
  uint32_t sound;
  uint32_t rejected;
  /* Accounts that send a culprit by turns, and its moment. */
  uint32_t turns;
  int moment_ms;
  uint32_t sent;
};

static const char *const accounts[ACCOUNTS]
    = { "a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9" };

static uint64_t
culprit_part (uint32_t culprit)
{
  return 900 + culprit;
}

static void
start_target (struct history *history, uint32_t index, uint64_t starts_ms)
{
  struct target *target = &history->targets[index];
  g_snprintf (target->name, sizeof target->name, "t%u",
              ++history->incarnations);
  target->starts_ms = starts_ms;
}

/* Closes a request's connection before its end, as its router sees it. */
static void
lose (struct history *history, uint32_t index, bool has_ended)
{
  struct open_request *request = &history->open[index];
  const struct target *target = &history->targets[request->target];
  struct edge_quarantine *router = history->routers[request->router];
  struct probe probe = { .router = request->router,
                         .has_ended = has_ended,
                         .due_ms = history->now_ms + PROBE_MS };
  memcpy (probe.target, target->name, sizeof probe.target);
  edge_quarantine_note_open (router, target->name, accounts[request->account],
                             &request->placement, history->now_ms);
  if (history->now_ms >= request->begins_ms
      && history->now_ms < request->begins_ms + JUST_BEGUN_MS)
    edge_quarantine_note_lost (router, target->name,
                               accounts[request->account], &request->placement,
                               history->now_ms);
  g_array_append_val (history->probes, probe);
  *request = history->open[--history->open_count];
}

static void
end_target (struct history *history, uint32_t index)
{
  for (uint32_t i = history->open_count; i > 0; i--)
    if (history->open[i - 1].target == index)
      lose (history, i - 1, true);
  start_target (history, index, history->now_ms + REPLACED_MS);
}

/* Returns a random running target, or TARGETS when none runs. */
static uint32_t
choose_target (struct history *history)
{
  uint32_t first = (uint32_t)base_random_below (&history->random, TARGETS);
  for (uint32_t i = 0; i < TARGETS; i++)
    if (history->targets[(first + i) % TARGETS].starts_ms <= history->now_ms)
      return (first + i) % TARGETS;
  return TARGETS;
}

/* Returns whether the router may send the request; one that needs trials waits
   for control's answer, and is rejected unless it gets them. */
static bool
may_send (struct history *history, const struct open_request *request)
{
  struct edge_quarantine *router = history->routers[request->router];
  uint64_t left_ms = 0;
  uint64_t parts[PLACE_PARTS_MAX];
  const char *account = accounts[request->account];
  bool has_all = true;
  if (edge_quarantine_check_parts (router, account, &request->placement,
                                   history->now_ms, &left_ms)
      == EDGE_QUARANTINE_BLOCKED)
    return false;
  uint32_t count = edge_quarantine_find_trials (
      router, account, &request->placement, history->now_ms, parts);
  for (uint32_t i = 0; i < count; i++)
    edge_quarantine_ask_trial (router, parts[i]);
  if (count > 0)
    report (router, history->control, history->now_ms);
  for (uint32_t i = 0; i < count; i++)
    has_all = has_all && edge_quarantine_has_trial (router, parts[i]);
  for (uint32_t i = 0; has_all && i < count; i++)
    edge_quarantine_take_trial (router, parts[i]);
  return has_all;
}

/* Sends a request unless its router rejects it.  Returns whether it was
   sent. */
static bool
send_request (struct history *history, uint32_t account, uint64_t first,
              uint64_t second)
{
  uint32_t router = (uint32_t)base_random_below (&history->random, ROUTERS);
  struct open_request request
      = { .router = router,
          .target = choose_target (history),
          .account = account,
          .placement = prompt (first, second),
          .begins_ms
          = history->now_ms + 30 + base_random_below (&history->random, 300) };
  request.ends_ms
      = request.begins_ms + 50 + base_random_below (&history->random, 2500);
  if (!may_send (history, &request))
    return false;
  if (request.target < TARGETS && history->open_count < OPEN_MAX)
    history->open[history->open_count++] = request;
  return true;
}

static void
send_sound (struct history *history)
{
  struct base_random *random = &history->random;
  uint32_t account = (uint32_t)base_random_below (random, ACCOUNTS);
  uint64_t part
      = base_random_below (random, 100) < COMMON_PERCENT
            ? 10000 + 1000 * account + base_random_below (random, COMMON_PARTS)
            : 100000 + 1000 * account + base_random_below (random, RARE_PARTS);
  history->sound++;
  history->rejected += !send_request (history, account, 1 + account % 3, part);
}

static void
send_culprit (struct history *history, uint32_t culprit)
{
  bool is_late = history->fifth_ms[culprit] > 0
                 && history->now_ms > history->fifth_ms[culprit] + LEARN_MS;
  uint32_t account = (culprit + history->sent++) % history->turns;
  uint32_t open_before = history->open_count;
  send_request (history, account, 1 + account % 3, culprit_part (culprit));
  history->strays[culprit] += is_late && history->open_count > open_before;
}

/* Returns the culprit among the request's parts, or CULPRITS. */
static uint32_t
find_culprit (const struct open_request *request)
{
  for (uint32_t i = 0; i < CULPRITS; i++)
    if (request->placement.parts[1].id == culprit_part (i))
      return i;
  return CULPRITS;
}

static void
run_requests (struct history *history)
{
  for (uint32_t i = 0; i < history->open_count; i++)
    {
      struct open_request *request = &history->open[i];
      uint32_t culprit = find_culprit (request);
      uint64_t crash_ms
          = history->moment_ms == BEFORE_HEAD
                ? request->begins_ms - 20
                : request->begins_ms + (uint64_t)history->moment_ms;
      if (culprit < CULPRITS && history->now_ms >= crash_ms)
        {
          if (++history->crashes[culprit] == CRASHES_MAX)
            history->fifth_ms[culprit] = history->now_ms;
          end_target (history, request->target);
          i = 0;
        }
      else if (culprit == CULPRITS && history->now_ms >= request->ends_ms)
        {
          edge_quarantine_note_sound (history->routers[request->router],
                                      &request->placement);
          edge_quarantine_note_served (history->routers[request->router],
                                       &request->placement, history->now_ms);
          *request = history->open[--history->open_count];
        }
    }
}

static void
run_probes (struct history *history)
{
  for (guint i = history->probes->len; i-- > 0;)
    {
      const struct probe *probe
          = &g_array_index (history->probes, struct probe, i);
      if (history->now_ms < probe->due_ms)
        continue;
      if (probe->has_ended)
        edge_quarantine_confirm (history->routers[probe->router],
                                 probe->target);
      else
        edge_quarantine_dismiss (history->routers[probe->router],
                                 probe->target);
      g_array_remove_index (history->probes, i);
    }
}

/* Crashes of other causes: of single targets, of a whole zone, and connections
   that are closed while their targets run. */
static void
run_faults (struct history *history)
{
  uint64_t drawn = base_random_below (&history->random, 3000);
  if (drawn < 15)
    end_target (history,
                (uint32_t)base_random_below (&history->random, TARGETS));
  else if (drawn < 17)
    {
      uint32_t zone = (uint32_t)base_random_below (&history->random, ZONES);
      for (uint32_t i = zone; i < TARGETS; i += ZONES)
        end_target (history, i);
    }
  else if (drawn < 60 && history->open_count > 0)
    lose (history,
          (uint32_t)base_random_below (&history->random, history->open_count),
          false);
}

static void
run_history (struct history *history, uint64_t seed, uint32_t turns,
             int moment_ms, uint32_t culprits)
{
  memset (history, 0, sizeof *history);
  history->turns = turns;
  history->moment_ms = moment_ms;
  base_random_seed (&history->random, seed);
  history->now_ms = 1000000;
  history->control = control_quarantine_create ();
  history->probes = g_array_new (FALSE, FALSE, sizeof (struct probe));
  for (uint32_t i = 0; i < ROUTERS; i++)
    history->routers[i] = edge_quarantine_create ();
  for (uint32_t i = 0; i < TARGETS; i++)
    start_target (history, i, 0);
  for (uint32_t step = 0; step < HISTORY_MS / STEP_MS; step++)
    {
      history->now_ms += STEP_MS;
      run_faults (history);
      if (base_random_below (&history->random, 100) < 75)
        send_sound (history);
      for (uint32_t i = 0; i < culprits; i++)
        if (step > 500 && base_random_below (&history->random, 100) < 2)
          send_culprit (history, i);
      run_requests (history);
      run_probes (history);
      for (uint32_t i = 0; i < ROUTERS; i++)
        {
          if (step % 3 == i % 3)
            report (history->routers[i], history->control, history->now_ms);
          if (step % 10 == i)
            learn (history->routers[i], history->control, history->now_ms);
        }
    }
  for (uint32_t i = 0; i < ROUTERS; i++)
    edge_quarantine_destroy (history->routers[i]);
  g_array_unref (history->probes);
  control_quarantine_destroy (history->control);
}

/* Culprits of a series of histories. */
struct series
{
  const char *name;
  uint32_t culprits;
  uint32_t turns;
  int moment_ms;
  uint64_t first_seed;
};

/* From four seconds after the fifth crash at most three of a culprit's
   requests reach targets, and at most one in 1,000 sound requests is
   rejected. */
static void
check_series (gconstpointer data)
{
  static struct history history;
  const struct series *series = data;
  uint32_t sound = 0;
  uint32_t rejected = 0;
  uint32_t worst_rejected = 0;
  uint32_t worst_strays = 0;
  uint32_t crashes = 0;
  for (uint64_t i = 0; i < SEEDS; i++)
    {
      run_history (&history, series->first_seed + i, series->turns,
                   series->moment_ms, series->culprits);
      sound += history.sound;
      rejected += history.rejected;
      worst_rejected = MAX (worst_rejected, history.rejected);
      for (uint32_t k = 0; k < CULPRITS; k++)
        {
          worst_strays = MAX (worst_strays, history.strays[k]);
          crashes += history.crashes[k];
        }
    }
  g_test_message ("%s: %u crashes, at most %u strays, %u of %u sound requests "
                  "rejected, at most %u in a history",
                  series->name, crashes, worst_strays, rejected, sound,
                  worst_rejected);
  g_assert_cmpuint (worst_strays, <=, STRAYS_MAX);
  g_assert_cmpuint (rejected, <=, sound / 1000);
}

int
main (int argc, char **argv)
{
  static const struct series all[] = {
    { "before-head-one-account", 1, 1, BEFORE_HEAD, 1 },
    { "before-head-ten-accounts", 1, 10, BEFORE_HEAD, 101 },
    { "before-head-two-parts", 2, 10, BEFORE_HEAD, 201 },
    { "after-events-one-account", 1, 1, 200, 301 },
    { "after-events-two-parts", 2, 10, 200, 501 },
    { "after-a-second-two-parts", 2, 2, 1000, 601 },
    { "just-begun-two-parts", 2, 4, 30, 401 },
    { "other-causes", 0, 1, 0, 1001 },
  };
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  base_log_set_level (BASE_LOG_ERROR);
  for (uint32_t i = 0; i < G_N_ELEMENTS (all); i++)
    {
      char *path
          = g_strdup_printf ("/edge-crashing-any-moment/%s", all[i].name);
      g_test_add_data_func (path, &all[i], check_series);
      g_free (path);
    }
  return g_test_run ();
}
