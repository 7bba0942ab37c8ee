#ifndef ROUTER_BEGIN_H
#define ROUTER_BEGIN_H

/** @file
 *  First phase of a request: authentication, validation, choice of service
 *  and rule, and the reservation of its largest possible bill. */

#include "router_request.h"

/** Validates the request and reserves its tokens at the ledger; refuses an
 *  invalid request. */
void router_begin (struct router_request *request);
/** Handles the ledger's answer to the reservation: continues, or refuses the
 *  request. */
void router_begin_handle_reservation (struct router_request *request);

#endif
