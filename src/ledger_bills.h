#ifndef LEDGER_BILLS_H
#define LEDGER_BILLS_H

/** @file
 *  Bills of a ledger, numbered in the order of their settlement.  New bills
 *  are kept in memory until a snapshot seals them into a read-only file; after
 *  a restart those in memory are restored by replaying the log. */

#include <stdbool.h>

#include "base_findings.h"
#include "escrow_ledger.h"

/** The bills of one ledger; bill numbers start at 1. */
struct ledger_bills;
/** Bills that are being written to a file. */
struct ledger_bills_seal;

/** Opens the bills in @p folder.  @p next_number is the first bill number that
 *  the snapshot doesn't cover.  Never NULL. */
struct ledger_bills *ledger_bills_open (const char *folder,
                                        uint64_t next_number);
/** Frees the bills in memory; the files stay. */
void ledger_bills_close (struct ledger_bills *bills);
/** Adds the bill that @p entry stands for; other entries are ignored. */
void ledger_bills_add (struct ledger_bills *bills,
                       const struct escrow_entry *entry);
/** Returns the number of the next bill. */
uint64_t ledger_bills_next_number (const struct ledger_bills *bills);
/** Moves the bills in memory into a seal.  There is at most one seal at a
 *  time. */
struct ledger_bills_seal *ledger_bills_seal_start (struct ledger_bills *bills);
/** Writes and syncs the file of the seal.  Returns 0, or -1 with errno set.
 *  May run on any thread. */
int ledger_bills_seal_write (struct ledger_bills_seal *seal);
/** Ends the seal; with @p written false, its bills return to memory. */
void ledger_bills_seal_end (struct ledger_bills *bills,
                            struct ledger_bills_seal *seal, bool written);
/** Removes the oldest files until the remaining ones have at most @p bytes_max
 *  bytes. */
void ledger_bills_trim (struct ledger_bills *bills, uint64_t bytes_max);
/** Fills in one page of the statement; its arrays are allocated with malloc.
 *  The page ends before bills that can't be read; false when it would be empty
 *  for that reason. */
bool ledger_bills_read_page (struct ledger_bills *bills,
                             const struct escrow_ledger *ledger,
                             const struct ledger_bills_args *args,
                             struct ledger_bills_result *result);

#endif
