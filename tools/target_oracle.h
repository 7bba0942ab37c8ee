#ifndef TARGET_ORACLE_H
#define TARGET_ORACLE_H

/** @file
 *  Test oracle of a stand-in target: records every run that it served, for
 *  checkers to compare with bills and answers. */

#include <stdbool.h>
#include <stdint.h>

struct target_oracle;

/** Creates an empty record. */
struct target_oracle *target_oracle_create (void);
/** Frees the record. */
void target_oracle_destroy (struct target_oracle *oracle);
/** Records the start of a run; number of runs of this account's key so
 *  far. */
uint32_t target_oracle_start (struct target_oracle *oracle, const char *key,
                              const char *account, const char *budget);
/** Records the end of a run that used @p tokens; @p complete: its answer was
 *  not cut. */
void target_oracle_end (struct target_oracle *oracle, const char *key,
                        const char *account, uint64_t tokens, bool complete);
/** All keys as a JSON array of {"key","account","budget","tokens","runs",
 *  "complete","complete_runs"}, freed with free; complete is true when any
 *  run of the key was complete, complete_runs is their number. */
char *target_oracle_print (struct target_oracle *oracle);
/** Replaces the file @p path by the same array, atomically, when it changed
 *  since the last call; does nothing when @p path is NULL. */
void target_oracle_save (struct target_oracle *oracle, const char *path);

#endif
