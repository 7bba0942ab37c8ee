#ifndef ROUTER_H
#define ROUTER_H

/** @file
 *  What the parts of a router share. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base_metrics.h"
#include "bundle.h"
#include "control_client.h"
#include "ledger_client.h"
#include "registry.h"
#include "retry.h"
#include "router_claims.h"
#include "router_metrics.h"
#include "router_queue.h"

struct gossip;
struct router_worker;

/** Who a router is; strings stay the caller's. */
struct router_identity
{
  const char *cluster;
  const char *host;
  const char *availability_zone;
  const char *region;
  uint64_t incarnation;
};

/** How a router works. */
struct router_options
{
  uint32_t workers;
  /** Share of requests that may be sent again, in percent. */
  uint32_t retry_percent;
  /** Longest silence of a target inside an answer, in milliseconds. */
  uint32_t stall_ms;
  /** Client accounts with metrics of their own. */
  uint32_t metrics_accounts;
};

/** A router; parts read it, and change it by the functions below. */
struct router
{
  struct router_identity identity;
  struct router_options options;
  struct base_metrics *set;
  struct router_metrics *metrics;
  struct registry *registry;
  struct ledger_client *ledger;
  struct router_claims *claims;
  struct retry_budget *retry;
  struct router_queue *queue;
  struct router_worker **workers;
  _Atomic uint32_t next_worker;
  /** Told of leaving targets; NULL until it is started. */
  _Atomic (struct gossip *) gossip;
  struct base_counter *open_gauge;
  _Atomic uint32_t open;
  atomic_bool draining;
  GMutex bundle_mutex;
  struct bundle *bundle;
  _Atomic uint64_t bundle_version;
  /** Largest body that any service takes, in bytes. */
  _Atomic uint32_t body_limit;
};

/** Starts the workers; @p ledger and @p control stay the caller's.  NULL on
 *  failure. */
struct router *router_create (const struct router_identity *identity,
                              const struct router_options *options,
                              struct base_metrics *set,
                              struct ledger_client *ledger,
                              struct control_client *control);
/** Stops the workers; no request may be open. */
void router_destroy (struct router *router);
/** Puts a newer configuration in force. */
void router_set_bundle (struct router *router, struct bundle *bundle);
/** Brings a thread's own reference up to date; cheap when nothing changed. */
void router_refresh_bundle (struct router *router, struct bundle **bundle,
                            uint64_t *version);
/** The worker that serves the next request. */
struct router_worker *router_choose_worker (struct router *router);
/** Counts a request as open. */
void router_count_opened (struct router *router);
/** Counts it as over. */
void router_count_closed (struct router *router);
/** Whether new requests can be served. */
bool router_is_ready (struct router *router);

#endif
