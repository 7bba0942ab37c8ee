#ifndef ESCROW_ENDED_H
#define ESCROW_ENDED_H

/** @file
 *  Reservations that ended recently.  They let a ledger answer repeated and
 *  late operations as before without applying them twice. */

#include "escrow_entry.h"

/** How a reservation ended. */
enum escrow_ended_state
{
  ESCROW_ENDED_SETTLED,
  ESCROW_ENDED_RELEASED,
  /** Written off; a late settlement or release may lower the write-off. */
  ESCROW_ENDED_WRITTEN_OFF,
  /** Written off; the write-off was lowered later and is not a bill. */
  ESCROW_ENDED_LOWERED,
  /** Written off; the write-off was lowered later and became a bill. */
  ESCROW_ENDED_LOWERED_BILLED,
  /** Billed, then cancelled since another ledger billed the key. */
  ESCROW_ENDED_CANCELLED,
  ESCROW_ENDED_STATES
};

/** A reservation that ended. */
struct escrow_ended_reservation
{
  struct escrow_ref ref;
  uint64_t account_id;
  uint64_t budget_id;
  uint8_t key[CACTUS_DIGEST_BYTES];
  /** Tokens that were billed or written off; 0 when released. */
  uint64_t tokens;
  /** Time at which it last changed its state, in ms since the Unix epoch. */
  uint64_t ended_at_ms;
  enum escrow_ended_state state;
  GList link;
};

/** Whether the reservation's tokens count as a bill. */
static inline bool
escrow_ended_is_billed (const struct escrow_ended_reservation *ended)
{
  return ended->state == ESCROW_ENDED_SETTLED
         || ended->state == ESCROW_ENDED_LOWERED_BILLED;
}

/** The reservations that ended recently. */
struct escrow_ended_table;

/** Creates an empty table; @p evicted is called for each reservation that is
 *  dropped by age or number. */
struct escrow_ended_table *
escrow_ended_create (void (*evicted) (void *context, struct escrow_ref ref),
                     void *context);
/** Frees the table. */
void escrow_ended_destroy (struct escrow_ended_table *table);
/** Finds a reservation.  Returns NULL when it is not in the table. */
struct escrow_ended_reservation *
escrow_ended_find (const struct escrow_ended_table *table,
                   struct escrow_ref ref);
/** Adds a reservation that ended with @p entry, or updates its state; evicts
 *  old ones. */
void escrow_ended_put (struct escrow_ended_table *table,
                       const struct escrow_entry *entry,
                       enum escrow_ended_state state);
/** Appends all reservations to a snapshot. */
void escrow_ended_save (const struct escrow_ended_table *table,
                        GByteArray *bytes);
/** Reads the reservations that escrow_ended_save wrote; sets reader->failed
 *  when they are malformed. */
void escrow_ended_load (struct escrow_ended_table *table,
                        struct escrow_reader *reader);

#endif
