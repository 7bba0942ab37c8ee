#ifndef LEDGER_METRICS_H
#define LEDGER_METRICS_H

/** @file
 *  Metrics of the ledger process. */

#include "base_metrics.h"
#include "escrow_ledger.h"

/** Number of values of enum ledger_status. */
#define LEDGER_STATUS_COUNT 9
/** Size of a table indexed by enum ledger_op_kind, which starts at 1. */
#define LEDGER_OP_KIND_COUNT 5

/** The metrics; "cactus_ledger_" and the field name form the metric's name,
 *  with "_total" for counters. */
struct ledger_metrics
{
  struct base_metrics *set;
  struct base_counter *ops[LEDGER_OP_KIND_COUNT][LEDGER_STATUS_COUNT];
  struct base_counter *billed_tokens;
  /** Reservations written off because their session expired. */
  struct base_counter *orphans;
  struct base_counter *commits;
  struct base_counter *commit_failures;
  struct base_counter *exchanges;
  struct base_counter *exchange_failures;
  /** Gauge cactus_ledger_control_connected: 1 while control answers. */
  struct base_counter *connected;
  struct base_counter *budgets;
  struct base_counter *budget_bytes;
  struct base_counter *reservations;
  struct base_counter *keys;
  struct base_counter *log_bytes;
  struct base_histogram *commit_us;
};

/** Creates the metrics in a set of their own. */
void ledger_metrics_open (struct ledger_metrics *metrics);
/** Frees the set. */
void ledger_metrics_close (struct ledger_metrics *metrics);
/** Counts one operation by kind and status, and the tokens it billed. */
void ledger_metrics_count_op (struct ledger_metrics *metrics,
                              const struct ledger_op *op,
                              const struct ledger_op_result *result);
/** Sets the gauges of the ledger's size. */
void ledger_metrics_set_gauges (struct ledger_metrics *metrics,
                                struct escrow_ledger_counts counts,
                                uint64_t log_bytes);

#endif
