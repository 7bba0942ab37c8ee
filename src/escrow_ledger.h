#ifndef ESCROW_LEDGER_H
#define ESCROW_LEDGER_H

/** @file
 *  State of a ledger: its shares of budgets, routers' sessions, reservations,
 *  bills and idempotency keys.  Deterministic, no I/O: every change appends an
 *  entry to a journal, and replaying the journal rebuilds the same state. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base_findings.h"
#include "escrow_entry.h"
#include "wire_control.h"
#include "wire_ledger.h"

/** retry_after_ms of a refusal when tokens may become free soon. */
#define ESCROW_RETRY_SOON_MS 10
/** retry_after_ms of a refusal when no tokens are expected soon, and while
 *  another reservation holds the key. */
#define ESCROW_RETRY_LATER_MS 1000
/** Time for which an idempotency key is kept after it was closed, in ms. */
#define ESCROW_KEY_WINDOW_MS UINT64_C (3600000)
/** Maximum number of closed keys that are kept. */
#define ESCROW_KEYS_MAX 131072u

/** State of a ledger. */
struct escrow_ledger;

/** Creates an empty ledger. */
struct escrow_ledger *escrow_ledger_create (void);
/** Frees the ledger; NULL is allowed. */
void escrow_ledger_destroy (struct escrow_ledger *ledger);
/** Sets the buffer to which every later change appends its entry; NULL for
 *  none.  The caller owns it. */
void escrow_ledger_set_journal (struct escrow_ledger *ledger,
                                GByteArray *journal);
/** Replays the entries of one journal record.  Returns 0, or -1 when an entry
 *  is malformed or does not fit the state. */
int escrow_ledger_replay (struct escrow_ledger *ledger, const void *data,
                          size_t bytes);

/** Opens or renews the session of @p router.  A new incarnation fences the
 *  others, whose open reservations are written off.  Returns false when
 *  @p incarnation itself is fenced. */
bool escrow_ledger_open_session (struct escrow_ledger *ledger,
                                 const char *router, uint64_t incarnation,
                                 uint64_t now_ms);
/** Executes one operation of a router; its session need not be open. */
void escrow_ledger_op (struct escrow_ledger *ledger, uint64_t incarnation,
                       const struct ledger_op *op, uint64_t now_ms,
                       struct ledger_op_result *result);
/** Ends the sessions that were not renewed for @p lease_ms.  Each of their
 *  reservations is written off up to its watermark, or in full if it has none.
 *  Returns the number of these reservations. */
uint32_t escrow_ledger_expire_sessions (struct escrow_ledger *ledger,
                                        uint64_t lease_ms, uint64_t now_ms);
/** Renews all sessions at @p now_ms; called after a start, since the renewal
 *  times are not saved. */
void escrow_ledger_renew_sessions (struct escrow_ledger *ledger,
                                   uint64_t now_ms);

/** Fills in the report to control: the acknowledgement of grants, returns and
 *  at most @p demands_max demands; those of refused reservations come first.
 *  Arrays are allocated with malloc. */
void escrow_ledger_report (struct escrow_ledger *ledger, uint64_t now_ms,
                           uint32_t demands_max,
                           struct control_ledger_args *args);
/** Applies control's answer to a report: acknowledged returns, grants,
 *  recalls. */
void escrow_ledger_handle_answer (struct escrow_ledger *ledger,
                                  const struct control_ledger_result *result,
                                  uint64_t now_ms);
/** Whether control has a shortfall to answer or a return to acknowledge. */
bool escrow_ledger_awaits_control (const struct escrow_ledger *ledger);
/** Whether there is a shortfall that no report has included yet. */
bool
escrow_ledger_has_unreported_shortfall (const struct escrow_ledger *ledger);
/** Sets whether control can be reached.  While it can't, a refusal doesn't
 *  promise tokens from control. */
void escrow_ledger_set_connected (struct escrow_ledger *ledger,
                                  bool connected);

/** Describes a budget; all zeros when the ledger has no share of it. */
void escrow_ledger_budget (const struct escrow_ledger *ledger,
                           uint64_t budget_id,
                           struct ledger_budget_result *result);
/** Fills in the line of the billing statement for a journal entry.  Returns
 *  false when the entry changes no bill or write-off. */
bool escrow_ledger_make_bill (const struct escrow_ledger *ledger,
                              const struct escrow_entry *entry,
                              struct ledger_bill *bill);
/** Sizes of a ledger, for metrics. */
struct escrow_ledger_counts
{
  uint32_t budgets;
  uint64_t budget_bytes;
  uint32_t reservations;
  uint32_t sessions;
  uint32_t keys;
  uint32_t open_returns;
};
/** Counts the objects of the ledger. */
struct escrow_ledger_counts
escrow_ledger_count (const struct escrow_ledger *ledger);
/** Checks that the tokens of every budget add up; adds a finding for each
 *  fault. */
void escrow_ledger_audit (const struct escrow_ledger *ledger,
                          struct base_findings *findings);
/** Appends the whole state to a snapshot. */
void escrow_ledger_save (const struct escrow_ledger *ledger,
                         GByteArray *bytes);
/** Reads the state that escrow_ledger_save wrote into an empty ledger.
 *  Returns 0, or -1 when the data are malformed. */
int escrow_ledger_load (struct escrow_ledger *ledger, const void *data,
                        size_t bytes);

#endif
