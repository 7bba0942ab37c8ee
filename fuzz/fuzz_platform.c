/** @file
 *  Fuzzes the readers of the platform adapter; the first byte of the input
 *  selects one. */

#include "platform_fuzz.h"

/** The fuzz target, as libFuzzer calls it. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  if (bytes > 0)
    platform_fuzz_feed (data[0] % PLATFORM_FUZZ_READER_COUNT,
                        (const char *)data + 1, bytes - 1);
  return 0;
}
