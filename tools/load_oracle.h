#ifndef LOAD_ORACLE_H
#define LOAD_ORACLE_H

/** @file
 *  What the stand-in targets really served, and what the ledgers billed:
 *  gathered after a run and compared with what callers were told. */

#include <stdint.h>

#include <glib.h>

#include "load_mix.h"

/** What one request key was served. */
struct load_oracle_usage
{
  uint64_t tokens;
  uint32_t runs;
};

struct load_oracle;

/** Makes an empty oracle. */
struct load_oracle *load_oracle_create (void);
/** Frees it. */
void load_oracle_destroy (struct load_oracle *oracle);
/** Adds the runs that the target at @p endpoint lists under /oracle; 0, or -1
 *  when it can't be asked. */
int load_oracle_add_target (struct load_oracle *oracle, const char *endpoint);
/** Adds the runs of a list that a target wrote at its end; 0 or -1. */
int load_oracle_add_file (struct load_oracle *oracle, const char *path);
/** Adds the bills of the ledger at @p address:@p port; 0, or -1. */
int load_oracle_add_ledger (struct load_oracle *oracle, const char *address,
                            uint16_t port);
/** What the key was served; NULL when nothing. */
const struct load_oracle_usage *
load_oracle_find_usage (const struct load_oracle *oracle, const char *key);
/** Tokens served to an account in its budget "default". */
uint64_t load_oracle_account_served (const struct load_oracle *oracle,
                                     const char *account);
/** Tokens billed to an account, written-off ones included. */
uint64_t load_oracle_account_billed (const struct load_oracle *oracle,
                                     const char *account);
/** Tokens of orphaned reservations, which ledgers count as spent. */
uint64_t load_oracle_written_off (const struct load_oracle *oracle);
/** Number of requests (account and key) with more than one bill. */
uint32_t load_oracle_double_bills (const struct load_oracle *oracle);

#endif
