#ifndef ESCROW_DEMAND_H
#define ESCROW_DEMAND_H

/** @file
 *  A ledger's demand on control: the tokens that refused reservations lacked,
 *  and the budgets that changed since they were reported.  It is not saved in
 *  snapshots. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "escrow_budget.h"

/** The demand of one ledger. */
struct escrow_demand;

/** Tokens that a budget lacks. */
struct escrow_shortfall
{
  uint64_t budget_id;
  /** Largest number of tokens that one refused reservation lacked. */
  uint64_t tokens;
  /** Time at which a reservation was last refused, in ms. */
  uint64_t refused_at_ms;
  /** Time until which control's last answer that no tokens are left is
   *  trusted, in ms; 0 without such an answer. */
  uint64_t exhausted_until_ms;
};

/** Creates an empty set. */
struct escrow_demand *escrow_demand_create (void);
/** Frees the set. */
void escrow_demand_destroy (struct escrow_demand *demand);
/** Records that a reservation was refused because @p tokens were missing.
 *  Does nothing for a new budget when the set is full. */
void escrow_demand_add_shortfall (struct escrow_demand *demand,
                                  uint64_t budget_id, uint64_t tokens,
                                  uint64_t now_ms);
/** Finds the shortfall of a budget.  Returns NULL when there is none. */
struct escrow_shortfall *
escrow_demand_find (const struct escrow_demand *demand, uint64_t budget_id);
/** Sets whether control can be reached. */
void escrow_demand_set_connected (struct escrow_demand *demand,
                                  bool connected);
/** Whether control may still grant tokens for the budget's shortfall. */
bool escrow_demand_may_be_granted (const struct escrow_demand *demand,
                                   uint64_t budget_id, uint64_t now_ms);
/** Removes the shortfall of a budget that was granted tokens. */
void escrow_demand_clear (struct escrow_demand *demand, uint64_t budget_id);
/** Records control's answer that it can obtain no more tokens for the
 *  budget. */
void escrow_demand_set_exhausted (struct escrow_demand *demand,
                                  uint64_t budget_id, uint64_t now_ms);
/** Adds a changed budget to those of the next reports. */
void escrow_demand_mark_changed (struct escrow_demand *demand,
                                 struct escrow_budget *budget);
/** Whether there is a shortfall that escrow_demand_collect has not seen
 *  yet. */
bool escrow_demand_has_unreported (const struct escrow_demand *demand);
/** Whether there is a shortfall that control has not answered yet. */
bool escrow_demand_awaits_answer (const struct escrow_demand *demand);
/** Removes shortfalls for which no reservation was refused again in time.
 *  Appends the budgets of the others to @p budget_ids, until it has @p max
 *  elements, except those whose tokens at control are exhausted. */
void escrow_demand_collect (struct escrow_demand *demand, uint64_t now_ms,
                            uint32_t max, GArray *budget_ids);
/** Takes the next budget off the list of changes.  Returns NULL when it is
 *  empty. */
struct escrow_budget *escrow_demand_pop_changed (struct escrow_demand *demand);
/** Updates the spending rate of a budget. */
void escrow_demand_update_rate (struct escrow_budget *budget, uint64_t now_ms);

#endif
