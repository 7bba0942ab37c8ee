#ifndef ROUTER_WORKER_H
#define ROUTER_WORKER_H

/** @file
 *  A thread that serves its share of the requests, each from its start to its
 *  bill, so that a request's state needs no lock. */

#include "registry.h"
#include "router_poll.h"
#include "router_request.h"

struct router_worker;

/** Starts a worker; the @p first one also keeps the router's queue.  NULL on
 *  failure. */
struct router_worker *router_worker_create (struct router *router, bool first);
/** Stops it; its requests must be over. */
void router_worker_destroy (struct router_worker *worker);
/** Hands over a request with events; takes over the reference.  From any
 *  thread. */
void router_worker_post (struct router_worker *worker,
                         struct router_request *request);

/** Worker's thread: the newest configuration, or NULL. */
struct bundle *router_worker_bundle (struct router_worker *worker);
/** Worker's thread: its event loop. */
struct router_poll *router_worker_poll (struct router_worker *worker);
/** Worker's thread: its registration with the registry. */
struct registry_reader *router_worker_reader (struct router_worker *worker);
/** Worker's thread: adds a request to those it looks after. */
void router_worker_add (struct router_worker *worker,
                        struct router_request *request);
/** Worker's thread: takes a request out. */
void router_worker_remove (struct router_worker *worker,
                           struct router_request *request);

#endif
