#ifndef CONTROL_EVIDENCE_H
#define CONTROL_EVIDENCE_H

/** @file
 *  The crashes of targets under one prompt part or request, for one client
 *  account.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

/** Crashes that are kept, more than those that block: they also explain
 *  crashes that are reported later. */
#define CONTROL_EVIDENCE_KEPT 8

/** The crash of a target. */
struct control_crash
{
  uint64_t crash_ms;
  /** Time at which the request that was lost had been sent; 0 if unknown. */
  uint64_t sent_ms;
  /** Hash of the target's name. */
  uint64_t target;
};

/** Crashes under requests of one account, the oldest first. */
struct control_evidence
{
  char *account;
  struct control_crash crashes[CONTROL_EVIDENCE_KEPT];
  uint32_t count;
  /** Time until which requests of the account are blocked; 0 if they were not
   *  blocked since the last complete response. */
  uint64_t blocked_until_ms;
  /** Trials that were granted since then. */
  uint32_t trials;
};

/** Returns whether the crashes may have one cause.  They have not if the later
 *  one lost a request that was sent after the earlier one. */
bool control_evidence_is_together (const struct control_crash *a,
                                   const struct control_crash *b);
/** Adds a crash unless it happened together with one that counts.  Returns
 *  whether it was added. */
bool control_evidence_add (struct control_evidence *evidence,
                           const struct control_crash *crash);
/** Drops the crash at @p index. */
void control_evidence_drop (struct control_evidence *evidence, uint32_t index);
/** Drops the target's crash, and the block if fewer than @p least crashes are
 *  left. */
void control_evidence_forget (struct control_evidence *evidence,
                              uint64_t target, uint32_t least);
/** Returns whether the target's crash counts. */
bool control_evidence_has (const struct control_evidence *evidence,
                           uint64_t target);

#endif
