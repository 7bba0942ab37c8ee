#ifndef ESCROW_POOL_STATE_H
#define ESCROW_POOL_STATE_H

/** @file
 *  State of the pool, private to the escrow_pool and escrow_policy files. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "escrow_pool.h"

/** Time without an exchange after which a ledger counts as unreachable, in
 *  ms. */
#define ESCROW_LEDGER_TIMEOUT_MS 3000

/** A ledger's last report of its share, and the recalls from it. */
struct pool_report
{
  /** Tokens to be recalled whose recall was not sent to the ledger yet. */
  uint64_t recall_unsent_tokens;
  /** Tokens whose recall was sent with the last answer; already subtracted
   *  from free_tokens. */
  uint64_t recall_sent_tokens;
  /** Tokens that the ledger wants in addition to the grants in flight. */
  uint64_t want_tokens;
  uint64_t free_tokens;
  uint64_t reserved_tokens;
  uint64_t spent_tokens;
  uint64_t written_off_tokens;
  /** Spending rate, in tokens a minute. */
  uint64_t spend_rate_tokens;
  uint64_t reported_at_ms;
};

/** One ledger incarnation's part of a budget. */
struct pool_share
{
  /** Index in the pool's ledgers. */
  uint32_t ledger;
  /** Totals granted to and returned by the ledger. */
  uint64_t granted_tokens;
  uint64_t returned_tokens;
  /** Tokens that were granted and that the ledger has not acknowledged yet. */
  uint64_t in_flight_tokens;
  /** NULL while all acknowledged tokens are free at the ledger and none are
   *  wanted or recalled. */
  struct pool_report *report;
};

/** One prepaid budget. */
struct pool_budget
{
  uint64_t budget_id;
  uint64_t topped_up_tokens;
  /** Tokens at control that are granted to no ledger. */
  uint64_t unallocated_tokens;
  struct pool_share *shares;
  uint32_t share_count;
};

/** One incarnation of a ledger. */
struct pool_ledger
{
  char *name;
  uint64_t incarnation;
  /** Whether a newer incarnation of the ledger exists. */
  bool fenced;
  /** Time of the last exchange, in ms since the Unix epoch. */
  uint64_t exchanged_at_ms;
  /** Sequence numbers: last grant, last acknowledged grant, last return. */
  uint64_t granted_sequence;
  uint64_t grant_ack_sequence;
  uint64_t return_ack_sequence;
  /** Grants (struct control_transfer) that are not acknowledged, by
   *  sequence. */
  GArray *grants;
  /** Budgets (uint64_t) whose share has recall_unsent_tokens. */
  GArray *recalls_unsent;
  /** Budgets (uint64_t) whose share has recall_sent_tokens. */
  GArray *recalls_sent;
};

/** An accepted top-up and the totals of its answer. */
struct pool_top_up
{
  char *id;
  uint64_t content_hash;
  uint64_t topped_up_tokens;
  uint64_t unallocated_tokens;
};

struct escrow_pool
{
  enum escrow_policy policy;
  /** struct pool_budget by budget_id. */
  GHashTable *budgets;
  /** struct pool_top_up by id. */
  GHashTable *top_ups;
  /** struct pool_ledger; shares refer to it by index. */
  GPtrArray *ledgers;
};

/** Ledger incarnation @p index. */
struct pool_ledger *pool_ledger_at (const struct escrow_pool *pool,
                                    uint32_t index);
/** Adds a ledger incarnation.  Returns its index. */
uint32_t pool_ledger_add (struct escrow_pool *pool, const char *name,
                          uint64_t incarnation);
/** Finds a budget.  Returns NULL when there is none. */
struct pool_budget *pool_budget_find (const struct escrow_pool *pool,
                                      uint64_t budget_id);
/** Finds a budget, or creates it. */
struct pool_budget *pool_budget_ensure (struct escrow_pool *pool,
                                        uint64_t budget_id);
/** Finds a ledger's share of the budget.  Returns NULL when there is none. */
struct pool_share *pool_share_find (const struct pool_budget *budget,
                                    uint32_t ledger);
/** Finds a ledger's share of the budget, or creates it.  Invalidates earlier
 *  pointers to shares of the budget. */
struct pool_share *pool_share_ensure (struct pool_budget *budget,
                                      uint32_t ledger);
/** The share's report; all zeros for a share without one. */
const struct pool_report *pool_share_report (const struct pool_share *share);
/** The share's report, created when there is none. */
struct pool_report *pool_share_ensure_report (struct pool_share *share);
/** Frees the share's report. */
void pool_share_drop_report (struct pool_share *share);
/** Tokens that are free at the ledger, by its last report. */
uint64_t pool_share_free_tokens (const struct pool_share *share);
/** Adds an accepted top-up; the pool takes ownership of @p id. */
void pool_top_up_add (struct escrow_pool *pool, char *id,
                      uint64_t content_hash, uint64_t topped_up_tokens,
                      uint64_t unallocated_tokens);
/** Whether the ledger is not fenced and had an exchange within the last
 *  ESCROW_LEDGER_TIMEOUT_MS. */
bool pool_ledger_live (const struct escrow_pool *pool, uint32_t ledger,
                       uint64_t now_ms);
/** Grants unallocated tokens to a ledger. */
void pool_grant (struct escrow_pool *pool, struct pool_budget *budget,
                 uint32_t ledger, uint64_t tokens);
/** Recalls tokens from a ledger with the next answer to it. */
void pool_recall (struct escrow_pool *pool, struct pool_budget *budget,
                  struct pool_share *share, uint64_t tokens);

#endif
