#include "control_bundles.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"

/* Number of versions whose document is kept, to make differences from. */
#define KEPT_DOCUMENTS 8
/* Number of versions whose digest and signer are kept, so that a repeated push
   of one of them gets the same result. */
#define KEPT_RECORDS 1024

struct control_bundles
{
  /* struct control_bundle_record, oldest first. */
  GArray *records;
  /* struct bundle, oldest first; the last is the newest. */
  GPtrArray *documents;
  /* Cached differences to the newest version, keyed by the old version. */
  GHashTable *differences;
};

static void
clear_record (gpointer data)
{
  struct control_bundle_record *record = data;
  free (record->signer);
}

static void
unref_bundle (gpointer data)
{
  bundle_unref (data);
}

struct control_bundles *
control_bundles_create (void)
{
  struct control_bundles *bundles = g_new0 (struct control_bundles, 1);
  bundles->records
      = g_array_new (FALSE, FALSE, sizeof (struct control_bundle_record));
  g_array_set_clear_func (bundles->records, clear_record);
  bundles->documents = g_ptr_array_new_with_free_func (unref_bundle);
  bundles->differences
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return bundles;
}

void
control_bundles_destroy (struct control_bundles *bundles)
{
  g_array_unref (bundles->records);
  g_ptr_array_unref (bundles->documents);
  g_hash_table_unref (bundles->differences);
  g_free (bundles);
}

struct bundle *
control_bundles_newest (const struct control_bundles *bundles)
{
  return bundles->documents->len > 0
             ? bundles->documents->pdata[bundles->documents->len - 1]
             : NULL;
}

uint64_t
control_bundles_version (const struct control_bundles *bundles)
{
  struct bundle *newest = control_bundles_newest (bundles);
  return newest ? bundle_version (newest) : 0;
}

static const struct control_bundle_record *
find_record (const struct control_bundles *bundles, uint64_t version)
{
  for (guint i = bundles->records->len; i-- > 0;)
    {
      const struct control_bundle_record *record
          = &g_array_index (bundles->records, struct control_bundle_record, i);
      if (record->bundle_version == version)
        return record;
    }
  return NULL;
}

static struct bundle *
find_document (const struct control_bundles *bundles, uint64_t version)
{
  for (guint i = bundles->documents->len; i-- > 0;)
    if (bundle_version (bundles->documents->pdata[i]) == version)
      return bundles->documents->pdata[i];
  return NULL;
}

static void
set_answer (struct control_push_result *result, enum control_status status,
            char *text)
{
  result->answer.status = status;
  result->answer.leader_address = strdup ("");
  result->answer.text = text;
}

static void
set_accepted (struct control_push_result *result,
              const struct control_bundle_record *record)
{
  free (result->accepted_signer);
  result->accepted_version = record->bundle_version;
  memcpy (result->accepted_digest, record->digest, sizeof record->digest);
  result->accepted_signer = strdup (record->signer);
}

/* Answers a push of a version that was accepted before: with the same result
   when the digest is the same, else with a conflict. */
static void
answer_repeated (const struct control_bundle_record *record,
                 const uint8_t digest[BUNDLE_DIGEST_BYTES],
                 struct control_push_result *result)
{
  char hex[2 * BUNDLE_DIGEST_BYTES + 1];
  set_accepted (result, record);
  if (memcmp (record->digest, digest, BUNDLE_DIGEST_BYTES) == 0)
    {
      set_answer (result, CONTROL_OK, g_strdup (""));
      return;
    }
  base_hex_write (hex, (const uint8_t *)record->digest, BUNDLE_DIGEST_BYTES);
  set_answer (result, CONTROL_CONFLICT,
              g_strdup_printf ("version %" PRIu64
                               " was accepted with digest %s, signed by %s",
                               (uint64_t)record->bundle_version, hex,
                               record->signer));
}

static bool
signed_by_operator (const struct control_bundles *bundles,
                    const struct control_push_args *args,
                    const uint8_t digest[BUNDLE_DIGEST_BYTES])
{
  uint8_t key[BUNDLE_DIGEST_BYTES];
  struct bundle *newest = control_bundles_newest (bundles);
  if (!newest)
    return true;
  return bundle_find_operator_key (newest, args->signer, key)
         && bundle_verify (digest, key, (const uint8_t *)args->signature);
}

bool
control_bundles_root_signed (const struct control_push_args *args,
                             const uint8_t root_key[32])
{
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle = bundle_read (args->document.document_val,
                                       args->document.document_len, findings);
  base_findings_destroy (findings);
  if (!bundle)
    return false;
  bundle_digest (bundle, digest);
  bundle_unref (bundle);
  return bundle_verify (digest, root_key, (const uint8_t *)args->signature);
}

static void
accept_bundle (struct control_bundles *bundles, struct bundle *bundle,
               const char *signer)
{
  struct control_bundle_record record = { 0 };
  record.bundle_version = bundle_version (bundle);
  bundle_digest (bundle, (uint8_t *)record.digest);
  record.signer = strdup (signer);
  g_array_append_val (bundles->records, record);
  if (bundles->records->len > KEPT_RECORDS)
    g_array_remove_index (bundles->records, 0);
  g_ptr_array_add (bundles->documents, bundle_ref (bundle));
  if (bundles->documents->len > KEPT_DOCUMENTS)
    g_ptr_array_remove_index (bundles->documents, 0);
  g_hash_table_remove_all (bundles->differences);
}

/* Accepts or refuses a valid document. */
static void
push_bundle (struct control_bundles *bundles, struct bundle *bundle,
             const struct control_push_args *args,
             struct control_push_result *result)
{
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  uint64_t version = bundle_version (bundle);
  uint64_t accepted = control_bundles_version (bundles);
  const struct control_bundle_record *record = find_record (bundles, version);
  bundle_digest (bundle, digest);
  if (record)
    answer_repeated (record, digest, result);
  else if (version != args->bundle_version)
    set_answer (
        result, CONTROL_REFUSED,
        g_strdup ("the document's version differs from the pushed version"));
  else if (version != accepted + 1)
    set_answer (result, CONTROL_CONFLICT,
                g_strdup_printf ("version %" PRIu64
                                 " is the newest; the next must be %" PRIu64,
                                 accepted, accepted + 1));
  else if (!signed_by_operator (bundles, args, digest))
    set_answer (result, CONTROL_REFUSED,
                g_strdup_printf ("the signature is not by %s, or %s is not "
                                 "an operator of the newest version",
                                 args->signer, args->signer));
  else
    {
      accept_bundle (bundles, bundle, args->signer);
      set_accepted (result, find_record (bundles, version));
      set_answer (result, CONTROL_OK, g_strdup (""));
    }
}

void
control_bundles_push (struct control_bundles *bundles,
                      const struct control_push_args *args,
                      struct control_push_result *result)
{
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle = bundle_read (args->document.document_val,
                                       args->document.document_len, findings);
  result->accepted_signer = strdup ("");
  if (bundles->records->len > 0)
    set_accepted (result, &g_array_index (bundles->records,
                                          struct control_bundle_record,
                                          bundles->records->len - 1));
  if (bundle)
    push_bundle (bundles, bundle, args, result);
  else
    {
      char *text = base_findings_join (findings);
      text[MIN (strlen (text), CONTROL_TEXT_BYTES)] = '\0';
      set_answer (result, CONTROL_REFUSED, text);
    }
  if (bundle)
    bundle_unref (bundle);
  base_findings_destroy (findings);
}

static void
copy_document (struct bundle *bundle, u_int *length, char **value)
{
  size_t bytes = 0;
  const char *canonical = bundle_canonical (bundle, &bytes);
  *length = (u_int)bytes;
  *value = malloc (bytes + 1);
  memcpy (*value, canonical, bytes);
}

void
control_bundles_get (const struct control_bundles *bundles, uint64_t version,
                     struct control_bundle_result *result)
{
  uint64_t wanted = version ? version : control_bundles_version (bundles);
  struct bundle *bundle = find_document (bundles, wanted);
  const struct control_bundle_record *record = find_record (bundles, wanted);
  result->answer.leader_address = strdup ("");
  result->answer.text = strdup ("");
  result->signer = strdup (record ? record->signer : "");
  result->answer.status = bundle && record ? CONTROL_OK : CONTROL_NOT_FOUND;
  if (!bundle || !record)
    return;
  result->bundle_version = wanted;
  memcpy (result->digest, record->digest, sizeof record->digest);
  copy_document (bundle, &result->document.document_len,
                 &result->document.document_val);
}

/* Returns the difference from @p old to the newest version, made on the first
   call and cached. */
static const char *
difference_from (struct control_bundles *bundles, struct bundle *old)
{
  gint64 version = (gint64)bundle_version (old);
  char *text = g_hash_table_lookup (bundles->differences, &version);
  if (text)
    return text;
  text = bundle_difference (old, control_bundles_newest (bundles));
  g_hash_table_insert (bundles->differences,
                       g_memdup2 (&version, sizeof version), text);
  return text;
}

/* Returns the bundle that the caller has received pieces of, or NULL when
   there is none or it is no longer kept. */
static struct bundle *
bundle_in_progress (const struct control_bundles *bundles,
                    const struct control_sync_args *args)
{
  size_t bytes = 0;
  if (args->piece_offset == 0
      || args->piece_version <= args->process.bundle_version)
    return NULL;
  struct bundle *bundle = find_document (bundles, args->piece_version);
  if (bundle)
    bundle_canonical (bundle, &bytes);
  return args->piece_offset < bytes ? bundle : NULL;
}

/* Copies the requested piece of a whole document, the first one when @p
   continues is false.  Pieces keep the reply small enough for a connection to
   take it without blocking. */
static void
copy_piece (struct bundle *bundle, bool continues,
            const struct control_sync_args *args,
            struct control_sync_result *result)
{
  size_t bytes = 0;
  const char *canonical = bundle_canonical (bundle, &bytes);
  size_t offset = continues ? args->piece_offset : 0;
  size_t length = MIN (bytes - offset, CONTROL_PIECE_BYTES);
  result->new_version = bundle_version (bundle);
  result->full = true;
  result->document_bytes = (u_int)bytes;
  result->document_offset = (u_int)offset;
  result->document.document_len = (u_int)length;
  result->document.document_val = malloc (length + 1);
  memcpy (result->document.document_val, canonical + offset, length);
}

void
control_bundles_sync (struct control_bundles *bundles,
                      const struct control_sync_args *args,
                      struct control_sync_result *result)
{
  uint64_t version = args->process.bundle_version;
  struct bundle *newest = control_bundles_newest (bundles);
  result->new_version = control_bundles_version (bundles);
  if (!newest || version >= result->new_version)
    return;
  struct bundle *begun = bundle_in_progress (bundles, args);
  struct bundle *old = find_document (bundles, version);
  const char *difference = old ? difference_from (bundles, old) : NULL;
  if (!difference || strlen (difference) > CONTROL_PIECE_BYTES)
    {
      /* A read that has begun goes on to its end, so that a process gets a
         whole bundle also while newer ones are accepted. */
      copy_piece (begun ? begun : newest, begun != NULL, args, result);
      return;
    }
  result->document.document_len = (u_int)strlen (difference);
  result->document.document_val = strdup (difference);
}

void
control_bundles_save (const struct control_bundles *bundles,
                      struct control_state_image *image)
{
  guint count = bundles->records->len;
  struct bundle *newest = control_bundles_newest (bundles);
  image->accepted.accepted_len = count;
  image->accepted.accepted_val
      = calloc (count + 1, sizeof (struct control_bundle_record));
  for (guint i = 0; i < count; i++)
    {
      struct control_bundle_record *copy = &image->accepted.accepted_val[i];
      *copy
          = g_array_index (bundles->records, struct control_bundle_record, i);
      copy->signer = strdup (copy->signer);
    }
  if (newest)
    copy_document (newest, &image->document.document_len,
                   &image->document.document_val);
}

int
control_bundles_load (struct control_bundles *bundles,
                      const struct control_state_image *image)
{
  for (u_int i = 0; i < image->accepted.accepted_len; i++)
    {
      struct control_bundle_record record = image->accepted.accepted_val[i];
      record.signer = strdup (record.signer);
      g_array_append_val (bundles->records, record);
    }
  if (image->document.document_len == 0)
    return 0;
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle = bundle_read (image->document.document_val,
                                       image->document.document_len, findings);
  base_findings_destroy (findings);
  if (!bundle)
    return -1;
  g_ptr_array_add (bundles->documents, bundle);
  return 0;
}
