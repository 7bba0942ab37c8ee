#include "escrow_bytes.h"

#include <string.h>

#define STRING_BYTES_MAX 255

void
escrow_put_u8 (GByteArray *bytes, uint8_t value)
{
  g_byte_array_append (bytes, &value, 1);
}

void
escrow_put_u32 (GByteArray *bytes, uint32_t value)
{
  uint32_t little = GUINT32_TO_LE (value);
  g_byte_array_append (bytes, (const guint8 *)&little, sizeof little);
}

void
escrow_put_u64 (GByteArray *bytes, uint64_t value)
{
  uint64_t little = GUINT64_TO_LE (value);
  g_byte_array_append (bytes, (const guint8 *)&little, sizeof little);
}

void
escrow_put_u64s (GByteArray *bytes, const uint64_t *values, size_t count)
{
  guint start = bytes->len;
  g_byte_array_set_size (bytes, start + (guint)(count * sizeof *values));
  for (size_t i = 0; i < count; i++)
    {
      uint64_t little = GUINT64_TO_LE (values[i]);
      memcpy (bytes->data + start + i * sizeof little, &little, sizeof little);
    }
}

void
escrow_put_string (GByteArray *bytes, const char *text)
{
  size_t length = strnlen (text, STRING_BYTES_MAX);
  escrow_put_u8 (bytes, (uint8_t)length);
  escrow_put_raw (bytes, text, length);
}

void
escrow_put_raw (GByteArray *bytes, const void *data, size_t count)
{
  g_byte_array_append (bytes, data, (guint)count);
}

void
escrow_get_raw (struct escrow_reader *reader, void *data, size_t count)
{
  if (reader->failed || count > reader->bytes - reader->offset)
    {
      reader->failed = true;
      memset (data, 0, count);
      return;
    }
  memcpy (data, reader->data + reader->offset, count);
  reader->offset += count;
}

uint8_t
escrow_get_u8 (struct escrow_reader *reader)
{
  uint8_t value;
  escrow_get_raw (reader, &value, sizeof value);
  return value;
}

uint32_t
escrow_get_u32 (struct escrow_reader *reader)
{
  uint32_t little;
  escrow_get_raw (reader, &little, sizeof little);
  return GUINT32_FROM_LE (little);
}

uint64_t
escrow_get_u64 (struct escrow_reader *reader)
{
  uint64_t little;
  escrow_get_raw (reader, &little, sizeof little);
  return GUINT64_FROM_LE (little);
}

char *
escrow_get_string (struct escrow_reader *reader)
{
  size_t length = escrow_get_u8 (reader);
  char *text = g_malloc0 (length + 1);
  escrow_get_raw (reader, text, length);
  return text;
}
