/** @file
 *  Reads a whole document: parses it, reads the version and all sections, and
 *  writes the canonical text. */

#include "bundle_reader.h"

#include "base_json.h"

#define VERSION_MAX INT64_MAX

static const char *const document_members[]
    = { "version", "operators", "accounts", "services",
        "classes", "rules",     NULL };

/** Name of a section and the function that reads it. */
struct section_reader
{
  const char *name;
  void (*read) (struct bundle_reader *reader, json_t *section);
};

static void
read_version (struct bundle_reader *reader, json_t *document)
{
  if (!json_object_get (document, "version"))
    {
      size_t mark = bundle_reader_enter (reader, "version");
      bundle_reader_add_finding (reader, "is required");
      bundle_reader_leave (reader, mark);
    }
  reader->bundle->version
      = bundle_reader_number (reader, document, "version", 1, VERSION_MAX, 1);
}

/* Rules are read last, as they refer to entries of the other sections. */
static void
read_sections (struct bundle_reader *reader, json_t *document)
{
  static const struct section_reader readers[]
      = { { "operators", bundle_read_operators },
          { "accounts", bundle_read_accounts },
          { "services", bundle_read_services },
          { "classes", bundle_read_classes },
          { "rules", bundle_read_rules } };
  for (size_t i = 0; i < G_N_ELEMENTS (readers); i++)
    {
      json_t *section = json_object_get (document, readers[i].name);
      size_t mark = bundle_reader_enter (reader, readers[i].name);
      if (section && !json_is_object (section))
        bundle_reader_add_finding (reader, "must be an object");
      else if (section)
        readers[i].read (reader, section);
      bundle_reader_leave (reader, mark);
    }
}

struct bundle *
bundle_read_json (json_t *document, struct base_findings *findings)
{
  size_t findings_before = base_findings_count (findings);
  struct bundle_reader reader
      = { bundle_data_create (), findings, g_string_new (NULL) };
  if (bundle_reader_check_members (&reader, document, document_members))
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
  bundle_canonical_write (reader.bundle, document);
  return reader.bundle;
}

struct bundle *
bundle_read (const char *document, size_t bytes,
             struct base_findings *findings)
{
  json_error_t error;
  json_t *parsed
      = base_json_load (document, bytes, JSON_REJECT_DUPLICATES, &error);
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
