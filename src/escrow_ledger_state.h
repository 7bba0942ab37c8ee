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
  /** A newer incarnation of the router came. */
  bool fenced;
  /** Reservation ids up to this one are too old to be new. */
  uint64_t floor_id;
  /** When it ended, in ms. */
  uint64_t ended_ms;
  /** When it was last heard of; not part of the saved state. */
  uint64_t renewed_ms;
  /** Open struct escrow_reservation, oldest first. */
  GQueue reservations;
};

/** Tokens set aside for one request. */
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
  uint64_t watermark_tokens;
  GList link;
};

struct escrow_ledger
{
  struct escrow_budgets *budgets;
  struct escrow_keys *keys;
  struct escrow_ended_table *dones;
  struct escrow_demand *demand;
  /** struct escrow_session by incarnation. */
  GHashTable *sessions;
  /** Open struct escrow_reservation by reference. */
  GHashTable *reservations;
  /** Returns (struct control_transfer) not acknowledged, by sequence. */
  GArray *returns;
  /** Budgets of the report that control has not answered yet. */
  GArray *reported;
  uint64_t return_sequence;
  uint64_t grant_sequence;
  /** Latest time that an entry carried, in ms. */
  uint64_t last_ms;
  GByteArray *journal;
};

/** The session, or NULL. */
struct escrow_session *
escrow_ledger_session (const struct escrow_ledger *ledger,
                       uint64_t incarnation);
/** The open reservation, or NULL. */
struct escrow_reservation *
escrow_ledger_reservation (const struct escrow_ledger *ledger,
                           struct escrow_ref ref);
/** Applies an entry to the state; 0, or -1 when it does not fit. */
int escrow_ledger_apply (struct escrow_ledger *ledger,
                         const struct escrow_entry *entry);
/** Writes the entry to the journal and applies it. */
void escrow_ledger_commit (struct escrow_ledger *ledger,
                           const struct escrow_entry *entry);
/** Adds a session, forgetting the one that ended first where there are too
 *  many. */
struct escrow_session *escrow_ledger_add_session (struct escrow_ledger *ledger,
                                                  uint64_t incarnation,
                                                  const char *router);
/** Adds an open reservation without touching its budget. */
struct escrow_reservation *
escrow_ledger_add_reservation (struct escrow_ledger *ledger,
                               struct escrow_session *session,
                               const struct escrow_entry *reserve);

#endif
