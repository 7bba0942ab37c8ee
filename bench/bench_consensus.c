/** @file
 *  Measures three cactus-control processes on loopback: commits per second,
 *  time without a leader, bytes per change of the bundle, and cost of idle
 *  members and of watching processes; and snapshots of a large state.  --json
 *  prints each result as a JSON line, --quick shortens the runs. */

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
#define TIMEOUT_MS 20000

static bool quick;

/* Prints the reason and ends the program. */
static void
fail (const char *reason)
{
  fprintf (stderr, "bench_consensus: %s\n", reason);
  exit (1);
}

/* Returns the CPU time that a process has used, in microseconds. */
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

/* Returns the resident memory of a process, in kilobytes. */
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

/* Threads that top up budgets, each one top-up at a time. */
struct committers
{
  uint16_t port;
  uint32_t callers;
  atomic_bool stopping;
  atomic_uint_least64_t commits;
  atomic_uint next_caller_number;
};

/* Sends one top-up to the leader; returns whether it was committed. */
static bool
commit_top_up (struct wire_client *client, struct control_top_up_args *args)
{
  struct control_top_up_result result;
  enum wire_status status = wire_client_call (
      client, CONTROL_TOP_UP, (xdrproc_t)xdr_control_top_up_args, args,
      (xdrproc_t)xdr_control_top_up_result, &result, sizeof result, 5000);
  bool committed = status == WIRE_OK && result.answer.status == CONTROL_OK;
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  return committed;
}

static gpointer
run_committer (gpointer data)
{
  struct committers *committers = data;
  char cluster[] = CONTROL_RIG_CLUSTER;
  char operator_name[] = "root";
  char budget[] = "default";
  char id[64];
  char account[32];
  unsigned caller_number
      = atomic_fetch_add (&committers->next_caller_number, 1);
  struct wire_client *client = wire_client_create (
      "127.0.0.1", committers->port, CONTROL_PROGRAM, CONTROL_VERSION);
  struct control_top_up_args args = { .cluster = cluster,
                                      .top_up_id = id,
                                      .operator_name = operator_name,
                                      .account = account,
                                      .budget = budget,
                                      .tokens = 1 };
  g_snprintf (account, sizeof account, "account-%u", caller_number);
  for (uint64_t i = 0; !atomic_load (&committers->stopping); i++)
    {
      g_snprintf (id, sizeof id, "bench-%u-%u-%" PRIu64, committers->callers,
                  caller_number, i);
      if (commit_top_up (client, &args))
        atomic_fetch_add (&committers->commits, 1);
    }
  wire_client_destroy (client);
  return NULL;
}

static void
bench_commits (struct control_rig *rig, uint32_t callers)
{
  char name[64];
  char sizes[64];
  GThread *threads[64];
  int leader = control_rig_leader (rig, TIMEOUT_MS);
  struct committers committers
      = { .port = rig->ports[leader], .callers = callers };
  uint32_t duration_ms = quick ? 500 : 3000;
  for (uint32_t i = 0; i < callers; i++)
    threads[i] = g_thread_new ("commit", run_committer, &committers);
  uint64_t start_us = bench_slope_now_us ();
  g_usleep (1000UL * duration_ms);
  uint64_t commits = atomic_load (&committers.commits);
  double seconds = (double)(bench_slope_now_us () - start_us) / 1e6;
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

/* Measures the time from killing the leader to the next commit. */
static void
bench_failover (struct control_rig *rig)
{
  double times_ms[16] = { 0 };
  uint32_t runs = quick ? 3 : 12;
  for (uint32_t run = 0; run < runs; run++)
    {
      char id[32];
      int leader = control_rig_leader (rig, TIMEOUT_MS);
      if (leader < 0)
        fail ("no member became the leader within 20 s");
      uint64_t start_us = bench_slope_now_us ();
      fleet_process_kill (rig->members[leader]);
      g_snprintf (id, sizeof id, "failover-%u", run);
      if (control_rig_top_up (rig, id, "failover", 1) == 0)
        fail ("no top-up was committed after the leader was killed");
      times_ms[run] = (double)(bench_slope_now_us () - start_us) / 1e3;
      if (!control_rig_start (rig, (uint32_t)leader)
          || !control_rig_wait_voter (rig, (uint32_t)leader, TIMEOUT_MS))
        fail ("the killed member did not restart and become a voter in 20 s");
    }
  qsort (times_ms, runs, sizeof *times_ms, compare_doubles);
  bench_slope_print ("control_failover_median", "ms", times_ms[runs / 2],
                     "kill of the leader to the next commit, 3 members");
  bench_slope_print ("control_failover_max", "ms", times_ms[runs - 1],
                     "kill of the leader to the next commit, 3 members");
}

/* A client that stands for a process which only sends heartbeats
   (CONTROL_SYNC). */
struct watcher
{
  struct wire_client *client;
  struct control_sync_args args;
  uint64_t received_bytes;
  uint64_t sent_bytes;
};

static void
init_watcher (struct watcher *watcher, struct control_rig *rig, int leader,
              uint32_t number)
{
  struct wire_process *process = &watcher->args.process;
  memset (watcher, 0, sizeof *watcher);
  watcher->client = wire_client_create ("127.0.0.1", rig->ports[leader],
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

/* Makes one CONTROL_SYNC call.  Returns whether the document is being sent
   whole and has further pieces. */
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
      u_int next_offset
          = result.document_offset + result.document.document_len;
      more = result.full && next_offset < result.document_bytes;
      watcher->args.piece_version = result.new_version;
      watcher->args.piece_offset = next_offset;
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
    fail ("a CONTROL_SYNC call failed");
  xdr_free ((xdrproc_t)xdr_control_sync_result, (char *)&result);
  return more;
}

static void
sync_watcher (struct watcher *watcher)
{
  while (sync_piece (watcher))
    continue;
}

/* Measures the bytes of a whole bundle, of a heartbeat without changes and of
   the change of one account. */
static void
bench_bytes (struct control_rig *rig)
{
  struct watcher watcher;
  int leader = control_rig_leader (rig, TIMEOUT_MS);
  uint64_t version = control_rig_bundle_version (rig);
  init_watcher (&watcher, rig, leader, 0);
  sync_watcher (&watcher);
  bench_slope_print ("control_whole_bundle", "bytes",
                     (double)watcher.received_bytes, "6800 accounts");
  sync_watcher (&watcher);
  watcher.received_bytes = watcher.sent_bytes = 0;
  sync_watcher (&watcher);
  bench_slope_print ("control_heartbeat", "bytes",
                     (double)(watcher.received_bytes + watcher.sent_bytes),
                     "request and response without changes, XDR");
  if (control_rig_push (rig, version + 1, ACCOUNTS, 77) != CONTROL_OK)
    fail ("control did not accept the changed bundle");
  watcher.received_bytes = 0;
  sync_watcher (&watcher);
  bench_slope_print ("control_change", "bytes", (double)watcher.received_bytes,
                     "one account of 6800 changed, response, XDR");
  clear_watcher (&watcher);
}

/* Measures CPU time and memory of the leader with @p count watchers that send
   two heartbeats per second each. */
static void
bench_watchers (struct control_rig *rig, uint32_t count)
{
  char name[64];
  char sizes[64];
  int leader = control_rig_leader (rig, TIMEOUT_MS);
  pid_t id = fleet_process_id (rig->members[leader]);
  struct watcher *watchers = g_new0 (struct watcher, count + 1);
  uint32_t rounds = quick ? 4 : 12;
  for (uint32_t i = 0; i < count; i++)
    {
      init_watcher (&watchers[i], rig, leader, i);
      sync_watcher (&watchers[i]);
    }
  for (uint32_t i = 0; i < count; i++)
    sync_watcher (&watchers[i]);
  double cpu_us = process_cpu_us (id);
  uint64_t start_us = bench_slope_now_us ();
  for (uint32_t round = 1; round <= rounds; round++)
    {
      for (uint32_t i = 0; i < count; i++)
        sync_watcher (&watchers[i]);
      uint64_t due_us = start_us + 500000UL * round;
      if (bench_slope_now_us () < due_us)
        g_usleep (due_us - bench_slope_now_us ());
    }
  double seconds = (double)(bench_slope_now_us () - start_us) / 1e6;
  cpu_us = process_cpu_us (id) - cpu_us;
  g_snprintf (sizes, sizeof sizes, "%u watchers, 2 heartbeats/s each", count);
  g_snprintf (name, sizeof name, "control_leader_cpu_%u_watchers", count);
  bench_slope_print (name, "% of a core", cpu_us / seconds / 1e4, sizes);
  g_snprintf (name, sizeof name, "control_leader_rss_%u_watchers", count);
  bench_slope_print (name, "KB", process_rss_kb (id), sizes);
  for (uint32_t i = 0; i < count; i++)
    clear_watcher (&watchers[i]);
  g_free (watchers);
}

/* Measures the time to make, sign and push a bundle of 6,800 accounts until
   control accepts it. */
static void
bench_push (struct control_rig *rig)
{
  uint64_t version = control_rig_bundle_version (rig);
  uint32_t pushes = quick ? 3 : 20;
  uint64_t start_us = bench_slope_now_us ();
  for (uint32_t i = 0; i < pushes; i++)
    if (control_rig_push (rig, ++version, ACCOUNTS, i) != CONTROL_OK)
      fail ("control did not accept a further bundle version");
  bench_slope_print ("control_push", "ms",
                     (double)(bench_slope_now_us () - start_us) / 1e3 / pushes,
                     "6800 accounts, made, signed, accepted");
}

/* Measures CPU time and memory of members that receive no requests. */
static void
bench_idle (struct control_rig *rig)
{
  int leader = control_rig_leader (rig, TIMEOUT_MS);
  uint32_t follower = ((uint32_t)leader + 1) % rig->count;
  pid_t leader_id = fleet_process_id (rig->members[leader]);
  pid_t follower_id = fleet_process_id (rig->members[follower]);
  double leader_cpu_us = process_cpu_us (leader_id);
  double follower_cpu_us = process_cpu_us (follower_id);
  uint32_t seconds = quick ? 1 : 5;
  g_usleep (1000000UL * seconds);
  leader_cpu_us = process_cpu_us (leader_id) - leader_cpu_us;
  follower_cpu_us = process_cpu_us (follower_id) - follower_cpu_us;
  bench_slope_print ("control_idle_leader_cpu", "% of a core",
                     leader_cpu_us / seconds / 1e4, "3 members");
  bench_slope_print ("control_idle_follower_cpu", "% of a core",
                     follower_cpu_us / seconds / 1e4, "3 members");
  bench_slope_print ("control_idle_follower_rss", "KB",
                     process_rss_kb (follower_id), "3 members");
}

/* Measures snapshots of a state with many budgets: their size, and the time to
   save and load one, during which the member's event loop is blocked. */
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
  double rss_kb = process_rss_kb (getpid ());
  for (uint32_t i = 0; i < budgets; i++)
    {
      struct control_outcome outcome;
      g_snprintf (id, sizeof id, "budget-%06u", i);
      control_state_apply (state, &command, &outcome);
      control_outcome_clear (&outcome);
    }
  rss_kb = process_rss_kb (getpid ()) - rss_kb;
  uint64_t start_us = bench_slope_now_us ();
  char *data = control_state_save (state, &bytes);
  uint64_t saved_us = bench_slope_now_us ();
  struct control_state *copy = control_state_create ();
  if (control_state_load (copy, data, bytes) != 0)
    fail ("the saved state could not be loaded");
  uint64_t loaded_us = bench_slope_now_us ();
  g_snprintf (sizes, sizeof sizes, "%u budgets, one top-up each", budgets);
  bench_slope_print ("control_budget_rss", "bytes/budget",
                     rss_kb * 1024 / budgets, sizes);
  bench_slope_print ("control_snapshot_budget", "bytes/budget",
                     (double)bytes / budgets, sizes);
  bench_slope_print ("control_snapshot_save", "ms",
                     (double)(saved_us - start_us) / 1e3, sizes);
  bench_slope_print ("control_snapshot_load", "ms",
                     (double)(loaded_us - saved_us) / 1e3, sizes);
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
  struct control_rig *rig = control_rig_create (3);
  if (!rig)
    fail ("the control members did not start or elected no leader");
  bench_idle (rig);
  for (size_t i = 0; i < G_N_ELEMENTS (callers); i++)
    bench_commits (rig, callers[i]);
  bench_failover (rig);
  if (control_rig_push (rig, 1, ACCOUNTS, 0) != CONTROL_OK)
    fail ("control did not accept bundle version 1");
  bench_push (rig);
  bench_bytes (rig);
  for (size_t i = 0; i < G_N_ELEMENTS (watchers); i++)
    bench_watchers (rig, watchers[i]);
  control_rig_destroy (rig);
  return 0;
}
