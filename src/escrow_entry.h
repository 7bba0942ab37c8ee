#ifndef ESCROW_ENTRY_H
#define ESCROW_ENTRY_H

/** @file
 *  Entries of a ledger's journal.  Every change of the ledger's state is one
 *  entry, and replaying the entries rebuilds the same state. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "cactus_config.h"
#include "escrow_bytes.h"

/** Kind of a change. */
enum escrow_entry_kind
{
  /** A router's session is opened, or reopened after it expired. */
  ESCROW_ENTRY_SESSION = 1,
  /** Tokens are reserved; flag is true when the caller sent the key. */
  ESCROW_ENTRY_RESERVE,
  /** The watermark of a reservation is raised to the member tokens, the number
   *  of tokens that the router may deliver. */
  ESCROW_ENTRY_EXTEND,
  /** A reservation is billed. */
  ESCROW_ENTRY_SETTLE,
  /** A reservation is released.  If the release arrives before the
   *  reservation, the later reservation is refused. */
  ESCROW_ENTRY_RELEASE,
  /** An orphaned reservation is written off. */
  ESCROW_ENTRY_WRITE_OFF,
  /** A session ends; flag is true when it is fenced and may not reopen. */
  ESCROW_ENTRY_SESSION_END,
  /** A late settlement or release lowers a write-off; flag is true when the
   *  write-off becomes a bill. */
  ESCROW_ENTRY_LOWER,
  /** A grant of tokens from control arrived; id is its sequence number. */
  ESCROW_ENTRY_GRANT,
  /** Tokens are returned to control; id is the sequence number. */
  ESCROW_ENTRY_RETURN,
  /** Control acknowledged the returns up to the sequence number in id. */
  ESCROW_ENTRY_RETURN_ACK,
  /** Another ledger billed other_tokens under the key; flag is true when this
   *  ledger's own bill of tokens is cancelled. */
  ESCROW_ENTRY_BILLED_ELSEWHERE,
  ESCROW_ENTRY_KINDS
};

/** Identifies a reservation: the router's incarnation, and an id that is
 *  unique within it. */
struct escrow_ref
{
  uint64_t incarnation;
  uint64_t id;
};

/** One change; the fields that its kind does not use are zero. */
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
  /** Its meaning depends on the kind; see enum escrow_entry_kind. */
  bool flag;
  char router[CACTUS_NAME_BYTES + 2];
};

/** Appends the encoded entry. */
void escrow_entry_put (const struct escrow_entry *entry, GByteArray *bytes);
/** Decodes the next entry.  Returns 0, or -1 when it is malformed. */
int escrow_entry_get (struct escrow_entry *entry,
                      struct escrow_reader *reader);
/** Hash of a reference, for GHashTable. */
guint escrow_ref_hash (gconstpointer ref);
/** Equality of references, for GHashTable. */
gboolean escrow_ref_equal (gconstpointer left, gconstpointer right);

#endif
