#ifndef ROUTER_QUEUE_H
#define ROUTER_QUEUE_H

/** @file
 *  Chooses a target for a request, or queues the request until one is free. */

#include <stdint.h>

#include "registry.h"
#include "router_request.h"

struct router_queue;

/** Result of router_queue_enter. */
enum router_queue_outcome
{
  /** A target was chosen; the request's choice is set. */
  ROUTER_QUEUE_CHOSEN,
  /** The request waits; ROUTER_EVENT_TARGET_CHOSEN, _EXPIRED or _NO_TARGET
   *  follows. */
  ROUTER_QUEUE_WAITING,
  ROUTER_QUEUE_NO_TARGET,
  /** The class's queue is full, or the wait would exceed its limit. */
  ROUTER_QUEUE_REFUSED
};

/** Creates an empty queue for a router of the given zone and region. */
struct router_queue *router_queue_create (const char *availability_zone,
                                          const char *region);
/** Frees a queue; it must be empty. */
void router_queue_destroy (struct router_queue *queue);
/** Sets the router's rank among the routers of its zone, and their number. */
void router_queue_set_rank (struct router_queue *queue, uint32_t rank,
                            uint32_t count);
/** Chooses a target for the request or queues it; @p reader is the calling
 *  thread's own.  With ROUTER_QUEUE_REFUSED, sets @p retry_after_ms. */
enum router_queue_outcome router_queue_enter (struct router_queue *queue,
                                              struct router_request *request,
                                              struct registry_reader *reader,
                                              uint32_t *retry_after_ms);
/** Whether there is a live target, busy or not, that did not fail the request
 *  yet. */
bool router_queue_has_untried_target (struct router_queue *queue,
                                      const struct router_request *request,
                                      struct registry_reader *reader);
/** Removes a request from the queue; if a target was already chosen for it,
 *  releases that target. */
void router_queue_leave (struct router_queue *queue,
                         struct router_request *request);
/** Releases the request's target, and chooses targets for the next waiting
 *  requests of its service.  With @p failed, the target gets no requests for a
 *  backoff time. */
void router_queue_release (struct router_queue *queue,
                           struct router_request *request,
                           struct registry_reader *reader, bool failed);
/** Expires requests that waited longer than their limit, and looks for free
 *  targets for the others. */
void router_queue_tick (struct router_queue *queue,
                        struct registry_reader *reader, struct bundle *bundle);

#endif
