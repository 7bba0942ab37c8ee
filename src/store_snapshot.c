#include "store_snapshot.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base_hash.h"
#include "store_file.h"

#define SNAPSHOT_FILE "snapshot"
#define SNAPSHOT_MAGIC UINT64_C (0x31706e7353434143)

/* Header of the file; the data follows it. */
struct snapshot_header
{
  uint64_t magic;
  /* Last log record that the snapshot covers. */
  uint64_t index;
  /* Size of the data. */
  uint64_t bytes;
  /* Checksum of index, bytes and the data. */
  uint64_t checksum;
};

static uint64_t
checksum_of (uint64_t index, const void *data, size_t bytes)
{
  return base_hash64 (data, bytes) ^ (index * UINT64_C (0x9e3779b97f4a7c15))
         ^ bytes;
}

int
store_snapshot_write (const char *folder, uint64_t index, const void *data,
                      size_t bytes)
{
  struct snapshot_header header
      = { SNAPSHOT_MAGIC, index, bytes, checksum_of (index, data, bytes) };
  return store_file_replace (folder, SNAPSHOT_FILE, &header, sizeof header,
                             data, bytes);
}

int
store_snapshot_read (const char *folder, uint64_t *index, void **data,
                     size_t *bytes, struct base_findings *findings)
{
  int status = -1;
  char *contents = NULL;
  gsize length = 0;
  struct snapshot_header header;
  char *path = g_build_filename (folder, SNAPSHOT_FILE, NULL);
  if (access (path, F_OK) != 0 && errno == ENOENT)
    {
      status = 0;
      goto done;
    }
  if (!g_file_get_contents (path, &contents, &length, NULL))
    {
      base_findings_add (findings, path, "can't be read");
      goto done;
    }
  if (length < sizeof header)
    {
      base_findings_add (findings, path,
                         "is too short for a snapshot: it ends at offset %zu",
                         (size_t)length);
      goto done;
    }
  memcpy (&header, contents, sizeof header);
  if (header.magic != SNAPSHOT_MAGIC || header.bytes != length - sizeof header
      || header.checksum
             != checksum_of (header.index, contents + sizeof header,
                             header.bytes))
    {
      base_findings_add (findings, path,
                         "is damaged: magic, size or checksum is wrong");
      goto done;
    }
  *index = header.index;
  *bytes = header.bytes;
  *data = g_memdup2 (contents + sizeof header, header.bytes);
  status = 1;
done:
  g_free (contents);
  g_free (path);
  return status;
}
