#ifndef ESCROW_BUDGET_H
#define ESCROW_BUDGET_H

/** @file
 *  A ledger's shares of prepaid budgets, in a compact hash table. */

#include <stdint.h>

/** This ledger's share of one budget.  Its address never changes. */
struct escrow_budget
{
  uint64_t budget_id;
  /** Totals granted by and returned to control. */
  uint64_t granted_tokens;
  uint64_t returned_tokens;
  uint64_t reserved_tokens;
  uint64_t spent_tokens;
  uint64_t written_off_tokens;
  /** Total of the tokens spent or written off as of rate_start_s, when the
   *  measurement of the spending rate began. */
  uint64_t rate_start_spent_tokens;
  /** Spending rate, in tokens a minute. */
  uint32_t rate_tokens_per_min;
  /** Time at which the measurement began, in s since the Unix epoch; 0 before
   *  the first measurement. */
  uint32_t rate_start_s;
  /** Next budget in the list of changes that are not yet reported to control.
   *  The last one points to itself; NULL for a budget outside of the list. */
  struct escrow_budget *next_changed;
};

/** All budgets of a ledger. */
struct escrow_budgets;

/** Creates an empty table. */
struct escrow_budgets *escrow_budgets_create (void);
/** Frees the table and its budgets. */
void escrow_budgets_destroy (struct escrow_budgets *budgets);
/** Finds a budget.  Returns NULL when there is none. */
struct escrow_budget *
escrow_budgets_find (const struct escrow_budgets *budgets, uint64_t budget_id);
/** Finds a budget, or creates it with all totals 0. */
struct escrow_budget *escrow_budgets_ensure (struct escrow_budgets *budgets,
                                             uint64_t budget_id);
/** Number of budgets. */
uint32_t escrow_budgets_count (const struct escrow_budgets *budgets);
/** Budget @p index, in order of creation. */
struct escrow_budget *escrow_budgets_at (const struct escrow_budgets *budgets,
                                         uint32_t index);
/** Tokens of the share that are free to be reserved. */
uint64_t escrow_budget_free_tokens (const struct escrow_budget *budget);
/** Memory that the table uses, in bytes. */
uint64_t escrow_budgets_bytes (const struct escrow_budgets *budgets);

#endif
