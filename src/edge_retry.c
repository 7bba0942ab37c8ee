#include "edge_retry.h"

#include <glib.h>

/* Parts of a window that are counted apart. */
#define PARTS 20
/* Part of the limits that is used: windows slide, and routers' shares are
   estimates. */
#define USED_SHARE 0.8
/* Routers that are taken to share the slack before control has said. */
#define ROUTERS_UNKNOWN 16

struct window
{
  uint64_t part;
  uint32_t requests[PARTS];
  uint32_t sends[PARTS];
};

struct edge_retry
{
  struct edge_retry_limits limits;
  uint32_t routers;
  /* struct window by service. */
  GHashTable *windows;
};

struct edge_retry *
edge_retry_create (const struct edge_retry_limits *limits)
{
  struct edge_retry *retry = g_new0 (struct edge_retry, 1);
  retry->limits = *limits;
  retry->routers = ROUTERS_UNKNOWN;
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

/* The service's window, with parts that are over emptied. */
static struct window *
find_window (struct edge_retry *retry, const char *service, uint64_t now_ms)
{
  uint64_t part = now_ms * PARTS / MAX (retry->limits.window_ms, PARTS);
  struct window *window = g_hash_table_lookup (retry->windows, service);
  if (!window)
    {
      window = g_new0 (struct window, 1);
      window->part = part;
      g_hash_table_insert (retry->windows, g_strdup (service), window);
    }
  uint64_t passed = MIN (part - window->part, PARTS);
  for (uint64_t i = 1; i <= passed; i++)
    {
      window->requests[(window->part + i) % PARTS] = 0;
      window->sends[(window->part + i) % PARTS] = 0;
    }
  window->part = part;
  return window;
}

void
edge_retry_request (struct edge_retry *retry, const char *service,
                    uint64_t now_ms)
{
  struct window *window = find_window (retry, service, now_ms);
  window->requests[window->part % PARTS]++;
}

bool
edge_retry_take (struct edge_retry *retry, const char *service,
                 uint64_t now_ms)
{
  struct window *window = find_window (retry, service, now_ms);
  uint32_t requests = 0;
  uint32_t sends = 0;
  for (uint32_t i = 0; i < PARTS; i++)
    {
      requests += window->requests[i];
      sends += window->sends[i];
    }
  double allowed = USED_SHARE
                   * (retry->limits.ratio * requests
                      + retry->limits.slack / retry->routers);
  if (sends + 1 > allowed)
    return false;
  window->sends[window->part % PARTS]++;
  return true;
}
