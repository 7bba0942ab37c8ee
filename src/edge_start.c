#include "edge_start.h"

/* Requests that wait at most; each keeps its body in memory. */
#define WAITING_MAX 500
/* Part of the caller's time that may pass: enough must be left for the
   response, or for another try. */
#define DEADLINE_PART 3

bool
edge_start_may_wait (const struct edge_start *start, uint64_t now_ms)
{
  uint64_t limit_ms = start->wait_max_ms;
  if (start->deadline_ms > 0 && start->deadline_ms / DEADLINE_PART < limit_ms)
    limit_ms = start->deadline_ms / DEADLINE_PART;
  return start->waiting < WAITING_MAX && now_ms < start->arrived_ms + limit_ms;
}
