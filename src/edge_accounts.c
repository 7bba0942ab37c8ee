#include "edge_accounts.h"

#include <glib.h>

#define OTHER_ACCOUNTS "other accounts"

/* Counters of one account. */
struct account_counters
{
  struct base_counter *outcomes[EDGE_ACCOUNT_OUTCOMES];
  struct base_counter *tokens;
};

struct edge_accounts
{
  struct base_metrics *metrics;
  /* Counters of the accounts (struct account_counters) by account name. */
  GHashTable *by_name;
};

static const char *const outcome_names[EDGE_ACCOUNT_OUTCOMES]
    = { "served", "refused", "exhausted", "failed", "left" };

struct edge_accounts *
edge_accounts_create (struct base_metrics *metrics)
{
  struct edge_accounts *accounts = g_new0 (struct edge_accounts, 1);
  accounts->metrics = metrics;
  accounts->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return accounts;
}

void
edge_accounts_destroy (struct edge_accounts *accounts)
{
  if (!accounts)
    return;
  g_hash_table_unref (accounts->by_name);
  g_free (accounts);
}

/* Escapes a label value for the Prometheus text format. */
static char *
escape_label (const char *name)
{
  GString *text = g_string_new (NULL);
  for (; *name; name++)
    {
      if (*name == '"' || *name == '\\')
        g_string_append_c (text, '\\');
      if (*name == '\n')
        g_string_append (text, "\\n");
      else
        g_string_append_c (text, *name);
    }
  return g_string_free (text, FALSE);
}

static struct account_counters *
make_counters (struct edge_accounts *accounts, const char *name)
{
  struct account_counters *counters = g_new0 (struct account_counters, 1);
  char *quoted = escape_label (name);
  char *labels = g_strdup_printf ("account=\"%s\"", quoted);
  counters->tokens = base_metrics_counter (
      accounts->metrics, "edge_account_tokens_total", labels);
  g_free (labels);
  for (uint32_t i = 0; i < EDGE_ACCOUNT_OUTCOMES; i++)
    {
      labels = g_strdup_printf ("account=\"%s\",outcome=\"%s\"", quoted,
                                outcome_names[i]);
      counters->outcomes[i] = base_metrics_counter (
          accounts->metrics, "edge_account_requests_total", labels);
      g_free (labels);
    }
  g_free (quoted);
  g_hash_table_insert (accounts->by_name, g_strdup (name), counters);
  return counters;
}

static const struct account_counters *
find_counters (struct edge_accounts *accounts, const char *name)
{
  const struct account_counters *counters
      = g_hash_table_lookup (accounts->by_name, name);
  if (counters)
    return counters;
  if (g_hash_table_size (accounts->by_name) < EDGE_ACCOUNTS_MAX)
    return make_counters (accounts, name);
  counters = g_hash_table_lookup (accounts->by_name, OTHER_ACCOUNTS);
  return counters ? counters : make_counters (accounts, OTHER_ACCOUNTS);
}

void
edge_accounts_count_request (struct edge_accounts *accounts,
                             const char *account,
                             enum edge_account_outcome outcome,
                             uint64_t tokens)
{
  const struct account_counters *counters = find_counters (accounts, account);
  base_counter_add (counters->outcomes[outcome], 1);
  base_counter_add (counters->tokens, tokens);
}
