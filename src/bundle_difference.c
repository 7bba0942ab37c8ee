/** @file
 *  Computes and applies differences between two versions, entry by entry. */

#include <inttypes.h>
#include <string.h>

#include "base_hash.h"
#include "base_json.h"
#include "bundle_reader.h"

static json_t *
parse_canonical (const struct bundle *bundle)
{
  if (!bundle)
    return json_object ();
  return base_json_load (bundle->canonical, bundle->canonical_bytes, 0, NULL);
}

/* Iterator over the entries of one section, in order of names. */
struct entry_list
{
  const char *text;
  const struct bundle_entry *entries;
  guint count;
  guint next;
};

/* Lists a section's entries; the list is empty when there is no bundle. */
static struct entry_list
list_entries (const struct bundle *bundle, int section)
{
  struct entry_list list = { 0 };
  if (!bundle)
    return list;
  list.text = bundle->canonical;
  list.entries = (const struct bundle_entry *)bundle->entries[section]->data;
  list.count = bundle->entries[section]->len;
  return list;
}

/* Returns the next entry, or NULL at the end. */
static const struct bundle_entry *
peek (const struct entry_list *list)
{
  return list->next < list->count ? &list->entries[list->next] : NULL;
}

/* Compares the next entries by name; a list at its end comes last. */
static int
compare_next (const struct entry_list *left, const struct entry_list *right)
{
  const struct bundle_entry *a = peek (left);
  const struct bundle_entry *b = peek (right);
  if (!a || !b)
    return a ? -1 : 1;
  uint32_t bytes = MIN (a->name_bytes, b->name_bytes) - 1;
  int order = memcmp (left->text + a->start, right->text + b->start, bytes);
  if (order != 0)
    return order;
  return a->name_bytes < b->name_bytes ? -1 : a->name_bytes > b->name_bytes;
}

static bool
next_equal (const struct entry_list *left, const struct entry_list *right)
{
  const struct bundle_entry *a = peek (left);
  const struct bundle_entry *b = peek (right);
  return a->end - a->start == b->end - b->start
         && memcmp (left->text + a->start, right->text + b->start,
                    a->end - a->start)
                == 0;
}

/* Writes the next entry of @p list, with null in place of its value when it
   was removed. */
static void
append_change (GString *changes, const struct entry_list *list, bool removed)
{
  const struct bundle_entry *entry = peek (list);
  const char *text = list->text + entry->start;
  if (changes->len > 0)
    g_string_append_c (changes, ',');
  if (!removed)
    g_string_append_len (changes, text, entry->end - entry->start);
  else
    g_string_append_printf (changes, "%.*s:null", (int)entry->name_bytes,
                            text);
}

/* Writes the changes of one section: added and changed entries with their new
   value, removed ones with null. */
static GString *
section_changes (struct entry_list old_list, struct entry_list new_list)
{
  GString *changes = g_string_new (NULL);
  while (peek (&old_list) || peek (&new_list))
    {
      int order = compare_next (&old_list, &new_list);
      if (order < 0)
        append_change (changes, &old_list, true);
      else if (order > 0 || !next_equal (&old_list, &new_list))
        append_change (changes, &new_list, false);
      old_list.next += order <= 0;
      new_list.next += order >= 0;
    }
  return changes;
}

char *
bundle_difference (const struct bundle *old_bundle,
                   const struct bundle *new_bundle)
{
  char digest[2 * BUNDLE_DIGEST_BYTES + 1];
  const char *comma = "";
  GString *text = g_string_new ("{\"changes\":{");
  base_hex_write (digest, new_bundle->digest, BUNDLE_DIGEST_BYTES);
  for (int i = 0; i < BUNDLE_SECTION_COUNT; i++)
    {
      GString *changes = section_changes (list_entries (old_bundle, i),
                                          list_entries (new_bundle, i));
      if (changes->len > 0)
        {
          g_string_append_printf (text, "%s\"%s\":{%s}", comma,
                                  bundle_section_names[i], changes->str);
          comma = ",";
        }
      g_string_free (changes, TRUE);
    }
  g_string_append_printf (
      text, "},\"digest\":\"%s\",\"from\":%" PRIu64 ",\"to\":%" PRIu64 "}",
      digest, old_bundle ? old_bundle->version : 0, new_bundle->version);
  return g_string_free (text, FALSE);
}

static void
apply_changes (json_t *document, const char *section, json_t *changes)
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
check_header (const struct bundle *old_bundle, json_t *difference,
              struct base_findings *findings)
{
  json_t *from = json_object_get (difference, "from");
  uint64_t old_version = old_bundle ? old_bundle->version : 0;
  if (!json_is_integer (from)
      || !json_is_integer (json_object_get (difference, "to"))
      || !json_is_string (json_object_get (difference, "digest"))
      || !json_is_object (json_object_get (difference, "changes")))
    {
      base_findings_add (findings, "difference",
                         "must have the members from, to, digest and "
                         "changes");
      return false;
    }
  if ((uint64_t)json_integer_value (from) == old_version)
    return true;
  base_findings_add (findings, "from",
                     "applies to version %" JSON_INTEGER_FORMAT
                     ", but the old version is %" PRIu64,
                     json_integer_value (from), old_version);
  return false;
}

static struct bundle *
check_digest (struct bundle *bundle, json_t *difference,
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
  base_findings_add (findings, "digest",
                     "the result has digest %s, expected %s", digest,
                     expected);
  bundle_unref (bundle);
  return NULL;
}

struct bundle *
bundle_apply_difference (const struct bundle *old_bundle,
                         const char *difference, size_t bytes,
                         struct base_findings *findings)
{
  json_error_t error;
  struct bundle *bundle = NULL;
  json_t *document = NULL;
  json_t *parsed
      = base_json_load (difference, bytes, JSON_REJECT_DUPLICATES, &error);
  if (!parsed)
    {
      base_findings_add (findings, "difference", "line %d column %d: %s",
                         error.line, error.column, error.text);
      return NULL;
    }
  if (!check_header (old_bundle, parsed, findings))
    goto done;
  document = parse_canonical (old_bundle);
  json_object_set (document, "version", json_object_get (parsed, "to"));
  json_t *changes = json_object_get (parsed, "changes");
  for (int i = 0; i < BUNDLE_SECTION_COUNT; i++)
    apply_changes (document, bundle_section_names[i],
                   json_object_get (changes, bundle_section_names[i]));
  bundle
      = check_digest (bundle_read_json (document, findings), parsed, findings);
done:
  json_decref (document);
  json_decref (parsed);
  return bundle;
}
