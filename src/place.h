#ifndef PLACE_H
#define PLACE_H

/** @file
 *  Chooses a target for a request at the edge, with the lowest estimated time
 *  to first token, computed from the prompt tokens left to prefill, the load
 *  that this router put on the target, distance and recent failures.
 *  Rendezvous hashing makes routers that share no state send the same shared
 *  prompt parts to the same targets.  No I/O. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "place_rate.h"

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
  /** Number of this router's requests that run at the target. */
  uint32_t running;
  /** For the requests sent by this router whose response has not begun: sum of
   *  the prompt tokens that the target still had to prefill when they were
   *  sent. */
  uint64_t unread_tokens;
  /** Maximum number of KV cache tokens that the running requests can use. */
  uint64_t held_tokens;
  /** Number of recent failures, decaying exponentially, as of
   *  @ref failures_at_ms. */
  double recent_failures;
  uint64_t failures_at_ms;
  struct place_rate rate;
  /** Number of consecutive refused connections, and the time before which no
   *  new connection is tried. */
  uint32_t refused_connections;
  uint64_t reconnect_at_ms;
  /** Time of last use in ms, keyed by the id of the prompt part. */
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
  /** Time that a failure costs the caller; targets are then compared by the
   *  probability that they fail.  0: by their recent failures. */
  uint32_t failure_cost_ms;
};

/** A target among which place_choose chooses. */
struct place_candidate
{
  const char *name;
  struct place_load *load;
  enum place_distance distance;
  uint32_t slots;
  uint64_t kv_tokens;
  /** The target has stopped sending announcements. */
  bool is_unannounced;
  /** Requests to the target are passed on by another router, and not before
   *  held_until_ms; connections of this router don't count. */
  bool is_relayed;
  uint64_t held_until_ms;
  /** The target already failed this request. */
  bool is_avoided;
  /** The target takes a limited number of requests, and this router holds a
   *  permit for one that expires soon. */
  bool has_permit;
  /** Number of routers that send requests to the target; each is assumed to
   *  send as much as this one. */
  uint32_t routers;
};

/** Initializes a load without history. */
void place_load_init (struct place_load *load);
/** Frees the memory that a load refers to. */
void place_load_clear (struct place_load *load);
/** Returns the index of the candidate with the lowest cost, or -1 when no
 *  candidate can be used; @p random breaks ties. */
int place_choose (const struct place_candidate *candidates, uint32_t count,
                  const struct place_request *request, uint64_t now_ms,
                  uint64_t random);
/** Counts a request as sent to the candidate.  Returns the number of its
 *  prompt tokens that are not prefilled yet, to be given to
 *  place_note_response. */
uint32_t place_note_sent (const struct place_candidate *candidate,
                          const struct place_request *request,
                          uint64_t now_ms);
/** Reports that the response to a request began, or that none will come.
 *  @p unread_tokens is what place_note_sent returned for it. */
void place_note_response (struct place_load *load, uint32_t unread_tokens);
/** Counts the request as ended. */
void place_note_end (struct place_load *load,
                     const struct place_request *request);
/** Counts a failed request. */
void place_note_failure (struct place_load *load, uint64_t now_ms);
/** Counts a served request, which reduces the recent failures. */
void place_note_success (struct place_load *load, uint64_t now_ms);
/** Counts a refused connection; the target isn't tried again for an
 *  exponentially growing time, at most 4 s. */
void place_note_refused_connection (struct place_load *load, uint64_t now_ms);
/** Returns the decayed number of recent failures as of @p now_ms. */
double place_recent_failures (const struct place_load *load, uint64_t now_ms);

#endif
