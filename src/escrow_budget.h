#ifndef ESCROW_BUDGET_H
#define ESCROW_BUDGET_H

/** @file
 *  A ledger's shares of prepaid budgets in a compact table. */

#include <stdint.h>

/** One budget's share at this ledger.  Records keep their address. */
struct escrow_budget
{
  uint64_t budget_id;
  /** Totals granted by and returned to control. */
  uint64_t granted_tokens;
  uint64_t returned_tokens;
  uint64_t reserved_tokens;
  uint64_t spent_tokens;
  uint64_t written_off_tokens;
  /** For the spending rate: spent at rate_at_s, and tokens a minute. */
  uint64_t rate_spent_tokens;
  uint32_t rate_tokens;
  uint32_t rate_at_s;
  /** Next budget that control has yet to hear of; itself at the end of that
   *  list, NULL outside of it. */
  struct escrow_budget *next_changed;
};

/** All budgets of a ledger. */
struct escrow_budgets;

/** Makes an empty table. */
struct escrow_budgets *escrow_budgets_create (void);
/** Frees it. */
void escrow_budgets_destroy (struct escrow_budgets *budgets);
/** The budget, or NULL. */
struct escrow_budget *
escrow_budgets_find (const struct escrow_budgets *budgets, uint64_t budget_id);
/** The budget, made when new. */
struct escrow_budget *escrow_budgets_ensure (struct escrow_budgets *budgets,
                                             uint64_t budget_id);
/** Number of budgets. */
uint32_t escrow_budgets_count (const struct escrow_budgets *budgets);
/** Budget @p index, in the order in which they were made. */
struct escrow_budget *escrow_budgets_at (const struct escrow_budgets *budgets,
                                         uint32_t index);
/** Tokens that may be reserved. */
uint64_t escrow_budget_free_tokens (const struct escrow_budget *budget);
/** Bytes of memory in use by the table. */
uint64_t escrow_budgets_bytes (const struct escrow_budgets *budgets);

#endif
