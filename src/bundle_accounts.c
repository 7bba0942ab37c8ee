/** @file
 *  Reads the operators and accounts sections. */

#include "bundle_reader.h"

#include <string.h>

#include "base_hash.h"

#define WEIGHT_MAX 1000

/** Account id and name, sorted by id to find collisions. */
struct account_id_entry
{
  uint64_t account_id;
  const char *name;
};

static void
read_operator (struct bundle_reader *reader, const char *name, json_t *value)
{
  static const char *const known[] = { "public_key", NULL };
  struct bundle_operator entry = { 0 };
  bundle_reader_check_name (reader, name);
  if (!bundle_reader_check_members (reader, value, known))
    return;
  const char *text = bundle_reader_string (reader, value, "public_key");
  if (text && base_hex_read (entry.key, sizeof entry.key, text) != 0)
    {
      size_t mark = bundle_reader_enter (reader, "public_key");
      bundle_reader_add_finding (reader, "must be 64 hexadecimal digits");
      bundle_reader_leave (reader, mark);
    }
  entry.name = g_string_chunk_insert (reader->bundle->names, name);
  g_array_append_val (reader->bundle->operators, entry);
}

void
bundle_read_operators (struct bundle_reader *reader, json_t *section)
{
  size_t count;
  const char **names = bundle_reader_sorted_names (section, &count);
  for (size_t i = 0; i < count; i++)
    {
      size_t mark = bundle_reader_enter (reader, names[i]);
      read_operator (reader, names[i], json_object_get (section, names[i]));
      bundle_reader_leave (reader, mark);
    }
  if (count == 0)
    bundle_reader_add_finding (reader, "must have at least one operator, or "
                                       "no later version can be signed");
  g_free (names);
}

static void
read_keys (struct bundle_reader *reader, json_t *keys, uint32_t account_index)
{
  size_t mark = bundle_reader_enter (reader, "keys");
  for (size_t i = 0; i < json_array_size (keys); i++)
    {
      struct bundle_api_key key = { .account_index = account_index };
      const char *text = json_string_value (json_array_get (keys, i));
      if (!text)
        continue;
      if (base_hex_read (key.digest, sizeof key.digest, text) == 0)
        g_array_append_val (reader->bundle->keys, key);
      else
        {
          size_t inner = bundle_reader_enter_index (reader, i);
          bundle_reader_add_finding (reader,
                                     "must be 32 hexadecimal digits (the "
                                     "digest of the key)");
          bundle_reader_leave (reader, inner);
        }
    }
  bundle_reader_leave (reader, mark);
}

static void
read_account (struct bundle_reader *reader, const char *name, json_t *value)
{
  static const char *const known[] = { "keys", "weight", NULL };
  struct bundle *bundle = reader->bundle;
  struct bundle_account account = { 0 };
  bundle_reader_check_name (reader, name);
  if (!bundle_reader_check_members (reader, value, known))
    return;
  account.name = g_string_chunk_insert (bundle->names, name);
  account.account_id = base_account_id (name);
  account.weight = (uint32_t)bundle_reader_number (reader, value, "weight", 1,
                                                   WEIGHT_MAX, 1);
  json_t *keys = bundle_reader_strings (reader, value, "keys", true);
  if (keys)
    read_keys (reader, keys, bundle->accounts->len);
  g_array_append_val (bundle->accounts, account);
}

static int
compare_keys (const void *left, const void *right)
{
  const struct bundle_api_key *a = left;
  const struct bundle_api_key *b = right;
  return memcmp (a->digest, b->digest, sizeof a->digest);
}

static void
report_shared_keys (struct bundle_reader *reader)
{
  const struct bundle *bundle = reader->bundle;
  for (guint i = 1; i < bundle->keys->len; i++)
    {
      const struct bundle_api_key *keys
          = (const struct bundle_api_key *)bundle->keys->data;
      if (compare_keys (&keys[i - 1], &keys[i]) != 0)
        continue;
      const struct bundle_account *accounts
          = (const struct bundle_account *)bundle->accounts->data;
      char text[2 * CACTUS_DIGEST_BYTES + 1];
      base_hex_write (text, keys[i].digest, CACTUS_DIGEST_BYTES);
      uint32_t first = MIN (keys[i - 1].account_index, keys[i].account_index);
      uint32_t second = MAX (keys[i - 1].account_index, keys[i].account_index);
      size_t mark = bundle_reader_enter (reader, accounts[second].name);
      size_t inner = bundle_reader_enter (reader, "keys");
      bundle_reader_add_finding (reader, "%s is also a key of account %s",
                                 text, accounts[first].name);
      bundle_reader_leave (reader, inner);
      bundle_reader_leave (reader, mark);
    }
}

static int
compare_ids (const void *left, const void *right)
{
  uint64_t a = ((const struct account_id_entry *)left)->account_id;
  uint64_t b = ((const struct account_id_entry *)right)->account_id;
  return a < b ? -1 : a > b;
}

static void
report_id_collisions (struct bundle_reader *reader)
{
  const struct bundle *bundle = reader->bundle;
  guint count = bundle->accounts->len;
  struct account_id_entry *entries = g_new (struct account_id_entry, count);
  for (guint i = 0; i < count; i++)
    {
      const struct bundle_account *account
          = &g_array_index (bundle->accounts, struct bundle_account, i);
      entries[i].account_id = account->account_id;
      entries[i].name = account->name;
    }
  if (count > 0)
    qsort (entries, count, sizeof *entries, compare_ids);
  for (guint i = 1; i < count; i++)
    if (entries[i].account_id == entries[i - 1].account_id)
      {
        size_t mark = bundle_reader_enter (reader, entries[i].name);
        bundle_reader_add_finding (
            reader,
            "has the same account id as account %s; choose "
            "another name",
            entries[i - 1].name);
        bundle_reader_leave (reader, mark);
      }
  g_free (entries);
}

void
bundle_read_accounts (struct bundle_reader *reader, json_t *section)
{
  size_t count;
  const char **names = bundle_reader_sorted_names (section, &count);
  for (size_t i = 0; i < count; i++)
    {
      size_t mark = bundle_reader_enter (reader, names[i]);
      read_account (reader, names[i], json_object_get (section, names[i]));
      bundle_reader_leave (reader, mark);
    }
  g_free (names);
  g_array_sort (reader->bundle->keys, compare_keys);
  report_shared_keys (reader);
  report_id_collisions (reader);
}
