#include "router.h"

#include "router_worker.h"

#define RETRY_BURST 100
#define CLAIM_THREADS 8

struct router *
router_create (const struct router_identity *identity,
               const struct router_options *options, struct base_metrics *set,
               struct ledger_client *ledger, struct control_client *control)
{
  struct router *router = g_new0 (struct router, 1);
  router->identity = *identity;
  router->options = *options;
  router->set = set;
  router->ledger = ledger;
  router->body_limit = CACTUS_BODY_BYTES;
  g_mutex_init (&router->bundle_mutex);
  router->metrics = router_metrics_create (set, options->metrics_accounts);
  router->open_gauge = base_metrics_gauge (set, "cactus_router_open", NULL);
  router->registry = registry_create (CACTUS_TARGET_LAPSE_MS);
  router->retry = retry_budget_create (options->retry_percent, RETRY_BURST);
  router->queue
      = router_queue_create (identity->availability_zone, identity->region);
  router->claims
      = router_claims_create (control, identity->cluster, identity->host,
                              identity->incarnation, CLAIM_THREADS);
  router->workers = g_new0 (struct router_worker *, options->workers);
  for (uint32_t i = 0; i < options->workers; i++)
    {
      router->workers[i] = router_worker_create (router, i == 0);
      if (!router->workers[i])
        goto failed;
    }
  return router;
failed:
  router_destroy (router);
  return NULL;
}

void
router_destroy (struct router *router)
{
  if (!router)
    return;
  router_claims_destroy (router->claims);
  for (uint32_t i = 0; i < router->options.workers; i++)
    router_worker_destroy (router->workers[i]);
  router_queue_destroy (router->queue);
  registry_destroy (router->registry);
  retry_budget_destroy (router->retry);
  router_metrics_destroy (router->metrics);
  if (router->bundle)
    bundle_unref (router->bundle);
  g_mutex_clear (&router->bundle_mutex);
  g_free (router->workers);
  g_free (router);
}

static uint32_t
largest_body (const struct bundle *bundle)
{
  const struct bundle_service *service;
  uint32_t largest = CACTUS_BODY_BYTES;
  for (size_t i = 0; (service = bundle_service_at (bundle, i)); i++)
    largest = MAX (largest, service->max_body_bytes);
  return largest;
}

void
router_set_bundle (struct router *router, struct bundle *bundle)
{
  struct bundle *old = NULL;
  g_mutex_lock (&router->bundle_mutex);
  if (bundle_version (bundle) > atomic_load (&router->bundle_version))
    {
      old = router->bundle;
      router->bundle = bundle_ref (bundle);
      atomic_store (&router->body_limit, largest_body (bundle));
      atomic_store (&router->bundle_version, bundle_version (bundle));
    }
  g_mutex_unlock (&router->bundle_mutex);
  if (old)
    bundle_unref (old);
}

void
router_refresh_bundle (struct router *router, struct bundle **bundle,
                       uint64_t *version)
{
  if (atomic_load (&router->bundle_version) == *version)
    return;
  g_mutex_lock (&router->bundle_mutex);
  struct bundle *old = *bundle;
  *bundle = bundle_ref (router->bundle);
  *version = bundle_version (router->bundle);
  g_mutex_unlock (&router->bundle_mutex);
  if (old)
    bundle_unref (old);
}

struct router_worker *
router_choose_worker (struct router *router)
{
  uint32_t turn = atomic_fetch_add (&router->next_worker, 1);
  return router->workers[turn % router->options.workers];
}

void
router_count_opened (struct router *router)
{
  base_counter_set (router->open_gauge,
                    atomic_fetch_add (&router->open_requests, 1) + 1);
}

void
router_count_closed (struct router *router)
{
  base_counter_set (router->open_gauge,
                    atomic_fetch_sub (&router->open_requests, 1) - 1);
}

bool
router_is_ready (struct router *router)
{
  return !atomic_load (&router->draining)
         && atomic_load (&router->bundle_version) > 0
         && ledger_client_is_ready (router->ledger);
}
