/** @file
 *  Tests of sessions with cactus-control processes: bundle differences,
 *  fencing of superseded incarnations, expired sessions, the wait of a new
 *  leader before it expires sessions, drained targets. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "bundle.h"
#include "control_rig.h"

#define TIMEOUT_MS 20000

/* A router whose heartbeats the test sends itself. */
struct router
{
  struct control_rig *trial;
  struct control_sync_args args;
  char name[16];
};

static char cluster_name[] = CONTROL_RIG_CLUSTER;
static char zone_name[] = "vigo";
static char region_name[] = "galicia";
static char address_text[] = "127.0.0.1";

static void
init_router (struct router *router, struct control_rig *trial,
             const char *name, uint64_t incarnation)
{
  struct wire_process *process = &router->args.process;
  memset (router, 0, sizeof *router);
  router->trial = trial;
  g_strlcpy (router->name, name, sizeof router->name);
  router->args.cluster = cluster_name;
  process->kind = WIRE_PROCESS_ROUTER;
  process->host = router->name;
  process->availability_zone = zone_name;
  process->region = region_name;
  process->address = address_text;
  process->incarnation = incarnation;
}

static enum control_status
sync_router (struct router *router, struct control_sync_result *result)
{
  enum wire_status status = control_client_call (
      router->trial->client, CONTROL_SYNC, (xdrproc_t)xdr_control_sync_args,
      &router->args, (xdrproc_t)xdr_control_sync_result, result,
      sizeof *result, TIMEOUT_MS);
  g_assert_cmpint (status, ==, WIRE_OK);
  return result->answer.status;
}

static void
free_result (struct control_sync_result *result)
{
  xdr_free ((xdrproc_t)xdr_control_sync_result, (char *)result);
}

/* Sends a heartbeat and stores the version and digests of the result.
   Returns the status. */
static enum control_status
renew (struct router *router)
{
  struct control_sync_result result;
  enum control_status status = sync_router (router, &result);
  router->args.process.bundle_version = result.new_version;
  router->args.peers_digest = result.peers_digest;
  router->args.drained_digest = result.drained_digest;
  free_result (&result);
  return status;
}

static enum control_claim_state
claim_key (const struct router *router, uint64_t claim_id)
{
  struct control_claim_args args = { .cluster = cluster_name };
  struct control_claim_result result;
  args.router = (char *)router->name;
  args.router_incarnation = router->args.process.incarnation;
  args.claim_id = claim_id;
  args.account_id = 1;
  g_assert_cmpint (control_client_call (router->trial->client, CONTROL_CLAIM,
                                        (xdrproc_t)xdr_control_claim_args,
                                        &args,
                                        (xdrproc_t)xdr_control_claim_result,
                                        &result, sizeof result, TIMEOUT_MS),
                   ==, WIRE_OK);
  g_assert_cmpint (result.answer.status, ==, CONTROL_OK);
  enum control_claim_state state = result.state;
  xdr_free ((xdrproc_t)xdr_control_claim_result, (char *)&result);
  return state;
}

static void
test_differences (void)
{
  struct control_sync_result result;
  struct router router;
  struct base_findings *findings = base_findings_create ();
  struct control_rig *trial = control_rig_create (1);
  g_assert_nonnull (trial);
  init_router (&router, trial, "r", 1);
  g_assert_cmpint (control_rig_push (trial, 1, 500, 0), ==, CONTROL_OK);
  g_assert_cmpint (sync_router (&router, &result), ==, CONTROL_OK);
  g_assert_true (result.full);
  struct bundle *first = bundle_read (result.document.document_val,
                                      result.document.document_len, findings);
  g_assert_nonnull (first);
  u_int whole_bytes = result.document.document_len;
  free_result (&result);
  g_assert_cmpint (control_rig_push (trial, 2, 500, 5), ==, CONTROL_OK);
  router.args.process.bundle_version = 1;
  g_assert_cmpint (sync_router (&router, &result), ==, CONTROL_OK);
  g_assert_false (result.full);
  g_assert_cmpuint (result.document.document_len, <, whole_bytes / 20);
  struct bundle *second
      = bundle_apply_difference (first, result.document.document_val,
                                 result.document.document_len, findings);
  g_assert_nonnull (second);
  g_assert_cmpuint (bundle_version (second), ==, 2);
  free_result (&result);
  bundle_unref (first);
  bundle_unref (second);
  base_findings_destroy (findings);
  control_rig_destroy (trial);
}

static void
test_fenced (void)
{
  struct router older;
  struct router newer;
  struct control_rig *trial = control_rig_create (1);
  g_assert_nonnull (trial);
  init_router (&older, trial, "r", 1);
  init_router (&newer, trial, "r", 2);
  g_assert_cmpint (renew (&older), ==, CONTROL_OK);
  g_assert_cmpint (claim_key (&older, 1), ==, CONTROL_CLAIM_GRANTED);
  g_assert_cmpint (renew (&newer), ==, CONTROL_OK);
  g_assert_cmpint (renew (&older), ==, CONTROL_FENCED);
  g_assert_cmpint (claim_key (&newer, 1), ==, CONTROL_CLAIM_UNKNOWN);
  control_rig_destroy (trial);
}

/* Returns the number of live peers in the result of a heartbeat. */
static u_int
count_peers (struct router *router)
{
  struct control_sync_result result;
  router->args.peers_digest = 0;
  g_assert_cmpint (sync_router (router, &result), ==, CONTROL_OK);
  u_int count = result.peers.peers_len;
  free_result (&result);
  return count;
}

static void
test_lapse (void)
{
  static const char *const arguments[] = { "--lease-ms", "700", NULL };
  struct router lost;
  struct router other;
  struct control_rig *trial = control_rig_create_with (1, arguments);
  g_assert_nonnull (trial);
  init_router (&lost, trial, "lost", 1);
  init_router (&other, trial, "other", 2);
  g_assert_cmpint (renew (&lost), ==, CONTROL_OK);
  g_assert_cmpint (claim_key (&lost, 1), ==, CONTROL_CLAIM_GRANTED);
  g_assert_cmpuint (count_peers (&other), ==, 2);
  for (int i = 0; i < 200 && count_peers (&other) == 2; i++)
    g_usleep (50000);
  g_assert_cmpuint (count_peers (&other), ==, 1);
  g_assert_cmpint (claim_key (&other, 1), ==, CONTROL_CLAIM_UNKNOWN);
  /* The router was only disconnected: it may serve again, but the outcome of
     its claim stays unknown. */
  g_assert_cmpint (renew (&lost), ==, CONTROL_OK);
  g_assert_cmpint (claim_key (&lost, 2), ==, CONTROL_CLAIM_UNKNOWN);
  control_rig_destroy (trial);
}

/* A new leader has received no heartbeats yet.  It must not expire the
   sessions of processes that keep sending them. */
static void
test_new_leader_waits (void)
{
  static const char *const arguments[] = { "--lease-ms", "10000", NULL };
  struct router busy;
  struct router other;
  struct control_rig *trial = control_rig_create_with (3, arguments);
  g_assert_nonnull (trial);
  init_router (&busy, trial, "busy", 1);
  init_router (&other, trial, "other", 2);
  g_assert_cmpint (renew (&busy), ==, CONTROL_OK);
  g_assert_cmpint (claim_key (&busy, 1), ==, CONTROL_CLAIM_GRANTED);
  int leader = control_rig_leader (trial, TIMEOUT_MS);
  g_assert_cmpint (leader, >=, 0);
  fleet_process_kill (trial->members[leader]);
  for (int i = 0; i < 12; i++)
    {
      g_assert_cmpint (renew (&busy), ==, CONTROL_OK);
      g_assert_cmpint (renew (&other), ==, CONTROL_OK);
      g_assert_cmpint (claim_key (&other, 1), ==, CONTROL_CLAIM_RUNNING);
      g_usleep (100000);
    }
  control_rig_destroy (trial);
}

static void
drain (struct control_rig *trial, bool wanted)
{
  struct control_drain_args args = { .cluster = cluster_name };
  struct control_answer answer;
  char target[] = "engine-1";
  args.target = target;
  args.drain = wanted;
  g_assert_cmpint (control_client_call (trial->client, CONTROL_DRAIN,
                                        (xdrproc_t)xdr_control_drain_args,
                                        &args, (xdrproc_t)xdr_control_answer,
                                        &answer, sizeof answer, TIMEOUT_MS),
                   ==, WIRE_OK);
  g_assert_cmpint (answer.status, ==, CONTROL_OK);
  xdr_free ((xdrproc_t)xdr_control_answer, (char *)&answer);
}

static void
test_drained (void)
{
  struct control_sync_result result;
  struct router router;
  struct control_rig *trial = control_rig_create (1);
  g_assert_nonnull (trial);
  init_router (&router, trial, "r", 1);
  g_assert_cmpint (renew (&router), ==, CONTROL_OK);
  g_assert_cmpuint (router.args.drained_digest, ==, 0);
  drain (trial, true);
  g_assert_cmpint (sync_router (&router, &result), ==, CONTROL_OK);
  g_assert_cmpuint (result.drained.drained_len, ==, 1);
  g_assert_cmpstr (result.drained.drained_val[0], ==, "engine-1");
  router.args.drained_digest = result.drained_digest;
  free_result (&result);
  g_assert_cmpint (sync_router (&router, &result), ==, CONTROL_OK);
  g_assert_cmpuint (result.drained.drained_len, ==, 0);
  free_result (&result);
  drain (trial, false);
  g_assert_cmpint (renew (&router), ==, CONTROL_OK);
  g_assert_cmpuint (router.args.drained_digest, ==, 0);
  control_rig_destroy (trial);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control/sync/differences", test_differences);
  g_test_add_func ("/control/sync/fenced", test_fenced);
  g_test_add_func ("/control/sync/lapse", test_lapse);
  g_test_add_func ("/control/sync/new_leader_waits", test_new_leader_waits);
  g_test_add_func ("/control/sync/drained", test_drained);
  return g_test_run ();
}
