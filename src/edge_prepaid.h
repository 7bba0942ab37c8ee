#ifndef EDGE_PREPAID_H
#define EDGE_PREPAID_H

/** @file
 *  A router's leases of prepaid tokens.  A request reserves its worst case
 *  before it is sent and settles what it used; what the lease lacks is asked
 *  of control ahead of need, and what idles is given back.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

struct edge_prepaid;

/** What became of a reservation. */
enum edge_prepaid_outcome
{
  EDGE_PREPAID_RESERVED,
  /** The lease lacks tokens; ask again after the next answer of control. */
  EDGE_PREPAID_WAIT,
  /** Control has said that the account's total does not cover it. */
  EDGE_PREPAID_EXHAUSTED
};

/** Makes a state without leases. */
struct edge_prepaid *edge_prepaid_create (void);
/** Frees it. */
void edge_prepaid_destroy (struct edge_prepaid *prepaid);
/** Reserves @p tokens of the account.  @p waited_ms is how long this request
 *  has been waiting; 0 the first time. */
enum edge_prepaid_outcome
edge_prepaid_reserve (struct edge_prepaid *prepaid, const char *account,
                      uint64_t tokens, uint32_t waited_ms, uint64_t now_ms);
/** Tokens of the account that could be reserved now. */
uint64_t edge_prepaid_usable (const struct edge_prepaid *prepaid,
                              const char *account, uint64_t now_ms);
/** When control last answered a call, in milliseconds. */
uint64_t edge_prepaid_answered_ms (const struct edge_prepaid *prepaid);
/** Ends a reservation of which @p used_tokens are spent. */
void edge_prepaid_settle (struct edge_prepaid *prepaid, const char *account,
                          uint64_t reserved_tokens, uint64_t used_tokens);
/** Number of routers that share the accounts. */
void edge_prepaid_set_routers (struct edge_prepaid *prepaid, uint32_t routers);
/** Whether a call to control is due at once. */
bool edge_prepaid_is_urgent (const struct edge_prepaid *prepaid);
/** Fills the asks of the next call, and takes out of the lease what is given
 *  back.  The call is sent again unchanged until it is answered; also an empty
 * one tells control that this router lives, and that its former run is over.
 * @p returns_all gives back all that is free. */
void edge_prepaid_ask (struct edge_prepaid *prepaid, uint64_t now_ms,
                       bool returns_all, struct control_lease_args *args);
/** Takes the answer to the last call. */
void edge_prepaid_take (struct edge_prepaid *prepaid,
                        const struct control_lease_result *result,
                        uint64_t now_ms);
/** Tokens of the account that requests hold, and those that were spent. */
void edge_prepaid_used (const struct edge_prepaid *prepaid,
                        const char *account, uint64_t *reserved_tokens,
                        uint64_t *spent_tokens);
/** Tokens of the account that are leased and free. */
uint64_t edge_prepaid_free (const struct edge_prepaid *prepaid,
                            const char *account);

#endif
