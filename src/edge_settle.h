#ifndef EDGE_SETTLE_H
#define EDGE_SETTLE_H

/** @file
 *  Gives back what a request holds: its target's place, and tokens that it
 *  did not use. */

#include "edge_request.h"

/** Ends the send under way, where there is one, and gives the target's place
 *  back. */
void edge_settle_target (struct edge_request *request);
/** The first part of the answer came. */
void edge_settle_first (struct edge_request *request);
/** Tokens that the request counts for so far. */
uint64_t edge_settle_tokens (const struct edge_request *request);
/** Counts a request that is over, or left, under its client account, if it has
 *  one. */
void edge_settle_count (const struct edge_request *request,
                        enum edge_account_outcome outcome);
/** Ends the request: target, tokens, its place among the open ones. */
void edge_settle_close (struct edge_request *request);

#endif
