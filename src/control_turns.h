#ifndef CONTROL_TURNS_H
#define CONTROL_TURNS_H

/** @file
 *  The crashes of targets under one prompt part, whatever account the requests
 *  were of and how far their responses had come: answers parts that come under
 *  several accounts by turns, and targets that end before the head of a
 *  response or long after it.  More crashes block than where a response had
 *  just begun, as a target that ends takes sound requests with it.  Does no
 *  I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "control_evidence.h"

/** Crashes, of three times at least, that block the part for the account that
 *  most of them were under, and those of other accounts from which on it is
 *  blocked for all: no account blocks another's requests alone. */
#define CONTROL_TURNS_CRASHES 5
#define CONTROL_TURNS_OTHERS 3
/** Begins the account name in reports and snapshots of crashes at any moment
 *  of a response. */
#define CONTROL_TURNS_MARK '*'

/** A crash and the account of the request. */
struct control_turn
{
  struct control_crash crash;
  char *account;
};

/** The crashes, the oldest first. */
struct control_turns
{
  struct control_turn turns[CONTROL_EVIDENCE_KEPT];
  uint32_t count;
  /** Time until which the part is blocked; 0 if it was not blocked since the
   *  last complete response. */
  uint64_t blocked_until_ms;
  /** Trials that were granted since then. */
  uint32_t trials;
};

/** Tells whether something else explains the target's crash. */
typedef bool control_turns_explains (const void *context, uint64_t target);

/** What the crashes block. */
struct control_turns_verdict
{
  bool is_blocked;
  /** The only account that is blocked; NULL: all. */
  const char *account;
};

/** Adds a crash unless it happened together with too many that count.  Returns
 *  whether it was added. */
bool control_turns_add (struct control_turns *turns,
                        const struct control_crash *crash,
                        const char *account);
/** Drops crashes that ended before @p oldest_ms. */
void control_turns_expire (struct control_turns *turns, uint64_t oldest_ms);
/** Drops the target's crash. */
void control_turns_forget (struct control_turns *turns, uint64_t target);
/** Returns whether the target's crash counts. */
bool control_turns_has (const struct control_turns *turns, uint64_t target);
/** Returns what the crashes block that nothing else explains; the account is
 *  that of a crash. */
struct control_turns_verdict
control_turns_judge (const struct control_turns *turns,
                     control_turns_explains *explains, const void *context);
/** Drops all crashes. */
void control_turns_clear (struct control_turns *turns);

#endif
