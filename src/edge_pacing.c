#include "edge_pacing.h"

#include <glib.h>

/* Time after which a statement of a target gives way to newer ones of other
   targets of its service, in milliseconds. */
#define STALE_MS 2000
/* Part of a rest by which it may be lengthened, and the number of requests
   from which on a target counts as back to normal. */
#define REST_SPREAD 10
#define WINDOW_MAX 32
/* Time over which a brittle target counts its rejections, and the longest wait
   after one, in milliseconds. */
#define REJECTION_MS UINT64_C (1000)
#define REJECTION_REST_MAX_MS UINT64_C (15000)

/* Takes note of a rest that a response asks for, or of a request that the
   target took after one. */
static uint32_t
note_rest (struct edge_pacing *pacing,
           const struct edge_target_response *response, uint64_t now_ms,
           uint64_t random)
{
  if (response->rest_ms > 0)
    {
      uint64_t later_ms = random % (response->rest_ms / REST_SPREAD + 1);
      pacing->rest_until_ms
          = MAX (pacing->rest_until_ms, now_ms + response->rest_ms + later_ms);
      pacing->window = EDGE_PACING_FIRST_WINDOW;
      return EDGE_PACING_RESTS;
    }
  if (!response->not_run && pacing->window > 0
      && now_ms >= pacing->rest_until_ms)
    pacing->window = pacing->window < WINDOW_MAX ? 2 * pacing->window : 0;
  return 0;
}

uint32_t
edge_pacing_note_head (struct edge_pacing *pacing,
                       const struct edge_target_response *response,
                       uint64_t now_ms, uint64_t random)
{
  uint32_t changes = 0;
  if (response->is_leaving && !pacing->is_leaving)
    {
      pacing->is_leaving = true;
      changes |= EDGE_PACING_LEAVES;
    }
  if (response->malformed_statement && !response->is_brittle)
    return changes | note_rest (pacing, response, now_ms, random);
  if (response->is_brittle != pacing->is_brittle
      || (response->is_brittle
          && response->rejections_per_s != pacing->rejections_per_s))
    changes |= EDGE_PACING_BRITTLE;
  pacing->is_brittle = response->is_brittle;
  pacing->rejections_per_s = response->rejections_per_s;
  pacing->stated_ms = now_ms;
  return changes | note_rest (pacing, response, now_ms, random);
}

uint32_t
edge_pacing_window (const struct edge_pacing *pacing)
{
  return pacing->window > 0 ? pacing->window : UINT32_MAX;
}

bool
edge_pacing_is_stale (const struct edge_pacing *pacing, uint64_t now_ms)
{
  return pacing->stated_ms == 0 || now_ms >= pacing->stated_ms + STALE_MS;
}

uint32_t
edge_pacing_round_part (uint32_t slots, uint64_t weight, uint64_t weights)
{
  return (uint32_t)(MAX (slots, 1) * weight / MAX (weights, 1));
}

uint32_t
edge_pacing_brittle_window (const struct edge_pacing_part *part)
{
  return edge_pacing_round_part (part->slots, part->weight, part->weights)
         + (part->rank < part->left_over);
}

void
edge_pacing_note_rejection (struct edge_pacing *pacing, uint32_t routers,
                            uint64_t now_ms)
{
  uint32_t allowed = MAX (pacing->rejections_per_s, 1);
  uint64_t fair_ms
      = (MAX (routers, allowed) * REJECTION_MS + allowed - 1) / allowed;
  uint64_t rest_ms = MIN (fair_ms, REJECTION_REST_MAX_MS);
  pacing->rest_until_ms = MAX (pacing->rest_until_ms, now_ms + rest_ms);
}

uint64_t
edge_pacing_rest_left_ms (const struct edge_pacing *pacing, uint64_t now_ms)
{
  return pacing->rest_until_ms > now_ms ? pacing->rest_until_ms - now_ms : 0;
}
