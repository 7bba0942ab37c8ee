#ifndef EDGE_LOANS_H
#define EDGE_LOANS_H

/** @file
 *  Socket of the loans among routers (edge_loan.h): datagrams at the port at
 *  which the router passes connections on.  A router of an older build doesn't
 *  answer there, and is held off like one that is lost. */

#include "edge.h"

struct edge_loans;
struct edge_request;

/** Opens the socket.  Returns NULL when the address can't be bound. */
struct edge_loans *edge_loans_create (struct edge *edge, const char *address,
                                      uint16_t port);
/** Closes the socket.  NULL is allowed. */
void edge_loans_destroy (struct edge_loans *loans);
/** Asks the lender of the request's account for the tokens that the request
 *  reserves.  Returns false when this router is the lender, or knows none.
 *  Otherwise edge_request_handle_loan is called with the outcome. */
bool edge_loans_ask (struct edge_request *request);
/** Ends the request's loan or its wish for one.  @p used_tokens were used. */
void edge_loans_settle (struct edge_request *request, uint64_t used_tokens);
/** Tries waiting loans again and repeats messages; called once per loop
 *  iteration. */
void edge_loans_run (struct edge_loans *loans, uint64_t now_ms);

#endif
