#include "retry.h"

#include <stdatomic.h>

#include <glib.h>

/* Maximum number of attempts, including the first. */
#define ATTEMPTS_MAX 4
/* Minimum time until the deadline for another attempt to be useful. */
#define REMAINING_MIN_MS 20
/* The budget counts thousandths of a retry. */
#define RETRY_UNIT 1000
#define UNITS_PER_PERCENT (RETRY_UNIT / 100)

struct retry_budget
{
  int64_t earn_units;
  int64_t burst_units;
  _Atomic int64_t units;
};

struct retry_budget *
retry_budget_create (uint32_t percent, uint32_t burst)
{
  struct retry_budget *budget = g_new0 (struct retry_budget, 1);
  budget->earn_units = (int64_t)percent * UNITS_PER_PERCENT;
  budget->burst_units = (int64_t)burst * RETRY_UNIT;
  atomic_init (&budget->units, budget->burst_units);
  return budget;
}

void
retry_budget_destroy (struct retry_budget *budget)
{
  g_free (budget);
}

void
retry_budget_earn (struct retry_budget *budget)
{
  int64_t units = atomic_load (&budget->units);
  int64_t earned;
  do
    {
      earned = MIN (units + budget->earn_units, budget->burst_units);
    }
  while (!atomic_compare_exchange_weak (&budget->units, &units, earned));
}

static bool
spend (struct retry_budget *budget)
{
  int64_t units = atomic_load (&budget->units);
  do
    {
      if (units < RETRY_UNIT)
        return false;
    }
  while (!atomic_compare_exchange_weak (&budget->units, &units,
                                        units - RETRY_UNIT));
  return true;
}

/* Whether a repeat can neither run the request twice nor corrupt a response
   that was partly forwarded. */
static bool
is_safe_to_repeat (enum retry_progress progress, bool idempotent)
{
  switch (progress)
    {
    case RETRY_UNSENT:
    case RETRY_REFUSED:
      return true;
    case RETRY_SENT:
      return idempotent;
    case RETRY_RESPONSE_STARTED:
    default:
      return false;
    }
}

enum retry_decision
retry_decide (struct retry_budget *budget, enum retry_progress progress,
              bool idempotent, uint32_t attempt, uint32_t remaining_ms)
{
  bool not_run = progress == RETRY_UNSENT || progress == RETRY_REFUSED;
  enum retry_decision stop = not_run ? RETRY_STOP_NOT_RUN : RETRY_STOP_UNKNOWN;
  if (!is_safe_to_repeat (progress, idempotent))
    return stop;
  if (attempt >= ATTEMPTS_MAX || remaining_ms < REMAINING_MIN_MS)
    return stop;
  if (progress != RETRY_UNSENT && !spend (budget))
    return stop;
  return RETRY_AGAIN;
}
