#include "router_claims.h"

#include <string.h>

#include "base_clock.h"
#include "base_log.h"
#include "router_request.h"

#define CLAIM_TIMEOUT_MS 2000
#define FINISH_TIMEOUT_MS 2000
#define FINISH_PAUSE_US 100000
/* Time after a claim without answer in which further ones are refused unsent,
   so that they don't queue up behind calls that wait for their deadline. */
#define UNREACHABLE_MS 1000
/* Time that a shutdown goes on telling control about calls that ended. */
#define SHUTDOWN_FINISH_MS 10000

struct router_claims
{
  struct control_client *client;
  const char *cluster;
  const char *host;
  uint64_t incarnation;
  _Atomic uint64_t next_id;
  /* Monotonic time until which control is taken to be out of reach, in ms. */
  _Atomic uint64_t unreachable_until_ms;
  /* Monotonic time at which outcomes are given up, in ms; 0: never. */
  _Atomic uint64_t stop_at_ms;
  /* Outcomes not yet recorded. */
  _Atomic uint32_t finishing;
  GThreadPool *claim_pool;
  /* Apart, so that outcomes that wait for control hold up no claim. */
  GThreadPool *finish_pool;
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
      claim->wire = WIRE_UNSENT;
      router_request_post (request, ROUTER_EVENT_CLAIM);
      return;
    }
  fill_claim (claims, request, &args);
  claim->wire = control_client_call (claims->client, CONTROL_CLAIM,
                                     (xdrproc_t)xdr_control_claim_args, &args,
                                     (xdrproc_t)xdr_control_claim_result,
                                     &result, sizeof result, CLAIM_TIMEOUT_MS);
  if (claim->wire == WIRE_OK)
    {
      claim->status = result.answer.status;
      claim->state = result.state;
      claim->http_status = result.http_status;
      claim->billed_tokens = result.billed_tokens;
      claim->answer = g_string_new_len (result.body.body_val,
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
send_finish (struct router_claims *claims, struct control_finish_args *args)
{
  struct control_answer answer = { 0 };
  enum wire_status wire = control_client_call (
      claims->client, CONTROL_FINISH, (xdrproc_t)xdr_control_finish_args, args,
      (xdrproc_t)xdr_control_answer, &answer, sizeof answer,
      FINISH_TIMEOUT_MS);
  bool settled = wire == WIRE_OK && answer.status != CONTROL_UNAVAILABLE
                 && answer.status != CONTROL_NOT_LEADER;
  xdr_free ((xdrproc_t)xdr_control_answer, (char *)&answer);
  return settled;
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

/* Offers an outcome to control; one that gets no answer waits for its next
   turn behind the others. */
static void
run_finish_task (gpointer data, gpointer user_data)
{
  struct claim_task *task = data;
  struct router_claims *claims = user_data;
  uint64_t stop_at_ms = atomic_load (&claims->stop_at_ms);
  if (send_finish (claims, &task->args))
    {
      free_task (task);
      atomic_fetch_sub (&claims->finishing, 1);
    }
  else if (stop_at_ms != 0 && now_ms () >= stop_at_ms)
    {
      base_log (BASE_LOG_WARNING, "outcome of a claim not recorded");
      free_task (task);
      atomic_fetch_sub (&claims->finishing, 1);
    }
  else
    {
      g_usleep (FINISH_PAUSE_US);
      g_thread_pool_push (claims->finish_pool, task, NULL);
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
  claims->finish_pool = g_thread_pool_new (run_finish_task, claims,
                                           (gint)threads, FALSE, NULL);
  return claims;
}

/* Tasks put themselves back, so the pool is freed only once it is empty. */
static void
wait_finished (struct router_claims *claims)
{
  while (atomic_load (&claims->finishing) > 0)
    g_usleep (FINISH_PAUSE_US);
}

void
router_claims_destroy (struct router_claims *claims)
{
  if (!claims)
    return;
  g_thread_pool_free (claims->claim_pool, FALSE, TRUE);
  atomic_store (&claims->stop_at_ms, now_ms () + SHUTDOWN_FINISH_MS);
  wait_finished (claims);
  g_thread_pool_free (claims->finish_pool, FALSE, TRUE);
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

/* An answer that is too large to keep is recorded without status. */
static void
fill_answer (struct control_finish_args *args,
             const struct router_claim_outcome *end)
{
  size_t type_bytes = end->content_type ? strlen (end->content_type) : 0;
  size_t bytes = type_bytes + 1 + end->body_bytes;
  if (!end->known || bytes > CONTROL_ANSWER_BYTES)
    return;
  args->http_status = end->http_status;
  args->body.body_val = g_malloc (bytes);
  args->body.body_len = (u_int)bytes;
  if (type_bytes > 0)
    memcpy (args->body.body_val, end->content_type, type_bytes);
  args->body.body_val[type_bytes] = '\n';
  if (end->body_bytes > 0)
    memcpy (args->body.body_val + type_bytes + 1, end->body, end->body_bytes);
}

void
router_claims_finish (struct router_claims *claims,
                      struct router_request *request,
                      const struct router_claim_outcome *end)
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
  args->not_run = end->not_run;
  args->known = end->known;
  args->billed_tokens = end->billed_tokens;
  fill_answer (args, end);
  atomic_fetch_add (&claims->finishing, 1);
  g_thread_pool_push (claims->finish_pool, task, NULL);
}
