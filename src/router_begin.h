#ifndef ROUTER_BEGIN_H
#define ROUTER_BEGIN_H

/** @file
 *  First steps of a request: who asks, for what, under which rule, and the
 *  reservation of its worst case. */

#include "router_request.h"

/** Checks the request and asks the ledger for its reservation; refuses it
 *  where it isn't in order. */
void router_begin (struct router_request *request);
/** Takes in the ledger's answer and goes on, or refuses. */
void router_begin_handle_reservation (struct router_request *request);

#endif
