/** @file
 *  Canonical text of a bundle: one line, sections and names sorted.  Every
 *  section is written, so that an absent section and an empty one give the
 *  same digest. */

#include <inttypes.h>
#include <stdlib.h>

#include <sodium.h>

#include "bundle_reader.h"

const char *const bundle_section_names[BUNDLE_SECTION_COUNT]
    = { "accounts", "classes", "operators", "rules", "services" };

static int
append_json (const char *data, size_t bytes, void *context)
{
  g_string_append_len (context, data, (gssize)bytes);
  return 0;
}

/* Writes "name":value.  Names need no escapes: bundle_reader_check_name
   accepts only letters, digits, '.', '_' and '-'. */
static void
append_entry (GString *text, const char *name, json_t *value, GArray *entries)
{
  struct bundle_entry entry = { .start = (uint32_t)text->len };
  g_string_append_printf (text, "\"%s\"", name);
  entry.name_bytes = (uint32_t)text->len - entry.start;
  g_string_append_c (text, ':');
  json_dump_callback (value, append_json, text,
                      JSON_SORT_KEYS | JSON_COMPACT | JSON_ENSURE_ASCII);
  entry.end = (uint32_t)text->len;
  g_array_append_val (entries, entry);
}

static void
append_section (GString *text, struct bundle *bundle,
                enum bundle_section section, json_t *document)
{
  size_t count;
  const char *name = bundle_section_names[section];
  json_t *object = json_object_get (document, name);
  const char **names = bundle_reader_sorted_names (object, &count);
  g_string_append_printf (text, "\"%s\":{", name);
  for (size_t i = 0; i < count; i++)
    {
      if (i > 0)
        g_string_append_c (text, ',');
      append_entry (text, names[i], json_object_get (object, names[i]),
                    bundle->entries[section]);
    }
  g_string_append (text, "},");
  g_free (names);
}

void
bundle_canonical_write (struct bundle *bundle, json_t *document)
{
  GString *text = g_string_new ("{");
  for (int i = 0; i < BUNDLE_SECTION_COUNT; i++)
    append_section (text, bundle, (enum bundle_section)i, document);
  g_string_append_printf (text, "\"version\":%" PRIu64 "}", bundle->version);
  bundle->canonical_bytes = text->len;
  bundle->canonical
      = g_realloc (g_string_free (text, FALSE), bundle->canonical_bytes + 1);
  crypto_generichash (bundle->digest, sizeof bundle->digest,
                      (const unsigned char *)bundle->canonical,
                      bundle->canonical_bytes, NULL, 0);
}
