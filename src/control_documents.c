#include "control_documents.h"

struct control_documents
{
  uint64_t version;
  GBytes *bytes;
};

struct control_documents *
control_documents_create (void)
{
  return g_new0 (struct control_documents, 1);
}

void
control_documents_destroy (struct control_documents *documents)
{
  if (!documents)
    return;
  if (documents->bytes)
    g_bytes_unref (documents->bytes);
  g_free (documents);
}

bool
control_documents_put (struct control_documents *documents, uint64_t version,
                       const char *data, uint32_t bytes)
{
  if (version <= documents->version)
    return false;
  if (documents->bytes)
    g_bytes_unref (documents->bytes);
  documents->bytes = g_bytes_new (data, bytes);
  documents->version = version;
  return true;
}

uint64_t
control_documents_version (const struct control_documents *documents)
{
  return documents->version;
}

GBytes *
control_documents_bytes (const struct control_documents *documents)
{
  return documents->bytes;
}
