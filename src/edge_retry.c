#include "edge_retry.h"

#include <glib.h>

/* Number of buckets that a window is divided into. */
#define BUCKETS 20
/* A retry at the end of its bucket must count for a whole window. */
#define RETRY_BUCKETS (BUCKETS + 1)
/* Fraction of the limits that is used, because windows slide and the routers'
   shares of the slack are estimates. */
#define SAFETY_FACTOR 0.8
/* Assumed number of routers before control has reported it. */
#define DEFAULT_ROUTERS 16

/* Requests and retries of a service, by the bucket's number modulo their
   buckets. */
struct window
{
  /* Number of the present bucket. */
  uint64_t bucket;
  uint32_t requests[BUCKETS];
  uint32_t retries[RETRY_BUCKETS];
};

struct edge_retry
{
  struct edge_retry_limits limits;
  uint64_t slack_from_ms;
  uint32_t routers;
  /* Windows (struct window) by service. */
  GHashTable *windows;
};

struct edge_retry *
edge_retry_create (const struct edge_retry_limits *limits,
                   uint64_t slack_from_ms)
{
  struct edge_retry *retry = g_new0 (struct edge_retry, 1);
  retry->limits = *limits;
  retry->slack_from_ms = slack_from_ms;
  retry->routers = DEFAULT_ROUTERS;
  retry->windows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return retry;
}

void
edge_retry_destroy (struct edge_retry *retry)
{
  if (!retry)
    return;
  g_hash_table_unref (retry->windows);
  g_free (retry);
}

void
edge_retry_set_routers (struct edge_retry *retry, uint32_t routers)
{
  retry->routers = MAX (routers, 1);
}

uint32_t
edge_retry_routers (const struct edge_retry *retry)
{
  return retry->routers;
}

/* Returns the service's window at @p now_ms, with expired buckets cleared. */
static struct window *
find_window (struct edge_retry *retry, const char *service, uint64_t now_ms)
{
  uint64_t bucket = now_ms * BUCKETS / MAX (retry->limits.window_ms, BUCKETS);
  struct window *window = g_hash_table_lookup (retry->windows, service);
  if (!window)
    {
      window = g_new0 (struct window, 1);
      window->bucket = bucket;
      g_hash_table_insert (retry->windows, g_strdup (service), window);
    }
  uint64_t passed = MIN (bucket - window->bucket, RETRY_BUCKETS);
  for (uint64_t i = 1; i <= passed; i++)
    {
      window->requests[(window->bucket + i) % BUCKETS] = 0;
      window->retries[(window->bucket + i) % RETRY_BUCKETS] = 0;
    }
  window->bucket = bucket;
  return window;
}

void
edge_retry_request (struct edge_retry *retry, const char *service,
                    uint64_t now_ms)
{
  struct window *window = find_window (retry, service, now_ms);
  window->requests[window->bucket % BUCKETS]++;
}

bool
edge_retry_take (struct edge_retry *retry, const char *service,
                 uint64_t now_ms)
{
  struct window *window = find_window (retry, service, now_ms);
  uint32_t requests = 0;
  uint32_t retries = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    requests += window->requests[i];
  for (uint32_t i = 0; i < RETRY_BUCKETS; i++)
    retries += window->retries[i];
  double slack = now_ms >= retry->slack_from_ms
                     ? retry->limits.slack / retry->routers
                     : 0;
  double allowed = SAFETY_FACTOR * (retry->limits.ratio * requests + slack);
  if (retries + 1 > allowed)
    return false;
  window->retries[window->bucket % RETRY_BUCKETS]++;
  return true;
}
