#include "router_begin.h"

#include <inttypes.h>
#include <string.h>

#include <sodium.h>

#include "base_hash.h"
#include "router.h"
#include "router_finish.h"
#include "router_ledger.h"
#include "router_serve.h"
#include "router_worker.h"

#define CHAT_PATH "/v1/chat/completions"
#define COMPLETION_PATH "/v1/completions"
#define SERVICES_PREFIX "/services/"
#define KEY_MAX_BYTES 200
/* Maximum number of reruns of one billed idempotency key; further requests
   with it are refused. */
#define RERUNS_MAX 8

static void
make_request_id (struct router_request *request)
{
  uint8_t bytes[(ROUTER_REQUEST_ID_BYTES - 1) / 2];
  randombytes_buf (bytes, sizeof bytes);
  base_hex_write (request->request_id, bytes, sizeof bytes);
}

static bool
find_account (struct router_request *request)
{
  uint8_t digest[CACTUS_DIGEST_BYTES];
  const char *key = request->head.bearer;
  if (key)
    {
      base_digest (digest, key, strlen (key));
      request->account = bundle_find_account_by_key (request->bundle, digest);
    }
  if (request->account)
    return true;
  router_finish_refuse (
      request, ROUTER_REFUSAL_BAD_KEY, 0,
      key ? "unknown API key"
          : "the Authorization header must hold a bearer API key");
  return false;
}

static bool
read_body (struct router_request *request, bool chat)
{
  const GString *body = request->head.body;
  struct base_findings *findings = base_findings_create ();
  int result = router_body_read (&request->body, body->str, body->len, chat,
                                 findings);
  if (result != 0)
    {
      char *text = base_findings_join (findings);
      router_finish_refuse (request, ROUTER_REFUSAL_BAD_REQUEST, 0, "%s",
                            g_strchomp (text));
      g_free (text);
    }
  base_findings_destroy (findings);
  return result == 0;
}

static bool
find_service (struct router_request *request, const char *name,
              enum bundle_service_kind kind)
{
  request->service = bundle_find_service (request->bundle, name);
  if (request->service && request->service->kind == kind)
    return true;
  router_finish_refuse (request, ROUTER_REFUSAL_UNKNOWN_SERVICE, 0,
                        "unknown service: %.64s", name);
  return false;
}

static bool
find_plain_service (struct router_request *request)
{
  const char *name = request->head.path + strlen (SERVICES_PREFIX);
  const char *slash = strchr (name, '/');
  char *service
      = slash ? g_strndup (name, (gsize)(slash - name)) : g_strdup (name);
  bool found = find_service (request, service, BUNDLE_SERVICE_PLAIN);
  if (found)
    request->idempotent = !bundle_service_is_non_idempotent (
        request->service, request->head.method, slash ? slash : "/");
  g_free (service);
  return found;
}

static bool
find_model_service (struct router_request *request, bool chat)
{
  request->idempotent = true;
  if (strcmp (request->head.method, "POST") != 0)
    {
      router_finish_refuse (request, ROUTER_REFUSAL_METHOD_NOT_ALLOWED, 0,
                            "this path accepts only POST");
      return false;
    }
  return read_body (request, chat)
         && find_service (request, request->body.model, BUNDLE_SERVICE_MODEL);
}

static bool
find_service_by_path (struct router_request *request)
{
  const char *path = request->head.path;
  if (strcmp (path, CHAT_PATH) == 0)
    return find_model_service (request, true);
  if (strcmp (path, COMPLETION_PATH) == 0)
    return find_model_service (request, false);
  if (g_str_has_prefix (path, SERVICES_PREFIX))
    return find_plain_service (request);
  router_finish_refuse (
      request, ROUTER_REFUSAL_UNKNOWN_PATH, 0,
      "unknown path: this router serves /v1/chat/completions, /v1/completions "
      "and /services/");
  return false;
}

static bool
find_rule (struct router_request *request)
{
  struct router_metrics *metrics = request->router->metrics;
  request->rule
      = bundle_find_rule (request->bundle, request->account, request->service,
                          request->head.class_name);
  if (!request->rule)
    {
      router_finish_refuse (
          request, ROUTER_REFUSAL_NO_RULE, 0,
          "no rule allows this account to use %s%s", request->service->name,
          request->head.class_name ? " in the requested class" : "");
      return false;
    }
  request->request_class = request->rule->request_class;
  request->class_series
      = router_metrics_class (metrics, request->request_class->name);
  request->account_series
      = router_metrics_account (metrics, request->account->name);
  request->deadline_ms
      = request->head.arrived_us / 1000 + request->request_class->total_ms;
  return true;
}

static bool
check_size (struct router_request *request)
{
  uint32_t limit = request->service->max_body_bytes;
  if (limit == 0)
    limit = CACTUS_BODY_BYTES;
  if (request->head.body->len <= limit)
    return true;
  router_finish_refuse (request, ROUTER_REFUSAL_TOO_LARGE, 0,
                        "the body exceeds the limit of %" PRIu32 " bytes",
                        limit);
  return false;
}

static bool
set_key (struct router_request *request)
{
  const char *key = request->head.key;
  if (!key && !request->idempotent)
    {
      router_finish_refuse (request, ROUTER_REFUSAL_BAD_REQUEST, 0,
                            "this call requires an Idempotency-Key header");
      return false;
    }
  if (key && (*key == '\0' || strlen (key) > KEY_MAX_BYTES))
    {
      router_finish_refuse (request, ROUTER_REFUSAL_BAD_REQUEST, 0,
                            "the Idempotency-Key header must have 1 to %d "
                            "bytes",
                            KEY_MAX_BYTES);
      return false;
    }
  g_strlcpy (request->key, key ? key : request->request_id,
             sizeof request->key);
  base_digest (request->key_digest, request->key, strlen (request->key));
  return true;
}

static void
digest_body (struct router_request *request)
{
  const struct router_head *head = &request->head;
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "%s %s\n%s\n", head->method, head->uri,
                          head->budget ? head->budget : "");
  g_string_append_len (text, head->body->str, (gssize)head->body->len);
  base_digest (request->body_digest, text->str, text->len);
  g_string_free (text, TRUE);
}

static void
set_limits (struct router_request *request)
{
  const struct bundle_service *service = request->service;
  uint32_t limit = service->max_output_tokens;
  uint32_t rule_limit = request->rule->max_output_tokens;
  if (service->kind == BUNDLE_SERVICE_PLAIN)
    {
      request->reserved_tokens = service->call_tokens;
      return;
    }
  if (rule_limit > 0 && rule_limit < limit)
    limit = rule_limit;
  request->max_tokens = request->body.max_tokens;
  if (request->max_tokens == 0 || request->max_tokens > limit)
    request->max_tokens = limit;
  request->reserved_tokens
      = request->body.prompt_bound_tokens + request->max_tokens;
  request->target_body = router_body_print (
      &request->body, request->max_tokens, &request->target_body_bytes);
}

static bool
validate (struct router_request *request)
{
  struct bundle *bundle = router_worker_bundle (request->worker);
  make_request_id (request);
  if (!bundle)
    {
      router_finish_refuse (request, ROUTER_REFUSAL_NO_BUNDLE, 0,
                            "no configuration is in force yet");
      return false;
    }
  request->bundle = bundle_ref (bundle);
  return find_account (request) && find_service_by_path (request)
         && check_size (request) && find_rule (request) && set_key (request);
}

void
router_begin (struct router_request *request)
{
  router_worker_add (request->worker, request);
  if (!validate (request))
    return;
  digest_body (request);
  set_limits (request);
  request->step = ROUTER_STEP_RESERVING;
  if (request->reserved_tokens > 0)
    router_ledger_reserve (request);
  else
    router_serve_start (request);
}

/* An earlier run of this key was billed, but the caller may not have received
   its response.  Runs the request again under a key derived from it; only
   tokens beyond the earlier bill are billed. */
static void
rerun (struct router_request *request)
{
  uint8_t seed[CACTUS_DIGEST_BYTES + 1];
  request->rerun_billed_tokens += request->reserve.ledger.result.tokens;
  request->reruns++;
  if (!request->head.key || request->reruns > RERUNS_MAX)
    {
      router_finish_refuse (request, ROUTER_REFUSAL_ALREADY_BILLED, 0,
                            "a request with this idempotency key ran and was "
                            "billed; use a new key");
      return;
    }
  memcpy (seed, request->key_digest, CACTUS_DIGEST_BYTES);
  seed[CACTUS_DIGEST_BYTES] = (uint8_t)request->reruns;
  base_digest (request->key_digest, seed, sizeof seed);
  router_ledger_reserve (request);
}

static void
refuse_reservation (struct router_request *request, enum ledger_status status)
{
  const struct ledger_op_result *result = &request->reserve.ledger.result;
  if (status == LEDGER_NO_BUDGET && request->rerun_billed_tokens > 0)
    router_finish_refuse (request, ROUTER_REFUSAL_ALREADY_BILLED,
                          result->retry_after_ms,
                          "a request with this idempotency key ran and was "
                          "billed, and the budget has "
                          "too few tokens to run it again");
  else if (status == LEDGER_NO_BUDGET)
    router_finish_refuse (
        request, ROUTER_REFUSAL_BUDGET_EXHAUSTED, result->retry_after_ms,
        "the budget has %" PRIu64
        " tokens free at this ledger, but the request may need "
        "%" PRIu64,
        (uint64_t)result->tokens, request->reserved_tokens);
  else if (status == LEDGER_DUPLICATE_OPEN)
    router_finish_refuse (
        request, ROUTER_REFUSAL_IN_PROGRESS, result->retry_after_ms,
        "a request with this idempotency key is in progress");
  else if (status == LEDGER_KEY_CONFLICT)
    router_finish_refuse (
        request, ROUTER_REFUSAL_KEY_CONFLICT, 0,
        "this idempotency key was used with a different request");
  else
    router_finish_refuse (
        request, ROUTER_REFUSAL_LEDGER_UNAVAILABLE, result->retry_after_ms,
        "no ledger can accept the reservation at the moment");
}

void
router_begin_handle_reservation (struct router_request *request)
{
  enum ledger_status status = request->reserve.ledger.result.status;
  bool lost = request->reserve.ledger.lost;
  bool duplicate
      = status == LEDGER_DUPLICATE_DONE || status == LEDGER_DUPLICATE_OPEN;
  if (!lost && status == LEDGER_OK)
    request->holds_tokens = true;
  if (request->caller_left)
    {
      router_ledger_release (request);
      router_finish_close (request);
    }
  else if (lost)
    router_finish_refuse (request, ROUTER_REFUSAL_LEDGER_UNAVAILABLE, 0,
                          "no ledger answered the reservation in time");
  else if (status == LEDGER_OK || (duplicate && !request->idempotent))
    router_serve_start (request);
  else if (status == LEDGER_DUPLICATE_DONE)
    rerun (request);
  else
    refuse_reservation (request, status);
}
