#include "control_streams.h"

#include <string.h>

#include <glib.h>

#include "base_hash.h"

/* Marks a stream that two builds were recorded for. */
#define CONFLICT UINT64_MAX

struct control_streams
{
  /* Builds by stream, both as pointers: the streams recorded since rotated_ms,
     and those of the KEEP_MS before. */
  GHashTable *newer;
  GHashTable *older;
  uint64_t rotated_ms;
};

struct control_streams *
control_streams_create (void)
{
  struct control_streams *streams = g_new0 (struct control_streams, 1);
  streams->newer = g_hash_table_new (NULL, NULL);
  streams->older = g_hash_table_new (NULL, NULL);
  return streams;
}

void
control_streams_destroy (struct control_streams *streams)
{
  if (!streams)
    return;
  g_hash_table_unref (streams->newer);
  g_hash_table_unref (streams->older);
  g_free (streams);
}

/* Forgets the older streams once the newer ones were all recorded long
   enough ago. */
static void
rotate (struct control_streams *streams, uint64_t now_ms)
{
  if (now_ms < streams->rotated_ms + CONTROL_STREAMS_KEEP_MS)
    return;
  if (now_ms >= streams->rotated_ms + 2 * CONTROL_STREAMS_KEEP_MS)
    g_hash_table_remove_all (streams->newer);
  GHashTable *former = streams->older;
  streams->older = streams->newer;
  streams->newer = former;
  /* A new table, since an emptied one keeps its size. */
  g_hash_table_unref (streams->newer);
  streams->newer = g_hash_table_new (NULL, NULL);
  streams->rotated_ms = now_ms;
}

static uint64_t
look_up (const struct control_streams *streams, uint64_t stream)
{
  gconstpointer key = GSIZE_TO_POINTER (stream);
  uint64_t build = (uint64_t)g_hash_table_lookup (streams->newer, key);
  return build ? build : (uint64_t)g_hash_table_lookup (streams->older, key);
}

bool
control_streams_note (struct control_streams *streams, uint64_t stream,
                      uint64_t build, uint64_t now_ms)
{
  rotate (streams, now_ms);
  uint64_t known = look_up (streams, stream);
  if (known && known != build)
    build = CONFLICT;
  if (g_hash_table_size (streams->newer) >= CONTROL_STREAMS_KEPT_MAX
      && !g_hash_table_contains (streams->newer, GSIZE_TO_POINTER (stream)))
    return false;
  g_hash_table_insert (streams->newer, GSIZE_TO_POINTER (stream),
                       GSIZE_TO_POINTER (build));
  return true;
}

uint64_t
control_streams_find (struct control_streams *streams, uint64_t stream,
                      uint64_t now_ms)
{
  rotate (streams, now_ms);
  uint64_t build = look_up (streams, stream);
  return build == CONFLICT ? 0 : build;
}

uint32_t
control_streams_count (const struct control_streams *streams)
{
  return g_hash_table_size (streams->newer)
         + g_hash_table_size (streams->older);
}

/* Digest of two strings; neither 0 nor CONFLICT. */
static uint64_t
digest (const char *first, const char *second)
{
  char *text = g_strdup_printf ("%s\n%s", first, second);
  uint64_t value = base_hash64 (text, strlen (text));
  g_free (text);
  return value == 0 || value == CONFLICT ? 1 : value;
}

uint64_t
control_streams_key (const char *account, const char *request_id)
{
  return digest (account, request_id);
}

uint64_t
control_streams_build (const char *service, const char *software_version)
{
  return digest (service, software_version);
}
