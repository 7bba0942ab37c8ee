#ifndef PICK_SERVER_H
#define PICK_SERVER_H

/** @file
 *  A server of the queueing model in bench_pick_policy.c.  It stands for a
 *  target with a fixed number of slots, a queue and a prefix cache. */

#include <string.h>

#include <glib.h>

#include "cactus_config.h"
#include "registry.h"

/** Requests that a server runs at once. */
#define SERVER_SLOTS 16
/** Prompt prefixes that the cache of a server holds. */
#define CACHED_PREFIXES 24
/** Age of a server's report when it reaches the routers, in ms. */
#define REPORT_LAG_MS 1000

/** A request in the model. */
struct request
{
  uint64_t arrived_ms;
  /** Number of its prompt prefix. */
  uint32_t prefix;
  uint32_t router;
  /** Time that the server takes for the response after the prefill. */
  double decode_ms;
  /** Counted reference to the chosen target's load at the router; NULL under
   *  the shared queue. */
  struct registry_load *load;
};

/** A server. */
struct server
{
  struct request running[SERVER_SLOTS];
  /** Time at which each running request ends. */
  uint64_t end_ms[SERVER_SLOTS];
  uint32_t running_count;
  GQueue waiting;
  /** Prefix numbers, the least recently used one first. */
  uint32_t cache[CACHED_PREFIXES];
  /** The latest report. */
  struct registry_record record;
  /** Reports of the last REPORT_LAG_MS, each at its sequence number modulo
   *  the length of the array. */
  struct registry_record
      reports[REPORT_LAG_MS / CACTUS_ANNOUNCE_INTERVAL_MS + 1];
};

/* Returns the record of target "t<index>". */
static inline struct registry_record
make_record (uint32_t index, uint32_t slots)
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

/* Returns whether the prefix was cached, and makes it the most recently used
   one.  A prefix that was not cached replaces the least recently used one. */
static inline bool
use_prefix (struct server *server, uint32_t prefix)
{
  int position = 0;
  while (position < CACHED_PREFIXES - 1 && server->cache[position] != prefix)
    position++;
  bool hit = server->cache[position] == prefix;
  if (!hit)
    position = 0;
  memmove (&server->cache[position], &server->cache[position + 1],
           (size_t)(CACHED_PREFIXES - 1 - position) * sizeof (uint32_t));
  server->cache[CACHED_PREFIXES - 1] = prefix;
  return hit;
}

/* Returns whether the prefix is cached, and leaves the cache as it is. */
static inline bool
has_prefix (const struct server *server, uint32_t prefix)
{
  for (int i = 0; i < CACHED_PREFIXES; i++)
    if (server->cache[i] == prefix)
      return true;
  return false;
}

#endif
