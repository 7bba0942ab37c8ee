#include "edge_settle.h"

#include "edge_front.h"
#include "edge_loans.h"

void
edge_settle_first_response (struct edge_request *request)
{
  if (!request->awaits_first_response)
    return;
  request->awaits_first_response = false;
  place_note_response (&request->target->load, request->unread_tokens);
}

void
edge_release_target (struct edge_request *request)
{
  edge_attempt_destroy (request->attempt);
  request->attempt = NULL;
  if (request->via)
    edge_peers_note_open (request->edge->peers, request->via, false);
  request->via = NULL;
  request->awaits_answer_room = false;
  if (!request->target)
    return;
  edge_settle_first_response (request);
  place_note_end (&request->target->load, &request->placement);
  edge_target_unref (request->target);
  request->target = NULL;
  request->edge->has_freed_room = true;
}

/* Counts the prompt once an attempt may have run, and the output as far as it
   may have been delivered. */
uint64_t
edge_settle_tokens (const struct edge_request *request)
{
  if (!request->service)
    return 0;
  uint64_t output = (uint64_t)request->event_count
                    * MAX (request->service->tokens_per_event, 1);
  if (request->attempts_maybe_run == 0)
    return 0;
  return request->placement.prompt_tokens
         + MIN (output, request->placement.output_tokens);
}

void
edge_count_outcome (const struct edge_request *request,
                    enum edge_account_outcome outcome)
{
  if (request->account)
    edge_accounts_count_request (request->edge->accounts,
                                 request->account->name, outcome,
                                 edge_settle_tokens (request));
}

static void
settle_tokens (struct edge_request *request)
{
  if (request->loan != 0)
    {
      edge_loans_settle (
          request, request->holds_tokens ? edge_settle_tokens (request) : 0);
      request->holds_tokens = false;
    }
  if (!request->holds_tokens)
    return;
  request->holds_tokens = false;
  edge_prepaid_settle (request->edge->prepaid, request->account->name,
                       request->reserved_tokens, edge_settle_tokens (request));
}

/* Gives the memory of the body back: the answer may be read slowly. */
static void
drop_body (struct edge_request *request)
{
  if (request->body->len == 0 || !request->caller)
    return;
  g_string_free (request->body, TRUE);
  request->body = g_string_new (NULL);
  edge_front_release_body (request->edge->front, request->caller);
}

void
edge_settle_request (struct edge_request *request)
{
  struct edge *edge = request->edge;
  if (request->step == EDGE_STEP_DONE)
    return;
  edge_release_target (request);
  settle_tokens (request);
  drop_body (request);
  edge->awaiting_table -= request->step == EDGE_STEP_AWAITS_TABLE;
  request->step = EDGE_STEP_DONE;
  g_queue_unlink (&edge->requests, &request->link);
  base_counter_set (edge->counters.open_requests, edge->requests.length);
  edge_request_unref (request);
}
