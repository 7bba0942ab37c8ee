#include "router_peers.h"

#include "base_clock.h"
#include "wire_gossip.h"

#define ROUND_WAIT_MS 200

struct router_peers
{
  struct wire_handler handler;
  struct gossip_bundle_callbacks bundles;
  struct router *router;
  struct wire_server *server;
  struct gossip *gossip;
  /* Guards the session, also while a bundle is offered to it. */
  GMutex mutex;
  struct control_session *session;
  GThread *thread;
  atomic_bool stopping;
};

static struct router_peers *
from_bundles (struct gossip_bundle_callbacks *bundles)
{
  return (struct router_peers *)((char *)bundles
                                 - offsetof (struct router_peers, bundles));
}

static uint64_t
bundle_in_force (struct gossip_bundle_callbacks *bundles)
{
  return atomic_load (&from_bundles (bundles)->router->bundle_version);
}

static char *
copy_document (struct gossip_bundle_callbacks *bundles, size_t *bytes)
{
  struct bundle *bundle = NULL;
  uint64_t version = 0;
  char *document = NULL;
  router_refresh_bundle (from_bundles (bundles)->router, &bundle, &version);
  if (bundle)
    {
      const char *text = bundle_canonical (bundle, bytes);
      document = g_strndup (text, *bytes);
      bundle_unref (bundle);
    }
  return document;
}

static void
offer_document (struct gossip_bundle_callbacks *bundles, const char *document,
                size_t bytes)
{
  struct router_peers *peers = from_bundles (bundles);
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle = bundle_read (document, bytes, findings);
  base_findings_destroy (findings);
  if (!bundle)
    return;
  g_mutex_lock (&peers->mutex);
  if (peers->session)
    control_session_offer (peers->session, bundle);
  g_mutex_unlock (&peers->mutex);
  bundle_unref (bundle);
}

static void
handle_call (struct wire_handler *handler, struct wire_call *call)
{
  gossip_handle_call (((struct router_peers *)handler)->gossip, call);
}

static void
end_round (struct wire_handler *handler)
{
  (void)handler;
}

struct router_peers *
router_peers_create (struct router *router, const char *address, uint16_t port)
{
  static const struct wire_program programs[]
      = { { GOSSIP_PROGRAM, GOSSIP_VERSION } };
  struct router_peers *peers = g_new0 (struct router_peers, 1);
  peers->router = router;
  g_mutex_init (&peers->mutex);
  peers->handler.call = handle_call;
  peers->handler.round = end_round;
  peers->bundles.version = bundle_in_force;
  peers->bundles.document = copy_document;
  peers->bundles.offer = offer_document;
  peers->server = wire_server_create (
      address, port, programs, G_N_ELEMENTS (programs), &peers->handler);
  if (peers->server)
    return peers;
  g_mutex_clear (&peers->mutex);
  g_free (peers);
  return NULL;
}

uint16_t
router_peers_port (const struct router_peers *peers)
{
  return wire_server_port (peers->server);
}

static gpointer
serve (gpointer data)
{
  struct router_peers *peers = data;
  while (!atomic_load (&peers->stopping))
    wire_server_round (peers->server, ROUND_WAIT_MS);
  return NULL;
}

void
router_peers_start (struct router_peers *peers,
                    const struct wire_process *self)
{
  struct router *router = peers->router;
  peers->gossip
      = gossip_create (router->registry, router->identity.cluster, self,
                       base_clock_system (), &peers->bundles, router->set);
  peers->thread = g_thread_new ("peers", serve, peers);
}

void
router_peers_set_session (struct router_peers *peers,
                          struct control_session *session)
{
  g_mutex_lock (&peers->mutex);
  peers->session = session;
  g_mutex_unlock (&peers->mutex);
}

struct gossip *
router_peers_gossip (struct router_peers *peers)
{
  return peers->gossip;
}

void
router_peers_destroy (struct router_peers *peers)
{
  if (!peers)
    return;
  atomic_store (&peers->stopping, true);
  wire_server_wake (peers->server);
  if (peers->thread)
    g_thread_join (peers->thread);
  if (peers->gossip)
    gossip_destroy (peers->gossip);
  wire_server_destroy (peers->server);
  g_mutex_clear (&peers->mutex);
  g_free (peers);
}
