/** @file
 *  Fuzzes differences between documents: any bytes may be applied, and the
 *  difference of any two documents yields the second one. */

#include <stdint.h>
#include <stdlib.h>

#include <glib.h>

#include "base_deflate.h"
#include "control_difference.h"

/** The fuzz target, as libFuzzer calls it. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

/* Applies the bytes as the decompressed form of a difference. */
static void
apply_any (GBytes *from, const uint8_t *data, size_t bytes)
{
  GBytes *packed = base_deflate (data, bytes);
  GBytes *result = control_difference_apply (from, packed);
  if (result)
    g_bytes_unref (result);
  g_bytes_unref (packed);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  if (bytes < 2)
    return 0;
  size_t split = 2 + data[0] % (bytes - 1);
  GBytes *from = g_bytes_new (data + 1, split - 1);
  GBytes *to = g_bytes_new (data + split, bytes - split);
  GBytes *difference = control_difference_make (from, to);
  GBytes *result = control_difference_apply (from, difference);
  if (!result || !g_bytes_equal (result, to))
    abort ();
  apply_any (from, data + split, bytes - split);
  g_bytes_unref (result);
  g_bytes_unref (difference);
  g_bytes_unref (from);
  g_bytes_unref (to);
  return 0;
}
