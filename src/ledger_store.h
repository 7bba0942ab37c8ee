#ifndef LEDGER_STORE_H
#define LEDGER_STORE_H

/** @file
 *  Data folder of a ledger: identity, log, snapshot and bills.  A change may
 *  be acknowledged only after ledger_store_commit returned 0. */

#include "base_findings.h"
#include "escrow_ledger.h"
#include "ledger_bills.h"

/** An open data folder and the ledger state loaded from it. */
struct ledger_store;

/** Opens @p folder for ledger @p host of @p cluster, loads the snapshot and
 *  replays the log.  Returns NULL and adds findings (file and offset) when the
 *  folder is damaged or belongs to another ledger. */
struct ledger_store *ledger_store_open (const char *folder,
                                        const char *cluster, const char *host,
                                        uint64_t bills_bytes_max,
                                        struct base_findings *findings);
/** Closes the folder; with @p snapshot, commits and writes a snapshot first.
 */
void ledger_store_close (struct ledger_store *store, bool snapshot);
/** Returns the incarnation, drawn at random when the folder was created. */
uint64_t ledger_store_incarnation (const struct ledger_store *store);
/** Returns the ledger state; changes are durable after ledger_store_commit. */
struct escrow_ledger *ledger_store_ledger (struct ledger_store *store);
/** Returns the bills. */
struct ledger_bills *ledger_store_bills (struct ledger_store *store);
/** Appends the changes since the last commit to the log and syncs it.  Returns
 *  0, or -1 with errno set.  After a failure every later commit fails too. */
int ledger_store_commit (struct ledger_store *store);
/** Starts a snapshot on another thread once the log has grown enough.  When it
 *  is finished, drops the log records that it covers and trims the bills. */
void ledger_store_update_snapshot (struct ledger_store *store);
/** Returns the bytes of the log on disk. */
uint64_t ledger_store_log_bytes (const struct ledger_store *store);
/** Returns the number of log records that were replayed at opening. */
uint64_t ledger_store_replayed_records (const struct ledger_store *store);

#endif
