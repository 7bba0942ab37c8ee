#include "gossip_codec.h"

#include <string.h>

#include <glib.h>

/* Layout of gossip_load's report: age in units of AGE_UNIT_MS in the top 12
   bits, then 10 bits each for running and queued requests. */
#define AGE_UNIT_MS 4
#define AGE_SHIFT 20
#define AGE_UNITS_MAX 0xfff
#define RUNNING_SHIFT 10
#define REQUESTS_MAX 0x3ff

/* Time since the target's last report, in milliseconds. */
static uint32_t
report_age_ms (const struct registry_record *record, uint64_t now_ms)
{
  if (now_ms <= record->last_report_ms)
    return 0;
  return (uint32_t)MIN (now_ms - record->last_report_ms, UINT32_MAX);
}

/* Monotonic time of a report of this age, or 0 when that is before the clock's
   start. */
static uint64_t
report_time_ms (uint32_t age_ms, uint64_t now_ms)
{
  return now_ms > age_ms ? now_ms - age_ms : 0;
}

void
gossip_target_from_record (struct gossip_target *target,
                           const struct registry_record *record,
                           uint64_t now_ms)
{
  target->target = g_strdup (record->target);
  target->service = g_strdup (record->service);
  target->availability_zone = g_strdup (record->availability_zone);
  target->region = g_strdup (record->region);
  target->address = g_strdup (record->address);
  target->port = record->port;
  target->incarnation = record->incarnation;
  target->sequence = record->sequence;
  target->leaving = record->leaving;
  target->age_ms = report_age_ms (record, now_ms);
  target->slots = record->slots;
  target->running = record->running;
  target->queued = record->queued;
  target->weight = record->weight;
}

/* Copies a string.  Returns false when it was truncated. */
static bool
copy_string (char *to, size_t size, const char *from)
{
  return g_strlcpy (to, from, size) < size;
}

bool
gossip_target_to_record (const struct gossip_target *target, uint64_t now_ms,
                         struct registry_record *record)
{
  memset (record, 0, sizeof *record);
  if (!copy_string (record->target, sizeof record->target, target->target)
      || !copy_string (record->service, sizeof record->service,
                       target->service)
      || !copy_string (record->availability_zone,
                       sizeof record->availability_zone,
                       target->availability_zone)
      || !copy_string (record->region, sizeof record->region, target->region)
      || !copy_string (record->address, sizeof record->address,
                       target->address))
    return false;
  if (target->port > UINT16_MAX)
    return false;
  record->port = (uint16_t)target->port;
  record->incarnation = target->incarnation;
  record->sequence = target->sequence;
  record->leaving = target->leaving != 0;
  record->last_report_ms = report_time_ms (target->age_ms, now_ms);
  record->slots = target->slots;
  record->running = target->running;
  record->queued = target->queued;
  record->weight = target->weight;
  return true;
}

/* Age of the report in units of AGE_UNIT_MS, rounded up so that a record never
   seems newer than it is. */
static uint32_t
age_units (const struct registry_record *record, uint64_t now_ms)
{
  return (report_age_ms (record, now_ms) + AGE_UNIT_MS - 1) / AGE_UNIT_MS;
}

bool
gossip_load_fits (const struct registry_record *record, uint64_t now_ms)
{
  return record->sequence <= UINT32_MAX && record->running <= REQUESTS_MAX
         && record->queued <= REQUESTS_MAX
         && age_units (record, now_ms) <= AGE_UNITS_MAX;
}

void
gossip_load_from_record (struct gossip_load *load,
                         const struct registry_record *record, uint64_t now_ms)
{
  load->identity = registry_identity (record);
  load->sequence = (uint32_t)record->sequence;
  load->report = age_units (record, now_ms) << AGE_SHIFT
                 | record->running << RUNNING_SHIFT | record->queued;
}

void
gossip_load_to_record (const struct gossip_load *load, uint64_t now_ms,
                       struct registry_record *record)
{
  uint32_t age_ms = (load->report >> AGE_SHIFT) * AGE_UNIT_MS;
  record->sequence = load->sequence;
  record->last_report_ms = report_time_ms (age_ms, now_ms);
  record->running = load->report >> RUNNING_SHIFT & REQUESTS_MAX;
  record->queued = load->report & REQUESTS_MAX;
}
