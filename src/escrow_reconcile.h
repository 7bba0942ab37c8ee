#ifndef ESCROW_RECONCILE_H
#define ESCROW_RECONCILE_H

/** @file
 *  Reconciliation of ledgers that billed the same key while they were cut off
 *  from each other.  Only one bill is kept: the larger; if they are equal, the
 *  earlier; if these are equal too, the bill of the ledger whose name sorts
 *  first. */

#include "escrow_ledger.h"

/** Fills @p list with up to @p max bills of this ledger whose keys are kept,
 *  after position @p after in order of billing.  Returns their number;
 *  @p next gets the position of the last one. */
uint32_t escrow_reconcile_list_bills (const struct escrow_ledger *ledger,
                                      uint64_t after,
                                      struct ledger_settled *list,
                                      uint32_t max, uint64_t *next);
/** Receives at ledger @p own a bill of ledger @p other.  When both billed the
 *  key, either the bill of @p own is cancelled here, or the verdict asks the
 *  other ledger to cancel its bill. */
struct ledger_verdict escrow_reconcile_receive (
    struct escrow_ledger *ledger, const char *own, const char *other,
    const struct ledger_settled *settled, uint64_t now_ms);
/** Applies the verdict of another ledger on a bill that was sent to it. */
void escrow_reconcile_apply_verdict (struct escrow_ledger *ledger,
                                     const struct ledger_settled *settled,
                                     const struct ledger_verdict *verdict,
                                     uint64_t now_ms);

#endif
