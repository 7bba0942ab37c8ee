#ifndef EDGE_SETTLE_H
#define EDGE_SETTLE_H

/** @file
 *  Releases what a request holds: its share of the target's load, and reserved
 *  tokens that it did not use. */

#include "edge_request.h"

/** Aborts the present attempt, if any, and removes the request from the
 *  target's load. */
void edge_release_target (struct edge_request *request);
/** Records that the first part of the response arrived, so that the target has
 *  prefilled the prompt. */
void edge_settle_first_response (struct edge_request *request);
/** Returns the tokens that the request is billed for so far. */
uint64_t edge_settle_tokens (const struct edge_request *request);
/** Counts a finished or abandoned request for its client account, if it has
 *  one. */
void edge_count_outcome (const struct edge_request *request,
                         enum edge_account_outcome outcome);
/** Settles the request: releases its target and tokens, removes it from the
 *  open requests, and drops the reference of an open request. */
void edge_settle_request (struct edge_request *request);

#endif
