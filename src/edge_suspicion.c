#include "edge_suspicion.h"

#include <inttypes.h>

#include "base_event.h"
#include "edge_permits.h"
#include "edge_probe.h"

/* Time after the first data of a response within which it counts as just
   begun, in milliseconds. */
#define RESPONSE_BEGIN_MS 300
/* Time without data after which a lost connection was more likely given up by
   TCP than closed by the target, in milliseconds; below TCP's own timeout. */
#define SILENT_LOSS_MS 1800

static const char *
account_name (const struct edge_request *request)
{
  return request->account ? request->account->name : "";
}

static enum edge_quarantine_verdict
check_request (struct edge_request *request, uint64_t *left_ms)
{
  const struct edge_quarantine *quarantine = request->edge->quarantine;
  *left_ms = 0;
  if (request->has_trial || edge_quarantine_has_no_requests (quarantine))
    return EDGE_QUARANTINE_FREE;
  return edge_quarantine_check_request (
      quarantine, edge_request_digest (request), edge_now_ms (), left_ms);
}

const char *
edge_suspicion_find_block (struct edge_request *request, uint64_t *left_ms)
{
  if (!request->has_trial
      && edge_quarantine_check_parts (
             request->edge->quarantine, account_name (request),
             &request->placement, edge_now_ms (), left_ms)
             == EDGE_QUARANTINE_BLOCKED)
    return "a part of the prompt crashes targets";
  if (check_request (request, left_ms) == EDGE_QUARANTINE_BLOCKED)
    return "the request crashes targets";
  return NULL;
}

/* Stores the ids of the request and of the parts of its prompt of which it
   needs a trial.  Returns their number. */
static uint32_t
find_trials (struct edge_request *request, uint64_t ids[PLACE_PARTS_MAX + 1])
{
  uint64_t left_ms = 0;
  uint32_t count = 0;
  if (request->has_trial)
    return 0;
  if (check_request (request, &left_ms) != EDGE_QUARANTINE_FREE)
    ids[count++] = edge_request_digest (request);
  return count
         + edge_quarantine_find_trials (
             request->edge->quarantine, account_name (request),
             &request->placement, edge_now_ms (), ids + count);
}

bool
edge_suspicion_may_send (struct edge_request *request)
{
  struct edge_quarantine *quarantine = request->edge->quarantine;
  uint64_t ids[PLACE_PARTS_MAX + 1];
  uint32_t count = find_trials (request, ids);
  bool may_send = true;
  for (uint32_t i = 0; i < count; i++)
    may_send = may_send && edge_quarantine_has_trial (quarantine, ids[i]);
  if (may_send && count > 0)
    {
      request->has_trial = true;
      for (uint32_t i = 0; i < count; i++)
        edge_quarantine_take_trial (quarantine, ids[i]);
    }
  request->awaits_trial = !may_send;
  return may_send;
}

bool
edge_suspicion_await_trial (struct edge_request *request)
{
  uint64_t ids[PLACE_PARTS_MAX + 1];
  uint32_t count = find_trials (request, ids);
  if (!edge_permits_await_trial (request))
    return false;
  for (uint32_t i = 0; i < count; i++)
    edge_quarantine_ask_trial (request->edge->quarantine, ids[i]);
  return true;
}

/* Returns whether the present attempt has a head but hardly any response.  The
   head tells the request that the target answered when it crashed from those
   that still waited there. */
static bool
has_just_begun (const struct edge_request *request, uint64_t now_ms)
{
  return edge_attempt_head_ms (request->attempt) > 0
         && edge_attempt_body (request->attempt)->len == 0
         && request->event_count <= request->events_before + 1
         && (request->first_data_ms == 0
             || now_ms < request->first_data_ms + RESPONSE_BEGIN_MS);
}

/* Logs what a lost attempt is taken for. */
static void
log_loss (struct edge_request *request, const char *suspects)
{
  base_event ("loss-judged id=%s target=%s account=%s request=%" PRIx64
              " suspects=%s",
              request->head.request_id, request->target->record.name,
              request->account ? request->account->name : "-",
              edge_request_digest (request), suspects);
}

void
edge_suspicion_note_lost (struct edge_request *request)
{
  struct edge *edge = request->edge;
  uint64_t now_ms = edge_now_ms ();
  if (!request->attempt)
    return;
  uint64_t head_ms = edge_attempt_head_ms (request->attempt);
  uint64_t heard_ms = MAX (head_ms, request->last_data_ms);
  bool has_begun = head_ms > 0;
  if (edge_attempt_is_silent_loss (request->attempt)
      || (has_begun && now_ms >= heard_ms + SILENT_LOSS_MS))
    {
      log_loss (request, "none,silent");
      return;
    }
  const struct edge_quarantine_loss loss = {
    .target = request->target->record.name,
    .account = account_name (request),
    .digest = edge_request_digest (request),
    .sent_ms = request->sent_ms,
  };
  bool is_early = !has_begun || has_just_begun (request, now_ms);
  bool has_parts
      = request->service->is_engine && request->placement.part_count > 0;
  if (is_early)
    {
      request->is_suspected
          = edge_quarantine_suspects_request (edge->quarantine, loss.digest);
      edge_quarantine_note_lost_request (edge->quarantine, &loss, now_ms);
    }
  if (has_parts)
    edge_quarantine_note_open (edge->quarantine, loss.target, loss.account,
                               &request->placement, now_ms);
  if (has_parts && has_begun && is_early)
    edge_quarantine_note_lost (edge->quarantine, loss.target, loss.account,
                               &request->placement, now_ms);
  log_loss (request, has_parts ? (is_early ? "request,parts" : "parts")
                               : (is_early ? "request" : "none,begun"));
  if (has_parts || is_early)
    edge_probe_start (edge, request->target, NULL, EDGE_PROBE_CRASH, now_ms);
}

void
edge_suspicion_note_complete (struct edge_request *request, bool is_success)
{
  struct edge_quarantine *quarantine = request->edge->quarantine;
  if (edge_attempt_body_end (request->attempt) == HTTP_BODY_END_CONNECTION)
    return;
  if (!edge_quarantine_has_no_requests (quarantine))
    edge_quarantine_note_sound_request (quarantine,
                                        edge_request_digest (request));
  if (!is_success)
    return;
  edge_quarantine_note_sound (quarantine, &request->placement);
  edge_quarantine_note_served (quarantine, &request->placement,
                               edge_now_ms ());
}
