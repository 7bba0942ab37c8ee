#ifndef TARGET_ORACLE_H
#define TARGET_ORACLE_H

/** @file
 *  Record of every run that a stand-in target served, for checkers. */

#include <stdbool.h>
#include <stdint.h>

struct target_oracle;

/** Makes an empty record. */
struct target_oracle *target_oracle_create (void);
/** Frees it. */
void target_oracle_destroy (struct target_oracle *oracle);
/** Counts a run as started; number of runs of this account's key so far. */
uint32_t target_oracle_start (struct target_oracle *oracle, const char *key,
                              const char *account, const char *budget);
/** Adds @p tokens used by a run that ended. */
void target_oracle_end (struct target_oracle *oracle, const char *key,
                        const char *account, uint64_t tokens, bool complete);
/** All runs as a JSON array of {"key","account","budget","tokens","runs",
 *  "complete","complete_runs"}, freed with free; complete says whether any
 *  run of the key was whole, complete_runs how many were. */
char *target_oracle_print (struct target_oracle *oracle);
/** Writes the same to @p path in one step where it changed since the last
 *  time; NULL does nothing. */
void target_oracle_save (struct target_oracle *oracle, const char *path);

#endif
