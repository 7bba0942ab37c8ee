#include "control_documents.h"

#include "base_deflate.h"
#include "control_difference.h"

/* Number of documents that transfers may start from or lead to, and the limit
   on their total size, in bytes. */
#define DOCUMENTS_MAX 16
#define DOCUMENTS_MAX_BYTES (32u * 1024 * 1024)
/* Number of transfers that are kept; a dropped one is made again. */
#define TRANSFERS_MAX 32

struct document
{
  uint64_t version;
  GBytes *bytes;
};

struct transfer
{
  uint64_t from_version;
  uint64_t to_version;
  GBytes *bytes;
};

struct control_documents
{
  /* The last documents (struct document), newest first. */
  GQueue documents;
  gsize total_bytes;
  /* Transfers (struct transfer), last used first. */
  GQueue transfers;
};

struct control_documents *
control_documents_create (void)
{
  return g_new0 (struct control_documents, 1);
}

static void
free_document (gpointer data)
{
  struct document *document = data;
  g_bytes_unref (document->bytes);
  g_free (document);
}

static void
free_transfer (gpointer data)
{
  struct transfer *transfer = data;
  g_bytes_unref (transfer->bytes);
  g_free (transfer);
}

void
control_documents_destroy (struct control_documents *documents)
{
  if (!documents)
    return;
  g_queue_clear_full (&documents->documents, free_document);
  g_queue_clear_full (&documents->transfers, free_transfer);
  g_free (documents);
}

/* Drops the oldest documents beyond the limits; the newest one stays. */
static void
drop_old (struct control_documents *documents)
{
  while (documents->documents.length > 1
         && (documents->documents.length > DOCUMENTS_MAX
             || documents->total_bytes > DOCUMENTS_MAX_BYTES))
    {
      struct document *oldest = g_queue_pop_tail (&documents->documents);
      documents->total_bytes -= g_bytes_get_size (oldest->bytes);
      free_document (oldest);
    }
}

GBytes *
control_documents_unpack (const char *data, uint32_t bytes)
{
  return base_is_deflated (data, bytes)
             ? base_inflate (data, bytes, CONTROL_DOCUMENT_BYTES)
             : g_bytes_new (data, bytes);
}

bool
control_documents_put (struct control_documents *documents, uint64_t version,
                       GBytes *bytes)
{
  if (version <= control_documents_version (documents))
    return false;
  struct document *document = g_new0 (struct document, 1);
  document->version = version;
  document->bytes = g_bytes_ref (bytes);
  documents->total_bytes += g_bytes_get_size (bytes);
  g_queue_push_head (&documents->documents, document);
  drop_old (documents);
  return true;
}

uint64_t
control_documents_version (const struct control_documents *documents)
{
  const struct document *newest
      = g_queue_peek_head ((GQueue *)&documents->documents);
  return newest ? newest->version : 0;
}

GBytes *
control_documents_bytes (const struct control_documents *documents)
{
  const struct document *newest
      = g_queue_peek_head ((GQueue *)&documents->documents);
  return newest ? newest->bytes : NULL;
}

static const struct document *
find_document (const struct control_documents *documents, uint64_t version)
{
  for (const GList *link = documents->documents.head; link; link = link->next)
    {
      const struct document *document = link->data;
      if (document->version == version)
        return document;
    }
  return NULL;
}

bool
control_documents_has (const struct control_documents *documents,
                       uint64_t version)
{
  return version == 0 || find_document (documents, version) != NULL;
}

/* Returns a kept transfer and marks it as used. */
static GBytes *
find_transfer (struct control_documents *documents, uint64_t from_version,
               uint64_t to_version)
{
  for (GList *link = documents->transfers.head; link; link = link->next)
    {
      const struct transfer *transfer = link->data;
      if (transfer->from_version != from_version
          || transfer->to_version != to_version)
        continue;
      g_queue_unlink (&documents->transfers, link);
      g_queue_push_head_link (&documents->transfers, link);
      return transfer->bytes;
    }
  return NULL;
}

GBytes *
control_documents_transfer (struct control_documents *documents,
                            uint64_t from_version, uint64_t to_version)
{
  GBytes *kept = find_transfer (documents, from_version, to_version);
  if (kept)
    return kept;
  const struct document *from = find_document (documents, from_version);
  const struct document *to = find_document (documents, to_version);
  if (!to || (from_version > 0 && !from))
    return NULL;
  struct transfer *transfer = g_new0 (struct transfer, 1);
  transfer->from_version = from_version;
  transfer->to_version = to_version;
  transfer->bytes
      = control_difference_make (from ? from->bytes : NULL, to->bytes);
  g_queue_push_head (&documents->transfers, transfer);
  if (documents->transfers.length > TRANSFERS_MAX)
    free_transfer (g_queue_pop_tail (&documents->transfers));
  return transfer->bytes;
}
