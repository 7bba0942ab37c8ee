#ifndef CONTROL_SUSPECTS_H
#define CONTROL_SUSPECTS_H

/** @file
 *  The bounded lists of prompt parts and requests that may crash targets.
 *  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "control_evidence.h"
#include "control_turns.h"

/** Bound of each list. */
#define CONTROL_SUSPECTS_MAX 512
/** Accounts that are kept of one suspect. */
#define CONTROL_SUSPECT_ACCOUNTS_MAX 4

/** What may crash targets. */
enum control_suspect_kind
{
  /** A part of prompts, of any account. */
  CONTROL_SUSPECT_PART,
  /** A whole request, of one account. */
  CONTROL_SUSPECT_REQUEST
};

/** A part or request that may crash targets. */
struct control_suspicion
{
  enum control_suspect_kind kind;
  /** Id of the part, or digest of the request. */
  uint64_t id;
  struct control_evidence accounts[CONTROL_SUSPECT_ACCOUNTS_MAX];
  uint32_t account_count;
  /** Of a part: its crashes at any moment of a response, of all accounts. */
  struct control_turns turns;
  uint64_t last_crash_ms;
  uint64_t all_blocked_until_ms;
};

/** Creates an empty list (of struct control_suspicion), in the order in which
 *  they were suspected; freed by g_ptr_array_unref. */
GPtrArray *control_suspects_create (void);
/** Returns the suspect and its index, or NULL. */
struct control_suspicion *
control_suspects_find (const GPtrArray *suspects,
                       enum control_suspect_kind kind, uint64_t id,
                       guint *index);
/** Finds or adds a suspect.  When the list is full, it takes the place of one
 *  that is not blocked, if possible: the one with the fewest crashes; among
 *  those the one whose last crash is the oldest. */
struct control_suspicion *
control_suspects_ensure (GPtrArray *suspects, enum control_suspect_kind kind,
                         uint64_t id, uint64_t wall_ms);
/** Finds or adds the account's evidence; a fifth account takes the place of
 *  the one with the fewest crashes. */
struct control_evidence *
control_suspicion_ensure_account (struct control_suspicion *suspect,
                                  const char *account);
/** Returns whether the suspect is blocked for any account. */
bool control_suspicion_is_blocked (const struct control_suspicion *suspect,
                                   uint64_t wall_ms);
/** Returns whether the target's crash counts for the suspect. */
bool control_suspicion_has (const struct control_suspicion *suspect,
                            uint64_t target);

#endif
