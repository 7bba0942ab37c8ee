#ifndef ROUTER_LEDGER_H
#define ROUTER_LEDGER_H

/** @file
 *  Operations of a request at the ledger; each answer arrives as
 *  ROUTER_EVENT_LEDGER. */

#include <stdbool.h>
#include <stdint.h>

#include "router_request.h"

/** Reserves the largest possible bill of the request. */
void router_ledger_reserve (struct router_request *request);
/** Requests that the watermark, the total of tokens that may be delivered to
 *  the caller, be raised to @p tokens. */
void router_ledger_extend (struct router_request *request, uint64_t tokens);
/** Settles @p used_tokens for this run, at most once.  Sets the request's
 *  billed_tokens to the bill of all runs of its key. */
void router_ledger_settle (struct router_request *request,
                           uint64_t used_tokens);
/** Releases the reservation if one is held; nothing is billed. */
void router_ledger_release (struct router_request *request);
/** Takes the answer of the operation.  Returns true once after each answered
 *  submission, else false. */
bool router_ledger_take_answer (struct router_ledger_op *op);

#endif
