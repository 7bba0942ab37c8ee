/** @file
 *  Slopes of control: commits, time without a leader, bytes a change, cost of
 *  idle members and of watchers.  Three cactus-control processes on loopback;
 *  --json prints one JSON line a slope, --quick shortens the runs. */

#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "control_state.h"
#include "control_rig.h"
#include "wire_client.h"
#include "bench_slope.h"

#define ACCOUNTS 6800
#define LIMIT_MS 20000

static bool quick;

static void
fail (const char *what)
{
  fprintf (stderr, "bench_consensus: %s\n", what);
  exit (1);
}

/* Processor time of a process so far, in microseconds. */
static double
process_cpu_us (pid_t id)
{
  unsigned long user = 0;
  unsigned long system = 0;
  char *text = NULL;
  char *path = g_strdup_printf ("/proc/%d/stat", (int)id);
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      char **fields = g_strsplit (strrchr (text, ')') + 2, " ", -1);
      user = strtoul (fields[11], NULL, 10);
      system = strtoul (fields[12], NULL, 10);
      g_strfreev (fields);
    }
  g_free (text);
  g_free (path);
  return (double)(user + system) * 1e6 / (double)sysconf (_SC_CLK_TCK);
}

/* Resident memory of a process, in kilobytes. */
static double
process_rss_kb (pid_t id)
{
  char *text = NULL;
  double kilobytes = 0;
  char *path = g_strdup_printf ("/proc/%d/status", (int)id);
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      const char *line = strstr (text, "VmRSS:");
      kilobytes = line ? strtod (line + 6, NULL) : 0;
    }
  g_free (text);
  g_free (path);
  return kilobytes;
}

/* Callers that commit top-ups, one after another each. */
struct committers
{
  uint16_t port;
  uint32_t callers;
  atomic_bool stopping;
  atomic_uint_least64_t commits;
  atomic_uint next;
};

/* One top-up on the caller's own connection to the leader. */
static bool
commit_one (struct wire_client *client, struct control_top_up_args *args)
{
  struct control_top_up_result result;
  enum wire_status status = wire_client_call (
      client, CONTROL_TOP_UP, (xdrproc_t)xdr_control_top_up_args, args,
      (xdrproc_t)xdr_control_top_up_result, &result, sizeof result, 5000);
  bool good = status == WIRE_OK && result.answer.status == CONTROL_OK;
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  return good;
}

static gpointer
commit_many (gpointer data)
{
  struct committers *committers = data;
  char cluster[] = CONTROL_RIG_CLUSTER;
  char operator_name[] = "root";
  char budget[] = "default";
  char id[64];
  char account[32];
  unsigned number = atomic_fetch_add (&committers->next, 1);
  struct wire_client *client = wire_client_create (
      "127.0.0.1", committers->port, CONTROL_PROGRAM, CONTROL_VERSION);
  struct control_top_up_args args = { .cluster = cluster,
                                      .top_up_id = id,
                                      .operator_name = operator_name,
                                      .account = account,
                                      .budget = budget,
                                      .tokens = 1 };
  g_snprintf (account, sizeof account, "account-%u", number);
  for (uint64_t i = 0; !atomic_load (&committers->stopping); i++)
    {
      g_snprintf (id, sizeof id, "bench-%u-%u-%" PRIu64, committers->callers,
                  number, i);
      if (commit_one (client, &args))
        atomic_fetch_add (&committers->commits, 1);
    }
  wire_client_destroy (client);
  return NULL;
}

static void
bench_commits (struct control_rig *trial, uint32_t callers)
{
  char name[64];
  char sizes[64];
  GThread *threads[64];
  int leader = control_rig_leader (trial, LIMIT_MS);
  struct committers committers
      = { .port = trial->ports[leader], .callers = callers };
  uint32_t duration_ms = quick ? 500 : 3000;
  for (uint32_t i = 0; i < callers; i++)
    threads[i] = g_thread_new ("commit", commit_many, &committers);
  uint64_t start = bench_slope_now_us ();
  g_usleep (1000UL * duration_ms);
  uint64_t commits = atomic_load (&committers.commits);
  double seconds = (double)(bench_slope_now_us () - start) / 1e6;
  atomic_store (&committers.stopping, true);
  for (uint32_t i = 0; i < callers; i++)
    g_thread_join (threads[i]);
  g_snprintf (name, sizeof name, "control_commits_%u_callers", callers);
  g_snprintf (sizes, sizeof sizes, "3 members, %u callers, synced", callers);
  bench_slope_print (name, "commits/s", (double)commits / seconds, sizes);
}

static int
compare_doubles (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;
  return (a > b) - (a < b);
}

/* Time from killing the leader to the next commit. */
static void
bench_failover (struct control_rig *trial)
{
  double times_ms[16] = { 0 };
  uint32_t runs = quick ? 3 : 12;
  for (uint32_t run = 0; run < runs; run++)
    {
      char id[32];
      int leader = control_rig_leader (trial, LIMIT_MS);
      if (leader < 0)
        fail ("no leader");
      uint64_t start = bench_slope_now_us ();
      fleet_process_kill (trial->members[leader]);
      g_snprintf (id, sizeof id, "failover-%u", run);
      if (control_rig_top_up (trial, id, "failover", 1) == 0)
        fail ("no commit after the leader was killed");
      times_ms[run] = (double)(bench_slope_now_us () - start) / 1e3;
      if (!control_rig_start (trial, (uint32_t)leader)
          || !control_rig_wait_voter (trial, (uint32_t)leader, LIMIT_MS))
        fail ("a member did not come back");
    }
  qsort (times_ms, runs, sizeof *times_ms, compare_doubles);
  bench_slope_print ("control_failover_median", "ms", times_ms[runs / 2],
                     "kill of the leader to the next commit, 3 members");
  bench_slope_print ("control_failover_max", "ms", times_ms[runs - 1],
                     "kill of the leader to the next commit, 3 members");
}

/* One process that only renews its session. */
struct watcher
{
  struct wire_client *client;
  struct control_sync_args args;
  uint64_t received_bytes;
  uint64_t sent_bytes;
};

static void
init_watcher (struct watcher *watcher, struct control_rig *trial, int leader,
              uint32_t number)
{
  struct wire_process *process = &watcher->args.process;
  memset (watcher, 0, sizeof *watcher);
  watcher->client = wire_client_create ("127.0.0.1", trial->ports[leader],
                                        CONTROL_PROGRAM, CONTROL_VERSION);
  watcher->args.cluster = strdup (CONTROL_RIG_CLUSTER);
  process->kind = WIRE_PROCESS_ROUTER;
  process->host = g_strdup_printf ("router-%04u", number);
  process->availability_zone = strdup ("santander");
  process->region = strdup ("cantabrico");
  process->address = strdup ("127.0.0.1");
  process->rpc_port = 1000 + number;
  process->http_port = 2000 + number;
  process->incarnation = number + 1;
}

static void
clear_watcher (struct watcher *watcher)
{
  wire_client_destroy (watcher->client);
  xdr_free ((xdrproc_t)xdr_control_sync_args, (char *)&watcher->args);
}

/* One call; whether another piece of a whole document is to be asked for. */
static bool
sync_piece (struct watcher *watcher)
{
  bool more = false;
  struct control_sync_result result;
  enum wire_status status = wire_client_call (
      watcher->client, CONTROL_SYNC, (xdrproc_t)xdr_control_sync_args,
      &watcher->args, (xdrproc_t)xdr_control_sync_result, &result,
      sizeof result, 5000);
  if (status == WIRE_OK && result.answer.status == CONTROL_OK)
    {
      u_int taken = result.document_offset + result.document.document_len;
      more = result.full && taken < result.document_bytes;
      watcher->args.piece_version = result.new_version;
      watcher->args.piece_offset = taken;
      if (!more)
        watcher->args.process.bundle_version = result.new_version;
      watcher->args.peers_digest = result.peers_digest;
      watcher->args.drained_digest = result.drained_digest;
      watcher->received_bytes
          += xdr_sizeof ((xdrproc_t)xdr_control_sync_result, &result);
      watcher->sent_bytes
          += xdr_sizeof ((xdrproc_t)xdr_control_sync_args, &watcher->args);
    }
  else
    fail ("a watcher's sync was not answered");
  xdr_free ((xdrproc_t)xdr_control_sync_result, (char *)&result);
  return more;
}

static void
sync_watcher (struct watcher *watcher)
{
  while (sync_piece (watcher))
    continue;
}

/* Bytes of a heartbeat without news, of one change, and of the whole. */
static void
bench_bytes (struct control_rig *trial)
{
  struct watcher watcher;
  int leader = control_rig_leader (trial, LIMIT_MS);
  uint64_t version = control_rig_bundle_version (trial);
  init_watcher (&watcher, trial, leader, 0);
  sync_watcher (&watcher);
  bench_slope_print ("control_whole_bundle", "bytes",
                     (double)watcher.received_bytes, "6800 accounts");
  sync_watcher (&watcher);
  watcher.received_bytes = watcher.sent_bytes = 0;
  sync_watcher (&watcher);
  bench_slope_print ("control_heartbeat", "bytes",
                     (double)(watcher.received_bytes + watcher.sent_bytes),
                     "call and answer without news, XDR");
  if (control_rig_push (trial, version + 1, ACCOUNTS, 77) != CONTROL_OK)
    fail ("a push was not accepted");
  watcher.received_bytes = 0;
  sync_watcher (&watcher);
  bench_slope_print ("control_change", "bytes", (double)watcher.received_bytes,
                     "one account of 6800 changed, answer, XDR");
  clear_watcher (&watcher);
}

/* Cost at the leader of @p count watchers at two heartbeats a second. */
static void
bench_watchers (struct control_rig *trial, uint32_t count)
{
  char name[64];
  char sizes[64];
  int leader = control_rig_leader (trial, LIMIT_MS);
  pid_t id = fleet_process_id (trial->members[leader]);
  struct watcher *watchers = g_new0 (struct watcher, count + 1);
  uint32_t rounds = quick ? 4 : 12;
  for (uint32_t i = 0; i < count; i++)
    {
      init_watcher (&watchers[i], trial, leader, i);
      sync_watcher (&watchers[i]);
    }
  for (uint32_t i = 0; i < count; i++)
    sync_watcher (&watchers[i]);
  double cpu = process_cpu_us (id);
  uint64_t start = bench_slope_now_us ();
  for (uint32_t round = 1; round <= rounds; round++)
    {
      for (uint32_t i = 0; i < count; i++)
        sync_watcher (&watchers[i]);
      uint64_t due = start + 500000UL * round;
      if (bench_slope_now_us () < due)
        g_usleep (due - bench_slope_now_us ());
    }
  double seconds = (double)(bench_slope_now_us () - start) / 1e6;
  cpu = process_cpu_us (id) - cpu;
  g_snprintf (sizes, sizeof sizes, "%u watchers, 2 heartbeats/s each", count);
  g_snprintf (name, sizeof name, "control_leader_cpu_%u_watchers", count);
  bench_slope_print (name, "% of a core", cpu / seconds / 1e4, sizes);
  g_snprintf (name, sizeof name, "control_leader_rss_%u_watchers", count);
  bench_slope_print (name, "KB", process_rss_kb (id), sizes);
  for (uint32_t i = 0; i < count; i++)
    clear_watcher (&watchers[i]);
  g_free (watchers);
}

/* Time of a push of 6,800 accounts until it is accepted. */
static void
bench_push (struct control_rig *trial)
{
  uint64_t version = control_rig_bundle_version (trial);
  uint32_t pushes = quick ? 3 : 20;
  uint64_t start = bench_slope_now_us ();
  for (uint32_t i = 0; i < pushes; i++)
    if (control_rig_push (trial, ++version, ACCOUNTS, i) != CONTROL_OK)
      fail ("a later push was not accepted");
  bench_slope_print ("control_push", "ms",
                     (double)(bench_slope_now_us () - start) / 1e3 / pushes,
                     "6800 accounts, made, signed, accepted");
}

static void
bench_idle (struct control_rig *trial)
{
  int leader = control_rig_leader (trial, LIMIT_MS);
  uint32_t follower = ((uint32_t)leader + 1) % trial->count;
  pid_t leader_id = fleet_process_id (trial->members[leader]);
  pid_t follower_id = fleet_process_id (trial->members[follower]);
  double leader_cpu = process_cpu_us (leader_id);
  double follower_cpu = process_cpu_us (follower_id);
  uint32_t seconds = quick ? 1 : 5;
  g_usleep (1000000UL * seconds);
  leader_cpu = process_cpu_us (leader_id) - leader_cpu;
  follower_cpu = process_cpu_us (follower_id) - follower_cpu;
  bench_slope_print ("control_idle_leader_cpu", "% of a core",
                     leader_cpu / seconds / 1e4, "3 members");
  bench_slope_print ("control_idle_follower_cpu", "% of a core",
                     follower_cpu / seconds / 1e4, "3 members");
  bench_slope_print ("control_idle_follower_rss", "KB",
                     process_rss_kb (follower_id), "3 members");
}

/* Snapshot of the state with many budgets: size, and time that the member's
   loop stands still for it. */
static void
bench_state (void)
{
  char sizes[64];
  char id[32];
  char name[] = "x";
  uint32_t budgets = quick ? 28000 : 280000;
  uint32_t bytes = 0;
  struct control_state *state = control_state_create ();
  struct control_command command = { .body.kind = CONTROL_COMMAND_TOP_UP };
  struct control_top_up_args *args
      = &command.body.control_command_body_u.top_up;
  args->cluster = args->operator_name = args->account = name;
  args->top_up_id = args->budget = id;
  args->tokens = 1000000;
  double rss = process_rss_kb (getpid ());
  for (uint32_t i = 0; i < budgets; i++)
    {
      struct control_outcome outcome;
      g_snprintf (id, sizeof id, "budget-%06u", i);
      control_state_apply (state, &command, &outcome);
      control_outcome_clear (&outcome);
    }
  rss = process_rss_kb (getpid ()) - rss;
  uint64_t start = bench_slope_now_us ();
  char *data = control_state_save (state, &bytes);
  uint64_t saved = bench_slope_now_us ();
  struct control_state *copy = control_state_create ();
  if (control_state_load (copy, data, bytes) != 0)
    fail ("the state was not read back");
  uint64_t loaded = bench_slope_now_us ();
  g_snprintf (sizes, sizeof sizes, "%u budgets, one top-up each", budgets);
  bench_slope_print ("control_budget_rss", "bytes/budget",
                     rss * 1024 / budgets, sizes);
  bench_slope_print ("control_snapshot_budget", "bytes/budget",
                     (double)bytes / budgets, sizes);
  bench_slope_print ("control_snapshot_save", "ms",
                     (double)(saved - start) / 1e3, sizes);
  bench_slope_print ("control_snapshot_load", "ms",
                     (double)(loaded - saved) / 1e3, sizes);
  control_state_destroy (copy);
  control_state_destroy (state);
  g_free (data);
}

int
main (int argc, char **argv)
{
  static const uint32_t callers[] = { 1, 8, 64 };
  static const uint32_t watchers[] = { 20, 100, 380 };
  bench_slope_init (argc, argv);
  for (int i = 1; i < argc; i++)
    {
      quick = quick || strcmp (argv[i], "--quick") == 0;
    }
  bench_state ();
  struct control_rig *trial = control_rig_create (3);
  if (!trial)
    fail ("the members did not start");
  bench_idle (trial);
  for (size_t i = 0; i < G_N_ELEMENTS (callers); i++)
    bench_commits (trial, callers[i]);
  bench_failover (trial);
  if (control_rig_push (trial, 1, ACCOUNTS, 0) != CONTROL_OK)
    fail ("version 1 was not accepted");
  bench_push (trial);
  bench_bytes (trial);
  for (size_t i = 0; i < G_N_ELEMENTS (watchers); i++)
    bench_watchers (trial, watchers[i]);
  control_rig_destroy (trial);
  return 0;
}
