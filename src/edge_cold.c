#include "edge_cold.h"

#include "control_bucket.h"

/* Time whose permits must keep the bound of a second, in milliseconds:
   control's clock may be set forward by half a second meanwhile. */
#define SPAN_MS 1500
/* Highest rate that is tried, in requests per 1,000 s. */
#define RATE_MAX_MRPS INT64_C (100000000)

int64_t
edge_cold_rate_mrps (double per_s, const struct edge_cold_bounds *bounds)
{
  double allowed_micro = (per_s * bounds->overage + bounds->slack)
                         * (double)CONTROL_BUCKET_MICRO;
  int64_t low = EDGE_COLD_NONE;
  int64_t high = RATE_MAX_MRPS;
  while (low < high)
    {
      int64_t middle = low + (high - low + 1) / 2;
      if ((double)control_bucket_most_micro ((uint64_t)middle, SPAN_MS)
          <= allowed_micro)
        low = middle;
      else
        high = middle - 1;
    }
  return low;
}
