#include "edge_demand.h"

#include <string.h>

/* Buckets of the last second. */
#define BUCKETS 10
#define BUCKET_MS 100
/* Time after denied permits within which the next are expected to be denied
   too, in ms: two calls. */
#define DENIED_MS 400
/* Bounds of Retry-After, in ms. */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 10000

/* One service. */
struct service
{
  /* Number of the present bucket. */
  uint64_t bucket;
  uint32_t requests[BUCKETS][EDGE_DEMAND_PRIORITIES];
  uint32_t granted[BUCKETS][EDGE_DEMAND_PRIORITIES];
  uint64_t denied_ms;
  /* Times given to the last rejected caller of each priority. */
  uint64_t return_ms[EDGE_DEMAND_PRIORITIES];
};

struct edge_demand
{
  /* struct service by name. */
  GHashTable *services;
};

struct edge_demand *
edge_demand_create (void)
{
  struct edge_demand *demand = g_new0 (struct edge_demand, 1);
  demand->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return demand;
}

void
edge_demand_destroy (struct edge_demand *demand)
{
  if (!demand)
    return;
  g_hash_table_unref (demand->services);
  g_free (demand);
}

static struct service *
find_service (const struct edge_demand *demand, const char *name)
{
  return g_hash_table_lookup (demand->services, name);
}

/* Returns the service with expired buckets cleared. */
static struct service *
ensure_service (struct edge_demand *demand, const char *name, uint64_t now_ms)
{
  uint64_t bucket = now_ms / BUCKET_MS;
  struct service *service = find_service (demand, name);
  if (!service)
    {
      service = g_new0 (struct service, 1);
      service->bucket = bucket;
      g_hash_table_insert (demand->services, g_strdup (name), service);
    }
  uint64_t passed
      = bucket > service->bucket ? MIN (bucket - service->bucket, BUCKETS) : 0;
  for (uint64_t i = 1; i <= passed; i++)
    {
      uint64_t index = (service->bucket + i) % BUCKETS;
      memset (service->requests[index], 0, sizeof service->requests[index]);
      memset (service->granted[index], 0, sizeof service->granted[index]);
    }
  service->bucket = MAX (service->bucket, bucket);
  return service;
}

void
edge_demand_note_request (struct edge_demand *demand, const char *service,
                          uint32_t priority, uint64_t now_ms)
{
  struct service *found = ensure_service (demand, service, now_ms);
  found->requests[found->bucket % BUCKETS]
                 [MIN (priority, EDGE_DEMAND_PRIORITIES - 1)]++;
}

void
edge_demand_note_granted (struct edge_demand *demand, const char *service,
                          uint32_t priority, uint32_t permits, uint64_t now_ms)
{
  struct service *found = ensure_service (demand, service, now_ms);
  found->granted[found->bucket % BUCKETS]
                [MIN (priority, EDGE_DEMAND_PRIORITIES - 1)]
      += permits;
}

void
edge_demand_note_denied (struct edge_demand *demand, const char *service,
                         uint64_t now_ms)
{
  ensure_service (demand, service, now_ms)->denied_ms = now_ms;
}

/* Returns whether the bucket is of the last second. */
static bool
is_recent (const struct service *service, uint32_t index, uint64_t now_ms)
{
  uint64_t age = (service->bucket + BUCKETS - index) % BUCKETS;
  return service->bucket - age + BUCKETS > now_ms / BUCKET_MS;
}

uint32_t
edge_demand_rate (const struct edge_demand *demand, const char *service,
                  uint32_t priority, uint64_t now_ms)
{
  const struct service *found = find_service (demand, service);
  uint32_t count = 0;
  for (uint32_t i = 0; found && i < BUCKETS; i++)
    if (is_recent (found, i, now_ms))
      count += found->requests[i][MIN (priority, EDGE_DEMAND_PRIORITIES - 1)];
  return count;
}

/* Permits of the last second that requests of the priority could use. */
static uint32_t
granted_per_s (const struct service *service, uint32_t priority,
               uint64_t now_ms)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    for (uint32_t k = priority; k < EDGE_DEMAND_PRIORITIES; k++)
      if (is_recent (service, i, now_ms))
        count += service->granted[i][k];
  return count;
}

void
edge_demand_visit (struct edge_demand *demand, uint64_t now_ms,
                   void (*visit) (void *context, const char *service),
                   void *context)
{
  GHashTableIter iterator;
  gpointer name, value;
  g_hash_table_iter_init (&iterator, demand->services);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      const struct service *service = value;
      if (service->bucket + BUCKETS > now_ms / BUCKET_MS)
        visit (context, name);
    }
}

bool
edge_demand_is_hopeless (const struct edge_demand *demand, const char *service,
                         uint32_t priority, uint32_t ahead, uint64_t wait_ms,
                         uint64_t now_ms)
{
  const struct service *found = find_service (demand, service);
  if (!found || found->denied_ms == 0
      || now_ms >= found->denied_ms + DENIED_MS)
    return false;
  return (uint64_t)granted_per_s (found, priority, now_ms) * wait_ms
         < (ahead + UINT64_C (1)) * 1000;
}

uint32_t
edge_demand_retry_after_ms (struct edge_demand *demand, const char *service,
                            uint32_t priority, uint64_t share_mrps,
                            uint64_t left_ms, uint64_t now_ms)
{
  struct service *found = ensure_service (demand, service, now_ms);
  uint64_t rate_mrps
      = granted_per_s (found, priority, now_ms) * UINT64_C (1000);
  rate_mrps = MAX (MAX (rate_mrps, share_mrps), 1);
  uint64_t interval_ms = MIN (1000000 / rate_mrps, RETRY_AFTER_MAX_MS);
  uint64_t return_ms = MAX (found->return_ms[priority], now_ms) + interval_ms;
  uint64_t after_ms
      = CLAMP (return_ms - now_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
  if (after_ms <= left_ms)
    found->return_ms[priority] = return_ms;
  return (uint32_t)after_ms;
}
