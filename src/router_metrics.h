#ifndef ROUTER_METRICS_H
#define ROUTER_METRICS_H

/** @file
 *  Counters and histograms of a router, by class and by client account. */

#include <stdint.h>

#include "base_metrics.h"

/** Metrics of one class or client account. */
struct router_series
{
  /** Requests that got a response from a target. */
  struct base_counter *served;
  /** Tokens billed. */
  struct base_counter *billed_tokens;
  /** Time from arrival to the last byte, in microseconds. */
  struct base_histogram *latency_us;
  /** Time from arrival to the first token, in microseconds; classes only. */
  struct base_histogram *first_token_us;
  /** Time spent waiting for a target, in microseconds; classes only. */
  struct base_histogram *queue_us;
};

/** Metrics of the whole router. */
struct router_metrics;

/** Creates the metrics in @p set.  Accounts after the first @p accounts_max
 *  share the series "other", which bounds the memory. */
struct router_metrics *router_metrics_create (struct base_metrics *set,
                                              uint32_t accounts_max);
/** Frees the metrics, but not the set. */
void router_metrics_destroy (struct router_metrics *metrics);
/** Series of a class; valid as long as the metrics. */
const struct router_series *
router_metrics_class (struct router_metrics *metrics, const char *name);
/** Series of a client account; valid as long as the metrics. */
const struct router_series *
router_metrics_account (struct router_metrics *metrics, const char *name);
/** Counts a refusal or failure by its code. */
void router_metrics_count_refusal (struct router_metrics *metrics,
                                   const char *code);
/** Records how long the ledger took to answer a reservation, in
 *  microseconds. */
void router_metrics_record_reserve (struct router_metrics *metrics,
                                    uint64_t wait_us);
/** Records how long the ledger took to answer a settlement or release, in
 *  microseconds. */
void router_metrics_record_settle (struct router_metrics *metrics,
                                   uint64_t wait_us);
/** Counts a retry at another target. */
void router_metrics_count_retry (struct router_metrics *metrics);
/** Counts a stream that was cut, by reason. */
void router_metrics_count_cut_stream (struct router_metrics *metrics,
                                      const char *reason);

#endif
