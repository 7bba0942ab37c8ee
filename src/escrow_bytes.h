#ifndef ESCROW_BYTES_H
#define ESCROW_BYTES_H

/** @file
 *  Little-endian reading and writing of snapshots and journal entries. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Reading position in a buffer; the caller initializes it and owns the
 *  buffer. */
struct escrow_reader
{
  const uint8_t *data;
  size_t bytes;
  size_t offset;
  /** Set when a read goes past the end of the data, and by loaders that find
   *  malformed data; every later read gives zeros. */
  bool failed;
};

/** Appends one byte. */
void escrow_put_u8 (GByteArray *bytes, uint8_t value);
/** Appends 32 bits. */
void escrow_put_u32 (GByteArray *bytes, uint32_t value);
/** Appends 64 bits. */
void escrow_put_u64 (GByteArray *bytes, uint64_t value);
/** Appends several 64-bit values. */
void escrow_put_u64s (GByteArray *bytes, const uint64_t *values, size_t count);
/** Appends a length byte and the string, truncated to 255 bytes. */
void escrow_put_string (GByteArray *bytes, const char *text);
/** Appends @p count raw bytes. */
void escrow_put_raw (GByteArray *bytes, const void *data, size_t count);

/** Reads one byte.  After a failure every read gives zeros. */
uint8_t escrow_get_u8 (struct escrow_reader *reader);
/** Reads 32 bits. */
uint32_t escrow_get_u32 (struct escrow_reader *reader);
/** Reads 64 bits. */
uint64_t escrow_get_u64 (struct escrow_reader *reader);
/** Reads a string; the caller frees it with g_free. */
char *escrow_get_string (struct escrow_reader *reader);
/** Reads @p count raw bytes. */
void escrow_get_raw (struct escrow_reader *reader, void *data, size_t count);

#endif
