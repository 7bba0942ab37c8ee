#ifndef ESCROW_DONE_H
#define ESCROW_DONE_H

/** @file
 *  Reservations that ended lately, so that what is sent again or comes late is
 *  answered as before and never applied twice. */

#include "escrow_entry.h"

/** How a reservation ended. */
enum escrow_done_state
{
  ESCROW_DONE_SETTLED,
  ESCROW_DONE_RELEASED,
  /** Written off; a late settlement may lower the charge. */
  ESCROW_DONE_CHARGED,
  /** Charged, then lowered; still written off. */
  ESCROW_DONE_LOWERED,
  /** Charged, then lowered and billed. */
  ESCROW_DONE_LOWERED_BILLED,
  /** Billed, then taken back since another ledger billed the key. */
  ESCROW_DONE_CANCELLED,
  ESCROW_DONE_STATES
};

/** A reservation that ended. */
struct escrow_done
{
  struct escrow_ref ref;
  uint64_t account_id;
  uint64_t budget_id;
  uint8_t key[CACTUS_DIGEST_BYTES];
  uint64_t tokens;
  uint64_t at_ms;
  enum escrow_done_state state;
  GList link;
};

/** Whether the reservation's tokens count as a bill. */
static inline bool
escrow_done_billed (const struct escrow_done *done)
{
  return done->state == ESCROW_DONE_SETTLED
         || done->state == ESCROW_DONE_LOWERED_BILLED;
}

/** The reservations that ended lately. */
struct escrow_dones;

/** Makes an empty table; @p evicted is called for each reservation that is
 *  forgotten. */
struct escrow_dones *
escrow_dones_create (void (*evicted) (void *context, struct escrow_ref ref),
                     void *context);
/** Frees it. */
void escrow_dones_destroy (struct escrow_dones *dones);
/** The reservation, or NULL. */
struct escrow_done *escrow_dones_find (const struct escrow_dones *dones,
                                       struct escrow_ref ref);
/** Adds a reservation that ended with @p entry, or changes its state. */
void escrow_dones_put (struct escrow_dones *dones,
                       const struct escrow_entry *entry,
                       enum escrow_done_state state);
/** Appends all. */
void escrow_dones_save (const struct escrow_dones *dones, GByteArray *bytes);
/** Reads what escrow_dones_save wrote. */
void escrow_dones_load (struct escrow_dones *dones,
                        struct escrow_reader *reader);

#endif
