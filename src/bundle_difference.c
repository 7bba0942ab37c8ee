/** @file
 *  Differences between two versions, entry by entry. */

#include <inttypes.h>
#include <string.h>

#include "base_hash.h"
#include "bundle_reader.h"

static json_t *
parse_canonical (const struct bundle *bundle)
{
  if (!bundle)
    return json_object ();
  return json_loadb (bundle->canonical, bundle->canonical_bytes, 0, NULL);
}

/* Entries of one section that were added or changed, and null for those that
   were removed. */
static json_t *
section_changes (json_t *old_section, json_t *new_section)
{
  const char *name;
  json_t *value;
  json_t *changes = json_object ();
  json_object_foreach (new_section, name, value)
  {
    if (!json_equal (value, json_object_get (old_section, name)))
      json_object_set (changes, name, value);
  }
  json_object_foreach (old_section, name, value)
  {
    if (!json_object_get (new_section, name))
      json_object_set_new (changes, name, json_null ());
  }
  return changes;
}

static json_t *
all_changes (const struct bundle *old_bundle, const struct bundle *new_bundle)
{
  json_t *old_document = parse_canonical (old_bundle);
  json_t *new_document = parse_canonical (new_bundle);
  json_t *all = json_object ();
  for (size_t i = 0; bundle_sections[i]; i++)
    {
      const char *section = bundle_sections[i];
      json_t *changes
          = section_changes (json_object_get (old_document, section),
                             json_object_get (new_document, section));
      if (json_object_size (changes) > 0)
        json_object_set (all, section, changes);
      json_decref (changes);
    }
  json_decref (old_document);
  json_decref (new_document);
  return all;
}

char *
bundle_difference (const struct bundle *old_bundle,
                   const struct bundle *new_bundle)
{
  char digest[2 * BUNDLE_DIGEST_BYTES + 1];
  base_hex_write (digest, new_bundle->digest, BUNDLE_DIGEST_BYTES);
  json_t *difference = json_object ();
  json_int_t from = old_bundle ? (json_int_t)old_bundle->version : 0;
  json_object_set_new (difference, "from", json_integer (from));
  json_object_set_new (difference, "to",
                       json_integer ((json_int_t)new_bundle->version));
  json_object_set_new (difference, "digest", json_string (digest));
  json_object_set_new (difference, "changes",
                       all_changes (old_bundle, new_bundle));
  char *dumped = json_dumps (difference, JSON_SORT_KEYS | JSON_COMPACT
                                             | JSON_ENSURE_ASCII);
  char *text = g_strdup (dumped);
  free (dumped);
  json_decref (difference);
  return text;
}

static void
change_section (json_t *document, const char *section, json_t *changes)
{
  const char *name;
  json_t *value;
  json_t *entries = json_object_get (document, section);
  if (!entries)
    {
      entries = json_object ();
      json_object_set_new (document, section, entries);
    }
  json_object_foreach (changes, name, value)
  {
    if (json_is_null (value))
      json_object_del (entries, name);
    else
      json_object_set (entries, name, value);
  }
}

static bool
check_head (const struct bundle *old_bundle, json_t *difference,
            struct base_findings *findings)
{
  json_t *from = json_object_get (difference, "from");
  uint64_t have = old_bundle ? old_bundle->version : 0;
  if (!json_is_integer (from)
      || !json_is_integer (json_object_get (difference, "to"))
      || !json_is_string (json_object_get (difference, "digest"))
      || !json_is_object (json_object_get (difference, "changes")))
    {
      base_findings_add (findings, "difference",
                         "needs from, to, digest and changes");
      return false;
    }
  if ((uint64_t)json_integer_value (from) == have)
    return true;
  base_findings_add (findings, "from",
                     "starts from version %" JSON_INTEGER_FORMAT
                     ", not from %" PRIu64,
                     json_integer_value (from), have);
  return false;
}

static struct bundle *
check_outcome (struct bundle *bundle, json_t *difference,
               struct base_findings *findings)
{
  char digest[2 * BUNDLE_DIGEST_BYTES + 1];
  if (!bundle)
    return NULL;
  base_hex_write (digest, bundle->digest, BUNDLE_DIGEST_BYTES);
  const char *expected
      = json_string_value (json_object_get (difference, "digest"));
  if (strcmp (digest, expected) == 0)
    return bundle;
  base_findings_add (findings, "digest", "the outcome has digest %s, not %s",
                     digest, expected);
  bundle_unref (bundle);
  return NULL;
}

struct bundle *
bundle_apply (const struct bundle *old_bundle, const char *difference,
              size_t bytes, struct base_findings *findings)
{
  json_error_t error;
  struct bundle *bundle = NULL;
  json_t *document = NULL;
  json_t *parsed
      = json_loadb (difference, bytes, JSON_REJECT_DUPLICATES, &error);
  if (!parsed)
    {
      base_findings_add (findings, "difference", "line %d column %d: %s",
                         error.line, error.column, error.text);
      return NULL;
    }
  if (!check_head (old_bundle, parsed, findings))
    goto done;
  document = parse_canonical (old_bundle);
  json_object_set (document, "version", json_object_get (parsed, "to"));
  json_t *changes = json_object_get (parsed, "changes");
  for (size_t i = 0; bundle_sections[i]; i++)
    change_section (document, bundle_sections[i],
                    json_object_get (changes, bundle_sections[i]));
  bundle = check_outcome (bundle_read_json (document, findings), parsed,
                          findings);
done:
  json_decref (document);
  json_decref (parsed);
  return bundle;
}
