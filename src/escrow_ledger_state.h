#ifndef ESCROW_LEDGER_STATE_H
#define ESCROW_LEDGER_STATE_H

/** @file
 *  State of a ledger, private to the escrow_ledger files. */

#include "escrow_budget.h"
#include "escrow_demand.h"
#include "escrow_ended.h"
#include "escrow_key.h"
#include "escrow_ledger.h"

/** A router incarnation's session. */
struct escrow_session
{
  uint64_t incarnation;
  char *router;
  bool open;
  /** A newer incarnation of the router opened a session; this one may not
   *  reopen. */
  bool fenced;
  /** Highest id of an ended reservation that was evicted.  Ids up to it are
   *  refused, since they can't be distinguished from repeated ones. */
  uint64_t highest_evicted_id;
  /** Time at which it ended, in ms since the Unix epoch. */
  uint64_t ended_ms;
  /** Time at which it was last renewed, in ms; not saved in snapshots. */
  uint64_t renewed_ms;
  /** Open struct escrow_reservation, oldest first. */
  GQueue reservations;
};

/** Tokens reserved for one request. */
struct escrow_reservation
{
  struct escrow_ref ref;
  struct escrow_session *session;
  uint64_t account_id;
  uint64_t budget_id;
  uint8_t key[CACTUS_DIGEST_BYTES];
  uint64_t body_hash;
  bool key_from_caller;
  uint64_t tokens;
  /** Number of tokens that the router may deliver; 0 when no watermark was
   *  set. */
  uint64_t watermark_tokens;
  /** Node in the queue of the session. */
  GList link;
};

struct escrow_ledger
{
  struct escrow_budgets *budgets;
  struct escrow_keys *keys;
  struct escrow_ended_table *ended_table;
  struct escrow_demand *demand;
  /** struct escrow_session by incarnation. */
  GHashTable *sessions;
  /** Open struct escrow_reservation by reference. */
  GHashTable *reservations;
  /** Returns (struct control_transfer) that control has not acknowledged, by
   *  sequence. */
  GArray *returns;
  /** Budgets (uint64_t) of the last report, until control answers it. */
  GArray *reported_budget_ids;
  /** Sequence numbers of the last return and the last grant. */
  uint64_t return_sequence;
  uint64_t grant_sequence;
  /** Latest time of an entry, in ms since the Unix epoch. */
  uint64_t last_ms;
  /** Buffer to which changes append their entries; NULL when entries are not
   *  kept. */
  GByteArray *journal;
};

/** Finds a session.  Returns NULL when there is none. */
struct escrow_session *
escrow_ledger_session (const struct escrow_ledger *ledger,
                       uint64_t incarnation);
/** Finds an open reservation.  Returns NULL when there is none. */
struct escrow_reservation *
escrow_ledger_reservation (const struct escrow_ledger *ledger,
                           struct escrow_ref ref);
/** Applies an entry to the state.  Returns 0, or -1 when it does not fit. */
int escrow_ledger_apply (struct escrow_ledger *ledger,
                         const struct escrow_entry *entry);
/** Applies the entry, which must fit the state, and appends it to the
 *  journal. */
void escrow_ledger_commit (struct escrow_ledger *ledger,
                           const struct escrow_entry *entry);
/** Adds a session; when there are too many, drops the one that ended first. */
struct escrow_session *escrow_ledger_add_session (struct escrow_ledger *ledger,
                                                  uint64_t incarnation,
                                                  const char *router);
/** Adds an open reservation; leaves the totals of its budget as they are. */
struct escrow_reservation *
escrow_ledger_add_reservation (struct escrow_ledger *ledger,
                               struct escrow_session *session,
                               const struct escrow_entry *reserve);

#endif
