#include "base_metrics.h"

#include <inttypes.h>
#include <math.h>
#include <stdatomic.h>
#include <string.h>

/* Buckets: one for each value below 16, then 16 for each power of two. */
#define LINEAR_BITS 4
#define LINEAR_COUNT (1u << LINEAR_BITS)
#define BUCKET_COUNT ((64 - LINEAR_BITS + 1) * LINEAR_COUNT)

enum metric_kind
{
  METRIC_COUNTER,
  METRIC_GAUGE,
  METRIC_HISTOGRAM
};

struct base_counter
{
  _Atomic uint64_t value;
};

struct base_histogram
{
  _Atomic uint64_t sum;
  _Atomic uint64_t buckets[BUCKET_COUNT];
};

struct metric
{
  char *name;
  char *labels;
  enum metric_kind kind;
  void *value;
};

struct base_metrics
{
  GMutex mutex;
  GPtrArray *list;
  GHashTable *by_name;
};

static uint32_t
bucket_index (uint64_t value)
{
  if (value < LINEAR_COUNT)
    return (uint32_t)value;
  uint32_t top = 63 - (uint32_t)__builtin_clzll (value);
  uint32_t shift = top - LINEAR_BITS;
  uint32_t step = (uint32_t)(value >> shift) & (LINEAR_COUNT - 1);
  return (shift + 1) * LINEAR_COUNT + step;
}

static uint64_t
bucket_upper_bound (uint32_t bucket)
{
  if (bucket < LINEAR_COUNT)
    return bucket;
  uint32_t shift = bucket / LINEAR_COUNT - 1;
  uint64_t step = bucket % LINEAR_COUNT + LINEAR_COUNT;
  return (step << shift) + ((UINT64_C (1) << shift) - 1);
}

static void
free_metric (void *data)
{
  struct metric *metric = data;
  g_free (metric->name);
  g_free (metric->labels);
  g_free (metric->value);
  g_free (metric);
}

struct base_metrics *
base_metrics_create (void)
{
  struct base_metrics *metrics = g_new0 (struct base_metrics, 1);
  g_mutex_init (&metrics->mutex);
  metrics->list = g_ptr_array_new_with_free_func (free_metric);
  metrics->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return metrics;
}

void
base_metrics_destroy (struct base_metrics *metrics)
{
  if (!metrics)
    return;
  g_hash_table_unref (metrics->by_name);
  g_ptr_array_unref (metrics->list);
  g_mutex_clear (&metrics->mutex);
  g_free (metrics);
}

/* Index at which to insert a metric, so that all metrics of a name form one
   group in the output. */
static gint
insert_position (const struct base_metrics *metrics, const char *name)
{
  for (guint i = metrics->list->len; i-- > 0;)
    {
      const struct metric *metric = metrics->list->pdata[i];
      if (strcmp (metric->name, name) == 0)
        return (gint)i + 1;
    }
  return (gint)metrics->list->len;
}

static void *
find_or_add (struct base_metrics *metrics, const char *name,
             const char *labels, enum metric_kind kind, size_t bytes)
{
  char *key = g_strdup_printf ("%s{%s}", name, labels ? labels : "");
  g_mutex_lock (&metrics->mutex);
  struct metric *metric = g_hash_table_lookup (metrics->by_name, key);
  if (metric)
    {
      g_free (key);
    }
  else
    {
      metric = g_new0 (struct metric, 1);
      metric->name = g_strdup (name);
      metric->labels = g_strdup (labels);
      metric->kind = kind;
      metric->value = g_malloc0 (bytes);
      g_ptr_array_insert (metrics->list, insert_position (metrics, name),
                          metric);
      g_hash_table_insert (metrics->by_name, key, metric);
    }
  g_mutex_unlock (&metrics->mutex);
  return metric->value;
}

struct base_counter *
base_metrics_counter (struct base_metrics *metrics, const char *name,
                      const char *labels)
{
  return find_or_add (metrics, name, labels, METRIC_COUNTER,
                      sizeof (struct base_counter));
}

struct base_counter *
base_metrics_gauge (struct base_metrics *metrics, const char *name,
                    const char *labels)
{
  return find_or_add (metrics, name, labels, METRIC_GAUGE,
                      sizeof (struct base_counter));
}

struct base_histogram *
base_metrics_histogram (struct base_metrics *metrics, const char *name,
                        const char *labels)
{
  return find_or_add (metrics, name, labels, METRIC_HISTOGRAM,
                      sizeof (struct base_histogram));
}

static void
render_histogram (GString *text, const struct metric *metric)
{
  const struct base_histogram *histogram = metric->value;
  const char *labels = metric->labels ? metric->labels : "";
  const char *comma = *labels ? "," : "";
  uint64_t total = 0;
  for (uint32_t i = 0; i < BUCKET_COUNT; i++)
    {
      uint64_t count = atomic_load_explicit (&histogram->buckets[i],
                                             memory_order_relaxed);
      if (count == 0)
        continue;
      total += count;
      g_string_append_printf (
          text, "%s_bucket{%s%sle=\"%" PRIu64 "\"} %" PRIu64 "\n",
          metric->name, labels, comma, bucket_upper_bound (i), total);
    }
  g_string_append_printf (text, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
                          metric->name, labels, comma, total);
  g_string_append_printf (text, "%s_sum{%s} %" PRIu64 "\n", metric->name,
                          labels, atomic_load (&histogram->sum));
  g_string_append_printf (text, "%s_count{%s} %" PRIu64 "\n", metric->name,
                          labels, total);
}

static void
render_type_line (GString *text, const struct metric *metric)
{
  static const char *const kinds[] = { "counter", "gauge", "histogram" };
  g_string_append_printf (text, "# TYPE %s %s\n", metric->name,
                          kinds[metric->kind]);
}

void
base_metrics_render (struct base_metrics *metrics, GString *text)
{
  const char *last_name = "";
  g_mutex_lock (&metrics->mutex);
  for (guint i = 0; i < metrics->list->len; i++)
    {
      const struct metric *metric = metrics->list->pdata[i];
      if (g_strcmp0 (last_name, metric->name) != 0)
        render_type_line (text, metric);
      last_name = metric->name;
      if (metric->kind == METRIC_HISTOGRAM)
        render_histogram (text, metric);
      else
        g_string_append_printf (text, "%s{%s} %" PRIu64 "\n", metric->name,
                                metric->labels ? metric->labels : "",
                                base_counter_value (metric->value));
    }
  g_mutex_unlock (&metrics->mutex);
}

void
base_counter_add (struct base_counter *counter, uint64_t amount)
{
  atomic_fetch_add_explicit (&counter->value, amount, memory_order_relaxed);
}

void
base_counter_set (struct base_counter *counter, uint64_t value)
{
  atomic_store_explicit (&counter->value, value, memory_order_relaxed);
}

uint64_t
base_counter_value (const struct base_counter *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}

struct base_histogram *
base_histogram_create (void)
{
  return g_new0 (struct base_histogram, 1);
}

void
base_histogram_destroy (struct base_histogram *histogram)
{
  g_free (histogram);
}

void
base_histogram_record (struct base_histogram *histogram, uint64_t value)
{
  atomic_fetch_add_explicit (&histogram->buckets[bucket_index (value)], 1,
                             memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum, value, memory_order_relaxed);
}

uint64_t
base_histogram_count (const struct base_histogram *histogram)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < BUCKET_COUNT; i++)
    total
        += atomic_load_explicit (&histogram->buckets[i], memory_order_relaxed);
  return total;
}

uint64_t
base_histogram_quantile (const struct base_histogram *histogram,
                         double quantile)
{
  uint64_t total = base_histogram_count (histogram);
  uint64_t wanted = (uint64_t)ceil (quantile * (double)total);
  uint64_t seen = 0;
  for (uint32_t i = 0; i < BUCKET_COUNT; i++)
    {
      seen += atomic_load_explicit (&histogram->buckets[i],
                                    memory_order_relaxed);
      if (seen >= wanted && seen > 0)
        return bucket_upper_bound (i);
    }
  return 0;
}
