/** @file
 *  Tests of cactusctl with real processes (a control member, a ledger, a
 *  router and targets): the list of bills, the list of targets, draining. */

#include <sys/wait.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "router_call.h"
#include "router_rig.h"

/* Name of the rig's cluster. */
#define CLUSTER "rig"
#define CALLS 12
#define WAIT_STEP_US 50000
#define WAIT_STEPS 400

static const char *const no_arguments[] = { NULL };

/* Runs cactusctl with --json; returns its output, freed with json_decref. */
static json_t *
run (struct router_rig *rig, const char *line)
{
  char *output = NULL;
  int status = 0;
  GError *error = NULL;
  char *program = g_build_filename (fleet_binary_folder (), "cactusctl", NULL);
  char *whole = g_strdup_printf (
      "%s %s --json --cluster " CLUSTER " --control 127.0.0.1:%u", program,
      line, fleet_process_rpc_port (router_rig_control (rig)));
  char **words = g_strsplit (whole, " ", -1);
  g_spawn_sync (NULL, words, NULL, G_SPAWN_DEFAULT, NULL, NULL, &output, NULL,
                &status, &error);
  g_assert_no_error (error);
  g_test_message ("%s: %s", line, output);
  g_assert_cmpint (WEXITSTATUS (status), ==, 0);
  json_t *printed = json_loads (output, JSON_DECODE_ANY, NULL);
  g_assert_nonnull (printed);
  g_strfreev (words);
  g_free (whole);
  g_free (program);
  g_free (output);
  return printed;
}

static void
call_plain (struct router_rig *rig, int number)
{
  char *key = g_strdup_printf ("call-%d", number);
  struct router_call_options call
      = { .path = "/services/" ROUTER_RIG_PLAIN "/stock",
          .body = "{}",
          .api_key = ROUTER_RIG_KEY,
          .idempotency_key = key };
  struct router_call_result result
      = router_call (router_rig_port (rig), &call);
  if (result.status != 200)
    g_test_message ("%s: %s", key, result.body->str);
  g_assert_cmpuint (result.status, ==, 200);
  router_call_clear (&result);
  g_free (key);
}

/* There is one bill per call, and the bills add up to what the ledger
   billed. */
static void
test_bills (void)
{
  uint64_t tokens = 0;
  size_t index;
  json_t *bill;
  struct router_rig *rig = router_rig_create (no_arguments);
  router_rig_start_target (rig, "shop-1", ROUTER_RIG_PLAIN, no_arguments);
  router_rig_wait_ready (rig);
  for (int i = 0; i < CALLS; i++)
    call_plain (rig, i);
  g_assert_cmpuint (router_rig_wait_settled (rig), ==,
                    CALLS * ROUTER_RIG_CALL_TOKENS);
  json_t *bills = run (rig, "bills --account alice");
  g_assert_cmpuint (json_array_size (bills), ==, CALLS);
  json_array_foreach (bills, index, bill)
  {
    tokens += (uint64_t)json_integer_value (json_object_get (bill, "tokens"));
    g_assert_cmpstr (json_string_value (json_object_get (bill, "account")), ==,
                     "alice");
  }
  g_assert_cmpuint (tokens, ==, CALLS * ROUTER_RIG_CALL_TOKENS);
  json_decref (bills);
  bills = run (rig, "bills --account carol");
  g_assert_cmpuint (json_array_size (bills), ==, 0);
  json_decref (bills);
  json_t *targets = run (rig, "target list");
  g_assert_cmpuint (json_array_size (targets), ==, 1);
  json_decref (targets);
  router_rig_destroy (rig);
}

/* Makes CALLS calls; whether target @p idle ran none of them. */
static bool
gets_no_work (struct router_rig *rig, struct fleet_process *idle, int *number)
{
  uint64_t before = router_rig_oracle_sum (idle, "runs");
  for (int i = 0; i < CALLS; i++)
    call_plain (rig, (*number)++);
  return router_rig_oracle_sum (idle, "runs") == before;
}

/* A drained target gets no new requests until it is undrained. */
static void
test_drain (void)
{
  int number = 0;
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *first = router_rig_start_target (
      rig, "shop-1", ROUTER_RIG_PLAIN, no_arguments);
  router_rig_start_target (rig, "shop-2", ROUTER_RIG_PLAIN, no_arguments);
  router_rig_wait_ready (rig);
  g_assert_false (gets_no_work (rig, first, &number));
  json_decref (run (rig, "target drain shop-1"));
  int steps = 0;
  while (!gets_no_work (rig, first, &number) && steps++ < WAIT_STEPS)
    g_usleep (WAIT_STEP_US);
  g_assert_cmpint (steps, <, WAIT_STEPS);
  for (int i = 0; i < 5; i++)
    g_assert_true (gets_no_work (rig, first, &number));
  json_decref (run (rig, "target undrain shop-1"));
  steps = 0;
  while (gets_no_work (rig, first, &number) && steps++ < WAIT_STEPS)
    g_usleep (WAIT_STEP_US);
  g_assert_cmpint (steps, <, WAIT_STEPS);
  router_rig_destroy (rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_test_add_func ("/ctl-fleet/bills", test_bills);
  g_test_add_func ("/ctl-fleet/drain", test_drain);
  return g_test_run ();
}
