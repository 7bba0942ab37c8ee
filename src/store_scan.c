#include "store_scan.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"

/* Magic number of a record; the bytes "CACR" in the file. */
#define RECORD_MAGIC 0x52434143u
/* Magic number of a mark behind a record's data. */
#define MARK_MAGIC UINT64_C (0x314b524d43414357)

static uint64_t
compute_header_checksum (const struct store_record_header *header)
{
  return base_hash64 (header,
                      offsetof (struct store_record_header, header_checksum));
}

void
store_record_header_fill (struct store_record_header *header, uint64_t index,
                          const void *data, size_t bytes)
{
  header->magic = RECORD_MAGIC;
  header->bytes = (uint32_t)bytes;
  header->index = index;
  header->data_checksum = base_hash64 (data, bytes);
  header->header_checksum = compute_header_checksum (header);
}

void
store_write_mark_fill (struct store_write_mark *mark, uint64_t first_index)
{
  mark->first_index = first_index;
  mark->magic = MARK_MAGIC;
}

bool
store_write_mark_read (const void *data, size_t bytes, uint64_t index,
                       struct store_write_mark *mark)
{
  if (bytes < sizeof *mark)
    return false;
  memcpy (mark, (const char *)data + bytes - sizeof *mark, sizeof *mark);
  return mark->magic == MARK_MAGIC && mark->first_index <= index;
}

int
store_scan_open (struct store_scan *scan, char *path,
                 struct base_findings *findings)
{
  GError *error = NULL;
  gsize bytes = 0;
  scan->path = path;
  scan->data = NULL;
  scan->offset = 0;
  if (!g_file_get_contents (path, &scan->data, &bytes, &error))
    {
      base_findings_add (findings, path, "%s", error->message);
      g_error_free (error);
      return -1;
    }
  scan->bytes = bytes;
  return 0;
}

void
store_scan_close (struct store_scan *scan)
{
  g_free (scan->path);
  g_free (scan->data);
}

/* Whether all bytes from the offset on are zero. */
static bool
rest_is_zero (const struct store_scan *scan)
{
  for (size_t i = scan->offset; i < scan->bytes; i++)
    if (scan->data[i] != 0)
      return false;
  return true;
}

enum store_scan_step
store_scan_next (const struct store_scan *scan, uint64_t index,
                 struct store_record_header *header)
{
  size_t left = scan->bytes - scan->offset;
  if (left == 0)
    return STORE_SCAN_END;
  if (left < sizeof *header || rest_is_zero (scan))
    return STORE_SCAN_TORN;
  memcpy (header, scan->data + scan->offset, sizeof *header);
  if (header->magic != RECORD_MAGIC
      || header->header_checksum != compute_header_checksum (header)
      || header->index != index)
    return STORE_SCAN_DAMAGED;
  if (header->bytes > left - sizeof *header)
    return STORE_SCAN_TORN;
  if (header->data_checksum
      != base_hash64 (store_scan_data (scan), header->bytes))
    return STORE_SCAN_DAMAGED;
  return STORE_SCAN_RECORD;
}

/* Whether a valid record, with any index above @p index, is at @p offset. */
static bool
is_record_at (const struct store_scan *scan, size_t offset, uint64_t index,
              struct store_record_header *header)
{
  const char *at = scan->data + offset;
  memcpy (header, at, sizeof *header);
  return header->magic == RECORD_MAGIC
         && header->header_checksum == compute_header_checksum (header)
         && header->index > index
         && header->bytes <= scan->bytes - offset - sizeof *header
         && header->data_checksum
                == base_hash64 (at + sizeof *header, header->bytes);
}

bool
store_scan_may_be_unsynced (const struct store_scan *scan, uint64_t index)
{
  struct store_record_header header;
  struct store_write_mark mark;
  size_t offset = scan->offset + 1;
  while (offset + sizeof header <= scan->bytes)
    {
      if (!is_record_at (scan, offset, index, &header))
        {
          offset++;
          continue;
        }
      offset += sizeof header;
      if (!store_write_mark_read (scan->data + offset, header.bytes,
                                  header.index, &mark)
          || mark.first_index > index)
        return false;
      offset += header.bytes;
    }
  return true;
}

const void *
store_scan_data (const struct store_scan *scan)
{
  return scan->data + scan->offset + sizeof (struct store_record_header);
}

void
store_scan_advance (struct store_scan *scan,
                    const struct store_record_header *header)
{
  scan->offset += sizeof *header + header->bytes;
}

void
store_scan_report_damage (const struct store_scan *scan,
                          struct base_findings *findings)
{
  base_findings_add (findings, scan->path,
                     "the record at offset %zu is damaged or incomplete",
                     scan->offset);
}
