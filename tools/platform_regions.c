#include "platform_regions.h"

#include <string.h>

#include "base_clock.h"
#include "base_deflate.h"
#include "platform_process.h"
#include "platform_rig.h"
#include "tool_folder.h"
#include "wire_control.h"

#define HOST_HEADER "Host: h.example"
/* Text of a router's response before it has a configuration. */
#define NO_TABLE_TEXT "no configuration is in force yet"
#define CALL_TIMEOUT_MS 5000
#define TABLE_VERSION_GAUGE "edge_table_version{}"
#define START_TIMEOUT_MS 20000
#define POLL_INTERVAL_US 20000
/* Election timeout that keeps the routers' member from leading. */
#define NEVER_ELECTED_MS "60000"

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static void
advertised_address (uint32_t member, char address[16])
{
  g_snprintf (address, 16, "127.0.1.%u", member + 1);
}

static void
router_address (uint32_t router, char address[16])
{
  g_snprintf (address, 16, "127.0.2.%u", router + 1);
}

/* Lists the advertised addresses, each after "ID@" when @p with_ids. */
static char *
format_members (const struct platform_regions *regions, bool with_ids)
{
  char address[16];
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < PLATFORM_REGIONS_MEMBERS; i++)
    {
      advertised_address (i, address);
      g_string_append (text, i > 0 ? "," : "");
      if (with_ids)
        g_string_append_printf (text, "%u@", i + 1);
      g_string_append_printf (text, "%s:%u", address,
                              (unsigned)regions->advertised_port);
    }
  return g_string_free (text, FALSE);
}

static void
start_member (struct platform_regions *regions, uint32_t member)
{
  bool is_near = member == PLATFORM_REGIONS_NEAR;
  char *name = g_strdup_printf ("member-%u", member + 1);
  char *id = g_strdup_printf ("%u", member + 1);
  char *rpc = g_strdup_printf ("127.0.0.1:%u",
                               (unsigned)regions->member_ports[member]);
  char *http = g_strdup_printf ("127.0.0.1:%u",
                                (unsigned)regions->member_http_ports[member]);
  char *data = g_strdup_printf ("%s/%s", regions->folder, name);
  char *members = format_members (regions, true);
  const char *arguments[] = { "--cluster",
                              PLATFORM_CLUSTER,
                              "--host",
                              name,
                              "--availability-zone",
                              is_near ? "near-a" : "far-a",
                              "--region",
                              is_near ? "near" : "far",
                              "--rpc",
                              rpc,
                              "--http",
                              http,
                              "--data-dir",
                              data,
                              "--members",
                              members,
                              "--member-id",
                              id,
                              "--election-ms",
                              is_near ? NEVER_ELECTED_MS : "600",
                              NULL };
  regions->members[member] = fleet_process_create (name, "cactus-control",
                                                   arguments, regions->folder);
  g_assert_cmpint (fleet_process_start (regions->members[member]), ==, 0);
  g_free (members);
  g_free (data);
  g_free (http);
  g_free (rpc);
  g_free (id);
  g_free (name);
}

static void
start_router (struct platform_regions *regions, uint32_t router)
{
  char address[16];
  router_address (router, address);
  char *name = g_strdup_printf ("router-%u", router + 1);
  char *path = g_strdup_printf ("%s/%s.settings", regions->folder, name);
  char *members = format_members (regions, false);
  regions->callers_ports[router] = fleet_free_port (address);
  regions->metrics_ports[router] = fleet_free_port (address);
  char *text = g_strdup_printf (
      "[process]\nhost=%s\naddress=%s\navailability-zone=near-b\n"
      "region=near\nfirst-port=%u\nlast-port=%u\nmembers=%s\n"
      "[listen]\ncallers=%s:%u\nready=%s:%u\nmetrics-port=%u\n"
      "[limits]\ngrace-s=8\n[regions]\nnear-a=near\nnear-b=near\nfar-a=far\n",
      name, address, (unsigned)regions->advertised_port,
      (unsigned)regions->advertised_port, members, address,
      (unsigned)regions->callers_ports[router], address,
      (unsigned)fleet_free_port (address),
      (unsigned)regions->metrics_ports[router]);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  const char *const arguments[] = { path, NULL };
  regions->routers[router] = fleet_process_create (name, "cactus-entry",
                                                   arguments, regions->folder);
  g_assert_cmpint (fleet_process_start (regions->routers[router]), ==, 0);
  g_free (text);
  g_free (members);
  g_free (path);
  g_free (name);
}

static void
add_listeners (struct platform_regions *regions)
{
  char address[16];
  for (uint32_t i = 0; i < PLATFORM_REGIONS_MEMBERS; i++)
    {
      struct link_relay *link = i == PLATFORM_REGIONS_NEAR ? regions->near_link
                                                           : regions->far_link;
      advertised_address (i, address);
      uint16_t port
          = link_relay_add_listener (link, address, regions->advertised_port,
                                     "127.0.0.1", regions->member_ports[i]);
      g_assert_cmpuint (port, ==, regions->advertised_port);
    }
}

/* Creates the client, which reaches the members without the relays. */
static struct control_client *
make_client (const struct platform_regions *regions)
{
  char *endpoints[PLATFORM_REGIONS_MEMBERS + 1] = { 0 };
  for (uint32_t i = 0; i < PLATFORM_REGIONS_NEAR; i++)
    endpoints[i]
        = g_strdup_printf ("127.0.0.1:%u", (unsigned)regions->member_ports[i]);
  struct control_client *client
      = control_client_create ((const char *const *)endpoints);
  for (uint32_t i = 0; i < PLATFORM_REGIONS_NEAR; i++)
    g_free (endpoints[i]);
  return client;
}

struct platform_regions *
platform_regions_create (uint32_t router_count, uint32_t delay_ms,
                         uint64_t bytes_per_s)
{
  struct platform_regions *regions = g_new0 (struct platform_regions, 1);
  regions->folder = g_dir_make_tmp ("regions-XXXXXX", NULL);
  regions->advertised_port = fleet_free_port ("127.0.1.1");
  regions->far_link = link_relay_create ();
  regions->near_link = link_relay_create ();
  link_relay_set_delay (regions->far_link, delay_ms);
  link_relay_set_bandwidth (regions->far_link, bytes_per_s);
  for (uint32_t i = 0; i < PLATFORM_REGIONS_MEMBERS; i++)
    {
      regions->member_ports[i] = fleet_free_port ("127.0.0.1");
      regions->member_http_ports[i] = fleet_free_port ("127.0.0.1");
      start_member (regions, i);
    }
  for (uint32_t i = 0; i < PLATFORM_REGIONS_MEMBERS; i++)
    g_assert_true (
        fleet_process_wait_ready (regions->members[i], START_TIMEOUT_MS));
  add_listeners (regions);
  regions->client = make_client (regions);
  regions->router_count = router_count;
  regions->routers = g_new0 (struct fleet_process *, router_count);
  regions->callers_ports = g_new0 (uint16_t, router_count);
  regions->metrics_ports = g_new0 (uint16_t, router_count);
  for (uint32_t i = 0; i < router_count; i++)
    start_router (regions, i);
  return regions;
}

void
platform_regions_destroy (struct platform_regions *regions)
{
  for (uint32_t i = 0; i < regions->router_count; i++)
    fleet_process_destroy (regions->routers[i]);
  for (uint32_t i = 0; i < PLATFORM_REGIONS_MEMBERS; i++)
    fleet_process_destroy (regions->members[i]);
  control_client_destroy (regions->client);
  link_relay_destroy (regions->far_link);
  link_relay_destroy (regions->near_link);
  tool_folder_remove (regions->folder);
  g_free (regions->routers);
  g_free (regions->callers_ports);
  g_free (regions->metrics_ports);
  g_free (regions->folder);
  g_free (regions);
}

bool
platform_regions_put (struct platform_regions *regions, uint64_t version,
                      const char *document)
{
  char cluster[] = PLATFORM_CLUSTER;
  struct control_document_args args = { 0 };
  struct control_document_result result = { 0 };
  args.cluster = cluster;
  args.document_version = version;
  gsize packed_bytes = 0;
  GBytes *packed = base_deflate (document, strlen (document));
  args.document.document_val
      = (char *)(uintptr_t)g_bytes_get_data (packed, &packed_bytes);
  args.document.document_len = (u_int)packed_bytes;
  enum wire_status status = control_client_call (
      regions->client, CONTROL_DOCUMENT, (xdrproc_t)xdr_control_document_args,
      &args, (xdrproc_t)xdr_control_document_result, &result, sizeof result,
      CALL_TIMEOUT_MS);
  bool accepted = status == WIRE_OK && result.answer.status == CONTROL_OK;
  if (status == WIRE_OK)
    xdr_free ((xdrproc_t)xdr_control_document_result, (char *)&result);
  g_bytes_unref (packed);
  return accepted;
}

bool
platform_regions_is_routed (struct platform_regions *regions, uint32_t router,
                            const char *path)
{
  static const char *const lines[] = { HOST_HEADER, NULL };
  char address[16];
  router_address (router, address);
  char *url = g_strdup_printf ("http://%s:%u%s", address,
                               (unsigned)regions->callers_ports[router], path);
  struct platform_reply reply = platform_rig_call ("GET", url, NULL, lines);
  bool routed = reply.whole && reply.status == 503
                && !strstr (reply.body->str, NO_TABLE_TEXT);
  platform_reply_clear (&reply);
  g_free (url);
  return routed;
}

uint64_t
platform_regions_table_version (struct platform_regions *regions,
                                uint32_t router)
{
  char address[16];
  router_address (router, address);
  char *url = g_strdup_printf ("http://%s:%u/metrics", address,
                               (unsigned)regions->metrics_ports[router]);
  struct platform_reply reply = platform_rig_call ("GET", url, NULL, NULL);
  const char *line = strstr (reply.body->str, TABLE_VERSION_GAUGE " ");
  uint64_t version
      = line ? g_ascii_strtoull (line + strlen (TABLE_VERSION_GAUGE), NULL, 10)
             : 0;
  platform_reply_clear (&reply);
  g_free (url);
  return version;
}

uint64_t
platform_regions_wait_routed (struct platform_regions *regions,
                              const char *path, uint64_t since_ms,
                              uint64_t limit_ms)
{
  uint32_t router = 0;
  while (router < regions->router_count && now_ms () < since_ms + limit_ms)
    {
      if (platform_regions_is_routed (regions, router, path))
        router++;
      else
        g_usleep (POLL_INTERVAL_US);
    }
  uint64_t took_ms = now_ms () - since_ms;
  return router == regions->router_count ? MIN (took_ms, limit_ms) : limit_ms;
}
