#ifndef ESCROW_DEMAND_H
#define ESCROW_DEMAND_H

/** @file
 *  What a ledger wants from control: tokens for refused reservations, and
 *  which budgets control has yet to hear of.  Not part of the saved state. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "escrow_budget.h"

/** Demands of one ledger. */
struct escrow_demand;

/** A budget that lacks tokens. */
struct escrow_shortfall
{
  uint64_t budget_id;
  uint64_t tokens;
  /** When it was last refused, in ms. */
  uint64_t at_ms;
  /** Until when control's word holds that nothing is left, in ms. */
  uint64_t nothing_left_until_ms;
};

/** Makes an empty set. */
struct escrow_demand *escrow_demand_create (void);
/** Frees it. */
void escrow_demand_destroy (struct escrow_demand *demand);
/** A reservation lacks @p tokens. */
void escrow_demand_add_shortfall (struct escrow_demand *demand,
                                  uint64_t budget_id, uint64_t tokens,
                                  uint64_t now_ms);
/** The want of a budget, or NULL. */
struct escrow_shortfall *
escrow_demand_find (const struct escrow_demand *demand, uint64_t budget_id);
/** Tells whether control can be reached. */
void escrow_demand_set_connected (struct escrow_demand *demand,
                                  bool connected);
/** Whether control may still send tokens for the budget. */
bool escrow_demand_may_be_granted (const struct escrow_demand *demand,
                                   uint64_t budget_id, uint64_t now_ms);
/** Control granted tokens: the want is met. */
void escrow_demand_clear (struct escrow_demand *demand, uint64_t budget_id);
/** Control said that nothing is left in reach. */
void escrow_demand_set_exhausted (struct escrow_demand *demand,
                                  uint64_t budget_id, uint64_t now_ms);
/** The budget changed; control hears of it with a later report. */
void escrow_demand_mark_changed (struct escrow_demand *demand,
                                 struct escrow_budget *budget);
/** Whether there is a want that escrow_demand_collect did not collect yet. */
bool escrow_demand_has_unreported (const struct escrow_demand *demand);
/** Whether a want waits for control's answer. */
bool escrow_demand_awaits_answer (const struct escrow_demand *demand);
/** Collects the wants that still hold and drops the others. */
void escrow_demand_collect (struct escrow_demand *demand, uint64_t now_ms,
                            uint32_t most, GArray *budget_ids);
/** Takes the next changed budget off the list; NULL when there is none. */
struct escrow_budget *escrow_demand_pop_changed (struct escrow_demand *demand);
/** Renews the spending rate of a budget, in tokens a minute. */
void escrow_demand_update_rate (struct escrow_budget *budget, uint64_t now_ms);

#endif
