/** @file
 *  cactus-load: sends the request mix of a deployment to routers for a set
 *  time and prints a report of the answers as one JSON line. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base_settings.h"
#include "load_report.h"
#include "load_run.h"

/* Longest wait for open requests after the last arrival. */
#define DRAIN_LIMIT_MS 60000

static char *mix_name;
static char **routers;
static char **targets;
static char **ledgers;
static uint64_t rate;
static uint64_t duration_ms;
static uint64_t seed;
static uint64_t budget_tokens;

static const struct base_setting settings[] = {
  { .flag = "mix",
    .type = BASE_SETTING_STRING,
    .target = &mix_name,
    .fallback = "krua-khao",
    .help = "Mix of requests: lonja or krua-khao" },
  { .flag = "routers",
    .type = BASE_SETTING_ENDPOINTS,
    .target = &routers,
    .required = true,
    .help = "HTTP endpoints of the routers" },
  { .flag = "targets",
    .type = BASE_SETTING_ENDPOINTS,
    .target = &targets,
    .help
    = "HTTP endpoints of the stand-in targets, to read what they served" },
  { .flag = "ledgers",
    .type = BASE_SETTING_ENDPOINTS,
    .target = &ledgers,
    .help = "RPC endpoints of the ledgers, to read what they billed" },
  { .flag = "rate",
    .type = BASE_SETTING_NUMBER,
    .target = &rate,
    .fallback = "50",
    .minimum = 1,
    .maximum = 5000,
    .help = "Requests a second" },
  { .flag = "duration-ms",
    .type = BASE_SETTING_NUMBER,
    .target = &duration_ms,
    .fallback = "10000",
    .minimum = 100,
    .maximum = 600000,
    .help = "How long requests are sent, in milliseconds" },
  { .flag = "seed",
    .type = BASE_SETTING_NUMBER,
    .target = &seed,
    .fallback = "1",
    .maximum = UINT64_MAX,
    .help = "Seed of the random source" },
  { .flag = "budget-tokens",
    .type = BASE_SETTING_NUMBER,
    .target = &budget_tokens,
    .fallback = "1000000000",
    .maximum = UINT64_MAX,
    .help = "Tokens that each account was topped up with" },
  { 0 },
};

static void
add_ledger (struct load_oracle *oracle, const char *endpoint)
{
  char address[16];
  uint16_t port;
  if (base_endpoint_split (endpoint, address, &port) != 0
      || load_oracle_add_ledger (oracle, address, port) != 0)
    fprintf (stderr,
             "cactus-load: can't read the bills of ledger %s; the report "
             "lacks them\n",
             endpoint);
}

static struct load_oracle *
collect (void)
{
  struct load_oracle *oracle = load_oracle_create ();
  for (char **target = targets; target && *target; target++)
    if (load_oracle_add_target (oracle, *target) != 0)
      fprintf (stderr,
               "cactus-load: can't read the runs of target %s; the report "
               "lacks them\n",
               *target);
  for (char **ledger = ledgers; ledger && *ledger; ledger++)
    add_ledger (oracle, *ledger);
  return oracle;
}

static void
run_load (const struct load_mix *mix)
{
  struct load_run *run = load_run_create (
      mix, seed, (const char *const *)routers, g_strv_length (routers));
  load_run_set_rate (run, rate * 1000);
  load_run_advance (run, duration_ms);
  uint32_t open = load_run_drain (run, DRAIN_LIMIT_MS);
  struct load_oracle *oracle = collect ();
  struct load_budgets budgets
      = { g_new0 (uint64_t, mix->account_count), mix->account_count };
  for (uint32_t i = 0; i < mix->account_count; i++)
    budgets.topped_up_tokens[i] = budget_tokens;
  json_t *report = load_report_make (mix, load_run_finished_calls (run),
                                     oracle, &budgets);
  json_object_set_new (report, "open_at_end", json_integer (open));
  char *line = json_dumps (report, JSON_COMPACT);
  printf ("%s\n", line);
  free (line);
  json_decref (report);
  g_free (budgets.topped_up_tokens);
  load_oracle_destroy (oracle);
  load_run_destroy (run);
}

int
main (int argc, char **argv)
{
  int status = 2;
  enum base_settings_outcome outcome = base_settings_read (
      argc, argv, "Sends load to routers and reports the answers.", settings);
  if (outcome == BASE_SETTINGS_EXIT)
    status = 0;
  if (outcome != BASE_SETTINGS_RUN)
    goto done;
  const struct load_mix *mix = load_mix_find (mix_name);
  if (!mix)
    {
      fprintf (
          stderr,
          "--mix: no mix is named \"%s\"; there are lonja and krua-khao\n",
          mix_name);
      goto done;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  run_load (mix);
  curl_global_cleanup ();
  status = 0;
done:
  base_settings_clear (settings);
  return status;
}
