#ifndef EDGE_PREPAID_H
#define EDGE_PREPAID_H

/** @file
 *  A router's leases of prepaid tokens.  A request reserves the maximum number
 *  of tokens that it may use before it is sent, and settles the number that it
 *  used.  The router requests tokens from control before a lease runs out, and
 *  returns those it doesn't need.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

struct edge_prepaid;

/** Result of a reservation. */
enum edge_prepaid_outcome
{
  EDGE_PREPAID_RESERVED,
  /** The lease lacks tokens; the caller tries again after control's next
   *  answer. */
  EDGE_PREPAID_WAIT,
  /** By control's last report, the account's unspent tokens don't cover the
   *  request. */
  EDGE_PREPAID_EXHAUSTED
};

/** Creates a state without leases. */
struct edge_prepaid *edge_prepaid_create (void);
/** Destroys a state.  NULL is allowed. */
void edge_prepaid_destroy (struct edge_prepaid *prepaid);
/** Reserves @p tokens of the account.  @p waited_ms is how long the request
 *  has waited; pass 0 on the first call, so that the request is counted as
 *  demand once. */
enum edge_prepaid_outcome
edge_prepaid_reserve (struct edge_prepaid *prepaid, const char *account,
                      uint64_t tokens, uint32_t waited_ms, uint64_t now_ms);
/** Returns how many tokens of the account could be reserved now. */
uint64_t edge_prepaid_usable_tokens (const struct edge_prepaid *prepaid,
                                     const char *account, uint64_t now_ms);
/** Returns the time at which control last answered a lease call, in
 *  milliseconds. */
uint64_t edge_prepaid_last_answer_ms (const struct edge_prepaid *prepaid);
/** Ends a reservation of which @p used_tokens were spent. */
void edge_prepaid_settle (struct edge_prepaid *prepaid, const char *account,
                          uint64_t reserved_tokens, uint64_t used_tokens);
/** Sets the number of routers that share the accounts. */
void edge_prepaid_set_routers (struct edge_prepaid *prepaid, uint32_t routers);
/** Returns whether a lease call should start immediately. */
bool edge_prepaid_needs_call_now (const struct edge_prepaid *prepaid);
/** Fills in the account lines of the next lease call, and takes the tokens it
 *  returns out of the leases.  The call must be repeated unchanged until it is
 *  answered.  A call without lines must be sent too: it shows control that
 *  this router runs and that its previous incarnation has ended.
 *  @p returns_all returns all free tokens. */
void edge_prepaid_fill_call (struct edge_prepaid *prepaid, uint64_t now_ms,
                             bool returns_all,
                             struct control_lease_args *args);
/** Applies the result of the last call. */
void edge_prepaid_apply_result (struct edge_prepaid *prepaid,
                                const struct control_lease_result *result,
                                uint64_t now_ms);
/** Stores the number of the account's tokens that open requests reserve, and
 *  the number that were spent. */
void edge_prepaid_get_totals (const struct edge_prepaid *prepaid,
                              const char *account, uint64_t *reserved_tokens,
                              uint64_t *spent_tokens);
/** Returns the account's tokens that are leased and neither reserved nor
 *  spent. */
uint64_t edge_prepaid_free_tokens (const struct edge_prepaid *prepaid,
                                   const char *account);

#endif
