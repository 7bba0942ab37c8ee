#include "pick_estimate.h"

#include <string.h>

#define WEIGHT_DEFAULT 100.0
/* Estimated use of the slots, in percent, from which a target counts as
   full.  It is above 100 because the reports are out of date. */
#define ESTIMATE_MAX_PERCENT 125

static uint32_t
load_field (const uint32_t *field)
{
  return __atomic_load_n (field, __ATOMIC_RELAXED);
}

uint32_t
pick_estimate_requests (const struct registry_target *target)
{
  int64_t open = load_field (&target->load->open);
  int64_t reported = (int64_t)target->record.running + target->record.queued;
  int64_t estimate
      = reported + open - load_field (&target->load->open_at_report);
  return (uint32_t)(estimate > open ? estimate : open);
}

static double
scale_load (const struct registry_target *target, uint32_t requests)
{
  return requests * WEIGHT_DEFAULT
         / ((double)target->record.slots * target->record.weight);
}

double
pick_estimate_load (const struct registry_target *target)
{
  return scale_load (target, pick_estimate_requests (target));
}

double
pick_reported_load (const struct registry_target *target)
{
  return registry_record_load (&target->record);
}

/* Part of a limit that a class may use, at least 1. */
static uint32_t
class_limit (uint32_t limit, uint32_t percent)
{
  uint64_t part = (uint64_t)limit * percent / 100;
  return part > 0 ? (uint32_t)part : 1;
}

static bool
is_in_backoff (const struct registry_load *load, uint64_t now_ms)
{
  return __atomic_load_n (&load->backoff_until_ms, __ATOMIC_ACQUIRE) > now_ms;
}

static bool
has_failed (const struct registry_target *target,
            const struct pick_request *request)
{
  for (uint32_t i = 0; i < request->avoid_count; i++)
    if (strcmp (request->avoid[i], target->record.target) == 0)
      return true;
  return false;
}

enum pick_state
pick_state_of (const struct registry_target *target,
               const struct pick_request *request)
{
  const struct registry_record *record = &target->record;
  if (target->drained || request->now_ms >= target->lapse_at_ms)
    return PICK_STATE_EXCLUDED;
  if (has_failed (target, request))
    return PICK_STATE_EXCLUDED;
  uint32_t own_limit
      = request->target_limit ? request->target_limit : record->slots;
  uint32_t percent = request->slot_percent ? request->slot_percent : 100;
  if (is_in_backoff (target->load, request->now_ms))
    return PICK_STATE_FULL;
  if (load_field (&target->load->open) >= class_limit (own_limit, percent))
    return PICK_STATE_FULL;
  uint32_t all_limit = class_limit (record->slots, percent);
  if ((uint64_t)pick_estimate_requests (target) * 100
      >= (uint64_t)all_limit * ESTIMATE_MAX_PERCENT)
    return PICK_STATE_FULL;
  return PICK_STATE_FREE;
}
