#include "gossip_codec.h"

#include <string.h>

#include <glib.h>

/* Parts of a load's report. */
#define AGE_UNIT_MS 4
#define AGE_SHIFT 20
#define AGE_UNITS_MAX 0xfff
#define RUNNING_SHIFT 10
#define REQUESTS_MAX 0x3ff

static uint32_t
age_of (const struct registry_record *record, uint64_t now_ms)
{
  if (now_ms <= record->last_report_ms)
    return 0;
  return (uint32_t)MIN (now_ms - record->last_report_ms, UINT32_MAX);
}

static uint64_t
heard_at (uint32_t age_ms, uint64_t now_ms)
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
  target->age_ms = age_of (record, now_ms);
  target->slots = record->slots;
  target->running = record->running;
  target->queued = record->queued;
  target->weight = record->weight;
}

static bool
copy (char *to, size_t size, const char *from)
{
  return g_strlcpy (to, from, size) < size;
}

bool
gossip_target_to_record (const struct gossip_target *target, uint64_t now_ms,
                         struct registry_record *record)
{
  memset (record, 0, sizeof *record);
  if (!copy (record->target, sizeof record->target, target->target)
      || !copy (record->service, sizeof record->service, target->service)
      || !copy (record->availability_zone, sizeof record->availability_zone,
                target->availability_zone)
      || !copy (record->region, sizeof record->region, target->region)
      || !copy (record->address, sizeof record->address, target->address))
    return false;
  if (target->port > UINT16_MAX)
    return false;
  record->port = (uint16_t)target->port;
  record->incarnation = target->incarnation;
  record->sequence = target->sequence;
  record->leaving = target->leaving != 0;
  record->last_report_ms = heard_at (target->age_ms, now_ms);
  record->slots = target->slots;
  record->running = target->running;
  record->queued = target->queued;
  record->weight = target->weight;
  return true;
}

/* Rounded up: a record never seems fresher than it is. */
static uint32_t
age_units (const struct registry_record *record, uint64_t now_ms)
{
  return (age_of (record, now_ms) + AGE_UNIT_MS - 1) / AGE_UNIT_MS;
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
  record->last_report_ms = heard_at (age_ms, now_ms);
  record->running = load->report >> RUNNING_SHIFT & REQUESTS_MAX;
  record->queued = load->report & REQUESTS_MAX;
}
