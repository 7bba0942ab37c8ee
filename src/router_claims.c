#include "router_claims.h"

#include <string.h>

#include "base_log.h"
#include "router_request.h"

#define CLAIM_TIMEOUT_MS 2000
#define FINISH_TIMEOUT_MS 2000
/* Time after which the outcome of a call is no longer offered to control,
   which then takes it for unknown. */
#define FINISH_GIVE_UP_S 30
#define FINISH_PAUSE_US 100000

struct router_claims
{
  struct control_client *client;
  const char *cluster;
  const char *host;
  uint64_t incarnation;
  _Atomic uint64_t next_id;
  GThreadPool *pool;
};

/* One call to control. */
struct claim_task
{
  struct router_request *request;
  bool finish;
  struct control_finish_args args;
};

static void
fill_claim (struct router_claims *claims, struct router_request *request,
            struct control_claim_args *args)
{
  args->cluster = (char *)claims->cluster;
  args->router = (char *)claims->host;
  args->router_incarnation = claims->incarnation;
  args->claim_id = atomic_fetch_add (&claims->next_id, 1);
  args->account_id = request->account->account_id;
  memcpy (args->key, request->key_digest, CACTUS_DIGEST_BYTES);
  memcpy (args->body_digest, request->body_digest, CACTUS_DIGEST_BYTES);
}

static void
run_claim (struct router_claims *claims, struct router_request *request)
{
  struct control_claim_args args = { 0 };
  struct control_claim_result result = { 0 };
  struct router_claim *claim = &request->claim;
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
run_finish (struct router_claims *claims, struct control_finish_args *args)
{
  gint64 until
      = g_get_monotonic_time () + FINISH_GIVE_UP_S * G_TIME_SPAN_SECOND;
  while (!send_finish (claims, args))
    {
      if (g_get_monotonic_time () > until)
        {
          base_log (BASE_LOG_WARNING, "outcome of a claim not recorded");
          return;
        }
      g_usleep (FINISH_PAUSE_US);
    }
}

static void
run_task (gpointer data, gpointer user_data)
{
  struct claim_task *task = data;
  struct router_claims *claims = user_data;
  if (task->finish)
    run_finish (claims, &task->args);
  else
    run_claim (claims, task->request);
  router_request_unref (task->request);
  g_free (task->args.body.body_val);
  g_free (task);
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
  claims->pool
      = g_thread_pool_new (run_task, claims, (gint)threads, FALSE, NULL);
  return claims;
}

void
router_claims_destroy (struct router_claims *claims)
{
  if (!claims)
    return;
  g_thread_pool_free (claims->pool, FALSE, TRUE);
  g_free (claims);
}

void
router_claims_claim (struct router_claims *claims,
                     struct router_request *request)
{
  struct claim_task *task = g_new0 (struct claim_task, 1);
  task->request = router_request_ref (request);
  g_thread_pool_push (claims->pool, task, NULL);
}

/* An answer that is too large to keep is recorded without status. */
static void
fill_answer (struct control_finish_args *args,
             const struct router_claim_end *end)
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
                      const struct router_claim_end *end)
{
  struct claim_task *task = g_new0 (struct claim_task, 1);
  struct control_finish_args *args = &task->args;
  task->request = router_request_ref (request);
  task->finish = true;
  args->cluster = (char *)claims->cluster;
  args->router = (char *)claims->host;
  args->router_incarnation = claims->incarnation;
  args->account_id = request->account->account_id;
  memcpy (args->key, request->key_digest, CACTUS_DIGEST_BYTES);
  args->not_run = end->not_run;
  args->known = end->known;
  args->billed_tokens = end->billed_tokens;
  fill_answer (args, end);
  g_thread_pool_push (claims->pool, task, NULL);
}
