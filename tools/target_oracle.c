#include "target_oracle.h"

#include <stdlib.h>

#include <glib.h>
#include <jansson.h>

#include "base_log.h"

struct oracle_run
{
  char *key;
  char *account;
  char *budget;
  uint64_t tokens;
  uint32_t runs;
  uint32_t complete;
};

struct target_oracle
{
  GMutex mutex;
  GHashTable *runs;
  uint64_t changes;
  uint64_t saved_changes;
};

static void
free_run (void *data)
{
  struct oracle_run *run = data;
  g_free (run->key);
  g_free (run->account);
  g_free (run->budget);
  g_free (run);
}

static char *
run_name (const char *key, const char *account)
{
  return g_strdup_printf ("%s\n%s", account, key);
}

struct target_oracle *
target_oracle_create (void)
{
  struct target_oracle *oracle = g_new0 (struct target_oracle, 1);
  g_mutex_init (&oracle->mutex);
  oracle->runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_run);
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
  char *name = run_name (key, account);
  g_mutex_lock (&oracle->mutex);
  struct oracle_run *run = g_hash_table_lookup (oracle->runs, name);
  if (!run)
    {
      run = g_new0 (struct oracle_run, 1);
      run->key = g_strdup (key);
      run->account = g_strdup (account);
      run->budget = g_strdup (budget);
      g_hash_table_insert (oracle->runs, g_strdup (name), run);
    }
  uint32_t runs = ++run->runs;
  oracle->changes++;
  g_mutex_unlock (&oracle->mutex);
  g_free (name);
  return runs;
}

void
target_oracle_end (struct target_oracle *oracle, const char *key,
                   const char *account, uint64_t tokens, bool complete)
{
  char *name = run_name (key, account);
  g_mutex_lock (&oracle->mutex);
  struct oracle_run *run = g_hash_table_lookup (oracle->runs, name);
  oracle->changes++;
  if (run)
    {
      run->tokens += tokens;
      run->complete += complete ? 1 : 0;
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
      const struct oracle_run *run = value;
      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:s, s:I, s:I, s:b, s:I}", "key", run->key,
                     "account", run->account, "budget", run->budget, "tokens",
                     (json_int_t)run->tokens, "runs", (json_int_t)run->runs,
                     "complete", run->complete > 0, "complete_runs",
                     (json_int_t)run->complete));
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
    base_log (BASE_LOG_WARNING, "oracle not written path=%s", path);
  free (text);
}
