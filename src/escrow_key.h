#ifndef ESCROW_KEY_H
#define ESCROW_KEY_H

/** @file
 *  Idempotency keys of requests at a ledger: at most one open reservation and
 *  one bill for each key.  Keys that callers sent are kept for a time window
 *  after their bill, and every key after its write-off.  The number of kept
 *  keys is bounded. */

#include "escrow_entry.h"

/** State of a key. */
enum escrow_key_state
{
  /** A reservation holds the key. */
  ESCROW_KEY_OPEN,
  /** This ledger billed it. */
  ESCROW_KEY_BILLED,
  /** Its reservation was orphaned and written off: the request may be retried
   *  under the same key. */
  ESCROW_KEY_WRITTEN_OFF,
  /** Another ledger billed it. */
  ESCROW_KEY_BILLED_ELSEWHERE
};

/** An idempotency key of a client account. */
struct escrow_key
{
  uint64_t account_id;
  uint8_t key[CACTUS_DIGEST_BYTES];
  /** Hash of the request body; another body under the key is a conflict. */
  uint64_t body_hash;
  /** Reservation that holds or last held the key. */
  struct escrow_ref ref;
  /** Tokens billed or written off; 0 while the key is open. */
  uint64_t tokens;
  /** Time at which it was billed or written off, in ms since the Unix
   *  epoch. */
  uint64_t closed_at_ms;
  enum escrow_key_state state;
  /** Sequence number of the closing of the key; meaningless while the key is
   *  open. */
  uint64_t sequence;
  /** Node in the queue of closed keys. */
  GList link;
};

/** All keys of a ledger. */
struct escrow_keys;

/** Creates an empty table that keeps at most @p keys_max closed keys, each for
 *  @p window_ms. */
struct escrow_keys *escrow_keys_create (uint64_t window_ms, uint32_t keys_max);
/** Frees the table. */
void escrow_keys_destroy (struct escrow_keys *keys);
/** Finds a key.  Returns NULL when it is absent or its window has passed. */
struct escrow_key *escrow_keys_find (const struct escrow_keys *keys,
                                     uint64_t account_id, const uint8_t *key,
                                     uint64_t now_ms);
/** Marks the key open for a reservation; adds the key when absent. */
void escrow_keys_open (struct escrow_keys *keys,
                       const struct escrow_entry *reserve);
/** Marks the key billed or written off and keeps it for the window. */
void escrow_keys_close (struct escrow_keys *keys, struct escrow_key *key,
                        enum escrow_key_state state, uint64_t tokens,
                        uint64_t now_ms);
/** Removes and frees the key. */
void escrow_keys_remove (struct escrow_keys *keys, struct escrow_key *key);
/** Marks the key as billed by another ledger; adds the key when absent. */
void escrow_keys_mark_billed_elsewhere (struct escrow_keys *keys,
                                        const struct escrow_entry *entry);
/** Lists up to @p max billed keys whose sequence is above @p after, in order
 *  of sequence.  Returns their number. */
uint32_t escrow_keys_billed_after (const struct escrow_keys *keys,
                                   uint64_t after,
                                   const struct escrow_key **list,
                                   uint32_t max);
/** Number of keys, open and closed. */
uint32_t escrow_keys_count (const struct escrow_keys *keys);
/** Appends the closed keys to a snapshot. */
void escrow_keys_save (const struct escrow_keys *keys, GByteArray *bytes);
/** Reads the keys that escrow_keys_save wrote; sets reader->failed when they
 *  are malformed. */
void escrow_keys_load (struct escrow_keys *keys, struct escrow_reader *reader);

#endif
