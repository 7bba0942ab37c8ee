#ifndef ESCROW_ENTRY_H
#define ESCROW_ENTRY_H

/** @file
 *  Entries of a ledger's journal: every change of its state is one entry, and
 *  replaying the entries gives the same state. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "cactus_config.h"
#include "escrow_bytes.h"

/** What an entry changes. */
enum escrow_entry_kind
{
  /** A router's session opens, or opens again after a lapse. */
  ESCROW_ENTRY_SESSION = 1,
  /** Tokens are set aside. */
  ESCROW_ENTRY_RESERVE,
  /** The watermark of a reservation rises. */
  ESCROW_ENTRY_EXTEND,
  /** A reservation is billed. */
  ESCROW_ENTRY_SETTLE,
  /** A reservation is freed, or forbidden before it came. */
  ESCROW_ENTRY_RELEASE,
  /** An orphaned reservation is written off. */
  ESCROW_ENTRY_WRITE_OFF,
  /** A session ends; flag: it may never open again. */
  ESCROW_ENTRY_SESSION_END,
  /** A late settlement lowers a charge; flag: it becomes a bill. */
  ESCROW_ENTRY_LOWER,
  /** Control granted tokens; id is the sequence number. */
  ESCROW_ENTRY_GRANT,
  /** Tokens go back to control; id is the sequence number. */
  ESCROW_ENTRY_RETURN,
  /** Control took the returns up to the sequence number in id. */
  ESCROW_ENTRY_RETURN_ACK,
  /** Another ledger billed the key, other_tokens; flag: the own bill of
   *  tokens is taken back. */
  ESCROW_ENTRY_BILLED_ELSEWHERE,
  ESCROW_ENTRY_KINDS
};

/** Names a reservation: unique id within the router's incarnation. */
struct escrow_ref
{
  uint64_t incarnation;
  uint64_t id;
};

/** One change; fields that its kind does not use are zero. */
struct escrow_entry
{
  enum escrow_entry_kind kind;
  /** Time since the Unix epoch, in ms. */
  uint64_t now_ms;
  struct escrow_ref ref;
  uint64_t account_id;
  uint64_t budget_id;
  uint8_t key[CACTUS_DIGEST_BYTES];
  uint64_t body_hash;
  uint64_t tokens;
  uint64_t other_tokens;
  bool flag;
  char router[CACTUS_NAME_BYTES + 2];
};

/** Appends the entry. */
void escrow_entry_put (const struct escrow_entry *entry, GByteArray *bytes);
/** Reads an entry; 0, or -1 when malformed. */
int escrow_entry_get (struct escrow_entry *entry,
                      struct escrow_reader *reader);
/** Hash of a reference, for GHashTable. */
guint escrow_ref_hash (gconstpointer ref);
/** Equality of references, for GHashTable. */
gboolean escrow_ref_equal (gconstpointer left, gconstpointer right);

#endif
