#ifndef EDGE_ACCOUNTS_H
#define EDGE_ACCOUNTS_H

/** @file
 *  Request and token counters of a router by client account. */

#include <stdint.h>

#include "base_metrics.h"

/** Number of accounts with their own counters; all later ones share the
 *  counters of "other accounts". */
#define EDGE_ACCOUNTS_MAX 1024

/** How a request ended, as counted for its account. */
enum edge_account_outcome
{
  EDGE_ACCOUNT_SERVED,
  /** The request did not run, and the caller may retry it. */
  EDGE_ACCOUNT_REFUSED,
  /** The account's prepaid tokens don't cover the request. */
  EDGE_ACCOUNT_EXHAUSTED,
  EDGE_ACCOUNT_FAILED,
  /** The caller disconnected before the response was complete. */
  EDGE_ACCOUNT_CALLER_LEFT,
  EDGE_ACCOUNT_OUTCOMES
};

struct edge_accounts;

/** Creates a table whose counters are registered in @p metrics, which must
 *  outlive it. */
struct edge_accounts *edge_accounts_create (struct base_metrics *metrics);
/** Destroys the table; the counters still belong to the metrics. */
void edge_accounts_destroy (struct edge_accounts *accounts);
/** Counts a finished request and the tokens billed for it. */
void edge_accounts_count_request (struct edge_accounts *accounts,
                                  const char *account,
                                  enum edge_account_outcome outcome,
                                  uint64_t tokens);

#endif
