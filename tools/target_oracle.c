#include "target_oracle.h"

#include <stdlib.h>

#include <glib.h>
#include <jansson.h>

#include "base_log.h"

/* All runs of one key of an account. */
struct key_runs
{
  char *key;
  char *account;
  char *budget;
  uint64_t tokens;
  uint32_t runs;
  uint32_t complete_runs;
};

struct target_oracle
{
  GMutex mutex;
  /* Account and key to struct key_runs. */
  GHashTable *runs;
  /* Number of changes, and that number at the last save. */
  uint64_t changes;
  uint64_t saved_changes;
};

static void
free_entry (void *data)
{
  struct key_runs *entry = data;
  g_free (entry->key);
  g_free (entry->account);
  g_free (entry->budget);
  g_free (entry);
}

static char *
entry_name (const char *key, const char *account)
{
  return g_strdup_printf ("%s\n%s", account, key);
}

struct target_oracle *
target_oracle_create (void)
{
  struct target_oracle *oracle = g_new0 (struct target_oracle, 1);
  g_mutex_init (&oracle->mutex);
  oracle->runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  return oracle;
}

void
target_oracle_destroy (struct target_oracle *oracle)
{
  if (!oracle)
    return;
  g_hash_table_unref (oracle->runs);
  g_mutex_clear (&oracle->mutex);
  g_free (oracle);
}

uint32_t
target_oracle_start (struct target_oracle *oracle, const char *key,
                     const char *account, const char *budget)
{
  char *name = entry_name (key, account);
  g_mutex_lock (&oracle->mutex);
  struct key_runs *entry = g_hash_table_lookup (oracle->runs, name);
  if (!entry)
    {
      entry = g_new0 (struct key_runs, 1);
      entry->key = g_strdup (key);
      entry->account = g_strdup (account);
      entry->budget = g_strdup (budget);
      g_hash_table_insert (oracle->runs, g_strdup (name), entry);
    }
  uint32_t runs = ++entry->runs;
  oracle->changes++;
  g_mutex_unlock (&oracle->mutex);
  g_free (name);
  return runs;
}

void
target_oracle_end (struct target_oracle *oracle, const char *key,
                   const char *account, uint64_t tokens, bool complete)
{
  char *name = entry_name (key, account);
  g_mutex_lock (&oracle->mutex);
  struct key_runs *entry = g_hash_table_lookup (oracle->runs, name);
  oracle->changes++;
  if (entry)
    {
      entry->tokens += tokens;
      entry->complete_runs += complete ? 1 : 0;
    }
  g_mutex_unlock (&oracle->mutex);
  g_free (name);
}

char *
target_oracle_print (struct target_oracle *oracle)
{
  GHashTableIter iterator;
  gpointer value;
  json_t *list = json_array ();
  g_mutex_lock (&oracle->mutex);
  g_hash_table_iter_init (&iterator, oracle->runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct key_runs *entry = value;
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:s, s:I, s:I, s:b, s:I}", "key",
                           entry->key, "account", entry->account, "budget",
                           entry->budget, "tokens", (json_int_t)entry->tokens,
                           "runs", (json_int_t)entry->runs, "complete",
                           entry->complete_runs > 0, "complete_runs",
                           (json_int_t)entry->complete_runs));
    }
  g_mutex_unlock (&oracle->mutex);
  char *text = json_dumps (list, JSON_COMPACT);
  json_decref (list);
  return text;
}

void
target_oracle_save (struct target_oracle *oracle, const char *path)
{
  g_mutex_lock (&oracle->mutex);
  bool changed = oracle->changes != oracle->saved_changes;
  oracle->saved_changes = oracle->changes;
  g_mutex_unlock (&oracle->mutex);
  if (!path || !changed)
    return;
  char *text = target_oracle_print (oracle);
  if (!g_file_set_contents (path, text, -1, NULL))
    base_log (
        BASE_LOG_WARNING,
        "oracle file not written; next attempt after a further run path=%s",
        path);
  free (text);
}
