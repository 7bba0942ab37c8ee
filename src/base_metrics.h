#ifndef BASE_METRICS_H
#define BASE_METRICS_H

/** @file
 *  Counters, gauges and log-linear histograms: lock-free updates, output in
 *  the Prometheus text format. */

#include <stdint.h>

#include <glib.h>

/** The set of metrics of a process. */
struct base_metrics;
/** A counter, which only rises, or a gauge, which may also fall. */
struct base_counter;
/** A log-linear histogram of unsigned values; the upper bound of a bucket is
 *  less than 7 % above its values. */
struct base_histogram;

/** Creates an empty set. */
struct base_metrics *base_metrics_create (void);
/** Frees the set and all its metrics. */
void base_metrics_destroy (struct base_metrics *metrics);

/** Finds or creates the counter with this name and labels.  @p labels is the
 *  text to print, for example "class=\"quick\"", or NULL.  Takes a lock: call
 *  it once and keep the pointer. */
struct base_counter *base_metrics_counter (struct base_metrics *metrics,
                                           const char *name,
                                           const char *labels);
/** Finds or creates a gauge. */
struct base_counter *base_metrics_gauge (struct base_metrics *metrics,
                                         const char *name, const char *labels);
/** Finds or creates a histogram. */
struct base_histogram *base_metrics_histogram (struct base_metrics *metrics,
                                               const char *name,
                                               const char *labels);
/** Appends all metrics to @p text. */
void base_metrics_render (struct base_metrics *metrics, GString *text);

/** Adds @p amount to a counter; lock-free. */
void base_counter_add (struct base_counter *counter, uint64_t amount);
/** Sets a gauge; lock-free. */
void base_counter_set (struct base_counter *counter, uint64_t value);
/** Current value of a counter or gauge. */
uint64_t base_counter_value (const struct base_counter *counter);

/** Creates a histogram that belongs to no set. */
struct base_histogram *base_histogram_create (void);
/** Frees a histogram made by base_histogram_create. */
void base_histogram_destroy (struct base_histogram *histogram);
/** Records one value; lock-free. */
void base_histogram_record (struct base_histogram *histogram, uint64_t value);
/** Number of values recorded. */
uint64_t base_histogram_count (const struct base_histogram *histogram);
/** Upper bound of the bucket that holds the quantile @p quantile (0 to 1);
 *  0 when no values are recorded. */
uint64_t base_histogram_quantile (const struct base_histogram *histogram,
                                  double quantile);

#endif
