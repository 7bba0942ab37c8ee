#include "control_rig.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "base_clock.h"
#include "base_hash.h"
#include "bundle.h"
#include "wire_client.h"
#include "tool_folder.h"

#define CALL_TIMEOUT_MS 15000
#define START_TIMEOUT_MS 20000
#define POLL_INTERVAL_US 10000

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* The --members list: "1@127.0.0.1:PORT,2@127.0.0.1:PORT,...". */
static char *
format_members (const struct control_rig *rig)
{
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < rig->count; i++)
    g_string_append_printf (text, "%s%u@127.0.0.1:%u", i > 0 ? "," : "", i + 1,
                            rig->advertised_ports[i]);
  return g_string_free (text, FALSE);
}

static char *
data_folder (const struct control_rig *rig, uint32_t member)
{
  return g_strdup_printf ("%s/data-%u", rig->folder, member + 1);
}

void
control_rig_fill (const struct control_rig *rig, uint32_t member,
                  const char *how)
{
  char *folder = data_folder (rig, member);
  char *path = g_strconcat (folder, ".full", NULL);
  if (how)
    g_assert_true (g_file_set_contents (path, how, -1, NULL));
  else
    g_unlink (path);
  g_free (path);
  g_free (folder);
}

static struct fleet_process *
describe_member (const struct control_rig *rig, uint32_t member,
                 const char *members, const char *root_key,
                 const char *const *extra_arguments)
{
  char *name = g_strdup_printf ("control-%u", member + 1);
  char *id = g_strdup_printf ("%u", member + 1);
  char *rpc = g_strdup_printf ("127.0.0.1:%u", rig->ports[member]);
  char *data = data_folder (rig, member);
  const char *arguments[] = { "--cluster",   CONTROL_RIG_CLUSTER,
                              "--host",      name,
                              "--rpc",       rpc,
                              "--http",      "127.0.0.1:0",
                              "--data-dir",  data,
                              "--members",   members,
                              "--root-key",  root_key,
                              "--member-id", id };
  GPtrArray *all = g_ptr_array_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (arguments); i++)
    g_ptr_array_add (all, (char *)arguments[i]);
  for (; extra_arguments && *extra_arguments; extra_arguments++)
    g_ptr_array_add (all, (char *)*extra_arguments);
  g_ptr_array_add (all, NULL);
  struct fleet_process *process = fleet_process_create (
      name, rig->program, (const char *const *)all->pdata, rig->folder);
  g_ptr_array_unref (all);
  g_free (name);
  g_free (id);
  g_free (rpc);
  g_free (data);
  return process;
}

static void
describe_members (struct control_rig *rig, const char *const *extra_arguments)
{
  char root_key[65];
  char *members = format_members (rig);
  base_hex_write (root_key, rig->public_key, 32);
  for (uint32_t i = 0; i < rig->count; i++)
    rig->members[i]
        = describe_member (rig, i, members, root_key, extra_arguments);
  g_free (members);
}

static struct control_client *
make_client (const struct control_rig *rig)
{
  char **endpoints = g_new0 (char *, rig->count + 1);
  for (uint32_t i = 0; i < rig->count; i++)
    endpoints[i] = g_strdup_printf ("127.0.0.1:%u", rig->ports[i]);
  struct control_client *client
      = control_client_create ((const char *const *)endpoints);
  g_strfreev (endpoints);
  return client;
}

/* Picks a port for the member, and one of the relay that leads to it. */
static void
pick_ports (struct control_rig *rig, uint32_t member, struct link_relay *relay)
{
  rig->ports[member] = fleet_free_port ("127.0.0.1");
  rig->advertised_ports[member]
      = relay ? link_relay_add_listener (relay, "127.0.0.1", 0, "127.0.0.1",
                                         rig->ports[member])
              : rig->ports[member];
}

/* Starts members of @p program, with a relay between them unless NULL. */
static struct control_rig *
create (const char *program, uint32_t count, const char *const *arguments,
        struct link_relay *relay)
{
  struct control_rig *rig = g_new0 (struct control_rig, 1);
  uint8_t seed[32] = { 7 };
  bool started = sodium_init () >= 0;
  signal (SIGPIPE, SIG_IGN);
  crypto_sign_seed_keypair (rig->public_key, rig->secret_key, seed);
  rig->folder = g_dir_make_tmp ("control-trial-XXXXXX", NULL);
  rig->count = count;
  rig->program = program;
  rig->members = g_new0 (struct fleet_process *, count);
  rig->ports = g_new0 (uint16_t, count);
  rig->advertised_ports = g_new0 (uint16_t, count);
  for (uint32_t i = 0; i < count; i++)
    pick_ports (rig, i, relay);
  describe_members (rig, arguments);
  rig->client = make_client (rig);
  for (uint32_t i = 0; started && i < count; i++)
    started = control_rig_start (rig, i);
  if (started && control_rig_leader (rig, START_TIMEOUT_MS) >= 0)
    return rig;
  control_rig_destroy (rig);
  return NULL;
}

struct control_rig *
control_rig_create_linked (uint32_t count, const char *const *arguments,
                           struct link_relay *relay)
{
  return create ("cactus-control", count, arguments, relay);
}

struct control_rig *
control_rig_create_full (uint32_t count, const char *const *arguments)
{
  return create ("cactus-control-full", count, arguments, NULL);
}

struct control_rig *
control_rig_create_with (uint32_t count, const char *const *arguments)
{
  return control_rig_create_linked (count, arguments, NULL);
}

struct control_rig *
control_rig_create (uint32_t count)
{
  return control_rig_create_with (count, NULL);
}

void
control_rig_destroy (struct control_rig *rig)
{
  if (!rig)
    return;
  control_client_destroy (rig->client);
  for (uint32_t i = 0; i < rig->count; i++)
    fleet_process_destroy (rig->members[i]);
  tool_folder_remove (rig->folder);
  g_free (rig->folder);
  g_free (rig->members);
  g_free (rig->ports);
  g_free (rig->advertised_ports);
  g_free (rig);
}

bool
control_rig_start (struct control_rig *rig, uint32_t member)
{
  return fleet_process_start (rig->members[member]) == 0
         && fleet_process_wait_ready (rig->members[member], START_TIMEOUT_MS);
}

void
control_rig_wipe (struct control_rig *rig, uint32_t member)
{
  char *folder = data_folder (rig, member);
  tool_folder_remove (folder);
  g_free (folder);
}

bool
control_rig_status (struct control_rig *rig, uint32_t member,
                    struct control_status_result *result)
{
  char cluster[] = CONTROL_RIG_CLUSTER;
  struct control_status_args args = { .cluster = cluster };
  struct wire_client *client = wire_client_create (
      "127.0.0.1", rig->ports[member], CONTROL_PROGRAM, CONTROL_VERSION);
  enum wire_status status = wire_client_call (
      client, CONTROL_STATUS, (xdrproc_t)xdr_control_status_args, &args,
      (xdrproc_t)xdr_control_status_result, result, sizeof *result, 500);
  wire_client_destroy (client);
  return status == WIRE_OK && result->answer.status == CONTROL_OK;
}

int
control_rig_leader (struct control_rig *rig, uint32_t timeout_ms)
{
  uint64_t end_ms = now_ms () + timeout_ms;
  do
    {
      for (uint32_t i = 0; i < rig->count; i++)
        {
          struct control_status_result result = { 0 };
          bool leads = control_rig_status (rig, i, &result) && result.leader;
          xdr_free ((xdrproc_t)xdr_control_status_result, (char *)&result);
          if (leads)
            return (int)i;
        }
      g_usleep (POLL_INTERVAL_US);
    }
  while (now_ms () < end_ms);
  return -1;
}

/* Whether the leader reports the member as a voter whose log matches its own
   up to the last entry. */
static bool
is_caught_up (struct control_rig *rig, uint32_t member)
{
  struct control_status_result result = { 0 };
  int leader = control_rig_leader (rig, 1000);
  bool succeeded
      = leader >= 0 && control_rig_status (rig, (uint32_t)leader, &result);
  bool caught_up = false;
  for (u_int i = 0; succeeded && i < result.members.members_len; i++)
    {
      const struct control_member *reported = &result.members.members_val[i];
      if (reported->port == rig->advertised_ports[member])
        caught_up
            = reported->voter && reported->match_index >= result.last_index;
    }
  xdr_free ((xdrproc_t)xdr_control_status_result, (char *)&result);
  return caught_up;
}

bool
control_rig_wait_voter (struct control_rig *rig, uint32_t member,
                        uint32_t timeout_ms)
{
  uint64_t end_ms = now_ms () + timeout_ms;
  while (now_ms () < end_ms)
    {
      if (is_caught_up (rig, member))
        return true;
      g_usleep (POLL_INTERVAL_US);
    }
  return false;
}

char *
control_rig_document (const struct control_rig *rig, uint64_t version,
                      uint32_t accounts, uint32_t variant)
{
  char key[65];
  GString *text = g_string_new (NULL);
  base_hex_write (key, rig->public_key, 32);
  g_string_append_printf (text,
                          "{\"version\":%" PRIu64
                          ",\"operators\":{\"root\":{\"public_key\":\"%s\"}},"
                          "\"accounts\":{",
                          version, key);
  for (uint32_t i = 0; i < accounts; i++)
    g_string_append_printf (
        text, "%s\"account-%05u\":{\"weight\":%u,\"keys\":[\"%032x\"]}",
        i > 0 ? "," : "", i, i == 0 ? 1 + variant % 1000 : 1, i + 1);
  g_string_append (text, "},\"services\":{\"redactor\":{\"kind\":\"model\"}},"
                         "\"classes\":{\"quick\":{}},"
                         "\"rules\":{\"all\":{\"accounts\":[\"*\"],"
                         "\"services\":[\"redactor\"],\"class\":\"quick\"}}}");
  return g_string_free (text, FALSE);
}

void
control_rig_make_push_args (const struct control_rig *rig, uint64_t version,
                            const char *document,
                            struct control_push_args *args)
{
  uint8_t digest[BUNDLE_DIGEST_BYTES] = { 0 };
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle = bundle_read (document, strlen (document), findings);
  base_findings_print (findings, stderr);
  base_findings_destroy (findings);
  if (bundle)
    {
      bundle_digest (bundle, digest);
      bundle_unref (bundle);
    }
  memset (args, 0, sizeof *args);
  args->cluster = strdup (CONTROL_RIG_CLUSTER);
  args->bundle_version = version;
  args->signer = strdup ("root");
  bundle_sign (digest, rig->secret_key, (uint8_t *)args->signature);
  args->document.document_val = strdup (document);
  args->document.document_len = (u_int)strlen (document);
}

int
control_rig_push (struct control_rig *rig, uint64_t version, uint32_t accounts,
                  uint32_t variant)
{
  struct control_push_args args;
  struct control_push_result result;
  char *document = control_rig_document (rig, version, accounts, variant);
  control_rig_make_push_args (rig, version, document, &args);
  enum wire_status status = control_client_call (
      rig->client, CONTROL_PUSH, (xdrproc_t)xdr_control_push_args, &args,
      (xdrproc_t)xdr_control_push_result, &result, sizeof result,
      CALL_TIMEOUT_MS);
  int outcome = status == WIRE_OK ? (int)result.answer.status : -1;
  xdr_free ((xdrproc_t)xdr_control_push_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_control_push_args, (char *)&args);
  g_free (document);
  return outcome;
}

uint64_t
control_rig_top_up (struct control_rig *rig, const char *id,
                    const char *account, uint64_t tokens)
{
  struct control_top_up_args args = { 0 };
  struct control_top_up_result result;
  args.cluster = strdup (CONTROL_RIG_CLUSTER);
  args.top_up_id = strdup (id);
  args.operator_name = strdup ("root");
  args.account = strdup (account);
  args.budget = strdup ("default");
  args.tokens = tokens;
  enum wire_status status = control_client_call (
      rig->client, CONTROL_TOP_UP, (xdrproc_t)xdr_control_top_up_args, &args,
      (xdrproc_t)xdr_control_top_up_result, &result, sizeof result,
      CALL_TIMEOUT_MS);
  bool succeeded = status == WIRE_OK && result.answer.status == CONTROL_OK;
  uint64_t total = succeeded ? result.topped_up_tokens : 0;
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_control_top_up_args, (char *)&args);
  return total;
}

uint64_t
control_rig_bundle_version (struct control_rig *rig)
{
  char cluster[] = CONTROL_RIG_CLUSTER;
  struct control_bundle_args args = { .cluster = cluster };
  struct control_bundle_result result;
  enum wire_status status = control_client_call (
      rig->client, CONTROL_BUNDLE, (xdrproc_t)xdr_control_bundle_args, &args,
      (xdrproc_t)xdr_control_bundle_result, &result, sizeof result,
      CALL_TIMEOUT_MS);
  bool succeeded = status == WIRE_OK && result.answer.status == CONTROL_OK;
  uint64_t version = succeeded ? result.bundle_version : 0;
  xdr_free ((xdrproc_t)xdr_control_bundle_result, (char *)&result);
  return version;
}

uint64_t
control_rig_topped_up_tokens (struct control_rig *rig, const char *account)
{
  char cluster[] = CONTROL_RIG_CLUSTER;
  char budget[] = "default";
  struct control_budget_args args = { .cluster = cluster, .budget = budget };
  struct control_budget_result result;
  args.account = strdup (account);
  enum wire_status status = control_client_call (
      rig->client, CONTROL_BUDGET, (xdrproc_t)xdr_control_budget_args, &args,
      (xdrproc_t)xdr_control_budget_result, &result, sizeof result,
      CALL_TIMEOUT_MS);
  bool succeeded = status == WIRE_OK && result.answer.status == CONTROL_OK;
  uint64_t total = succeeded ? result.topped_up_tokens : 0;
  xdr_free ((xdrproc_t)xdr_control_budget_result, (char *)&result);
  free (args.account);
  return total;
}
