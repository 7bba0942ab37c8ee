#include "control_difference.h"

#include <stdint.h>
#include <string.h>

#include "base_deflate.h"
#include "base_hash.h"
#include "wire_control.h"

/* Longest run of bytes that is looked up as a whole. */
#define RUN_MAX_BYTES 1024
/* Limit on the size of a decompressed difference, in bytes: a document and the
   edits around its parts. */
#define DIFFERENCE_MAX_BYTES (2u * CONTROL_DOCUMENT_BYTES)

/* A read-only byte string. */
struct text
{
  const char *data;
  gsize bytes;
};

static struct text
text_of (GBytes *bytes)
{
  struct text text = { "", 0 };
  if (bytes)
    text.data = g_bytes_get_data (bytes, &text.bytes);
  return text;
}

static uint64_t
digest_of (struct text text)
{
  return base_hash64 (text.data, text.bytes);
}

/* Returns the size of the run at @p offset: up to the end of a JSON object. */
static gsize
run_bytes (struct text text, gsize offset)
{
  gsize limit = MIN (text.bytes - offset, RUN_MAX_BYTES);
  const char *end = memchr (text.data + offset, '}', limit);
  return end ? (gsize)(end + 1 - (text.data + offset)) : limit;
}

/* Returns the offset of each run of the text by the run's hash. */
static GHashTable *
index_runs (struct text text)
{
  GHashTable *index
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  gsize bytes;
  for (gsize offset = 0; offset < text.bytes; offset += bytes)
    {
      bytes = run_bytes (text, offset);
      uint64_t *hash = g_new (uint64_t, 1);
      *hash = base_hash64 (text.data + offset, bytes);
      g_hash_table_insert (index, hash, GSIZE_TO_POINTER (offset));
    }
  return index;
}

static bool
matches_at (struct text from, gsize offset, const char *run, gsize bytes)
{
  return offset <= from.bytes && bytes <= from.bytes - offset
         && memcmp (from.data + offset, run, bytes) == 0;
}

/* Finds a run in the older document, at @p expected if it is there. */
static bool
find_run (struct text from, GHashTable *index, gsize expected, const char *run,
          gsize bytes, gsize *offset)
{
  gpointer found = NULL;
  *offset = expected;
  if (matches_at (from, expected, run, bytes))
    return true;
  uint64_t hash = base_hash64 (run, bytes);
  if (!g_hash_table_lookup_extended (index, &hash, NULL, &found))
    return false;
  *offset = GPOINTER_TO_SIZE (found);
  return matches_at (from, *offset, run, bytes);
}

/* Appends an empty edit and returns it. */
static struct control_edit *
add_edit (GArray *edits)
{
  g_array_set_size (edits, edits->len + 1);
  return &g_array_index (edits, struct control_edit, edits->len - 1);
}

/* Fills @p edits; the inserted bytes stay owned by @p to. */
static void
make_edits (struct text from, struct text to, GArray *edits)
{
  gsize bytes;
  GHashTable *index = index_runs (from);
  struct control_edit *edit = add_edit (edits);
  for (gsize at = 0; at < to.bytes; at += bytes)
    {
      gsize offset;
      gsize copied_end = (gsize)edit->copy_offset + edit->copy_bytes;
      bytes = run_bytes (to, at);
      bool found
          = find_run (from, index, copied_end, to.data + at, bytes, &offset);
      /* An edit inserts first and then copies one range. */
      if (edit->copy_bytes > 0 && (!found || offset != copied_end))
        edit = add_edit (edits);
      if (found && edit->copy_bytes == 0)
        edit->copy_offset = (u_int)offset;
      if (found)
        edit->copy_bytes += (u_int)bytes;
      else
        {
          if (edit->insert.insert_len == 0)
            edit->insert.insert_val = (char *)(uintptr_t)(to.data + at);
          edit->insert.insert_len += (u_int)bytes;
        }
    }
  g_hash_table_unref (index);
}

GBytes *
control_difference_make (GBytes *from_bytes, GBytes *to_bytes)
{
  XDR stream;
  struct text from = text_of (from_bytes);
  struct text to = text_of (to_bytes);
  GArray *edits = g_array_new (FALSE, TRUE, sizeof (struct control_edit));
  make_edits (from, to, edits);
  struct control_difference difference
      = { .from_digest = digest_of (from), .to_digest = digest_of (to) };
  difference.edits.edits_len = edits->len;
  difference.edits.edits_val = (struct control_edit *)(void *)edits->data;
  u_int bytes
      = (u_int)xdr_sizeof ((xdrproc_t)xdr_control_difference, &difference);
  char *encoded = g_malloc (bytes);
  xdrmem_create (&stream, encoded, bytes, XDR_ENCODE);
  bool complete = xdr_control_difference (&stream, &difference);
  g_assert (complete);
  XDR_DESTROY (&stream);
  GBytes *packed = base_deflate (encoded, bytes);
  g_free (encoded);
  g_array_unref (edits);
  return packed;
}

/* Carries out the edits; false when one is out of range. */
static bool
apply_edits (struct text from, const struct control_difference *difference,
             GByteArray *to)
{
  for (u_int i = 0; i < difference->edits.edits_len; i++)
    {
      const struct control_edit *edit = &difference->edits.edits_val[i];
      if (edit->copy_offset > from.bytes
          || edit->copy_bytes > from.bytes - edit->copy_offset)
        return false;
      g_byte_array_append (to, (const guint8 *)edit->insert.insert_val,
                           edit->insert.insert_len);
      g_byte_array_append (to, (const guint8 *)from.data + edit->copy_offset,
                           edit->copy_bytes);
      if (to->len > CONTROL_DOCUMENT_BYTES)
        return false;
    }
  return true;
}

static bool
decode (GBytes *encoded, struct control_difference *difference)
{
  XDR stream;
  struct text text = text_of (encoded);
  xdrmem_create (&stream, (char *)(uintptr_t)text.data, (u_int)text.bytes,
                 XDR_DECODE);
  bool valid = xdr_control_difference (&stream, difference);
  XDR_DESTROY (&stream);
  return valid;
}

GBytes *
control_difference_apply (GBytes *from_bytes, GBytes *packed)
{
  struct control_difference difference = { 0 };
  struct text from = text_of (from_bytes);
  struct text text = text_of (packed);
  GByteArray *to = g_byte_array_new ();
  GBytes *encoded = base_inflate (text.data, text.bytes, DIFFERENCE_MAX_BYTES);
  bool valid = encoded && decode (encoded, &difference)
               && difference.from_digest == digest_of (from)
               && apply_edits (from, &difference, to);
  struct text result = { (const char *)to->data, to->len };
  valid = valid && difference.to_digest == digest_of (result);
  xdr_free ((xdrproc_t)xdr_control_difference, (char *)&difference);
  if (encoded)
    g_bytes_unref (encoded);
  if (valid)
    return g_byte_array_free_to_bytes (to);
  g_byte_array_unref (to);
  return NULL;
}
