#include "edge_pool.h"

#include <inttypes.h>

#include "base_event.h"

/* Time without an answer after which the deadline of a request says that its
   connection is silent, in milliseconds. */
#define SILENT_MS 1000

/* Closes the connections that requests still use, once these end. */
static void
retire_open_connections (const struct edge *edge,
                         const struct edge_target *target)
{
  for (const GList *link = edge->requests.head; link; link = link->next)
    {
      const struct edge_request *other = link->data;
      if (other->target == target && other->attempt && !other->via)
        edge_attempt_forbid_reuse (other->attempt);
    }
}

void
edge_pool_note_silence (struct edge_request *request)
{
  struct edge *edge = request->edge;
  struct edge_target *target = request->target;
  const struct edge_attempt *attempt = request->attempt;
  if (!attempt || request->via || request->is_buffer_full
      || (!edge_attempt_has_head (attempt)
          && !edge_attempt_awaits_on_kept (attempt)))
    return;
  request->needs_connection = true;
  if (edge_attempt_pool (attempt) != target->pool)
    return;
  retire_open_connections (edge, target);
  target->pool = ++edge->last_pool;
  base_counter_add (edge->counters.pools_replaced, 1);
  base_event (
      "target-connections-silent target=%s id=%s head=%d pool=%" PRIu32,
      target->record.name, request->head.request_id,
      edge_attempt_has_head (attempt), target->pool);
}

void
edge_pool_note_deadline (struct edge_request *request, uint64_t now_ms)
{
  if (request->step == EDGE_STEP_SENT
      && now_ms >= MAX (request->sent_ms, request->last_data_ms) + SILENT_MS)
    edge_pool_note_silence (request);
}
