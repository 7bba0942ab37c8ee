#ifndef ROUTER_LEDGER_H
#define ROUTER_LEDGER_H

/** @file
 *  A request's operations at the ledger; each answer comes as
 *  ROUTER_EVENT_LEDGER. */

#include <stdbool.h>
#include <stdint.h>

#include "router_request.h"

/** Asks for the worst case of the request's bill. */
void router_ledger_reserve (struct router_request *request);
/** Asks for the caller to be given up to @p tokens. */
void router_ledger_extend (struct router_request *request, uint64_t tokens);
/** Bills @p used_tokens of this run, once; the request's billed_tokens become
 *  the bill of all runs of its key. */
void router_ledger_settle (struct router_request *request,
                           uint64_t used_tokens);
/** Frees the reservation where one is held: nothing is billed. */
void router_ledger_release (struct router_request *request);
/** Whether the operation was answered since it was last asked. */
bool router_ledger_take_answer (struct router_ledger_op *op);

#endif
