#ifndef ROUTER_QUEUE_H
#define ROUTER_QUEUE_H

/** @file
 *  Gives requests a target, or a place in the router's queue until one is
 *  free. */

#include <stdint.h>

#include "registry.h"
#include "router_request.h"

struct router_queue;

/** What became of a request that wants a target. */
enum router_queue_outcome
{
  /** Its choice is filled in. */
  ROUTER_QUEUE_CHOSEN,
  /** ROUTER_EVENT_ADMITTED, _EXPIRED or _NO_TARGET follows. */
  ROUTER_QUEUE_WAITING,
  ROUTER_QUEUE_NO_TARGET,
  /** The queue is full or too slow. */
  ROUTER_QUEUE_REFUSED
};

/** Makes an empty queue for a router of that zone and region. */
struct router_queue *router_queue_create (const char *availability_zone,
                                          const char *region);
/** Frees it; nothing may wait in it. */
void router_queue_destroy (struct router_queue *queue);
/** Sets the router's place among those of its zone, and their number. */
void router_queue_set_rank (struct router_queue *queue, uint32_t rank,
                            uint32_t count);
/** Chooses a target for the request or lets it wait; @p reader is the
 *  thread's own. */
enum router_queue_outcome router_queue_enter (struct router_queue *queue,
                                              struct router_request *request,
                                              struct registry_reader *reader,
                                              uint32_t *retry_after_ms);
/** Whether there is a live target that did not fail the request yet, busy or
 *  not. */
bool router_queue_has_untried_target (struct router_queue *queue,
                                      const struct router_request *request,
                                      struct registry_reader *reader);
/** Takes a request out; a target chosen meanwhile is given back. */
void router_queue_leave (struct router_queue *queue,
                         struct router_request *request);
/** Gives back the request's target; @p failed holds the target for a while.
 *  The next requests that wait for its service get their turn. */
void router_queue_release (struct router_queue *queue,
                           struct router_request *request,
                           struct registry_reader *reader, bool failed);
/** Ends waits that are over, and looks for free targets for the rest. */
void router_queue_tick (struct router_queue *queue,
                        struct registry_reader *reader, struct bundle *bundle);

#endif
