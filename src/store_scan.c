#include "store_scan.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"

#define RECORD_MAGIC 0x52434143u

static uint64_t
head_check_of (const struct store_record_head *head)
{
  return base_hash64 (head, offsetof (struct store_record_head, head_check));
}

void
store_record_head_fill (struct store_record_head *head, uint64_t index,
                        const void *data, size_t bytes)
{
  head->magic = RECORD_MAGIC;
  head->bytes = (uint32_t)bytes;
  head->index = index;
  head->data_check = base_hash64 (data, bytes);
  head->head_check = head_check_of (head);
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

static bool
only_zeros (const struct store_scan *scan)
{
  for (size_t i = scan->offset; i < scan->bytes; i++)
    if (scan->data[i] != 0)
      return false;
  return true;
}

enum store_scan_step
store_scan_next (const struct store_scan *scan, uint64_t index,
                 struct store_record_head *head)
{
  size_t left = scan->bytes - scan->offset;
  if (left == 0)
    return STORE_SCAN_END;
  if (left < sizeof *head || only_zeros (scan))
    return STORE_SCAN_TORN;
  memcpy (head, scan->data + scan->offset, sizeof *head);
  if (head->magic != RECORD_MAGIC || head->head_check != head_check_of (head)
      || head->index != index)
    return STORE_SCAN_DAMAGED;
  if (head->bytes > left - sizeof *head)
    return STORE_SCAN_TORN;
  if (head->data_check != base_hash64 (store_scan_data (scan), head->bytes))
    return STORE_SCAN_DAMAGED;
  return STORE_SCAN_RECORD;
}

const void *
store_scan_data (const struct store_scan *scan)
{
  return scan->data + scan->offset + sizeof (struct store_record_head);
}

void
store_scan_advance (struct store_scan *scan,
                    const struct store_record_head *head)
{
  scan->offset += sizeof *head + head->bytes;
}

void
store_scan_report (const struct store_scan *scan,
                   struct base_findings *findings)
{
  base_findings_add (findings, scan->path,
                     "is damaged at offset %zu: the checksum does not fit",
                     scan->offset);
}
