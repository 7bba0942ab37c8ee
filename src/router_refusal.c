#include "router_refusal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define MS_PER_SECOND 1000u
#define SHORT_RETRY_MS 1000
#define LONG_RETRY_MS 5000

/* Response that the caller receives.  run is "not-run" only where it is
   certain that no target ran the request. */
struct refusal_text
{
  unsigned int status;
  const char *type;
  const char *code;
  const char *run;
  uint32_t retry_after_ms;
};

static const struct refusal_text texts[] = {
  [ROUTER_REFUSAL_BAD_REQUEST]
  = { 400, "invalid_request_error", "invalid_request", "not-run", 0 },
  [ROUTER_REFUSAL_BAD_KEY]
  = { 401, "authentication_error", "invalid_api_key", "not-run", 0 },
  [ROUTER_REFUSAL_NO_RULE]
  = { 403, "permission_error", "no_rule", "not-run", 0 },
  [ROUTER_REFUSAL_UNKNOWN_SERVICE]
  = { 404, "not_found_error", "unknown_service", "not-run", 0 },
  [ROUTER_REFUSAL_UNKNOWN_PATH]
  = { 404, "not_found_error", "unknown_path", "not-run", 0 },
  [ROUTER_REFUSAL_METHOD_NOT_ALLOWED]
  = { 405, "invalid_request_error", "method_not_allowed", "not-run", 0 },
  [ROUTER_REFUSAL_TOO_LARGE]
  = { 413, "invalid_request_error", "body_too_large", "not-run", 0 },
  [ROUTER_REFUSAL_KEY_CONFLICT]
  = { 422, "idempotency_error", "key_conflict", "not-run", 0 },
  [ROUTER_REFUSAL_IN_PROGRESS]
  = { 409, "idempotency_error", "request_in_progress", "unknown",
      SHORT_RETRY_MS },
  [ROUTER_REFUSAL_ALREADY_BILLED]
  = { 409, "idempotency_error", "already_billed", "ran", 0 },
  [ROUTER_REFUSAL_OUTCOME_UNKNOWN]
  = { 409, "idempotency_error", "outcome_unknown", "unknown", 0 },
  [ROUTER_REFUSAL_ANSWER_NOT_KEPT]
  = { 409, "idempotency_error", "answer_not_kept", "ran", 0 },
  [ROUTER_REFUSAL_BUDGET_EXHAUSTED]
  = { 429, "insufficient_quota", "budget_exhausted", "not-run",
      LONG_RETRY_MS },
  [ROUTER_REFUSAL_OVERLOADED]
  = { 503, "overloaded_error", "overloaded", "not-run", SHORT_RETRY_MS },
  [ROUTER_REFUSAL_QUEUE_TIMEOUT]
  = { 503, "overloaded_error", "queue_timeout", "not-run", SHORT_RETRY_MS },
  [ROUTER_REFUSAL_NO_TARGET]
  = { 503, "unavailable_error", "no_target", "not-run", SHORT_RETRY_MS },
  [ROUTER_REFUSAL_LEDGER_UNAVAILABLE]
  = { 503, "unavailable_error", "ledger_unavailable", "not-run",
      SHORT_RETRY_MS },
  [ROUTER_REFUSAL_CONTROL_UNAVAILABLE]
  = { 503, "unavailable_error", "control_unavailable", "not-run",
      SHORT_RETRY_MS },
  [ROUTER_REFUSAL_NO_BUNDLE] = { 503, "unavailable_error", "no_configuration",
                                 "not-run", SHORT_RETRY_MS },
  [ROUTER_REFUSAL_STOPPING]
  = { 503, "unavailable_error", "stopping", "not-run", SHORT_RETRY_MS },
  [ROUTER_REFUSAL_TARGETS_UNAVAILABLE]
  = { 503, "unavailable_error", "targets_unavailable", "not-run",
      SHORT_RETRY_MS },
  [ROUTER_REFUSAL_TARGET_FAILED]
  = { 502, "target_error", "target_failed", "unknown", SHORT_RETRY_MS },
  [ROUTER_REFUSAL_DEADLINE]
  = { 504, "target_error", "deadline", "unknown", SHORT_RETRY_MS }
};

const char *
router_refusal_code (enum router_refusal refusal)
{
  return texts[refusal].code;
}

unsigned int
router_refusal_status (enum router_refusal refusal)
{
  return texts[refusal].status;
}

const char *
router_refusal_run (enum router_refusal refusal)
{
  return texts[refusal].run;
}

char *
router_refusal_print (enum router_refusal refusal, const char *message)
{
  const struct refusal_text *text = &texts[refusal];
  json_t *object
      = json_pack ("{s:{s:s, s:s, s:s}}", "error", "type", text->type, "code",
                   text->code, "message", message);
  char *line = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return line;
}

static void
add_retry_after (struct MHD_Response *response, uint32_t retry_after_ms)
{
  char seconds[16];
  snprintf (seconds, sizeof seconds, "%u",
            (retry_after_ms + MS_PER_SECOND - 1) / MS_PER_SECOND);
  MHD_add_response_header (response, "Retry-After", seconds);
}

struct MHD_Response *
router_refusal_response (enum router_refusal refusal, const char *message,
                         const char *request_id, uint32_t retry_after_ms)
{
  const struct refusal_text *text = &texts[refusal];
  char *line = router_refusal_print (refusal, message);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (line), line, MHD_RESPMEM_MUST_FREE);
  if (retry_after_ms == 0)
    retry_after_ms = text->retry_after_ms;
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Cactus-Run", text->run);
  if (request_id)
    MHD_add_response_header (response, "Cactus-Request-Id", request_id);
  if (retry_after_ms > 0)
    add_retry_after (response, retry_after_ms);
  return response;
}
