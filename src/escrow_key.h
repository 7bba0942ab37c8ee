#ifndef ESCROW_KEY_H
#define ESCROW_KEY_H

/** @file
 *  Request keys of a ledger: one open reservation and one bill a key.  Keys
 *  of callers are kept for a window after their bill, in bounded number. */

#include "escrow_entry.h"

/** What happened to a key. */
enum escrow_key_state
{
  ESCROW_KEY_OPEN,
  ESCROW_KEY_BILLED,
  /** Its reservation was orphaned and written off: it may be tried again. */
  ESCROW_KEY_WRITTEN_OFF,
  /** Another ledger billed it. */
  ESCROW_KEY_BILLED_ELSEWHERE
};

/** A key of a client account. */
struct escrow_key
{
  uint64_t account_id;
  uint8_t key[CACTUS_DIGEST_BYTES];
  uint64_t body_hash;
  /** Reservation that holds the key. */
  struct escrow_ref ref;
  uint64_t tokens;
  /** When it was billed or written off, in ms. */
  uint64_t done_at_ms;
  enum escrow_key_state state;
  /** Rises with each bill, for keys that are done. */
  uint64_t sequence;
  /** Place among the keys that are kept for the window. */
  GList link;
};

/** All keys of a ledger. */
struct escrow_keys;

/** Makes an empty table: done keys live for @p window_ms, at most
 *  @p keys_max of them. */
struct escrow_keys *escrow_keys_create (uint64_t window_ms, uint32_t keys_max);
/** Frees it. */
void escrow_keys_destroy (struct escrow_keys *keys);
/** The key, unless it is absent or its window passed. */
struct escrow_key *escrow_keys_find (const struct escrow_keys *keys,
                                     uint64_t account_id, const uint8_t *key,
                                     uint64_t now_ms);
/** Marks the key open for a reservation. */
void escrow_keys_open (struct escrow_keys *keys,
                       const struct escrow_entry *reserve);
/** Marks the key done or charged, to be kept for the window. */
void escrow_keys_close (struct escrow_keys *keys, struct escrow_key *key,
                        enum escrow_key_state state, uint64_t tokens,
                        uint64_t now_ms);
/** Forgets the key. */
void escrow_keys_remove (struct escrow_keys *keys, struct escrow_key *key);
/** Marks the key as billed by another ledger, made when absent. */
void escrow_keys_close_elsewhere (struct escrow_keys *keys,
                                  const struct escrow_entry *entry);
/** Copies up to @p most done keys whose sequence is above @p after, in order;
 *  how many. */
uint32_t escrow_keys_billed_after (const struct escrow_keys *keys,
                                   uint64_t after,
                                   const struct escrow_key **list,
                                   uint32_t most);
/** Number of keys. */
uint32_t escrow_keys_count (const struct escrow_keys *keys);
/** Appends the keys that are kept for the window. */
void escrow_keys_save (const struct escrow_keys *keys, GByteArray *bytes);
/** Reads what escrow_keys_save wrote. */
void escrow_keys_load (struct escrow_keys *keys, struct escrow_reader *reader);

#endif
