#ifndef LEDGER_BILLS_H
#define LEDGER_BILLS_H

/** @file
 *  The statement of a ledger: numbered bills, the newest in memory until they
 *  are sealed into a file.  Bills in memory are found again by replaying the
 *  log. */

#include "base_findings.h"
#include "escrow_ledger.h"

/** The bills of one ledger; bill numbers start at 1. */
struct ledger_bills;
/** Bills on their way into a file. */
struct ledger_bills_seal;

/** Opens the bills in @p folder; the bill after the files has number
 *  @p next_number.  Never NULL. */
struct ledger_bills *ledger_bills_open (const char *folder,
                                        uint64_t next_number);
/** Closes them. */
void ledger_bills_close (struct ledger_bills *bills);
/** Adds the bill that @p entry makes, if it makes one. */
void ledger_bills_add (struct ledger_bills *bills,
                       const struct escrow_entry *entry);
/** Number that the next bill gets. */
uint64_t ledger_bills_next_number (const struct ledger_bills *bills);
/** Hands the bills in memory over to be written; at most one seal at a time.
 */
struct ledger_bills_seal *ledger_bills_seal_start (struct ledger_bills *bills);
/** Writes the file, synced; 0, or -1 with errno set.  Any thread. */
int ledger_bills_seal_write (struct ledger_bills_seal *seal);
/** Ends a seal: the bills are in the file, or stay in memory. */
void ledger_bills_seal_end (struct ledger_bills *bills,
                            struct ledger_bills_seal *seal, bool written);
/** Removes the oldest files while all are larger than @p bytes_max. */
void ledger_bills_trim (struct ledger_bills *bills, uint64_t bytes_max);
/** Fills one page of the statement; arrays are allocated with malloc. */
void ledger_bills_read_page (struct ledger_bills *bills,
                             const struct escrow_ledger *ledger,
                             const struct ledger_bills_args *args,
                             struct ledger_bills_result *result);

#endif
