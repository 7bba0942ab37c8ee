#ifndef CONTROL_LESSEE_H
#define CONTROL_LESSEE_H

/** @file
 *  What one router holds of prepaid accounts, by its reports.  Deterministic,
 *  without I/O. */

#include <stdint.h>

#include <glib.h>

#include "wire_control.h"

/** A router's last calls. */
struct control_lessee
{
  uint64_t incarnation;
  /** Last answer, for a repeated call. */
  struct control_lease_result last;
  /** When the last two calls were applied, or sent where that was earlier by
   *  the router's time of day. */
  uint64_t called_ms;
  uint64_t former_called_ms;
  /** struct control_holding by account. */
  GHashTable *holdings;
};

/** A router's lease of one account. */
struct control_holding
{
  uint64_t leased_tokens;
  /** Used by the last report, and by the one before the call of that
   *  sequence number, with what was free then. */
  uint64_t used_tokens;
  uint64_t former_used_tokens;
  uint64_t former_free_tokens;
  uint64_t tokens_per_s;
  uint64_t former_tokens_per_s;
  uint64_t sequence;
};

/** Makes a router's entry without leases. */
struct control_lessee *control_lessee_create (uint64_t incarnation);
/** Frees it. */
void control_lessee_destroy (struct control_lessee *lessee);
/** Notes that a call was applied. */
void control_lessee_record_call (struct control_lessee *lessee,
                                 uint64_t wall_ms);
/** The holding of an account, made when new. */
struct control_holding *
control_lessee_ensure_holding (struct control_lessee *lessee,
                               const char *account);
/** Tokens of the holding that the router, which is dead by now, can't have
 *  used. */
uint64_t control_lessee_unused (const struct control_lessee *lessee,
                                const struct control_holding *holding,
                                uint64_t wall_ms);
/** Fills the snapshot's part; freed with the image. */
void control_lessee_save (const struct control_lessee *lessee,
                          struct control_lessee_image *image);
/** Reads the snapshot's part. */
struct control_lessee *
control_lessee_load (const struct control_lessee_image *image);
/** Copies an answer; freed with xdr_free. */
void control_lease_copy (const struct control_lease_result *from,
                         struct control_lease_result *to);

#endif
