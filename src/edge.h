#ifndef EDGE_H
#define EDGE_H

/** @file
 *  A router that passes requests on by routes: what its parts share.  All of
 *  it is used on the loop's thread, but for what edge_links.h says. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base_metrics.h"
#include "base_random.h"
#include "edge_accounts.h"
#include "edge_dialect.h"
#include "edge_prepaid.h"
#include "edge_retry.h"
#include "edge_table.h"
#include "edge_targets.h"
#include "router_poll.h"

struct edge_links;
struct edge_front;
struct http_status;

/** Settings; strings outlive the router. */
struct edge_options
{
  const char *cluster;
  const char *host;
  const char *availability_zone;
  const char *region;
  /** Region of a zone, or NULL. */
  const char *(*region_of) (const void *context, const char *zone);
  const void *region_context;
  const char *callers_address;
  uint16_t callers_port;
  const char *ready_address;
  uint16_t ready_port;
  const char *metrics_address;
  uint16_t metrics_port;
  /** Path of the readiness check. */
  const char *ready_path;
  const struct edge_dialect *dialect;
  struct edge_retry_limits retry;
  /** Time from a stop to its forced end, in milliseconds. */
  uint32_t grace_ms;
};

/** Counters of a router. */
struct edge_counters
{
  struct base_counter *requests;
  struct base_counter *served;
  struct base_counter *refused;
  struct base_counter *failed;
  struct base_counter *left;
  struct base_counter *resent;
  struct base_counter *resumed;
  struct base_counter *exhausted;
  struct base_counter *table_version;
  struct base_counter *targets_changed;
  struct base_counter *open;
  struct base_counter *log_lines_dropped;
  struct base_histogram *first_us[3];
  struct base_histogram *total_us[3];
};

/** The router. */
struct edge
{
  struct edge_options options;
  struct base_metrics *set;
  struct edge_counters counters;
  struct edge_accounts *accounts;
  struct base_random random;
  struct router_poll *loop;
  struct edge_front *front;
  struct edge_links *links;
  struct edge_table *table;
  struct edge_targets *targets;
  struct edge_prepaid *prepaid;
  struct edge_retry *retry;
  /** struct edge_request that are open. */
  GQueue requests;
  bool stopping;
  uint64_t stopping_ms;
  /** Status pages, or NULL. */
  struct http_status *status;
  /** Set by edge_stop. */
  atomic_bool stop_wanted;
  /** When the loop last checked time limits, wrote the log, and ticked. */
  uint64_t swept_ms;
  uint64_t logged_ms;
  uint64_t ticked_ms;
  void (*tick) (void *context);
  void *tick_context;
};

/** Starts everything; NULL when it can't listen. */
struct edge *edge_create (const struct edge_options *options,
                          const char *const *members);
/** Frees it. */
void edge_destroy (struct edge *edge);
/** Runs until a graceful stop is over, and gives leases back. */
void edge_run (struct edge *edge);
/** Asks for a graceful stop; from any thread and from a signal handler. */
void edge_stop (struct edge *edge);
/** Names the control members anew; from the loop's thread. */
void edge_set_members (struct edge *edge, const char *const *members);
/** Called about once a second on the loop's thread. */
void edge_set_tick (struct edge *edge, void (*tick) (void *context),
                    void *context);
/** Monotonic time in milliseconds. */
uint64_t edge_now_ms (void);
/** Takes a newer table; from the loop's thread.  Takes over the reference. */
void edge_take_table (struct edge *edge, struct edge_table *table);
/** Whether new callers may come. */
bool edge_is_ready (const struct edge *edge);

#endif
