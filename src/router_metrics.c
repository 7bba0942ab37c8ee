#include "router_metrics.h"

#include <stdbool.h>

#include <glib.h>

#define OTHER_ACCOUNT "other"

struct router_metrics
{
  struct base_metrics *set;
  uint32_t accounts_max;
  GMutex mutex;
  GHashTable *classes;
  GHashTable *accounts;
  struct base_counter *retries;
  struct base_histogram *reserve_us;
  struct base_histogram *settle_us;
};

struct router_metrics *
router_metrics_create (struct base_metrics *set, uint32_t accounts_max)
{
  struct router_metrics *metrics = g_new0 (struct router_metrics, 1);
  metrics->set = set;
  metrics->accounts_max = accounts_max;
  g_mutex_init (&metrics->mutex);
  metrics->classes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  metrics->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  metrics->retries
      = base_metrics_counter (set, "cactus_router_retries_total", NULL);
  metrics->reserve_us
      = base_metrics_histogram (set, "cactus_router_reserve_us", NULL);
  metrics->settle_us
      = base_metrics_histogram (set, "cactus_router_settle_us", NULL);
  return metrics;
}

void
router_metrics_destroy (struct router_metrics *metrics)
{
  if (!metrics)
    return;
  g_hash_table_unref (metrics->classes);
  g_hash_table_unref (metrics->accounts);
  g_mutex_clear (&metrics->mutex);
  g_free (metrics);
}

static struct router_series *
create_series (struct base_metrics *set, const char *kind, const char *name,
               bool detailed)
{
  struct router_series *series = g_new0 (struct router_series, 1);
  char *labels = g_strdup_printf ("%s=\"%s\"", kind, name);
  char *prefix = g_strdup_printf ("cactus_router_%s", kind);
  char *served = g_strconcat (prefix, "_served_total", NULL);
  char *tokens = g_strconcat (prefix, "_billed_tokens_total", NULL);
  char *latency = g_strconcat (prefix, "_latency_us", NULL);
  char *first = g_strconcat (prefix, "_first_token_us", NULL);
  char *queue = g_strconcat (prefix, "_queue_us", NULL);
  series->served = base_metrics_counter (set, served, labels);
  series->billed_tokens = base_metrics_counter (set, tokens, labels);
  series->latency_us = base_metrics_histogram (set, latency, labels);
  if (detailed)
    {
      series->first_token_us = base_metrics_histogram (set, first, labels);
      series->queue_us = base_metrics_histogram (set, queue, labels);
    }
  g_free (labels);
  g_free (prefix);
  g_free (served);
  g_free (tokens);
  g_free (latency);
  g_free (first);
  g_free (queue);
  return series;
}

static const struct router_series *
find_series (struct router_metrics *metrics, GHashTable *table,
             const char *kind, const char *name, bool detailed)
{
  struct router_series *series = g_hash_table_lookup (table, name);
  if (series)
    return series;
  series = create_series (metrics->set, kind, name, detailed);
  g_hash_table_insert (table, g_strdup (name), series);
  return series;
}

const struct router_series *
router_metrics_class (struct router_metrics *metrics, const char *name)
{
  g_mutex_lock (&metrics->mutex);
  const struct router_series *series
      = find_series (metrics, metrics->classes, "class", name, true);
  g_mutex_unlock (&metrics->mutex);
  return series;
}

const struct router_series *
router_metrics_account (struct router_metrics *metrics, const char *name)
{
  g_mutex_lock (&metrics->mutex);
  bool known = g_hash_table_contains (metrics->accounts, name);
  bool full = g_hash_table_size (metrics->accounts) >= metrics->accounts_max;
  const struct router_series *series
      = find_series (metrics, metrics->accounts, "account",
                     known || !full ? name : OTHER_ACCOUNT, false);
  g_mutex_unlock (&metrics->mutex);
  return series;
}

static void
count_labelled (struct router_metrics *metrics, const char *name,
                const char *label, const char *value)
{
  char *labels = g_strdup_printf ("%s=\"%s\"", label, value);
  base_counter_add (base_metrics_counter (metrics->set, name, labels), 1);
  g_free (labels);
}

void
router_metrics_count_refusal (struct router_metrics *metrics, const char *code)
{
  count_labelled (metrics, "cactus_router_refused_total", "code", code);
}

void
router_metrics_record_reserve (struct router_metrics *metrics,
                               uint64_t wait_us)
{
  base_histogram_record (metrics->reserve_us, wait_us);
}

void
router_metrics_record_settle (struct router_metrics *metrics, uint64_t wait_us)
{
  base_histogram_record (metrics->settle_us, wait_us);
}

void
router_metrics_count_retry (struct router_metrics *metrics)
{
  base_counter_add (metrics->retries, 1);
}

void
router_metrics_count_cut_stream (struct router_metrics *metrics,
                                 const char *reason)
{
  count_labelled (metrics, "cactus_router_streams_cut_total", "reason",
                  reason);
}
