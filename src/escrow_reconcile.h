#ifndef ESCROW_RECONCILE_H
#define ESCROW_RECONCILE_H

/** @file
 *  Two ledgers that billed one key keep one bill: the larger one, of equal
 *  ones the earlier, then that of the ledger whose name comes first. */

#include "escrow_ledger.h"

/** Fills @p list with up to @p most of the callers' keys billed here after
 *  position @p after, in order of their bills; how many.  @p next gets the
 *  position behind them. */
uint32_t escrow_reconcile_list_bills (const struct escrow_ledger *ledger,
                                      uint64_t after,
                                      struct ledger_settled *list,
                                      uint32_t most, uint64_t *next);
/** Takes in a key that ledger @p theirs billed, at the ledger @p own.  When
 *  both billed it one bill is taken back: the own one here, or theirs by the
 *  verdict. */
struct ledger_verdict escrow_reconcile_receive (
    struct escrow_ledger *ledger, const char *own, const char *theirs,
    const struct ledger_settled *settled, uint64_t now_ms);
/** Carries out another ledger's verdict on a key that was told to it. */
void escrow_reconcile_apply_verdict (struct escrow_ledger *ledger,
                                     const struct ledger_settled *settled,
                                     const struct ledger_verdict *verdict,
                                     uint64_t now_ms);

#endif
