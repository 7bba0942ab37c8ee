#include "trial_scenario.h"

#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "base_clock.h"

/* Longest wait for a started process to become ready. */
#define READY_LIMIT_MS 20000
/* Longest wait for a process to exit after SIGTERM. */
#define TERMINATE_LIMIT_MS 30000
/* Time until the load balancer notices that a router crashed or hangs. */
#define BALANCER_DETECT_MS 500
/* Index of the plain service's target in each zone of krua-khao. */
#define PLAIN_INDEX 3

static const struct trial_event cut_zone_events[] = {
  { .at_ms = 5000, .action = TRIAL_CUT, .zone = 2 },
  { .at_ms = 10000, .action = TRIAL_TOP_UP, .amount = 50000 },
  { .at_ms = 15000, .action = TRIAL_TOP_UP, .amount = 50000 },
  { .at_ms = 25000, .action = TRIAL_HEAL, .zone = 2 },
};

static const struct trial_event scarce_events[] = {
  { .at_ms = 10000, .action = TRIAL_TOP_UP, .amount = 10000 },
  { .at_ms = 20000, .action = TRIAL_TOP_UP, .amount = 10000 },
};

static const struct trial_event router_kill_events[] = {
  { .at_ms = 5000, .action = TRIAL_KILL, .role = TRIAL_ROUTER, .zone = 0 },
  { .at_ms = 10000, .action = TRIAL_START, .role = TRIAL_ROUTER, .zone = 0 },
  { .at_ms = 15000, .action = TRIAL_FREEZE, .role = TRIAL_ROUTER, .zone = 1 },
  { .at_ms = 19000, .action = TRIAL_THAW, .role = TRIAL_ROUTER, .zone = 1 },
};

static const struct trial_event ledger_kill_events[] = {
  { .at_ms = 5000, .action = TRIAL_KILL, .role = TRIAL_LEDGER, .zone = 0 },
  { .at_ms = 8000, .action = TRIAL_START, .role = TRIAL_LEDGER, .zone = 0 },
  { .at_ms = 12000, .action = TRIAL_FREEZE, .role = TRIAL_LEDGER, .zone = 1 },
  { .at_ms = 16000, .action = TRIAL_THAW, .role = TRIAL_LEDGER, .zone = 1 },
};

static const struct trial_event ledger_disk_loss_events[] = {
  { .at_ms = 8000,
    .action = TRIAL_LOSE_DISK,
    .role = TRIAL_LEDGER,
    .zone = 1 },
  { .at_ms = 15000, .action = TRIAL_TOP_UP, .amount = 100000 },
};

static const struct trial_event control_freeze_events[] = {
  { .at_ms = 3000, .action = TRIAL_FREEZE, .role = TRIAL_CONTROL, .zone = 0 },
  { .at_ms = 8000, .action = TRIAL_TOP_UP, .amount = 50000 },
  { .at_ms = 9000, .action = TRIAL_PUSH },
  { .at_ms = 13000, .action = TRIAL_THAW, .role = TRIAL_CONTROL, .zone = 0 },
  { .at_ms = 16000, .action = TRIAL_KILL, .role = TRIAL_CONTROL, .zone = 1 },
  { .at_ms = 19000, .action = TRIAL_START, .role = TRIAL_CONTROL, .zone = 1 },
};

static const struct trial_event control_disk_loss_events[] = {
  { .at_ms = 4000,
    .action = TRIAL_LOSE_DISK,
    .role = TRIAL_CONTROL,
    .zone = 0 },
  { .at_ms = 12000, .action = TRIAL_KILL, .role = TRIAL_CONTROL, .zone = 1 },
  { .at_ms = 14000, .action = TRIAL_TOP_UP, .amount = 50000 },
  { .at_ms = 16000, .action = TRIAL_START, .role = TRIAL_CONTROL, .zone = 1 },
};

static const struct trial_event rolling_restart_events[] = {
  { .at_ms = 2000,
    .action = TRIAL_TERMINATE,
    .role = TRIAL_ROUTER,
    .zone = 0 },
  { .at_ms = 4000, .action = TRIAL_START, .role = TRIAL_ROUTER, .zone = 0 },
  { .at_ms = 6000,
    .action = TRIAL_TERMINATE,
    .role = TRIAL_ROUTER,
    .zone = 1 },
  { .at_ms = 8000, .action = TRIAL_START, .role = TRIAL_ROUTER, .zone = 1 },
  { .at_ms = 10000,
    .action = TRIAL_TERMINATE,
    .role = TRIAL_LEDGER,
    .zone = 0 },
  { .at_ms = 11000, .action = TRIAL_START, .role = TRIAL_LEDGER, .zone = 0 },
  { .at_ms = 13000,
    .action = TRIAL_TERMINATE,
    .role = TRIAL_CONTROL,
    .zone = 0 },
  { .at_ms = 14000, .action = TRIAL_START, .role = TRIAL_CONTROL, .zone = 0 },
};

static const struct trial_event target_leave_events[] = {
  { .at_ms = 4000,
    .action = TRIAL_TERMINATE,
    .role = TRIAL_TARGET,
    .zone = 0 },
  { .at_ms = 8000,
    .action = TRIAL_FREEZE,
    .role = TRIAL_TARGET,
    .zone = 1,
    .index = 1 },
  { .at_ms = 13000,
    .action = TRIAL_THAW,
    .role = TRIAL_TARGET,
    .zone = 1,
    .index = 1 },
};

static const struct trial_event overload_events[] = {
  { .at_ms = 5000, .action = TRIAL_RATE, .amount = 2500 },
  { .at_ms = 20000, .action = TRIAL_RATE, .amount = 60 },
};

/* Short scenarios that the tests play. */
static const struct trial_event check_faults_events[] = {
  { .at_ms = 1000, .action = TRIAL_CUT, .zone = 2 },
  { .at_ms = 2000, .action = TRIAL_KILL, .role = TRIAL_ROUTER, .zone = 0 },
  { .at_ms = 3000, .action = TRIAL_TOP_UP, .amount = 20000 },
  { .at_ms = 4000, .action = TRIAL_START, .role = TRIAL_ROUTER, .zone = 0 },
  { .at_ms = 4500,
    .action = TRIAL_FAULTS,
    .zone = 0,
    .index = PLAIN_INDEX,
    .faults = "{\"drop_answer\":true}" },
  { .at_ms = 5000,
    .action = TRIAL_FAULTS,
    .zone = 1,
    .index = 0,
    .faults = "{\"reset_after_tokens\":10}" },
  { .at_ms = 6000, .action = TRIAL_HEAL, .zone = 2 },
  { .at_ms = 6500,
    .action = TRIAL_FAULTS,
    .zone = 0,
    .index = PLAIN_INDEX,
    .faults = "{}" },
  { .at_ms = 6600, .action = TRIAL_FAULTS, .zone = 1, .faults = "{}" },
  { .at_ms = 7000, .action = TRIAL_KILL, .role = TRIAL_LEDGER, .zone = 1 },
  { .at_ms = 8000, .action = TRIAL_START, .role = TRIAL_LEDGER, .zone = 1 },
  { .at_ms = 9000, .action = TRIAL_FREEZE, .role = TRIAL_CONTROL, .zone = 0 },
  { .at_ms = 10000, .action = TRIAL_PUSH },
  { .at_ms = 12000, .action = TRIAL_THAW, .role = TRIAL_CONTROL, .zone = 0 },
};

static const struct trial_event check_graceful_events[] = {
  { .at_ms = 1000,
    .action = TRIAL_TERMINATE,
    .role = TRIAL_ROUTER,
    .zone = 0 },
  { .at_ms = 2000, .action = TRIAL_START, .role = TRIAL_ROUTER, .zone = 0 },
  { .at_ms = 3000,
    .action = TRIAL_TERMINATE,
    .role = TRIAL_ROUTER,
    .zone = 2 },
  { .at_ms = 4000, .action = TRIAL_START, .role = TRIAL_ROUTER, .zone = 2 },
  { .at_ms = 5000,
    .action = TRIAL_TERMINATE,
    .role = TRIAL_TARGET,
    .zone = 1 },
  { .at_ms = 6000,
    .action = TRIAL_TERMINATE,
    .role = TRIAL_CONTROL,
    .zone = 0 },
  { .at_ms = 8000, .action = TRIAL_START, .role = TRIAL_CONTROL, .zone = 0 },
};

static const struct trial_event check_disk_loss_events[] = {
  { .at_ms = 1000,
    .action = TRIAL_LOSE_DISK,
    .role = TRIAL_LEDGER,
    .zone = 1 },
  { .at_ms = 2000, .action = TRIAL_TOP_UP, .amount = 20000 },
  { .at_ms = 4000,
    .action = TRIAL_LOSE_DISK,
    .role = TRIAL_CONTROL,
    .zone = 0 },
  { .at_ms = 6000, .action = TRIAL_TOP_UP, .amount = 20000 },
  { .at_ms = 8000, .action = TRIAL_KILL, .role = TRIAL_CONTROL, .zone = 1 },
  { .at_ms = 9000, .action = TRIAL_START, .role = TRIAL_CONTROL, .zone = 1 },
};

#define EVENTS(list) list, G_N_ELEMENTS (list)

static const struct trial_scenario scenarios[] = {
  { "steady", "krua-khao", 60, 20000, 10000000, NULL, 0 },
  { "steady-lonja", "lonja", 40, 20000, 10000000, NULL, 0 },
  { "rush", "krua-khao", 150, 20000, 10000000, NULL, 0 },
  { "check-faults", "krua-khao", 40, 14000, 20000,
    EVENTS (check_faults_events) },
  { "check-graceful", "lonja", 40, 10000, 10000000,
    EVENTS (check_graceful_events) },
  { "check-disk-loss", "lonja", 40, 11000, 20000,
    EVENTS (check_disk_loss_events) },
  { "overload", "krua-khao", 60, 25000, 10000000, EVENTS (overload_events) },
  { "scarce", "krua-khao", 60, 30000, 10000, EVENTS (scarce_events) },
  { "cut-zone", "krua-khao", 60, 32000, 100000, EVENTS (cut_zone_events) },
  { "router-kill", "krua-khao", 60, 25000, 10000000,
    EVENTS (router_kill_events) },
  { "ledger-kill", "krua-khao", 60, 22000, 10000000,
    EVENTS (ledger_kill_events) },
  { "ledger-disk-loss", "krua-khao", 60, 22000, 300000,
    EVENTS (ledger_disk_loss_events) },
  { "control-freeze", "krua-khao", 60, 22000, 300000,
    EVENTS (control_freeze_events) },
  { "control-disk-loss", "krua-khao", 60, 20000, 300000,
    EVENTS (control_disk_loss_events) },
  { "rolling-restart", "krua-khao", 60, 18000, 10000000,
    EVENTS (rolling_restart_events) },
  { "target-leave", "krua-khao", 60, 18000, 10000000,
    EVENTS (target_leave_events) },
};

const struct trial_scenario *
trial_scenario_find (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    if (strcmp (scenarios[i].name, name) == 0)
      return &scenarios[i];
  return NULL;
}

void
trial_scenario_list (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    printf ("%s\n", scenarios[i].name);
}

/* Adds the event's router to those that the load balancer sends to, or
   removes it. */
static void
set_in_rotation (struct trial_fleet *fleet, struct load_run *run,
                 const struct trial_event *event, bool in_rotation,
                 uint64_t *mask)
{
  uint32_t position = 0;
  for (uint32_t zone = 0; zone < event->zone; zone++)
    for (uint32_t i = 0; trial_fleet_process (fleet, TRIAL_ROUTER, zone, i);
         i++)
      position++;
  uint64_t bit = UINT64_C (1) << (position + event->index);
  *mask = in_rotation ? *mask | bit : *mask & ~bit;
  load_run_set_routers (run, *mask);
}

static bool
terminate (struct fleet_process *process, struct load_run *run)
{
  uint64_t end_ms
      = base_clock_now_ms (base_clock_system ()) + TERMINATE_LIMIT_MS;
  if (!fleet_process_signal (process, SIGTERM))
    return false;
  while (base_clock_now_ms (base_clock_system ()) < end_ms)
    {
      int status = fleet_process_wait (process, 0);
      if (status >= 0)
        return status == 0;
      load_run_advance (run, 20);
    }
  return false;
}

static bool
restart (struct fleet_process *process, struct load_run *run)
{
  uint64_t end_ms = base_clock_now_ms (base_clock_system ()) + READY_LIMIT_MS;
  if (fleet_process_start (process) != 0)
    return false;
  while (base_clock_now_ms (base_clock_system ()) < end_ms)
    {
      if (fleet_process_wait_ready (process, 1))
        return true;
      load_run_advance (run, 20);
    }
  return false;
}

static bool
apply_process_event (const struct trial_event *event,
                     struct trial_fleet *fleet, struct load_run *run,
                     uint64_t *mask)
{
  struct fleet_process *process
      = trial_fleet_process (fleet, event->role, event->zone, event->index);
  bool router = event->role == TRIAL_ROUTER;
  bool done = false;
  switch (event->action)
    {
    case TRIAL_KILL:
      fleet_process_kill (process);
      load_run_advance (run, BALANCER_DETECT_MS);
      done = true;
      break;
    case TRIAL_FREEZE:
      done = fleet_process_signal (process, SIGSTOP);
      load_run_advance (run, BALANCER_DETECT_MS);
      break;
    case TRIAL_THAW:
      done = fleet_process_signal (process, SIGCONT);
      break;
    case TRIAL_TERMINATE:
      if (router)
        set_in_rotation (fleet, run, event, false, mask);
      done = terminate (process, run);
      break;
    default:
      done = restart (process, run);
      break;
    }
  if (router)
    set_in_rotation (
        fleet, run, event,
        event->action == TRIAL_THAW || event->action == TRIAL_START, mask);
  return done;
}

/* An operator's call, made on its own thread so that the load goes on while
   it is answered. */
struct operator_task
{
  const struct trial_event *event;
  struct trial_fleet *fleet;
  atomic_bool ended;
  bool done;
};

static gpointer
run_operator (gpointer data)
{
  struct operator_task *task = data;
  if (task->event->action == TRIAL_PUSH)
    task->done = trial_fleet_push (task->fleet);
  else
    task->done = trial_fleet_top_up (task->fleet, task->event->amount);
  atomic_store (&task->ended, true);
  return NULL;
}

static bool
apply_operator_event (const struct trial_event *event,
                      struct trial_fleet *fleet, struct load_run *run)
{
  struct operator_task task = { .event = event, .fleet = fleet };
  GThread *thread = g_thread_new ("operator", run_operator, &task);
  while (!atomic_load (&task.ended))
    load_run_advance (run, 20);
  g_thread_join (thread);
  return task.done;
}

static bool
apply_event (const struct trial_event *event, struct trial_fleet *fleet,
             struct load_run *run, uint64_t *mask)
{
  switch (event->action)
    {
    case TRIAL_CUT:
    case TRIAL_HEAL:
      trial_fleet_cut_zone (fleet, event->zone, event->action == TRIAL_CUT);
      return true;
    case TRIAL_LOSE_DISK:
      trial_fleet_lose_disk (fleet, event->role, event->zone);
      return true;
    case TRIAL_TOP_UP:
    case TRIAL_PUSH:
      return apply_operator_event (event, fleet, run);
    case TRIAL_FAULTS:
      return trial_fleet_set_faults (fleet, event->zone, event->index,
                                     event->faults);
    case TRIAL_RATE:
      load_run_set_rate (run, event->amount * 1000);
      return true;
    default:
      return apply_process_event (event, fleet, run, mask);
    }
}

uint32_t
trial_scenario_play (const struct trial_scenario *scenario,
                     struct trial_fleet *fleet, struct load_run *run)
{
  uint32_t failed = 0;
  uint64_t mask = UINT64_MAX;
  uint64_t start_ms = base_clock_now_ms (base_clock_system ());
  load_run_set_rate (run, scenario->rate * 1000);
  for (size_t i = 0; i <= scenario->event_count; i++)
    {
      bool last = i == scenario->event_count;
      uint64_t at_ms
          = last ? scenario->duration_ms : scenario->events[i].at_ms;
      uint64_t now_ms = base_clock_now_ms (base_clock_system ()) - start_ms;
      if (at_ms > now_ms)
        load_run_advance (run, at_ms - now_ms);
      if (last || apply_event (&scenario->events[i], fleet, run, &mask))
        continue;
      fprintf (stderr,
               "event %zu of scenario %s failed; the scenario goes on\n",
               i + 1, scenario->name);
      failed++;
    }
  return failed;
}
