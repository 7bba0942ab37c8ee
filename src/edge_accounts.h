#ifndef EDGE_ACCOUNTS_H
#define EDGE_ACCOUNTS_H

/** @file
 *  Counters of a router's requests and tokens by client account. */

#include <stdint.h>

#include "base_metrics.h"

/** Accounts with counters of their own; further ones share those of
 *  "other accounts". */
#define EDGE_ACCOUNTS_MAX 1024

/** How a request ended for its account. */
enum edge_account_outcome
{
  EDGE_ACCOUNT_SERVED,
  /** Not run, and the caller may come back. */
  EDGE_ACCOUNT_REFUSED,
  /** The prepaid total does not cover it. */
  EDGE_ACCOUNT_EXHAUSTED,
  EDGE_ACCOUNT_FAILED,
  EDGE_ACCOUNT_LEFT,
  EDGE_ACCOUNT_OUTCOMES
};

struct edge_accounts;

/** Makes counters in @p metrics, which outlives them. */
struct edge_accounts *edge_accounts_create (struct base_metrics *metrics);
/** Frees the table; the counters belong to the metrics. */
void edge_accounts_destroy (struct edge_accounts *accounts);
/** Counts a request that is over, with the tokens it was billed. */
void edge_accounts_over (struct edge_accounts *accounts, const char *account,
                         enum edge_account_outcome outcome, uint64_t tokens);

#endif
