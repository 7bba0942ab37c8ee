#ifndef ROUTER_WORKER_H
#define ROUTER_WORKER_H

/** @file
 *  A thread that serves its share of the requests.  A request stays on one
 *  worker from its start to its settlement, so its state needs no lock. */

#include "registry.h"
#include "router_poll.h"
#include "router_request.h"

struct router_worker;

/** Starts a worker; the @p first one also runs the timers of queue and
 *  registry.  Returns NULL on failure. */
struct router_worker *router_worker_create (struct router *router, bool first);
/** Stops a worker; its requests must have ended. */
void router_worker_destroy (struct router_worker *worker);
/** Posts a request that has pending events to the worker and takes over the
 *  caller's reference; safe from any thread. */
void router_worker_post (struct router_worker *worker,
                         struct router_request *request);

/** Returns the active bundle, or NULL.  Called on the worker's thread only, as
 *  are the following functions. */
struct bundle *router_worker_bundle (struct router_worker *worker);
/** Returns the worker's event loop. */
struct router_poll *router_worker_poll (struct router_worker *worker);
/** Returns the worker's registration as a reader of the registry. */
struct registry_reader *router_worker_reader (struct router_worker *worker);
/** Adds a request to those of the worker. */
void router_worker_add (struct router_worker *worker,
                        struct router_request *request);
/** Removes a request from those of the worker. */
void router_worker_remove (struct router_worker *worker,
                           struct router_request *request);

#endif
