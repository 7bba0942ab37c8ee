#ifndef LOAD_ORACLE_H
#define LOAD_ORACLE_H

/** @file
 *  Test oracle of a load run: what the stand-in targets served and the
 *  ledgers billed, collected after the run to be compared with the answers
 *  that callers got. */

#include <stdint.h>

#include <glib.h>

#include "load_mix.h"

/** What targets served under one idempotency key. */
struct load_oracle_usage
{
  uint64_t tokens;
  /** Number of times that the request ran. */
  uint32_t runs;
};

struct load_oracle;

/** Creates an empty oracle. */
struct load_oracle *load_oracle_create (void);
/** Frees the oracle. */
void load_oracle_destroy (struct load_oracle *oracle);
/** Adds the runs that the target at @p endpoint lists under /oracle; 0, or -1
 *  when the list can't be fetched. */
int load_oracle_add_target (struct load_oracle *oracle, const char *endpoint);
/** Adds the runs of the oracle file of a target; 0, or -1 when it can't be
 *  read. */
int load_oracle_add_file (struct load_oracle *oracle, const char *path);
/** Adds the bills of the ledger at @p address:@p port; 0, or -1 when they
 *  can't all be fetched. */
int load_oracle_add_ledger (struct load_oracle *oracle, const char *address,
                            uint16_t port);
/** What was served under an idempotency key; NULL when nothing was. */
const struct load_oracle_usage *
load_oracle_find_usage (const struct load_oracle *oracle, const char *key);
/** Tokens served to an account; the load uses only its budget "default". */
uint64_t load_oracle_account_served (const struct load_oracle *oracle,
                                     const char *account);
/** Tokens billed to an account, written-off ones included. */
uint64_t load_oracle_account_billed (const struct load_oracle *oracle,
                                     const char *account);
/** Tokens of orphaned reservations, which ledgers count as spent. */
uint64_t load_oracle_written_off (const struct load_oracle *oracle);
/** Number of requests (account and key) with more than one bill, each printed
 *  to standard error. */
uint32_t load_oracle_double_bills (const struct load_oracle *oracle);

#endif
