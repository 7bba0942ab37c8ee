#include "trial_fleet.h"

#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <curl/curl.h>

#include "trial_layout.h"
#include "trial_links.h"
#include "trial_operator.h"
#include "tool_folder.h"

#define CLUSTER "trial"
/* Longest waits: for a process to become ready, for a push or top-up to be
   accepted, and for a process to exit after SIGTERM. */
#define READY_LIMIT_MS 20000
#define OPERATOR_LIMIT_MS 20000
#define STOP_LIMIT_MS 30000
#define FAULTS_TIMEOUT_MS 2000L
/* Number of targets in each zone: of the model service in each deployment,
   and of the plain service. */
#define LONJA_MODEL_TARGETS 4
#define KRUA_KHAO_MODEL_TARGETS 3
#define PLAIN_TARGETS 1

/* One process with its position in the fleet. */
struct trial_node
{
  enum trial_role role;
  uint32_t zone;
  uint32_t index;
  char address[TRIAL_ADDRESS_BYTES];
  uint16_t rpc_port;
  uint16_t http_port;
  char *data_folder;
  char *oracle_path;
  struct fleet_process *process;
};

struct trial_fleet
{
  const struct load_mix *mix;
  char *folder;
  uint32_t routers;
  GPtrArray *nodes;
  struct trial_links *links;
  struct trial_operator *op;
  /* Values of --members and --control. */
  char *members;
  char *control;
  /* Value of --routers in each zone. */
  char *zone_routers[TRIAL_ZONES];
  /* HTTP endpoints of all routers, ended by NULL. */
  GPtrArray *router_endpoints;
  uint64_t *topped_up_tokens;
};

static void
free_node (gpointer data)
{
  struct trial_node *node = data;
  fleet_process_destroy (node->process);
  g_free (node->data_folder);
  g_free (node->oracle_path);
  g_free (node);
}

static struct trial_node *
add_node (struct trial_fleet *fleet, enum trial_role role, uint32_t zone,
          uint32_t index)
{
  struct trial_node *node = g_new0 (struct trial_node, 1);
  node->role = role;
  node->zone = zone;
  node->index = index;
  trial_layout_address (role, zone, index, node->address);
  node->http_port = fleet_free_port (node->address);
  if (role != TRIAL_TARGET)
    node->rpc_port = fleet_free_port (node->address);
  g_ptr_array_add (fleet->nodes, node);
  return node;
}

static uint32_t
model_targets (const struct load_mix *mix)
{
  return strcmp (mix->name, "lonja") == 0 ? LONJA_MODEL_TARGETS
                                          : KRUA_KHAO_MODEL_TARGETS;
}

static void
add_nodes (struct trial_fleet *fleet)
{
  uint32_t targets = model_targets (fleet->mix) + PLAIN_TARGETS;
  for (uint32_t zone = 0; zone < TRIAL_ZONES; zone++)
    {
      add_node (fleet, TRIAL_CONTROL, zone, 0);
      add_node (fleet, TRIAL_LEDGER, zone, 0);
      for (uint32_t i = 0; i < fleet->routers; i++)
        add_node (fleet, TRIAL_ROUTER, zone, i);
      for (uint32_t i = 0; i < targets; i++)
        add_node (fleet, TRIAL_TARGET, zone, i);
    }
}

static void append_item (GString *list, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
append_item (GString *list, const char *format, ...)
{
  va_list arguments;
  if (list->len > 0)
    g_string_append_c (list, ',');
  va_start (arguments, format);
  g_string_append_vprintf (list, format, arguments);
  va_end (arguments);
}

/* Makes the lists of endpoints that the processes are started with. */
static void
list_endpoints (struct trial_fleet *fleet)
{
  GString *members = g_string_new (NULL);
  GString *control = g_string_new (NULL);
  GString *routers[TRIAL_ZONES];
  for (uint32_t zone = 0; zone < TRIAL_ZONES; zone++)
    routers[zone] = g_string_new (NULL);
  for (guint i = 0; i < fleet->nodes->len; i++)
    {
      const struct trial_node *node = fleet->nodes->pdata[i];
      if (node->role == TRIAL_CONTROL)
        {
          append_item (members, "%" PRIu32 "@%s:%u", node->zone + 1,
                       node->address, node->rpc_port);
          append_item (control, "%s:%u", node->address, node->rpc_port);
        }
      if (node->role != TRIAL_ROUTER)
        continue;
      append_item (routers[node->zone], "%s:%u", node->address,
                   node->http_port);
      g_ptr_array_add (
          fleet->router_endpoints,
          g_strdup_printf ("%s:%u", node->address, node->http_port));
    }
  g_ptr_array_add (fleet->router_endpoints, NULL);
  fleet->members = g_string_free (members, FALSE);
  fleet->control = g_string_free (control, FALSE);
  for (uint32_t zone = 0; zone < TRIAL_ZONES; zone++)
    fleet->zone_routers[zone] = g_string_free (routers[zone], FALSE);
}

static void add_argument (GPtrArray *arguments, const char *flag,
                          const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

static void
add_argument (GPtrArray *arguments, const char *flag, const char *format, ...)
{
  va_list values;
  va_start (values, format);
  g_ptr_array_add (arguments, g_strdup (flag));
  g_ptr_array_add (arguments, g_strdup_vprintf (format, values));
  va_end (values);
}

static void
add_target_arguments (const struct trial_fleet *fleet, struct trial_node *node,
                      GPtrArray *arguments, const char *name)
{
  bool plain = node->index >= model_targets (fleet->mix);
  const char *service = NULL;
  for (uint32_t i = 0; i < fleet->mix->kind_count; i++)
    if ((fleet->mix->kinds[i].path != NULL) == plain)
      service = fleet->mix->kinds[i].service;
  node->oracle_path = g_strdup_printf ("%s/%s.oracle", fleet->folder, name);
  add_argument (arguments, "--target", "%s", name);
  add_argument (arguments, "--service", "%s", service);
  add_argument (arguments, "--routers", "%s", fleet->zone_routers[node->zone]);
  add_argument (arguments, "--oracle-file", "%s", node->oracle_path);
}

static void
add_daemon_arguments (const struct trial_fleet *fleet, struct trial_node *node,
                      GPtrArray *arguments, const char *name)
{
  add_argument (arguments, "--cluster", "%s", CLUSTER);
  add_argument (arguments, "--host", "%s", name);
  add_argument (arguments, "--rpc", "%s:%u", node->address, node->rpc_port);
  if (node->role == TRIAL_CONTROL)
    {
      add_argument (arguments, "--member-id", "%" PRIu32, node->zone + 1);
      add_argument (arguments, "--members", "%s", fleet->members);
      add_argument (arguments, "--root-key", "%s",
                    trial_operator_root_key (fleet->op));
    }
  else
    {
      add_argument (arguments, "--control", "%s", fleet->control);
    }
  if (node->role == TRIAL_ROUTER)
    return;
  node->data_folder = g_strdup_printf ("%s/%s.data", fleet->folder, name);
  add_argument (arguments, "--data-dir", "%s", node->data_folder);
}

static void
describe_process (const struct trial_fleet *fleet, struct trial_node *node)
{
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);
  const char *role = trial_layout_role_name (node->role);
  const char *zone = trial_layout_zone_name (fleet->mix, node->zone);
  char *map = trial_layout_address_map (node->zone);
  char *name = g_strdup_printf ("%s-%s-%" PRIu32, role, zone, node->index);
  char *program = g_strconcat ("cactus-", role, NULL);
  add_argument (arguments, "--availability-zone", "%s", zone);
  add_argument (arguments, "--region", "%s",
                trial_layout_region_name (fleet->mix, node->zone));
  add_argument (arguments, "--http", "%s:%u", node->address, node->http_port);
  add_argument (arguments, "--address-map", "%s", map);
  if (node->role == TRIAL_TARGET)
    add_target_arguments (fleet, node, arguments, name);
  else
    add_daemon_arguments (fleet, node, arguments, name);
  g_ptr_array_add (arguments, NULL);
  node->process = fleet_process_create (
      name, program, (const char *const *)arguments->pdata, fleet->folder);
  g_ptr_array_unref (arguments);
  g_free (program);
  g_free (name);
  g_free (map);
}

static void
link_node (struct trial_fleet *fleet, const struct trial_node *node)
{
  if (node->rpc_port != 0)
    trial_links_add (fleet->links, node->role, node->zone, node->index,
                     node->rpc_port);
  trial_links_add (fleet->links, node->role, node->zone, node->index,
                   node->http_port);
}

struct trial_fleet *
trial_fleet_create (const struct load_mix *mix, const char *folder,
                    uint32_t routers)
{
  struct trial_fleet *fleet = g_new0 (struct trial_fleet, 1);
  fleet->mix = mix;
  fleet->folder = g_strdup (folder);
  fleet->routers = routers;
  fleet->nodes = g_ptr_array_new_with_free_func (free_node);
  fleet->router_endpoints = g_ptr_array_new_with_free_func (g_free);
  fleet->topped_up_tokens = g_new0 (uint64_t, mix->account_count);
  g_mkdir_with_parents (folder, 0700);
  add_nodes (fleet);
  list_endpoints (fleet);
  char **control = g_strsplit (fleet->control, ",", -1);
  fleet->op
      = trial_operator_create (mix, CLUSTER, (const char *const *)control);
  g_strfreev (control);
  fleet->links = trial_links_create (mix);
  for (guint i = 0; i < fleet->nodes->len; i++)
    {
      struct trial_node *node = fleet->nodes->pdata[i];
      describe_process (fleet, node);
      link_node (fleet, node);
    }
  return fleet;
}

void
trial_fleet_destroy (struct trial_fleet *fleet)
{
  if (!fleet)
    return;
  g_ptr_array_unref (fleet->nodes);
  trial_links_destroy (fleet->links);
  trial_operator_destroy (fleet->op);
  g_ptr_array_unref (fleet->router_endpoints);
  for (uint32_t zone = 0; zone < TRIAL_ZONES; zone++)
    g_free (fleet->zone_routers[zone]);
  g_free (fleet->members);
  g_free (fleet->control);
  g_free (fleet->topped_up_tokens);
  g_free (fleet->folder);
  g_free (fleet);
}

static bool
start_role (struct trial_fleet *fleet, enum trial_role role)
{
  for (guint i = 0; i < fleet->nodes->len; i++)
    {
      struct trial_node *node = fleet->nodes->pdata[i];
      if (node->role == role && fleet_process_start (node->process) != 0)
        return false;
    }
  for (guint i = 0; i < fleet->nodes->len; i++)
    {
      struct trial_node *node = fleet->nodes->pdata[i];
      if (node->role != role
          || fleet_process_wait_ready (node->process, READY_LIMIT_MS))
        continue;
      fprintf (stderr, "%s did not become ready in time; see its log in %s\n",
               fleet_process_name (node->process), fleet->folder);
      return false;
    }
  return true;
}

bool
trial_fleet_start (struct trial_fleet *fleet)
{
  return start_role (fleet, TRIAL_CONTROL) && trial_fleet_push (fleet)
         && start_role (fleet, TRIAL_LEDGER)
         && start_role (fleet, TRIAL_ROUTER)
         && start_role (fleet, TRIAL_TARGET);
}

bool
trial_fleet_top_up (struct trial_fleet *fleet, uint64_t tokens)
{
  for (uint32_t i = 0; i < fleet->mix->account_count; i++)
    {
      /* Counted before the call: a top-up without an answer may have been
         applied. */
      fleet->topped_up_tokens[i] += tokens;
      if (!trial_operator_top_up (fleet->op, i, tokens, OPERATOR_LIMIT_MS))
        return false;
    }
  return true;
}

uint64_t
trial_fleet_topped_up (const struct trial_fleet *fleet, uint32_t account)
{
  return fleet->topped_up_tokens[account];
}

bool
trial_fleet_push (struct trial_fleet *fleet)
{
  return trial_operator_push (fleet->op, OPERATOR_LIMIT_MS);
}

static struct trial_node *
find_node (struct trial_fleet *fleet, enum trial_role role, uint32_t zone,
           uint32_t index)
{
  for (guint i = 0; i < fleet->nodes->len; i++)
    {
      struct trial_node *node = fleet->nodes->pdata[i];
      if (node->role == role && node->zone == zone && node->index == index)
        return node;
    }
  return NULL;
}

struct fleet_process *
trial_fleet_process (struct trial_fleet *fleet, enum trial_role role,
                     uint32_t zone, uint32_t index)
{
  struct trial_node *node = find_node (fleet, role, zone, index);
  return node ? node->process : NULL;
}

void
trial_fleet_lose_disk (struct trial_fleet *fleet, enum trial_role role,
                       uint32_t zone)
{
  struct trial_node *node = find_node (fleet, role, zone, 0);
  g_return_if_fail (node && node->data_folder);
  fleet_process_kill (node->process);
  tool_folder_empty (node->data_folder);
  fleet_process_start (node->process);
}

void
trial_fleet_cut_zone (struct trial_fleet *fleet, uint32_t zone, bool cut)
{
  trial_links_cut (fleet->links, zone, cut);
}

/* Discards the body of an answer, which curl would print. */
static size_t
drop_body (char *data, size_t size, size_t count, void *context)
{
  (void)data;
  (void)context;
  return size * count;
}

bool
trial_fleet_set_faults (struct trial_fleet *fleet, uint32_t zone,
                        uint32_t index, const char *faults)
{
  const struct trial_node *node = find_node (fleet, TRIAL_TARGET, zone, index);
  g_return_val_if_fail (node, false);
  long status = 0;
  char *url = g_strdup_printf ("http://%s:%u/faults", node->address,
                               node->http_port);
  CURL *easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, faults);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, drop_body);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, FAULTS_TIMEOUT_MS);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (easy);
  g_free (url);
  return status == 200;
}

const char *const *
trial_fleet_routers (const struct trial_fleet *fleet)
{
  return (const char *const *)fleet->router_endpoints->pdata;
}

void
trial_fleet_collect (struct trial_fleet *fleet, struct load_oracle *oracle)
{
  for (guint i = 0; i < fleet->nodes->len; i++)
    {
      struct trial_node *node = fleet->nodes->pdata[i];
      char *endpoint
          = g_strdup_printf ("%s:%u", node->address, node->http_port);
      bool answered = true;
      if (node->role == TRIAL_TARGET)
        answered = load_oracle_add_target (oracle, endpoint) == 0
                   || load_oracle_add_file (oracle, node->oracle_path) == 0;
      else if (node->role == TRIAL_LEDGER)
        answered
            = load_oracle_add_ledger (oracle, node->address, node->rpc_port)
              == 0;
      if (!answered)
        fprintf (stderr,
                 "can't read the runs or bills of %s; the report lacks them\n",
                 fleet_process_name (node->process));
      g_free (endpoint);
    }
}

uint32_t
trial_fleet_stop (struct trial_fleet *fleet)
{
  static const enum trial_role order[]
      = { TRIAL_ROUTER, TRIAL_TARGET, TRIAL_LEDGER, TRIAL_CONTROL };
  uint32_t bad = 0;
  for (size_t step = 0; step < G_N_ELEMENTS (order); step++)
    {
      for (guint i = 0; i < fleet->nodes->len; i++)
        {
          struct trial_node *node = fleet->nodes->pdata[i];
          if (node->role == order[step])
            fleet_process_signal (node->process, SIGTERM);
        }
      for (guint i = 0; i < fleet->nodes->len; i++)
        {
          struct trial_node *node = fleet->nodes->pdata[i];
          if (node->role != order[step]
              || fleet_process_wait (node->process, STOP_LIMIT_MS) == 0)
            continue;
          fprintf (stderr,
                   "%s did not exit with status 0 in time after SIGTERM\n",
                   fleet_process_name (node->process));
          bad++;
        }
    }
  return bad;
}
