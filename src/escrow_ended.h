#ifndef ESCROW_ENDED_H
#define ESCROW_ENDED_H

/** @file
 *  Reservations that ended lately, so that what is sent again or comes late is
 *  answered as before and never applied twice. */

#include "escrow_entry.h"

/** How a reservation ended. */
enum escrow_ended_state
{
  ESCROW_ENDED_SETTLED,
  ESCROW_ENDED_RELEASED,
  /** Written off; a late settlement may lower the charge. */
  ESCROW_ENDED_WRITTEN_OFF,
  /** Charged, then lowered; still written off. */
  ESCROW_ENDED_LOWERED,
  /** Charged, then lowered and billed. */
  ESCROW_ENDED_LOWERED_BILLED,
  /** Billed, then taken back since another ledger billed the key. */
  ESCROW_ENDED_CANCELLED,
  ESCROW_ENDED_STATES
};

/** A reservation that ended. */
struct escrow_ended
{
  struct escrow_ref ref;
  uint64_t account_id;
  uint64_t budget_id;
  uint8_t key[CACTUS_DIGEST_BYTES];
  uint64_t tokens;
  uint64_t at_ms;
  enum escrow_ended_state state;
  GList link;
};

/** Whether the reservation's tokens count as a bill. */
static inline bool
escrow_ended_is_billed (const struct escrow_ended *done)
{
  return done->state == ESCROW_ENDED_SETTLED
         || done->state == ESCROW_ENDED_LOWERED_BILLED;
}

/** The reservations that ended lately. */
struct escrow_ended_table;

/** Makes an empty table; @p evicted is called for each reservation that is
 *  forgotten. */
struct escrow_ended_table *
escrow_ended_create (void (*evicted) (void *context, struct escrow_ref ref),
                     void *context);
/** Frees it. */
void escrow_ended_destroy (struct escrow_ended_table *dones);
/** The reservation, or NULL. */
struct escrow_ended *escrow_ended_find (const struct escrow_ended_table *dones,
                                        struct escrow_ref ref);
/** Adds a reservation that ended with @p entry, or changes its state. */
void escrow_ended_put (struct escrow_ended_table *dones,
                       const struct escrow_entry *entry,
                       enum escrow_ended_state state);
/** Appends all. */
void escrow_ended_save (const struct escrow_ended_table *dones,
                        GByteArray *bytes);
/** Reads what escrow_ended_save wrote. */
void escrow_ended_load (struct escrow_ended_table *dones,
                        struct escrow_reader *reader);

#endif
