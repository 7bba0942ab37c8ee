#ifndef LEDGER_STORE_H
#define LEDGER_STORE_H

/** @file
 *  A ledger's data folder: identity, log, snapshot and bills.  Nothing is
 *  acknowledged before ledger_store_commit returned 0. */

#include "base_findings.h"
#include "escrow_ledger.h"
#include "ledger_bills.h"

/** An open data folder with the state that it holds. */
struct ledger_store;

/** Opens @p folder for ledger @p host of @p cluster and replays it.  NULL with
 *  findings (file and offset) when it is damaged or belongs to another. */
struct ledger_store *ledger_store_open (const char *folder,
                                        const char *cluster, const char *host,
                                        uint64_t bills_bytes_max,
                                        struct base_findings *findings);
/** Closes it, after a snapshot where @p snapshot is set. */
void ledger_store_close (struct ledger_store *store, bool snapshot);
/** Drawn when the folder was new. */
uint64_t ledger_store_incarnation (const struct ledger_store *store);
/** The state; changes of it are kept by ledger_store_commit. */
struct escrow_ledger *ledger_store_ledger (struct ledger_store *store);
/** The statement. */
struct ledger_bills *ledger_store_bills (struct ledger_store *store);
/** Appends and syncs the changes since the last commit; 0, or -1 with errno
 *  set, after which every commit fails. */
int ledger_store_commit (struct ledger_store *store);
/** Starts a snapshot on another thread once the log has grown enough, and
 *  drops what a finished one replaced. */
void ledger_store_update_snapshot (struct ledger_store *store);
/** Bytes of the log on disk. */
uint64_t ledger_store_log_bytes (const struct ledger_store *store);
/** Records read at opening. */
uint64_t ledger_store_replayed_records (const struct ledger_store *store);

#endif
