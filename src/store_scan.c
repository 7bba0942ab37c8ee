#include "store_scan.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"

/* Magic number of a record; the bytes "CACR" in the file. */
#define RECORD_MAGIC 0x52434143u

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
