#include "router_claims.h"

#include <string.h>

#include "base_clock.h"
#include "base_log.h"
#include "router_request.h"

#define CLAIM_TIMEOUT_MS 2000
#define OUTCOME_TIMEOUT_MS 2000
#define OUTCOME_RETRY_US 100000
/* After a claim that control did not answer, further claims fail unsent for
   this time, in ms, so that they don't queue behind calls that wait for their
   timeout. */
#define UNREACHABLE_MS 1000
/* Time for which a shutdown continues to send outcomes to control, in ms. */
#define SHUTDOWN_OUTCOME_MS 10000

struct router_claims
{
  struct control_client *client;
  const char *cluster;
  const char *host;
  uint64_t incarnation;
  _Atomic uint64_t next_id;
  /* Monotonic time until which control is assumed to be unreachable, in ms. */
  _Atomic uint64_t unreachable_until_ms;
  /* Monotonic time after which outcomes that control did not record are
     dropped, in ms; 0 means never. */
  _Atomic uint64_t drop_at_ms;
  /* Outcomes that control has not recorded yet. */
  _Atomic uint32_t pending_outcomes;
  GThreadPool *claim_pool;
  /* Outcomes have a pool of their own, so that those waiting for control delay
     no claim. */
  GThreadPool *outcome_pool;
};

/* One call to control. */
struct claim_task
{
  struct router_request *request;
  struct control_finish_args args;
};

static void
fill_claim (struct router_claims *claims, struct router_request *request,
            struct control_claim_args *args)
{
  args->cluster = (char *)claims->cluster;
  args->router = (char *)claims->host;
  args->router_incarnation = claims->incarnation;
  request->claim.claim_id = atomic_fetch_add (&claims->next_id, 1);
  args->claim_id = request->claim.claim_id;
  args->account_id = request->account->account_id;
  memcpy (args->key, request->key_digest, CACTUS_DIGEST_BYTES);
  memcpy (args->body_digest, request->body_digest, CACTUS_DIGEST_BYTES);
}

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static void
run_claim (struct router_claims *claims, struct router_request *request)
{
  struct control_claim_args args = { 0 };
  struct control_claim_result result = { 0 };
  struct router_claim *claim = &request->claim;
  if (now_ms () < atomic_load (&claims->unreachable_until_ms))
    {
      claim->rpc_status = WIRE_UNSENT;
      router_request_post (request, ROUTER_EVENT_CLAIM);
      return;
    }
  fill_claim (claims, request, &args);
  claim->rpc_status = control_client_call (
      claims->client, CONTROL_CLAIM, (xdrproc_t)xdr_control_claim_args, &args,
      (xdrproc_t)xdr_control_claim_result, &result, sizeof result,
      CLAIM_TIMEOUT_MS);
  if (claim->rpc_status == WIRE_OK)
    {
      claim->status = result.answer.status;
      claim->state = result.state;
      claim->http_status = result.http_status;
      claim->billed_tokens = result.billed_tokens;
      claim->response = g_string_new_len (result.body.body_val,
                                          (gssize)result.body.body_len);
    }
  else
    {
      atomic_store (&claims->unreachable_until_ms, now_ms () + UNREACHABLE_MS);
    }
  xdr_free ((xdrproc_t)xdr_control_claim_result, (char *)&result);
  router_request_post (request, ROUTER_EVENT_CLAIM);
}

static bool
send_outcome (struct router_claims *claims, struct control_finish_args *args)
{
  struct control_answer answer = { 0 };
  enum wire_status rpc_status = control_client_call (
      claims->client, CONTROL_FINISH, (xdrproc_t)xdr_control_finish_args, args,
      (xdrproc_t)xdr_control_answer, &answer, sizeof answer,
      OUTCOME_TIMEOUT_MS);
  bool recorded = rpc_status == WIRE_OK && answer.status != CONTROL_UNAVAILABLE
                  && answer.status != CONTROL_NOT_LEADER;
  xdr_free ((xdrproc_t)xdr_control_answer, (char *)&answer);
  return recorded;
}

static void
free_task (struct claim_task *task)
{
  router_request_unref (task->request);
  g_free (task->args.body.body_val);
  g_free (task);
}

static void
run_claim_task (gpointer data, gpointer user_data)
{
  struct claim_task *task = data;
  run_claim (user_data, task->request);
  free_task (task);
}

/* Sends an outcome to control.  If control does not record it, the task goes
   to the end of the queue to be sent again. */
static void
run_outcome_task (gpointer data, gpointer user_data)
{
  struct claim_task *task = data;
  struct router_claims *claims = user_data;
  uint64_t drop_at_ms = atomic_load (&claims->drop_at_ms);
  if (send_outcome (claims, &task->args))
    {
      router_request_post (task->request, ROUTER_EVENT_OUTCOME);
      free_task (task);
      atomic_fetch_sub (&claims->pending_outcomes, 1);
    }
  else if (drop_at_ms != 0 && now_ms () >= drop_at_ms)
    {
      base_log (BASE_LOG_WARNING, "outcome of a claim dropped: control did "
                                  "not record it before the shutdown limit");
      free_task (task);
      atomic_fetch_sub (&claims->pending_outcomes, 1);
    }
  else
    {
      g_usleep (OUTCOME_RETRY_US);
      g_thread_pool_push (claims->outcome_pool, task, NULL);
    }
}

struct router_claims *
router_claims_create (struct control_client *client, const char *cluster,
                      const char *host, uint64_t incarnation, uint32_t threads)
{
  struct router_claims *claims = g_new0 (struct router_claims, 1);
  claims->client = client;
  claims->cluster = cluster;
  claims->host = host;
  claims->incarnation = incarnation;
  claims->next_id = 1;
  claims->claim_pool
      = g_thread_pool_new (run_claim_task, claims, (gint)threads, FALSE, NULL);
  claims->outcome_pool = g_thread_pool_new (run_outcome_task, claims,
                                            (gint)threads, FALSE, NULL);
  return claims;
}

/* Tasks push themselves back into the pool, so it can be freed only when no
   outcome is pending. */
static void
wait_for_outcomes (struct router_claims *claims)
{
  while (atomic_load (&claims->pending_outcomes) > 0)
    g_usleep (OUTCOME_RETRY_US);
}

void
router_claims_destroy (struct router_claims *claims)
{
  if (!claims)
    return;
  g_thread_pool_free (claims->claim_pool, FALSE, TRUE);
  atomic_store (&claims->drop_at_ms, now_ms () + SHUTDOWN_OUTCOME_MS);
  wait_for_outcomes (claims);
  g_thread_pool_free (claims->outcome_pool, FALSE, TRUE);
  g_free (claims);
}

void
router_claims_submit (struct router_claims *claims,
                      struct router_request *request)
{
  struct claim_task *task = g_new0 (struct claim_task, 1);
  task->request = router_request_ref (request);
  g_thread_pool_push (claims->claim_pool, task, NULL);
}

/* A response that is too large to store is recorded without HTTP status and
   body. */
static void
fill_response (struct control_finish_args *args,
               const struct router_claim_outcome *outcome)
{
  size_t type_bytes
      = outcome->content_type ? strlen (outcome->content_type) : 0;
  size_t bytes = type_bytes + 1 + outcome->body_bytes;
  if (!outcome->known || bytes > CONTROL_ANSWER_BYTES)
    return;
  args->http_status = outcome->http_status;
  args->body.body_val = g_malloc (bytes);
  args->body.body_len = (u_int)bytes;
  if (type_bytes > 0)
    memcpy (args->body.body_val, outcome->content_type, type_bytes);
  args->body.body_val[type_bytes] = '\n';
  if (outcome->body_bytes > 0)
    memcpy (args->body.body_val + type_bytes + 1, outcome->body,
            outcome->body_bytes);
}

void
router_claims_finish (struct router_claims *claims,
                      struct router_request *request,
                      const struct router_claim_outcome *outcome)
{
  struct claim_task *task = g_new0 (struct claim_task, 1);
  struct control_finish_args *args = &task->args;
  task->request = router_request_ref (request);
  args->cluster = (char *)claims->cluster;
  args->router = (char *)claims->host;
  args->router_incarnation = claims->incarnation;
  args->claim_id = request->claim.claim_id;
  args->account_id = request->account->account_id;
  memcpy (args->key, request->key_digest, CACTUS_DIGEST_BYTES);
  args->not_run = outcome->not_run;
  args->known = outcome->known;
  args->billed_tokens = outcome->billed_tokens;
  fill_response (args, outcome);
  atomic_fetch_add (&claims->pending_outcomes, 1);
  g_thread_pool_push (claims->outcome_pool, task, NULL);
}
