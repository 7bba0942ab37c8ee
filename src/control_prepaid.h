#ifndef CONTROL_PREPAID_H
#define CONTROL_PREPAID_H

/** @file
 *  Prepaid totals of client accounts and the tokens leased to routers.  Leased
 *  tokens that a router does not return count as spent; when the router
 *  restarts, the tokens that its previous incarnation can't have used are
 *  returned to the account.  So the sum of all leases never exceeds an
 *  account's total.  Deterministic, no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

/** Totals and leases of all accounts. */
struct control_prepaid;

/** Creates an empty pool. */
struct control_prepaid *control_prepaid_create (void);
/** Frees the pool; NULL is allowed. */
void control_prepaid_destroy (struct control_prepaid *prepaid);
/** Replaces the totals.  Leases stay, also those of accounts that are no
 *  longer listed. */
void control_prepaid_set_totals (struct control_prepaid *prepaid,
                                 const struct control_prepaid_total *totals,
                                 uint32_t count);
/** Applies a router's call: its returns first, then its requests for tokens.
 *  The caller frees @p result with xdr_free.  Returns false for a call that
 *  was applied before, or was refused. */
bool control_prepaid_lease (struct control_prepaid *prepaid,
                            const struct control_lease_args *args,
                            uint64_t wall_ms,
                            struct control_lease_result *result);
/** Tokens of the account that are not leased; 0 for an unknown account. */
uint64_t
control_prepaid_unleased_tokens (const struct control_prepaid *prepaid,
                                 const char *account);
/** Applies a call of a router of protocol version 2, found in an older build's
 *  log. */
void control_prepaid_lease_2 (struct control_prepaid *prepaid,
                              const struct control_lease_args_2 *args,
                              uint64_t wall_ms,
                              struct control_lease_result *result);
/** Returns the sums of what was written off with incarnations that ended
 *  without returning their leases; valid until the next call. */
const struct control_write_off *
control_prepaid_write_off (const struct control_prepaid *prepaid);
/** Fills in the pool's parts of a snapshot, which are freed with it. */
void control_prepaid_save (const struct control_prepaid *prepaid,
                           struct control_state_image *image,
                           struct control_reports_image *reports);
/** Reads the pool's parts of a snapshot into an empty pool; @p reports is NULL
 *  for a snapshot of an older build. */
void control_prepaid_load (struct control_prepaid *prepaid,
                           const struct control_state_image *image,
                           const struct control_reports_image *reports);

#endif
