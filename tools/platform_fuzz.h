#ifndef PLATFORM_FUZZ_H
#define PLATFORM_FUZZ_H

/** @file
 *  Feeds arbitrary bytes to the parsers of the platform adapter, and aborts
 *  when a result violates what their headers guarantee. */

#include <stddef.h>
#include <stdint.h>

/** Parser to test; the fuzzer selects it by the first byte of an input. */
enum platform_fuzz_reader
{
  PLATFORM_FUZZ_CONFIG,
  PLATFORM_FUZZ_ANNOUNCEMENT,
  /** Request headers from a caller, as lines "Name: value". */
  PLATFORM_FUZZ_REQUEST_HEADERS,
  /** Response headers from a target, as lines "Name: value". */
  PLATFORM_FUZZ_RESPONSE_HEADERS,
  PLATFORM_FUZZ_READER_COUNT
};

/** Parses @p data with one parser and checks the result. */
void platform_fuzz_feed (enum platform_fuzz_reader reader, const char *data,
                         size_t bytes);

#endif
