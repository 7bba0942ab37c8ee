#ifndef ROUTER_STEPS_H
#define ROUTER_STEPS_H

/** @file
 *  Advances a request by events and timeouts, on its worker's thread. */

#include <stdint.h>

#include "router_request.h"

/** Handles a set of events (enum router_event). */
void router_steps_handle (struct router_request *request, uint32_t events);
/** Checks deadlines, and whether the caller is still connected. */
void router_steps_check_timeouts (struct router_request *request,
                                  uint64_t now_ms);

#endif
