#ifndef PLATFORM_FUZZ_H
#define PLATFORM_FUZZ_H

/** @file
 *  Feeds any bytes to the readers of the adapter and aborts where what they
 *  took breaks a promise of their headers. */

#include <stddef.h>
#include <stdint.h>

/** Readers by the first byte of an input. */
enum platform_fuzz_reader
{
  PLATFORM_FUZZ_CONFIG,
  PLATFORM_FUZZ_ANNOUNCEMENT,
  /** Lines "Name: value" of a caller. */
  PLATFORM_FUZZ_REQUEST_HEADERS,
  /** Lines "Name: value" of a target's answer. */
  PLATFORM_FUZZ_RESPONSE_HEADERS,
  PLATFORM_FUZZ_READER_COUNT
};

/** Reads @p data. */
void platform_fuzz_feed (enum platform_fuzz_reader reader, const char *data,
                         size_t bytes);

#endif
