#include "router_rig.h"

#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "base_hash.h"
#include "bundle.h"
#include "control_client.h"
#include "router_call.h"
#include "router_rig_bundle.h"
#include "wire_client.h"
#include "wire_ledger.h"
#include "tool_folder.h"

#define CLUSTER "rig"
#define OPERATOR ROUTER_RIG_OPERATOR
#define READY_TIMEOUT_MS 20000
#define RETRY_INTERVAL_US 20000
#define TRIES_MAX 1000

struct router_rig
{
  char *folder;
  uint8_t public_key[crypto_sign_PUBLICKEYBYTES];
  uint8_t secret_key[crypto_sign_SECRETKEYBYTES];
  char *control_endpoint;
  struct control_client *client;
  struct fleet_process *control;
  struct fleet_process *ledger;
  struct fleet_process *router;
  GPtrArray *targets;
};

/* Starts a process in the availability zone of the rig and waits until it is
   ready. */
static struct fleet_process *
start_process (struct router_rig *rig, const char *name, const char *program,
               const char *const *own_arguments,
               const char *const *extra_arguments)
{
  GPtrArray *list = g_ptr_array_new ();
  for (; own_arguments && *own_arguments; own_arguments++)
    g_ptr_array_add (list, (char *)*own_arguments);
  for (; extra_arguments && *extra_arguments; extra_arguments++)
    g_ptr_array_add (list, (char *)*extra_arguments);
  const char *location[]
      = { "--availability-zone", "zone-a", "--region", "region-a", NULL };
  for (const char **flag = location; *flag; flag++)
    g_ptr_array_add (list, (char *)*flag);
  g_ptr_array_add (list, NULL);
  struct fleet_process *process = fleet_process_create (
      name, program, (const char *const *)list->pdata, rig->folder);
  g_ptr_array_unref (list);
  g_assert_cmpint (fleet_process_start (process), ==, 0);
  g_assert_true (fleet_process_wait_ready (process, READY_TIMEOUT_MS));
  return process;
}

static void
start_control (struct router_rig *rig)
{
  char root_key[2 * sizeof rig->public_key + 1];
  uint16_t port = fleet_free_port ("127.0.0.1");
  char *data = g_build_filename (rig->folder, "control.data", NULL);
  char *members = g_strdup_printf ("1@127.0.0.1:%u", port);
  rig->control_endpoint = g_strdup_printf ("127.0.0.1:%u", port);
  base_hex_write (root_key, rig->public_key, sizeof rig->public_key);
  const char *arguments[] = { "--cluster",  CLUSTER,     "--host",
                              "control-1",  "--rpc",     rig->control_endpoint,
                              "--data-dir", data,        "--member-id",
                              "1",          "--members", members,
                              "--root-key", root_key,    NULL };
  rig->control
      = start_process (rig, "control", "cactus-control", arguments, NULL);
  const char *endpoints[] = { rig->control_endpoint, NULL };
  rig->client = control_client_create (endpoints);
  g_free (members);
  g_free (data);
}

static void
sign (struct router_rig *rig, const char *document, uint8_t *signature)
{
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle = bundle_read (document, strlen (document), findings);
  base_findings_print (findings, stderr);
  g_assert_nonnull (bundle);
  bundle_digest (bundle, digest);
  bundle_sign (digest, rig->secret_key, signature);
  bundle_unref (bundle);
  base_findings_destroy (findings);
}

/* Calls control until it accepts the call; aborts the test when it doesn't. */
static void
call_control (struct router_rig *rig, uint32_t procedure, xdrproc_t args_codec,
              void *args, xdrproc_t result_codec, void *result, size_t bytes)
{
  for (int i = 0; i < TRIES_MAX; i++)
    {
      const struct control_answer *answer = result;
      enum wire_status wire
          = control_client_call (rig->client, procedure, args_codec, args,
                                 result_codec, result, bytes, 2000);
      bool done = wire == WIRE_OK && answer->status == CONTROL_OK;
      xdr_free (result_codec, result);
      if (done)
        return;
      g_usleep (RETRY_INTERVAL_US);
    }
  g_error ("control did not accept procedure %u", procedure);
}

static void
push_bundle (struct router_rig *rig)
{
  char *document = router_rig_bundle (rig->public_key);
  char signer[] = OPERATOR;
  struct control_push_result result = { 0 };
  struct control_push_args args
      = { .cluster = (char *)CLUSTER, .bundle_version = 1, .signer = signer };
  args.document.document_val = document;
  args.document.document_len = (u_int)strlen (document);
  sign (rig, document, (uint8_t *)args.signature);
  call_control (rig, CONTROL_PUSH, (xdrproc_t)xdr_control_push_args, &args,
                (xdrproc_t)xdr_control_push_result, &result, sizeof result);
  free (document);
}

static void
top_up (struct router_rig *rig)
{
  struct control_top_up_result result = { 0 };
  struct control_top_up_args args = { .cluster = (char *)CLUSTER,
                                      .top_up_id = (char *)"first",
                                      .operator_name = (char *)OPERATOR,
                                      .account = (char *)"alice",
                                      .budget = (char *)"default",
                                      .tokens = ROUTER_RIG_TOKENS };
  call_control (rig, CONTROL_TOP_UP, (xdrproc_t)xdr_control_top_up_args, &args,
                (xdrproc_t)xdr_control_top_up_result, &result, sizeof result);
}

struct router_rig *
router_rig_create (const char *const *arguments)
{
  struct router_rig *rig = g_new0 (struct router_rig, 1);
  g_assert_cmpint (sodium_init (), >=, 0);
  rig->folder = g_dir_make_tmp ("router-rig-XXXXXX", NULL);
  rig->targets = g_ptr_array_new ();
  crypto_sign_keypair (rig->public_key, rig->secret_key);
  start_control (rig);
  push_bundle (rig);
  top_up (rig);
  char *data = g_build_filename (rig->folder, "ledger.data", NULL);
  const char *ledger[]
      = { "--cluster", CLUSTER,     "--host", "ledger-1", "--data-dir",
          data,        "--control", NULL,     NULL };
  char *http = g_strdup_printf ("127.0.0.1:%u", fleet_free_port ("127.0.0.1"));
  const char *router[]
      = { "--cluster", CLUSTER,  "--host", "router-1", "--control",
          NULL,        "--http", http,     NULL };
  ledger[7] = rig->control_endpoint;
  router[5] = rig->control_endpoint;
  rig->ledger = start_process (rig, "ledger", "cactus-ledger", ledger, NULL);
  rig->router
      = start_process (rig, "router", "cactus-router", router, arguments);
  g_free (data);
  g_free (http);
  router_rig_wait_ready (rig);
  return rig;
}

void
router_rig_destroy (struct router_rig *rig)
{
  for (guint i = 0; i < rig->targets->len; i++)
    fleet_process_destroy (rig->targets->pdata[i]);
  g_ptr_array_unref (rig->targets);
  fleet_process_destroy (rig->router);
  fleet_process_destroy (rig->ledger);
  control_client_destroy (rig->client);
  fleet_process_destroy (rig->control);
  tool_folder_remove (rig->folder);
  g_free (rig->control_endpoint);
  g_free (rig->folder);
  g_free (rig);
}

static bool
router_lists_target (struct router_rig *rig, const char *target)
{
  struct router_call_options call = { .path = "/targets" };
  char *wanted = g_strdup_printf ("\"target\":\"%s\"", target);
  struct router_call_result result
      = router_call (router_rig_port (rig), &call);
  bool known = strstr (result.body->str, wanted) != NULL;
  router_call_clear (&result);
  g_free (wanted);
  return known;
}

void
router_rig_wait_listed (struct router_rig *rig, const char *target)
{
  for (int i = 0; i < TRIES_MAX && !router_lists_target (rig, target); i++)
    g_usleep (RETRY_INTERVAL_US);
  g_assert_true (router_lists_target (rig, target));
}

struct fleet_process *
router_rig_start_target (struct router_rig *rig, const char *name,
                         const char *service, const char *const *arguments)
{
  char *routers = g_strdup_printf ("127.0.0.1:%u", router_rig_port (rig));
  const char *own_arguments[]
      = { "--target", name, "--service", service, "--routers", routers, NULL };
  struct fleet_process *target
      = start_process (rig, name, "cactus-target", own_arguments, arguments);
  g_ptr_array_add (rig->targets, target);
  router_rig_wait_listed (rig, name);
  g_free (routers);
  return target;
}

void
router_rig_restart_router (struct router_rig *rig, const char *target)
{
  fleet_process_kill (rig->router);
  g_assert_cmpint (fleet_process_start (rig->router), ==, 0);
  g_assert_true (fleet_process_wait_ready (rig->router, READY_TIMEOUT_MS));
  router_rig_wait_ready (rig);
  for (int i = 0; i < TRIES_MAX && !router_lists_target (rig, target); i++)
    g_usleep (RETRY_INTERVAL_US);
}

struct fleet_process *
router_rig_router (struct router_rig *rig)
{
  return rig->router;
}

struct fleet_process *
router_rig_ledger (struct router_rig *rig)
{
  return rig->ledger;
}

struct fleet_process *
router_rig_control (struct router_rig *rig)
{
  return rig->control;
}

uint16_t
router_rig_port (struct router_rig *rig)
{
  return fleet_process_http_port (rig->router);
}

void
router_rig_wait_ready (struct router_rig *rig)
{
  struct router_call_options call = { .path = "/readyz" };
  uint32_t status = 0;
  for (int i = 0; i < TRIES_MAX && status != 200; i++)
    {
      struct router_call_result result
          = router_call (router_rig_port (rig), &call);
      status = result.status;
      router_call_clear (&result);
      g_usleep (RETRY_INTERVAL_US);
    }
  g_assert_cmpuint (status, ==, 200);
}

void
router_rig_drain (struct router_rig *rig, const char *target, bool drain)
{
  struct control_answer answer = { 0 };
  struct control_drain_args args = { .cluster = (char *)CLUSTER,
                                     .target = (char *)target,
                                     .drain = drain };
  call_control (rig, CONTROL_DRAIN, (xdrproc_t)xdr_control_drain_args, &args,
                (xdrproc_t)xdr_control_answer, &answer, sizeof answer);
}

void
router_rig_set_faults (struct fleet_process *target, const char *faults)
{
  struct router_call_options call = { .path = "/faults", .body = faults };
  struct router_call_result result
      = router_call (fleet_process_http_port (target), &call);
  g_assert_cmpuint (result.status, ==, 200);
  router_call_clear (&result);
}

static struct ledger_budget_result
get_budget (struct router_rig *rig)
{
  struct ledger_budget_result result = { 0 };
  struct ledger_budget_args args = { base_budget_id ("alice", "default") };
  struct wire_client *client
      = wire_client_create ("127.0.0.1", fleet_process_rpc_port (rig->ledger),
                            LEDGER_PROGRAM, LEDGER_VERSION);
  enum wire_status wire = wire_client_call (
      client, LEDGER_BUDGET, (xdrproc_t)xdr_ledger_budget_args, &args,
      (xdrproc_t)xdr_ledger_budget_result, &result, sizeof result, 2000);
  g_assert_cmpint (wire, ==, WIRE_OK);
  wire_client_destroy (client);
  return result;
}

uint64_t
router_rig_billed (struct router_rig *rig)
{
  return get_budget (rig).spent_tokens;
}

uint64_t
router_rig_written_off (struct router_rig *rig)
{
  return get_budget (rig).written_off_tokens;
}

uint64_t
router_rig_wait_settled (struct router_rig *rig)
{
  struct ledger_budget_result budget = get_budget (rig);
  for (int i = 0; i < TRIES_MAX && budget.reserved_tokens > 0; i++)
    {
      g_usleep (RETRY_INTERVAL_US);
      budget = get_budget (rig);
    }
  g_assert_cmpuint (budget.reserved_tokens, ==, 0);
  return budget.spent_tokens;
}

uint64_t
router_rig_oracle_sum (struct fleet_process *target, const char *member)
{
  uint64_t sum = 0;
  size_t index;
  json_t *run;
  struct router_call_options call = { .path = "/oracle" };
  struct router_call_result result
      = router_call (fleet_process_http_port (target), &call);
  json_t *runs = json_loads (result.body->str, 0, NULL);
  json_array_foreach (runs, index, run)
  {
    sum += (uint64_t)json_integer_value (json_object_get (run, member));
  }
  json_decref (runs);
  router_call_clear (&result);
  return sum;
}
