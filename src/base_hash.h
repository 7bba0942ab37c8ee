#ifndef BASE_HASH_H
#define BASE_HASH_H

/** @file
 *  Fast hashes for tables and checksums, and cryptographic digests. */

#include <stddef.h>
#include <stdint.h>

#include "cactus_config.h"

/** 64-bit hash of @p bytes (XXH3). */
uint64_t base_hash64 (const void *data, size_t bytes);
/** 64-bit hash of a string. */
uint64_t base_hash_string (const char *text);
/** Identifier of a client account: the hash of its name, never 0. */
uint64_t base_account_id (const char *account);
/** Identifier of a budget: the hash of both names, never 0. */
uint64_t base_budget_id (const char *account, const char *budget);
/** BLAKE2b digest of @p bytes, without a key. */
void base_digest (uint8_t digest[CACTUS_DIGEST_BYTES], const void *data,
                  size_t bytes);
/** Writes @p bytes as lower-case hexadecimal; @p text holds at least
 *  2 * @p bytes + 1. */
void base_hex_write (char *text, const uint8_t *data, size_t bytes);
/** Reads exactly @p bytes from hexadecimal.  Returns 0, or -1 when @p text is
 *  malformed. */
int base_hex_read (uint8_t *data, size_t bytes, const char *text);

#endif
