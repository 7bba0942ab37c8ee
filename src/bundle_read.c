/** @file
 *  Reads a whole document: parsing, version, sections, canonical text. */

#include "bundle_reader.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define VERSION_MAX INT64_MAX

const char *const bundle_sections[]
    = { "operators", "accounts", "services", "classes", "rules", NULL };

static const char *const document_members[]
    = { "version", "operators", "accounts", "services",
        "classes", "rules",     NULL };

static void
read_version (struct bundle_reader *reader, json_t *document)
{
  if (!json_object_get (document, "version"))
    {
      size_t mark = bundle_reader_enter (reader, "version");
      bundle_reader_find (reader, "is required");
      bundle_reader_leave (reader, mark);
    }
  reader->bundle->version
      = bundle_reader_number (reader, document, "version", 1, VERSION_MAX, 1);
}

/* Rules come last: they refer to the others. */
static void
read_sections (struct bundle_reader *reader, json_t *document)
{
  void (*const readers[]) (struct bundle_reader *, json_t *)
      = { bundle_read_operators, bundle_read_accounts, bundle_read_services,
          bundle_read_classes, bundle_read_rules };
  for (size_t i = 0; bundle_sections[i]; i++)
    {
      json_t *section = json_object_get (document, bundle_sections[i]);
      size_t mark = bundle_reader_enter (reader, bundle_sections[i]);
      if (section && !json_is_object (section))
        bundle_reader_find (reader, "must be an object");
      else if (section)
        readers[i](reader, section);
      bundle_reader_leave (reader, mark);
    }
}

/* A document with every section, so that an absent one and an empty one have
   the same digest. */
static void
make_canonical (struct bundle *bundle, json_t *document)
{
  json_t *whole = json_copy (document);
  for (size_t i = 0; bundle_sections[i]; i++)
    if (!json_object_get (whole, bundle_sections[i]))
      json_object_set_new (whole, bundle_sections[i], json_object ());
  char *text
      = json_dumps (whole, JSON_SORT_KEYS | JSON_COMPACT | JSON_ENSURE_ASCII);
  bundle->canonical = g_strdup (text);
  bundle->canonical_bytes = strlen (text);
  free (text);
  json_decref (whole);
  crypto_generichash (bundle->digest, sizeof bundle->digest,
                      (const unsigned char *)bundle->canonical,
                      bundle->canonical_bytes, NULL, 0);
}

struct bundle *
bundle_read_json (json_t *document, struct base_findings *findings)
{
  size_t findings_before = base_findings_count (findings);
  struct bundle_reader reader
      = { bundle_data_create (), findings, g_string_new (NULL) };
  if (bundle_reader_members (&reader, document, document_members))
    {
      read_version (&reader, document);
      read_sections (&reader, document);
    }
  g_string_free (reader.path, TRUE);
  if (base_findings_count (findings) > findings_before)
    {
      bundle_unref (reader.bundle);
      return NULL;
    }
  make_canonical (reader.bundle, document);
  return reader.bundle;
}

struct bundle *
bundle_read (const char *document, size_t bytes,
             struct base_findings *findings)
{
  json_error_t error;
  json_t *parsed
      = json_loadb (document, bytes, JSON_REJECT_DUPLICATES, &error);
  if (!parsed)
    {
      base_findings_add (findings, "document", "line %d column %d: %s",
                         error.line, error.column, error.text);
      return NULL;
    }
  struct bundle *bundle = bundle_read_json (parsed, findings);
  json_decref (parsed);
  return bundle;
}
