#include "router_session.h"

#include <inttypes.h>

#include "base_log.h"
#include "base_settings.h"

#define LEDGERS_MAX 64

/* Gossip announces to other regions only the targets that they may use. */
static void
set_cross_region (struct router_session *session, struct bundle *bundle)
{
  const struct bundle_service *service;
  GPtrArray *names = g_ptr_array_new ();
  for (size_t i = 0; (service = bundle_service_at (bundle, i)); i++)
    if (bundle_service_allows_cross_region (service))
      g_ptr_array_add (names, (gpointer)service->name);
  gossip_set_cross_region (session->gossip, (const char *const *)names->pdata,
                           names->len);
  g_ptr_array_unref (names);
}

static void
handle_bundle (struct control_session_callbacks *callbacks,
               struct bundle *bundle)
{
  struct router_session *session = (struct router_session *)callbacks;
  router_set_bundle (session->router, bundle);
  if (session->gossip)
    set_cross_region (session, bundle);
}

static void
fill_ledger (struct ledger_endpoint *ledger, const struct wire_process *peer)
{
  g_strlcpy (ledger->name, peer->host, sizeof ledger->name);
  g_strlcpy (ledger->availability_zone, peer->availability_zone,
             sizeof ledger->availability_zone);
  g_strlcpy (ledger->region, peer->region, sizeof ledger->region);
  g_strlcpy (ledger->address, peer->address, sizeof ledger->address);
  ledger->port = (uint16_t)peer->rpc_port;
}

static void
handle_peers (struct control_session_callbacks *callbacks,
              const struct wire_process *peers, uint32_t count)
{
  struct router_session *session = (struct router_session *)callbacks;
  struct ledger_endpoint *ledgers
      = g_new0 (struct ledger_endpoint, LEDGERS_MAX);
  uint32_t found = 0;
  for (uint32_t i = 0; i < count && found < LEDGERS_MAX; i++)
    if (peers[i].kind == WIRE_PROCESS_LEDGER)
      fill_ledger (&ledgers[found++], &peers[i]);
  if (!session->fixed_ledgers)
    ledger_client_set_ledgers (session->router->ledger, ledgers, found);
  base_log (BASE_LOG_NOTICE,
            "processes changed count=%" PRIu32 " ledgers=%" PRIu32, count,
            found);
  gossip_set_peers (session->gossip, peers, count);
  uint32_t routers = 0;
  uint32_t rank = gossip_zone_rank (session->gossip, &routers);
  router_queue_set_rank (session->router->queue, rank, routers);
  g_free (ledgers);
}

static void
handle_drained (struct control_session_callbacks *callbacks,
                const char *const *targets, uint32_t count)
{
  struct router_session *session = (struct router_session *)callbacks;
  base_log (BASE_LOG_NOTICE, "drained-targets count=%" PRIu32, count);
  registry_set_drained (session->router->registry, targets, count);
}

void
router_session_init (struct router_session *session, struct router *router,
                     struct gossip *gossip)
{
  session->callbacks.bundle = handle_bundle;
  session->callbacks.peers = handle_peers;
  session->callbacks.drained = handle_drained;
  session->router = router;
  session->gossip = gossip;
  session->fixed_ledgers = false;
}

void
router_session_set_fixed_ledgers (struct router_session *session,
                                  const char *const *endpoints)
{
  const struct router_identity *identity = &session->router->identity;
  struct ledger_endpoint *ledgers
      = g_new0 (struct ledger_endpoint, LEDGERS_MAX);
  uint32_t count = 0;
  for (; count < LEDGERS_MAX && endpoints[count]; count++)
    {
      struct ledger_endpoint *ledger = &ledgers[count];
      g_strlcpy (ledger->name, endpoints[count], sizeof ledger->name);
      g_strlcpy (ledger->availability_zone, identity->availability_zone,
                 sizeof ledger->availability_zone);
      g_strlcpy (ledger->region, identity->region, sizeof ledger->region);
      base_endpoint_split (endpoints[count], ledger->address, &ledger->port);
    }
  session->fixed_ledgers = true;
  ledger_client_set_ledgers (session->router->ledger, ledgers, count);
  g_free (ledgers);
}
