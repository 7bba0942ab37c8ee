#ifndef ROUTER_H
#define ROUTER_H

/** @file
 *  State that the modules of a router process share. */

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

/** Identity of a router; the strings are borrowed and must outlive it. */
struct router_identity
{
  const char *cluster;
  const char *host;
  const char *availability_zone;
  const char *region;
  uint64_t incarnation;
};

/** Settings of a router. */
struct router_options
{
  uint32_t workers;
  /** Retries allowed, in percent of the requests. */
  uint32_t retry_percent;
  /** Longest time without data within a target's streamed response, in
   *  milliseconds. */
  uint32_t stall_ms;
  /** Maximum number of client accounts that have metrics of their own. */
  uint32_t metrics_accounts;
};

/** A router.  Other modules read its members, and change them only through the
 *  functions below. */
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
  /** Gossip, which is notified at once of targets that leave; NULL until it is
   *  started. */
  _Atomic (struct gossip *) gossip;
  struct base_counter *open_gauge;
  _Atomic uint32_t open_requests;
  atomic_bool draining;
  GMutex bundle_mutex;
  struct bundle *bundle;
  _Atomic uint64_t bundle_version;
  /** Largest request body that any service accepts, in bytes. */
  _Atomic uint32_t body_limit;
};

/** Creates a router and starts its workers; @p ledger and @p control are
 *  borrowed.  Returns NULL on failure. */
struct router *router_create (const struct router_identity *identity,
                              const struct router_options *options,
                              struct base_metrics *set,
                              struct ledger_client *ledger,
                              struct control_client *control);
/** Stops the workers and frees the router; no request may be open. */
void router_destroy (struct router *router);
/** Activates a bundle if it is newer than the active one. */
void router_set_bundle (struct router *router, struct bundle *bundle);
/** Replaces a thread's own reference by one to the active bundle; takes no
 *  lock while @p version is current. */
void router_refresh_bundle (struct router *router, struct bundle **bundle,
                            uint64_t *version);
/** Worker that serves the next request, in round-robin order. */
struct router_worker *router_choose_worker (struct router *router);
/** Counts a request as open. */
void router_count_opened (struct router *router);
/** Counts an open request as ended. */
void router_count_closed (struct router *router);
/** Whether new requests can be served: a configuration is active, a ledger
 *  answered within the lease, and the router is not draining. */
bool router_is_ready (struct router *router);

#endif
