#ifndef ESCROW_LEDGER_H
#define ESCROW_LEDGER_H

/** @file
 *  A ledger's core: shares of budgets, routers' sessions, reservations, bills
 *  and request keys.  Deterministic, without I/O: every change is written to a
 *  journal, and replaying the journal gives the same state. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base_findings.h"
#include "escrow_entry.h"
#include "wire_control.h"
#include "wire_ledger.h"

/** retry_after_ms of a refusal while more tokens may come at once. */
#define ESCROW_RETRY_SOON_MS 10
/** retry_after_ms of a final refusal. */
#define ESCROW_RETRY_LATER_MS 1000
/** How long a caller's key is kept after its bill, in ms. */
#define ESCROW_KEY_WINDOW_MS UINT64_C (3600000)
/** Most keys that are kept after their bill. */
#define ESCROW_KEYS_MAX 131072u

/** A ledger's whole state. */
struct escrow_ledger;

/** Makes an empty ledger. */
struct escrow_ledger *escrow_ledger_create (void);
/** Frees it. */
void escrow_ledger_destroy (struct escrow_ledger *ledger);
/** Every later change appends its entry to @p journal (kept by the caller);
 *  NULL for none. */
void escrow_ledger_set_journal (struct escrow_ledger *ledger,
                                GByteArray *journal);
/** Replays the entries of one record; 0, or -1 when malformed or not in
 *  keeping with the state. */
int escrow_ledger_replay (struct escrow_ledger *ledger, const void *data,
                          size_t bytes);

/** Opens or renews the session of @p router.  A new incarnation ends the
 *  older one, whose open reservations are written off.  False when the
 *  incarnation was ended so. */
bool escrow_ledger_open_session (struct escrow_ledger *ledger,
                                 const char *router, uint64_t incarnation,
                                 uint64_t now_ms);
/** Applies one operation of an open or ended session. */
void escrow_ledger_op (struct escrow_ledger *ledger, uint64_t incarnation,
                       const struct ledger_op *op, uint64_t now_ms,
                       struct ledger_op_result *result);
/** Ends the sessions not heard of for @p lease_ms: their reservations are
 *  written off at their watermark, or whole where none was set.  Number of
 *  reservations. */
uint32_t escrow_ledger_expire_sessions (struct escrow_ledger *ledger,
                                        uint64_t lease_ms, uint64_t now_ms);
/** Takes all sessions as heard of at @p now_ms, after a start. */
void escrow_ledger_renew_sessions (struct escrow_ledger *ledger,
                                   uint64_t now_ms);

/** Fills in what is sent to control: acknowledgement, returns and at most
 *  @p demands_max demands, those of refused reservations first.  Arrays are
 *  allocated with malloc. */
void escrow_ledger_report (struct escrow_ledger *ledger, uint64_t now_ms,
                           uint32_t demands_max,
                           struct control_ledger_args *args);
/** Applies control's answer: acknowledged returns, grants, recalls. */
void escrow_ledger_handle_answer (struct escrow_ledger *ledger,
                                  const struct control_ledger_result *result,
                                  uint64_t now_ms);
/** Whether a refused reservation waits for control's answer, or a return for
 *  its acknowledgement. */
bool escrow_ledger_awaits_control (const struct escrow_ledger *ledger);
/** Whether a reservation was refused for a budget that no report named yet. */
bool
escrow_ledger_has_unreported_shortfall (const struct escrow_ledger *ledger);
/** Tells whether control can be reached, so that a refusal is final when it
 *  can't. */
void escrow_ledger_set_connected (struct escrow_ledger *ledger,
                                  bool connected);

/** Describes a budget. */
void escrow_ledger_budget (const struct escrow_ledger *ledger,
                           uint64_t budget_id,
                           struct ledger_budget_result *result);
/** Turns an entry into a line of the statement; false when it is no bill. */
bool escrow_ledger_bill (const struct escrow_ledger *ledger,
                         const struct escrow_entry *entry,
                         struct ledger_bill *bill);
/** Numbers for metrics. */
struct escrow_ledger_counts
{
  uint32_t budgets;
  uint64_t budget_bytes;
  uint32_t reservations;
  uint32_t sessions;
  uint32_t keys;
  uint32_t returns_open;
};
/** Counts what the ledger holds. */
struct escrow_ledger_counts
escrow_ledger_count (const struct escrow_ledger *ledger);
/** Checks that everything adds up; a finding a fault. */
void escrow_ledger_audit (const struct escrow_ledger *ledger,
                          struct base_findings *findings);
/** Appends the whole state, for a snapshot. */
void escrow_ledger_save (const struct escrow_ledger *ledger,
                         GByteArray *bytes);
/** Reads a saved state into an empty ledger; 0, or -1 when malformed. */
int escrow_ledger_load (struct escrow_ledger *ledger, const void *data,
                        size_t bytes);

#endif
