#ifndef PLACE_H
#define PLACE_H

/** @file
 *  Chooses a target for a request at the edge, by the estimated time to its
 *  first answer: prompt tokens still to be read there, the work that this
 *  router sent, distance and recent failures.  Rendezvous hashing makes
 *  routers that share no state send the same shared prompt parts to the
 *  same targets.  No I/O. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Maximum number of prompt parts of a request that are considered. */
#define PLACE_PARTS_MAX 16

/** A part of a prompt; requests share parts of the same id. */
struct place_part
{
  uint64_t id;
  uint32_t tokens;
};

/** Distance of a target from this router. */
enum place_distance
{
  PLACE_SAME_ZONE,
  PLACE_SAME_REGION,
  PLACE_OTHER_REGION
};

/** This router's knowledge of the load and failures of one target. */
struct place_load
{
  /** Requests of this router that run there. */
  uint32_t running;
  /** Prompt tokens that the target had not read when they were sent, of
   *  requests that it hasn't begun to answer. */
  uint64_t unread_tokens;
  /** KV cache tokens that the running requests may come to use. */
  uint64_t held_tokens;
  /** Number of recent failures, decaying exponentially, as of
   *  @ref failures_at_ms. */
  double recent_failures;
  uint64_t failures_at_ms;
  /** Consecutive refused connections, and the time before which no new one
   *  is tried. */
  uint32_t refused_connections;
  uint64_t reconnect_at_ms;
  /** Time of last use in ms, by the id of a prompt part. */
  GHashTable *parts;
};

/** A request for which a target is chosen. */
struct place_request
{
  struct place_part parts[PLACE_PARTS_MAX];
  uint32_t part_count;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  bool is_engine;
};

/** A target among which place_choose chooses. */
struct place_candidate
{
  const char *name;
  struct place_load *load;
  enum place_distance distance;
  uint32_t slots;
  uint64_t kv_tokens;
  /** Its announcements have ceased. */
  bool is_unannounced;
  /** It already failed this request. */
  bool is_avoided;
  /** Number of routers that send to it; each is assumed to send as much as
   *  this one. */
  uint32_t routers;
};

/** Initializes a load without history. */
void place_load_init (struct place_load *load);
/** Frees the memory that a load refers to. */
void place_load_clear (struct place_load *load);
/** Returns the index of the candidate of least cost, or -1 when none may be
 *  used; @p random breaks ties. */
int place_choose (const struct place_candidate *candidates, uint32_t count,
                  const struct place_request *request, uint64_t now_ms,
                  uint64_t random);
/** Counts a request as sent to the candidate; returns its unread prompt
 *  tokens, to be given to place_answered. */
uint32_t place_sent (const struct place_candidate *candidate,
                     const struct place_request *request, uint64_t now_ms);
/** Reports the first part of the answer, or that there will be none, of a
 *  request whose place_sent returned @p unread_tokens. */
void place_answered (struct place_load *load, uint32_t unread_tokens);
/** Counts the request as ended. */
void place_ended (struct place_load *load,
                  const struct place_request *request);
/** Counts a failed request. */
void place_failed (struct place_load *load, uint64_t now_ms);
/** Counts a served request, which reduces the recent failures. */
void place_served (struct place_load *load, uint64_t now_ms);
/** Counts a refused connection; the target isn't tried again for an
 *  exponentially growing time, at most 4 s. */
void place_unreachable (struct place_load *load, uint64_t now_ms);
/** Returns the decayed number of recent failures as of @p now_ms. */
double place_recent_failures (const struct place_load *load, uint64_t now_ms);

#endif
