/** @file
 *  cactus-trial: starts a fleet of real processes, plays a scenario of load
 *  and faults, prints a report as one JSON line, and stops the fleet. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <sodium.h>

#include "base_settings.h"
#include "load_report.h"
#include "load_run.h"
#include "trial_scenario.h"

/* Time before the scenario begins, without requests. */
#define WARM_UP_MS 2000
/* Longest wait for open requests after the scenario. */
#define DRAIN_LIMIT_MS 70000
/* Time from the last answer until targets and ledgers are read. */
#define SETTLE_MS 1500

static char *scenario_name;
static char *folder;
static uint64_t seed;
static uint64_t routers;

static const struct base_setting settings[] = {
  { .flag = "scenario",
    .type = BASE_SETTING_STRING,
    .target = &scenario_name,
    .fallback = "steady",
    .help = "Scenario to play; \"list\" prints their names" },
  { .flag = "seed",
    .type = BASE_SETTING_NUMBER,
    .target = &seed,
    .fallback = "1",
    .maximum = UINT64_MAX,
    .help = "Seed of the random source" },
  { .flag = "folder",
    .type = BASE_SETTING_STRING,
    .target = &folder,
    .required = true,
    .help = "New folder for logs and data" },
  { .flag = "routers",
    .type = BASE_SETTING_NUMBER,
    .target = &routers,
    .fallback = "2",
    .minimum = 1,
    .maximum = 16,
    .help = "Routers in each availability zone" },
  { 0 },
};

/* Prints the report; @p counts: failed events, and requests still open. */
static void
print_report (const struct trial_scenario *scenario, struct trial_fleet *fleet,
              const struct load_run *run, const uint32_t counts[2])
{
  const struct load_mix *mix = load_mix_find (scenario->mix);
  struct load_oracle *oracle = load_oracle_create ();
  struct load_budgets budgets
      = { g_new0 (uint64_t, mix->account_count), mix->account_count };
  trial_fleet_collect (fleet, oracle);
  for (uint32_t i = 0; i < mix->account_count; i++)
    budgets.topped_up_tokens[i] = trial_fleet_topped_up (fleet, i);
  json_t *report = load_report_make (mix, load_run_finished_calls (run),
                                     oracle, &budgets);
  json_t *line = json_pack ("{s:s,s:I}", "scenario", scenario->name, "seed",
                            (json_int_t)seed);
  json_object_update (line, report);
  json_object_set_new (line, "failed_events", json_integer (counts[0]));
  json_object_set_new (line, "open_at_end", json_integer (counts[1]));
  char *text = json_dumps (line, JSON_COMPACT);
  printf ("%s\n", text);
  free (text);
  json_decref (report);
  json_decref (line);
  g_free (budgets.topped_up_tokens);
  load_oracle_destroy (oracle);
}

/* Plays the scenario on a new fleet; the exit status. */
static int
run_trial (const struct trial_scenario *scenario)
{
  int status = 1;
  uint32_t counts[2] = { 0 };
  const struct load_mix *mix = load_mix_find (scenario->mix);
  struct load_run *run = NULL;
  struct trial_fleet *fleet
      = trial_fleet_create (mix, folder, (uint32_t)routers);
  if (!trial_fleet_start (fleet)
      || !trial_fleet_top_up (fleet, scenario->top_up_tokens))
    goto done;
  run = load_run_create (mix, seed, trial_fleet_routers (fleet),
                         (uint32_t)routers);
  load_run_advance (run, WARM_UP_MS);
  counts[0] = trial_scenario_play (scenario, fleet, run);
  counts[1] = load_run_drain (run, DRAIN_LIMIT_MS);
  load_run_advance (run, SETTLE_MS);
  print_report (scenario, fleet, run, counts);
  status = trial_fleet_stop (fleet) == 0 ? 0 : 1;
done:
  load_run_destroy (run);
  trial_fleet_destroy (fleet);
  return status;
}

int
main (int argc, char **argv)
{
  int status = 2;
  enum base_settings_outcome outcome = base_settings_read (
      argc, argv, "Plays a scenario on a fleet of real processes.", settings);
  if (outcome == BASE_SETTINGS_EXIT)
    status = 0;
  if (outcome != BASE_SETTINGS_RUN)
    goto done;
  if (strcmp (scenario_name, "list") == 0)
    {
      trial_scenario_list ();
      status = 0;
      goto done;
    }
  const struct trial_scenario *scenario = trial_scenario_find (scenario_name);
  if (!scenario)
    {
      fprintf (
          stderr,
          "--scenario: no scenario is named \"%s\"; \"list\" prints them\n",
          scenario_name);
      goto done;
    }
  if (sodium_init () < 0)
    goto done;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = run_trial (scenario);
  curl_global_cleanup ();
done:
  base_settings_clear (settings);
  return status;
}
