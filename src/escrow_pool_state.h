#ifndef ESCROW_POOL_STATE_H
#define ESCROW_POOL_STATE_H

/** @file
 *  State of the pool, private to the escrow_pool and escrow_policy files. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "escrow_pool.h"

/** Silence after which a ledger is taken to be cut off, in ms. */
#define ESCROW_LEDGER_TIMEOUT_MS 3000

/** What a ledger last told about its share, and what it is asked for. */
struct pool_report
{
  /** Asked back, but not sent to the ledger yet. */
  uint64_t recall_tokens;
  /** Asked back with the last answer; no longer among the free tokens. */
  uint64_t leaving_tokens;
  uint64_t want_tokens;
  uint64_t free_tokens;
  uint64_t reserved_tokens;
  uint64_t spent_tokens;
  uint64_t written_off_tokens;
  uint64_t spend_rate_tokens;
  uint64_t reported_at_ms;
};

/** One ledger incarnation's part of a budget. */
struct pool_share
{
  uint32_t ledger;
  /** Totals granted to and returned by the ledger. */
  uint64_t granted_tokens;
  uint64_t returned_tokens;
  /** Granted, but not acknowledged yet. */
  uint64_t in_flight_tokens;
  /** NULL while all that was acknowledged lies idle at the ledger. */
  struct pool_report *report;
};

/** One prepaid budget. */
struct pool_budget
{
  uint64_t budget_id;
  uint64_t topped_up_tokens;
  uint64_t unallocated_tokens;
  struct pool_share *shares;
  uint32_t share_count;
};

/** One incarnation of a ledger. */
struct pool_ledger
{
  char *name;
  uint64_t incarnation;
  bool fenced;
  uint64_t exchanged_at_ms;
  uint64_t granted_sequence;
  uint64_t grant_ack_sequence;
  uint64_t return_ack_sequence;
  /** Grants (struct control_transfer) not acknowledged, by sequence. */
  GArray *grants;
  /** Budgets (uint64_t) whose share has recall_tokens to send. */
  GArray *recalls;
  /** Budgets (uint64_t) whose share has leaving_tokens. */
  GArray *leaving;
};

/** An accepted top-up and its answer. */
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
  /** struct pool_ledger; the index is its number in shares. */
  GPtrArray *ledgers;
};

/** Ledger number @p index. */
struct pool_ledger *pool_ledger_at (const struct escrow_pool *pool,
                                    uint32_t index);
/** Adds a ledger incarnation; its number. */
uint32_t pool_ledger_add (struct escrow_pool *pool, const char *name,
                          uint64_t incarnation);
/** The budget, or NULL. */
struct pool_budget *pool_budget_find (const struct escrow_pool *pool,
                                      uint64_t budget_id);
/** The budget, made when new. */
struct pool_budget *pool_budget_ensure (struct escrow_pool *pool,
                                        uint64_t budget_id);
/** A ledger's share of the budget, or NULL. */
struct pool_share *pool_share_find (const struct pool_budget *budget,
                                    uint32_t ledger);
/** A ledger's share of the budget, made when new.  Earlier pointers to shares
 *  of the budget end their life. */
struct pool_share *pool_share_ensure (struct pool_budget *budget,
                                      uint32_t ledger);
/** The share's report; all zeros where all tokens lie idle. */
const struct pool_report *pool_share_report (const struct pool_share *share);
/** The share's report, made where there is none. */
struct pool_report *pool_share_ensure_report (struct pool_share *share);
/** Forgets the report. */
void pool_share_drop_report (struct pool_share *share);
/** Tokens that lie free at the ledger, as far as is known. */
uint64_t pool_share_free_tokens (const struct pool_share *share);
/** Adds an accepted top-up; @p id is owned by the pool from then on. */
void pool_top_up_add (struct escrow_pool *pool, char *id,
                      uint64_t content_hash, uint64_t topped_up_tokens,
                      uint64_t unallocated_tokens);
/** Whether the ledger was heard of lately and is not fenced. */
bool pool_ledger_live (const struct escrow_pool *pool, uint32_t ledger,
                       uint64_t now_ms);
/** Moves unallocated tokens into a grant. */
void pool_grant (struct escrow_pool *pool, struct pool_budget *budget,
                 uint32_t ledger, uint64_t tokens);
/** Asks a ledger for tokens back with its next answer. */
void pool_recall (struct escrow_pool *pool, struct pool_budget *budget,
                  struct pool_share *share, uint64_t tokens);

#endif
