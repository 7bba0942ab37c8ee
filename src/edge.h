#ifndef EDGE_H
#define EDGE_H

/** @file
 *  A router that forwards HTTP requests to targets by a routing table, and the
 *  state that its modules share.  All of it belongs to the thread of the event
 *  loop, except where edge_links.h states otherwise. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base_metrics.h"
#include "base_random.h"
#include "edge_accounts.h"
#include "edge_cold.h"
#include "edge_demand.h"
#include "edge_dialect.h"
#include "edge_disconnect.h"
#include "edge_evacuations.h"
#include "edge_limits.h"
#include "edge_streams.h"
#include "edge_peers.h"
#include "edge_prepaid.h"
#include "edge_pressure.h"
#include "edge_quarantine.h"
#include "edge_retry.h"
#include "edge_table.h"
#include "edge_targets.h"
#include "router_poll.h"

struct edge_links;
struct edge_front;
struct edge_relay;
struct edge_loans;
struct http_status;

/** Settings; the strings must outlive the router. */
struct edge_options
{
  const char *cluster;
  const char *host;
  const char *availability_zone;
  const char *region;
  /** Returns the region of an availability zone, or NULL if it is unknown. */
  const char *(*region_of) (const void *context, const char *zone);
  const void *region_context;
  /** IPv4 address of the host, from which other routers are called. */
  const char *address;
  /** Port at which other routers ask to pass connections on, and borrow tokens
   *  by datagrams; 0 for none. */
  uint16_t relay_port;
  /** Listening address for callers. */
  const char *callers_address;
  uint16_t callers_port;
  /** Listening address for readiness checks. */
  const char *ready_address;
  uint16_t ready_port;
  /** Listening address for metrics; port 0 disables them. */
  const char *metrics_address;
  uint16_t metrics_port;
  /** URL path of the readiness check. */
  const char *ready_path;
  const struct edge_dialect *dialect;
  struct edge_retry_limits retry;
  /** The cluster starts for the first time: no earlier process of this router
   *  has sent anything. */
  bool is_first_start;
  /** Rate of the host's link in Mbit/s; 0 when it is not known. */
  double link_mbps;
  /** Zones may be evacuated: requests are served once the router knows which
   *  are. */
  bool awaits_evacuations;
  /** Memory that the process may use, in MiB, and descriptors that it may have
   *  open. */
  uint32_t memory_mb;
  uint32_t descriptors_max;
  struct edge_cold_bounds cold;
  /** Time between a stop request and a forced stop, in milliseconds. */
  uint32_t grace_ms;
  /** Longest time that requests wait for the first routing table
   *  (edge_start.h); 0: they don't. */
  uint32_t start_wait_ms;
  /** Requests to plain services go by the probability that a target fails,
   *  rather than by its last failures. */
  bool compares_failure_rates;
};

/** Metrics of a router. */
struct edge_counters
{
  struct base_counter *requests;
  struct base_counter *served;
  struct base_counter *refused;
  struct base_counter *failed;
  struct base_counter *callers_left;
  struct base_counter *resent;
  struct base_counter *resumed;
  struct base_counter *exhausted;
  /** Attempts that reached no target, targets that this router can't reach,
   *  and attempts that other routers passed on. */
  struct base_counter *unsent;
  struct base_counter *pools_replaced;
  struct base_counter *lost_targets;
  struct base_counter *sent_via_others;
  /** Responses by which a target said that it leaves, rests or is brittle. */
  struct base_counter *target_statements;
  /** Requests rejected since their targets have no room. */
  struct base_counter *room_rejected;
  /** Whether the host's link is too busy for new connections. */
  struct base_counter *link_closed;
  /** Requests rejected since no target in a region that they are bound to is
   *  available. */
  struct base_counter *region_rejected;
  /** Connections passed on for other routers, and those that were not. */
  struct base_counter *relayed;
  struct base_counter *relay_refused;
  /** Requests rejected because of a blocked prompt part. */
  struct base_counter *quarantined;
  /** Targets known to take a limited number of requests, and requests sent to
   *  such targets. */
  struct base_counter *limited_targets;
  /** Requests for which only cold targets were left. */
  struct base_counter *cold_only;
  struct base_counter *limited_sends;
  /** Permits that control granted, and requests rejected for want of one. */
  struct base_counter *permits_granted;
  struct base_counter *limit_rejected;
  /** Streams whose begin was noted, streams that callers take up, and those of
   *  them that were rejected because their software version is unknown or has
   *  no target. */
  struct base_counter *streams_noted;
  struct base_counter *streams_taken_up;
  struct base_counter *streams_rejected;
  struct base_counter *table_version;
  /** Zones that are evacuated, the version of their list, and requests
   * rejected because all targets are in such zones. */
  struct base_counter *evacuated_zones;
  struct base_counter *evacuations_version;
  struct base_counter *evacuated_rejected;
  struct base_counter *targets_changed;
  struct base_counter *open_requests;
  struct base_counter *log_lines_dropped;
  /** Reads of configuration documents that ended, by how, and the bytes that
   *  all reads received. */
  struct base_counter *documents_read;
  struct base_counter *document_reads_restarted;
  struct base_counter *document_reads_failed;
  struct base_counter *document_bytes;
  /** Time between two looks at the events of connections. */
  struct base_histogram *loop_gap_us;
  /** Latency histograms, indexed by enum edge_route_kind. */
  struct base_histogram *first_event_us[3];
  struct base_histogram *request_us[3];
};

/** A router. */
struct edge
{
  struct edge_options options;
  struct base_metrics *metrics;
  struct edge_counters counters;
  struct edge_disconnect_metrics disconnect_metrics;
  struct edge_accounts *accounts;
  struct base_random random;
  /** Number of the last pool of connections (edge_pool.h). */
  uint32_t last_pool;
  struct router_poll *loop;
  struct edge_front *front;
  struct edge_links *links;
  /** Active routing table, or NULL before the first one was received. */
  struct edge_table *table;
  struct edge_targets *targets;
  struct edge_evacuations *evacuations;
  /** The other routers, and the server that passes their connections on, or
   *  NULL. */
  struct edge_peers *peers;
  struct edge_relay *relay;
  /** Loans of prepaid tokens among routers, or NULL. */
  struct edge_loans *loans;
  /** A target may have to be probed; most targets can't be reached. */
  bool has_lost_paths;
  bool is_cut_off;
  struct edge_prepaid *prepaid;
  struct edge_quarantine *quarantine;
  struct edge_limits *limits;
  struct edge_streams *streams;
  /** Demand for services with limited targets. */
  struct edge_demand *demand;
  /** Requests sent to services, by which the wait for room is estimated, and
   *  whether a request has ended since the queue was last looked at. */
  struct edge_demand *room_demand;
  bool has_freed_room;
  /** Weight of the demand for brittle targets, which other routers are told,
   *  the mean demand that it follows, when that was computed and when the
   *  weight changed, and requests rejected for want of room since. */
  uint32_t demand_weight;
  uint32_t mean_demand;
  uint64_t demand_weighed_ms;
  uint64_t demand_told_ms;
  uint32_t room_rejections;
  /** A request waits for a permit and control was not asked for it yet. */
  bool has_unasked_requests;
  /** Sequence number of the last call that control answered. */
  uint64_t answered_sequence;
  /** Probes of targets (struct edge_probe) in progress. */
  GQueue probes;
  struct edge_retry *retry;
  /** Use of the host's link. */
  struct edge_pressure *pressure;
  /** Open requests (struct edge_request), and those of them that wait for the
   *  first routing table. */
  GQueue requests;
  uint32_t awaiting_table;
  /** A graceful stop is in progress since stop_started_ms. */
  bool stopping;
  uint64_t stop_started_ms;
  /** Server of the metrics page, or NULL. */
  struct http_status *status;
  /** A stop was requested by edge_stop. */
  atomic_bool stop_requested;
  /** Times of the last check of timeouts, the last flush of the log and the
   *  last call of the tick. */
  uint64_t last_timeout_check_ms;
  uint64_t last_log_flush_ms;
  uint64_t last_tick_ms;
  void (*tick) (void *context);
  void *tick_context;
};

/** Creates a router, its servers and its connections to @p members
 *  ("A.B.C.D:PORT", ended by NULL).  Returns NULL when it can't listen. */
struct edge *edge_create (const struct edge_options *options,
                          const char *const *members);
/** Destroys a router.  NULL is allowed. */
void edge_destroy (struct edge *edge);
/** Runs the event loop until a graceful stop is complete, then returns the
 *  unused lease tokens to control. */
void edge_run (struct edge *edge);
/** Requests a graceful stop.  Safe from any thread and signal handler. */
void edge_stop (struct edge *edge);
/** Replaces the configured control members.  Call it on the loop's thread. */
void edge_set_members (struct edge *edge, const char *const *members);
/** Sets a callback that runs about once a second on the loop's thread. */
void edge_set_tick (struct edge *edge, void (*tick) (void *context),
                    void *context);
/** Returns the monotonic time in milliseconds. */
uint64_t edge_now_ms (void);
/** Returns whether control has not answered for a second. */
bool edge_control_is_unreachable (const struct edge *edge);
/** Returns whether requests may soon get tokens without an answer of
 *  control. */
bool edge_silence_ends_soon (const struct edge *edge, uint64_t now_ms);
/** Returns how far an availability zone is from this router. */
enum place_distance edge_distance_to (const struct edge *edge,
                                      const char *zone);
/** Activates a routing table unless it is older than the active one.  Call it
 *  on the loop's thread.  Takes ownership of the caller's reference. */
void edge_set_table (struct edge *edge, struct edge_table *table);
/** Returns whether the router knows what it needs to send requests: a routing
 *  table, and which availability zones are evacuated. */
bool edge_is_informed (const struct edge *edge);
/** Returns whether the router accepts new callers: it is informed and not
 *  stopping. */
bool edge_is_ready (const struct edge *edge);

#endif
