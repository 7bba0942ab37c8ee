#include "edge_pacing.h"

#include <glib.h>

uint32_t
edge_pacing_note_head (struct edge_pacing *pacing,
                       const struct edge_target_response *response,
                       uint64_t now_ms)
{
  uint32_t changes = 0;
  if (response->is_leaving && !pacing->is_leaving)
    {
      pacing->is_leaving = true;
      changes |= EDGE_PACING_LEAVES;
    }
  if (response->is_brittle != pacing->is_brittle
      || (response->is_brittle
          && response->rejections_per_s != pacing->rejections_per_s))
    changes |= EDGE_PACING_BRITTLE;
  pacing->is_brittle = response->is_brittle;
  pacing->rejections_per_s = response->rejections_per_s;
  pacing->stated_ms = now_ms;
  if (response->rest_ms > 0)
    {
      pacing->rest_until_ms
          = MAX (pacing->rest_until_ms, now_ms + response->rest_ms);
      changes |= EDGE_PACING_RESTS;
    }
  return changes;
}
