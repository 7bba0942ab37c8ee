#ifndef PICK_SERVER_H
#define PICK_SERVER_H

/** @file
 *  A target of the queueing model: slots, its own queue, its prefix cache. */

#include <string.h>

#include <glib.h>

#include "cactus_config.h"
#include "registry.h"

#define SLOTS 16
#define CACHED_PREFIXES 24
#define REPORT_LAG_MS 1000

/** A request of the model. */
struct request
{
  uint64_t arrived_ms;
  uint32_t prefix;
  uint32_t router;
  double decode_ms;
  struct registry_load *load;
};

/** A target; the newest prefix stands last. */
struct server
{
  struct request running[SLOTS];
  uint64_t end_ms[SLOTS];
  uint32_t running_count;
  GQueue waiting;
  uint32_t cache[CACHED_PREFIXES];
  struct registry_record record;
  struct registry_record
      reports[REPORT_LAG_MS / CACTUS_ANNOUNCE_INTERVAL_MS + 1];
};

static inline struct registry_record
record_of (uint32_t index, uint32_t slots)
{
  struct registry_record record = { .port = 9000,
                                    .incarnation = 1,
                                    .sequence = 1,
                                    .last_report_ms = 1000,
                                    .slots = slots,
                                    .weight = 100 };
  g_snprintf (record.target, sizeof record.target, "t%u", index);
  g_strlcpy (record.service, "s", sizeof record.service);
  g_strlcpy (record.availability_zone, "z1", CACTUS_NAME_BYTES);
  g_strlcpy (record.region, "r1", CACTUS_NAME_BYTES);
  g_strlcpy (record.address, "10.0.0.1", sizeof record.address);
  return record;
}

/* Whether the prefix was cached; it is the newest afterwards. */
static inline bool
touch_cache (struct server *server, uint32_t prefix)
{
  int place = 0;
  while (place < CACHED_PREFIXES - 1 && server->cache[place] != prefix)
    place++;
  bool hit = server->cache[place] == prefix;
  if (!hit)
    place = 0;
  memmove (&server->cache[place], &server->cache[place + 1],
           (size_t)(CACHED_PREFIXES - 1 - place) * sizeof (uint32_t));
  server->cache[CACHED_PREFIXES - 1] = prefix;
  return hit;
}

static inline bool
cached (const struct server *server, uint32_t prefix)
{
  for (int i = 0; i < CACHED_PREFIXES; i++)
    if (server->cache[i] == prefix)
      return true;
  return false;
}

#endif
