#ifndef PLACE_H
#define PLACE_H

/** @file
 *  Chooses a target by the time at which it would answer: prompt tokens that
 *  it still has to read, the work this router gave it, its distance and its
 *  recent faults.  Routers that share no state send the same shared prompt
 *  parts to the same targets, by rendezvous hashing.  Without I/O. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Most prompt parts of a call that are looked at. */
#define PLACE_PARTS_MAX 16

/** A part of a prompt. */
struct place_part
{
  uint64_t id;
  uint32_t tokens;
};

/** How far a target is. */
enum place_distance
{
  PLACE_SAME_ZONE,
  PLACE_SAME_REGION,
  PLACE_OTHER_REGION
};

/** What this router knows of one target's load and faults. */
struct place_load
{
  /** Requests of this router there. */
  uint32_t running;
  /** Prompt tokens sent there that were not read when sent, of requests
   *  without a first answer. */
  uint64_t unread_tokens;
  /** Tokens that the requests there may come to hold. */
  uint64_t held_tokens;
  /** Recent faults, decaying, as of @ref failures_at_ms. */
  double faults;
  uint64_t failures_at_ms;
  /** Connections refused in a row, and until when none is tried. */
  uint32_t unreachable;
  uint64_t reconnect_at_ms;
  /** Time of last use, in milliseconds, by the id of a prompt part. */
  GHashTable *parts;
};

/** What is to be placed. */
struct place_request
{
  struct place_part parts[PLACE_PARTS_MAX];
  uint32_t part_count;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  bool is_engine;
};

/** A target that may be chosen. */
struct place_candidate
{
  const char *name;
  struct place_load *load;
  enum place_distance distance;
  uint32_t slots;
  uint64_t kv_tokens;
  /** It stopped announcing itself. */
  bool is_unannounced;
  /** It failed this call before. */
  bool is_avoided;
  /** Routers that send to it, each about as much as this one. */
  uint32_t routers;
};

/** Prepares a load without history. */
void place_load_init (struct place_load *load);
/** Frees what it holds. */
void place_load_clear (struct place_load *load);
/** Index of the best candidate, or -1; @p random breaks ties. */
int place_choose (const struct place_candidate *candidates, uint32_t count,
                  const struct place_request *call, uint64_t now_ms,
                  uint64_t random);
/** The call goes to that target; the unread tokens, for place_answered. */
uint32_t place_sent (const struct place_candidate *candidate,
                     const struct place_request *call, uint64_t now_ms);
/** The first part of the answer came, or never will. */
void place_answered (struct place_load *load, uint32_t unread_tokens);
/** The call is over. */
void place_ended (struct place_load *load, const struct place_request *call);
/** The target failed a request. */
void place_failed (struct place_load *load, uint64_t now_ms);
/** The target served a request. */
void place_served (struct place_load *load, uint64_t now_ms);
/** No connection could be made; it is left alone for a growing time. */
void place_unreachable (struct place_load *load, uint64_t now_ms);
/** Recent faults as of now. */
double place_recent_failures (const struct place_load *load, uint64_t now_ms);

#endif
