/** @file
 *  Reads and writes the file of the cached bundle: a line with its digest in
 *  hexadecimal, then the canonical document. */

#include "control_session_cache.h"

#include <string.h>

#include <glib.h>

#include "base_hash.h"
#include "base_log.h"
#include "store_file.h"

/* A digest in hexadecimal and a newline. */
#define HEADER_BYTES (2 * BUNDLE_DIGEST_BYTES + 1)

static void
write_header (char header[HEADER_BYTES + 1], const struct bundle *bundle)
{
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  bundle_digest (bundle, digest);
  base_hex_write (header, digest, sizeof digest);
  header[HEADER_BYTES - 1] = '\n';
  header[HEADER_BYTES] = '\0';
}

int
control_session_cache_write (const char *path, const struct bundle *bundle)
{
  char header[HEADER_BYTES + 1];
  size_t bytes;
  const char *text = bundle_canonical (bundle, &bytes);
  char *folder = g_path_get_dirname (path);
  char *name = g_path_get_basename (path);
  write_header (header, bundle);
  int status
      = store_file_replace (folder, name, header, HEADER_BYTES, text, bytes);
  g_free (folder);
  g_free (name);
  return status;
}

/* Decodes the file's content.  Returns NULL when it is malformed or does not
   match its digest. */
static struct bundle *
decode_verified (const char *text, size_t bytes)
{
  char header[HEADER_BYTES + 1];
  if (bytes <= HEADER_BYTES)
    return NULL;
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle
      = bundle_read (text + HEADER_BYTES, bytes - HEADER_BYTES, findings);
  base_findings_destroy (findings);
  if (!bundle)
    return NULL;
  write_header (header, bundle);
  if (memcmp (header, text, HEADER_BYTES) == 0)
    return bundle;
  bundle_unref (bundle);
  return NULL;
}

struct bundle *
control_session_cache_read (const char *path)
{
  char *text = NULL;
  gsize bytes = 0;
  if (!g_file_get_contents (path, &text, &bytes, NULL))
    return NULL;
  struct bundle *bundle = decode_verified (text, bytes);
  if (!bundle)
    base_log (BASE_LOG_ERROR, "bundle-cache-damaged path=%s", path);
  g_free (text);
  return bundle;
}
