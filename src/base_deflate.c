#include "base_deflate.h"

#include <stdint.h>

#include <zlib.h>

/* Higher levels take several times as long for a tenth less output. */
#define LEVEL 3
/* First byte of the format: deflate with a window of 32 KB. */
#define FIRST_BYTE 0x78
/* Size by which the output grows while decompressing, in bytes. */
#define GROWTH_BYTES 65536

GBytes *
base_deflate (const void *data, size_t bytes)
{
  uLongf packed_bytes = compressBound (bytes);
  guint8 *packed = g_malloc (packed_bytes);
  int status = compress2 (packed, &packed_bytes, data, bytes, LEVEL);
  g_assert (status == Z_OK);
  return g_bytes_new_take (g_realloc (packed, packed_bytes), packed_bytes);
}

/* Decompresses what the stream holds into @p output; returns whether that is
   complete and within the limit. */
static bool
inflate_all (z_stream *stream, GByteArray *output, size_t limit_bytes)
{
  int status = Z_OK;
  while (status == Z_OK && output->len <= limit_bytes)
    {
      guint used = output->len;
      g_byte_array_set_size (output, used + GROWTH_BYTES);
      stream->next_out = output->data + used;
      stream->avail_out = GROWTH_BYTES;
      status = inflate (stream, Z_NO_FLUSH);
      g_byte_array_set_size (output, used + GROWTH_BYTES - stream->avail_out);
    }
  return status == Z_STREAM_END && stream->avail_in == 0
         && output->len <= limit_bytes;
}

GBytes *
base_inflate (const void *data, size_t bytes, size_t limit_bytes)
{
  z_stream stream
      = { .next_in = (Bytef *)(uintptr_t)data, .avail_in = (uInt)bytes };
  if (inflateInit (&stream) != Z_OK)
    return NULL;
  GByteArray *output = g_byte_array_new ();
  bool complete = inflate_all (&stream, output, limit_bytes);
  inflateEnd (&stream);
  if (complete)
    return g_byte_array_free_to_bytes (output);
  g_byte_array_unref (output);
  return NULL;
}

bool
base_is_deflated (const void *data, size_t bytes)
{
  return bytes > 0 && *(const guint8 *)data == FIRST_BYTE;
}
