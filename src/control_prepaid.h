#ifndef CONTROL_PREPAID_H
#define CONTROL_PREPAID_H

/** @file
 *  Prepaid totals of client accounts and the tokens leased to routers.  What
 *  a router does not give back counts as spent, but for what a router that
 *  started anew can't have used; so the sum of all leases never exceeds an
 *  account's total.  Deterministic, without I/O. */

#include <stdint.h>

#include "wire_control.h"

struct control_prepaid;

/** Makes an empty pool. */
struct control_prepaid *control_prepaid_create (void);
/** Frees it. */
void control_prepaid_destroy (struct control_prepaid *prepaid);
/** Replaces the totals; leases stay, also of accounts that are not named. */
void control_prepaid_set_totals (struct control_prepaid *prepaid,
                                 const struct control_prepaid_total *totals,
                                 uint32_t count);
/** Applies a router's call: first what it returns, then what it asks for. */
void control_prepaid_lease (struct control_prepaid *prepaid,
                            const struct control_lease_args *args,
                            uint64_t wall_ms,
                            struct control_lease_result *result);
/** Tokens of the account that are leased to no router. */
uint64_t control_prepaid_left (const struct control_prepaid *prepaid,
                               const char *account);
/** Fills the snapshot's part; freed with the image. */
void control_prepaid_save (const struct control_prepaid *prepaid,
                           struct control_state_image *image);
/** Reads the snapshot's part into an empty pool. */
void control_prepaid_load (struct control_prepaid *prepaid,
                           const struct control_state_image *image);

#endif
