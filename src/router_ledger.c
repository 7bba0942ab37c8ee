#include "router_ledger.h"

#include <stddef.h>
#include <string.h>

#include "base_clock.h"
#include "base_hash.h"
#include "router.h"

#define RESERVE_TIMEOUT_MS 2000
#define DEFAULT_BUDGET "default"

static void
handle_answer (struct ledger_request *ledger)
{
  struct router_ledger_op *op
      = (struct router_ledger_op *)((char *)ledger
                                    - offsetof (struct router_ledger_op,
                                                ledger));
  struct router_request *request = op->request;
  atomic_store (&op->answered, true);
  router_request_post (request, ROUTER_EVENT_LEDGER);
  router_request_unref (request);
}

static void
submit (struct router_request *request, struct router_ledger_op *op,
        enum ledger_op_kind kind)
{
  op->open = true;
  op->submitted_us = base_clock_now_us (base_clock_system ());
  atomic_store (&op->answered, false);
  op->ledger.done = handle_answer;
  op->ledger.op.kind = kind;
  op->ledger.ledger = request->reserve.ledger.ledger;
  router_request_ref (request);
  ledger_client_submit (request->router->ledger, &op->ledger);
}

void
router_ledger_reserve (struct router_request *request)
{
  struct router_ledger_op *op = &request->reserve;
  const char *budget
      = request->head.budget ? request->head.budget : DEFAULT_BUDGET;
  memset (&op->ledger, 0, sizeof op->ledger);
  struct ledger_reserve *reserve = &op->ledger.op.ledger_op_u.reserve;
  reserve->reservation_id = ledger_client_next_id (request->router->ledger);
  reserve->account_id = request->account->account_id;
  reserve->budget_id = base_budget_id (request->account->name, budget);
  memcpy (reserve->key, request->key_digest, CACTUS_DIGEST_BYTES);
  memcpy (reserve->body_digest, request->body_digest, CACTUS_DIGEST_BYTES);
  reserve->tokens = request->reserved_tokens;
  reserve->key_from_caller = request->head.key != NULL;
  op->ledger.deadline_ms
      = base_clock_now_ms (base_clock_system ()) + RESERVE_TIMEOUT_MS;
  submit (request, op, LEDGER_RESERVE);
}

static uint64_t
reservation_id (const struct router_request *request)
{
  return request->reserve.ledger.op.ledger_op_u.reserve.reservation_id;
}

void
router_ledger_extend (struct router_request *request, uint64_t tokens)
{
  struct ledger_extend *extend = &request->extend.ledger.op.ledger_op_u.extend;
  extend->reservation_id = reservation_id (request);
  extend->watermark_tokens = tokens;
  submit (request, &request->extend, LEDGER_EXTEND);
}

void
router_ledger_settle (struct router_request *request, uint64_t used_tokens)
{
  struct ledger_settle *settle = &request->settle.ledger.op.ledger_op_u.settle;
  uint64_t before = request->rerun_billed_tokens;
  uint64_t used = MIN (used_tokens, request->reserved_tokens);
  request->billed_tokens = MAX (used, before);
  if (!request->holds_tokens)
    return;
  request->holds_tokens = false;
  settle->reservation_id = reservation_id (request);
  settle->used_tokens = request->billed_tokens - before;
  submit (request, &request->settle, LEDGER_SETTLE);
}

void
router_ledger_release (struct router_request *request)
{
  if (!request->holds_tokens)
    return;
  request->holds_tokens = false;
  request->settle.ledger.op.ledger_op_u.release.reservation_id
      = reservation_id (request);
  submit (request, &request->settle, LEDGER_RELEASE);
}

static void
record_wait (const struct router_ledger_op *op)
{
  struct router_metrics *metrics = op->request->router->metrics;
  uint64_t wait_us
      = base_clock_now_us (base_clock_system ()) - op->submitted_us;
  if (op == &op->request->reserve)
    router_metrics_record_reserve (metrics, wait_us);
  else if (op == &op->request->settle)
    router_metrics_record_settle (metrics, wait_us);
}

bool
router_ledger_take_answer (struct router_ledger_op *op)
{
  if (!op->open || !atomic_load (&op->answered))
    return false;
  op->open = false;
  record_wait (op);
  return true;
}
