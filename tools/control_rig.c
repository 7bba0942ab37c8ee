#include "control_rig.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include <glib.h>

#include "base_clock.h"
#include "base_hash.h"
#include "bundle.h"
#include "wire_client.h"
#include "tool_folder.h"

#define CALL_LIMIT_MS 15000
#define START_LIMIT_MS 20000
#define POLL_US 10000

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* "1@127.0.0.1:P,2@..." */
static char *
members_text (const struct control_rig *trial)
{
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < trial->count; i++)
    g_string_append_printf (text, "%s%u@127.0.0.1:%u", i > 0 ? "," : "", i + 1,
                            trial->ports[i]);
  return g_string_free (text, FALSE);
}

static char *
data_folder (const struct control_rig *trial, uint32_t member)
{
  return g_strdup_printf ("%s/data-%u", trial->folder, member + 1);
}

static struct fleet_process *
describe_member (const struct control_rig *trial, uint32_t member,
                 const char *members, const char *root_key,
                 const char *const *more)
{
  char *name = g_strdup_printf ("control-%u", member + 1);
  char *id = g_strdup_printf ("%u", member + 1);
  char *rpc = g_strdup_printf ("127.0.0.1:%u", trial->ports[member]);
  char *data = data_folder (trial, member);
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
  for (; more && *more; more++)
    g_ptr_array_add (all, (char *)*more);
  g_ptr_array_add (all, NULL);
  struct fleet_process *process = fleet_process_create (
      name, "cactus-control", (const char *const *)all->pdata, trial->folder);
  g_ptr_array_unref (all);
  g_free (name);
  g_free (id);
  g_free (rpc);
  g_free (data);
  return process;
}

static void
describe_members (struct control_rig *trial, const char *const *more)
{
  char root_key[65];
  char *members = members_text (trial);
  base_hex_write (root_key, trial->public_key, 32);
  for (uint32_t i = 0; i < trial->count; i++)
    trial->members[i] = describe_member (trial, i, members, root_key, more);
  g_free (members);
}

static struct control_client *
make_client (const struct control_rig *trial)
{
  char **endpoints = g_new0 (char *, trial->count + 1);
  for (uint32_t i = 0; i < trial->count; i++)
    endpoints[i] = g_strdup_printf ("127.0.0.1:%u", trial->ports[i]);
  struct control_client *client
      = control_client_create ((const char *const *)endpoints);
  g_strfreev (endpoints);
  return client;
}

struct control_rig *
control_rig_create_with (uint32_t count, const char *const *arguments)
{
  struct control_rig *trial = g_new0 (struct control_rig, 1);
  uint8_t seed[32] = { 7 };
  bool started = sodium_init () >= 0;
  signal (SIGPIPE, SIG_IGN);
  crypto_sign_seed_keypair (trial->public_key, trial->secret_key, seed);
  trial->folder = g_dir_make_tmp ("control-trial-XXXXXX", NULL);
  trial->count = count;
  trial->members = g_new0 (struct fleet_process *, count);
  trial->ports = g_new0 (uint16_t, count);
  for (uint32_t i = 0; i < count; i++)
    trial->ports[i] = fleet_free_port ("127.0.0.1");
  describe_members (trial, arguments);
  trial->client = make_client (trial);
  for (uint32_t i = 0; started && i < count; i++)
    started = control_rig_start (trial, i);
  if (started && control_rig_leader (trial, START_LIMIT_MS) >= 0)
    return trial;
  control_rig_destroy (trial);
  return NULL;
}

struct control_rig *
control_rig_create (uint32_t count)
{
  return control_rig_create_with (count, NULL);
}

void
control_rig_destroy (struct control_rig *trial)
{
  if (!trial)
    return;
  control_client_destroy (trial->client);
  for (uint32_t i = 0; i < trial->count; i++)
    fleet_process_destroy (trial->members[i]);
  tool_folder_remove (trial->folder);
  g_free (trial->folder);
  g_free (trial->members);
  g_free (trial->ports);
  g_free (trial);
}

bool
control_rig_start (struct control_rig *trial, uint32_t member)
{
  return fleet_process_start (trial->members[member]) == 0
         && fleet_process_wait_ready (trial->members[member], START_LIMIT_MS);
}

void
control_rig_wipe (struct control_rig *trial, uint32_t member)
{
  char *folder = data_folder (trial, member);
  tool_folder_remove (folder);
  g_free (folder);
}

bool
control_rig_status (struct control_rig *trial, uint32_t member,
                    struct control_status_result *result)
{
  char cluster[] = CONTROL_RIG_CLUSTER;
  struct control_status_args args = { .cluster = cluster };
  struct wire_client *client = wire_client_create (
      "127.0.0.1", trial->ports[member], CONTROL_PROGRAM, CONTROL_VERSION);
  enum wire_status status = wire_client_call (
      client, CONTROL_STATUS, (xdrproc_t)xdr_control_status_args, &args,
      (xdrproc_t)xdr_control_status_result, result, sizeof *result, 500);
  wire_client_destroy (client);
  return status == WIRE_OK && result->answer.status == CONTROL_OK;
}

int
control_rig_leader (struct control_rig *trial, uint32_t limit_ms)
{
  uint64_t end_ms = now_ms () + limit_ms;
  do
    {
      for (uint32_t i = 0; i < trial->count; i++)
        {
          struct control_status_result result = { 0 };
          bool leads = control_rig_status (trial, i, &result) && result.leader;
          xdr_free ((xdrproc_t)xdr_control_status_result, (char *)&result);
          if (leads)
            return (int)i;
        }
      g_usleep (POLL_US);
    }
  while (now_ms () < end_ms);
  return -1;
}

/* Whether the leader counts the member as a voter that holds everything. */
static bool
is_caught_up (struct control_rig *trial, uint32_t member)
{
  struct control_status_result result = { 0 };
  int leader = control_rig_leader (trial, 1000);
  bool good
      = leader >= 0 && control_rig_status (trial, (uint32_t)leader, &result);
  bool caught_up = false;
  for (u_int i = 0; good && i < result.members.members_len; i++)
    {
      const struct control_member *known = &result.members.members_val[i];
      if (known->port == trial->ports[member])
        caught_up = known->voter && known->match_index >= result.last_index;
    }
  xdr_free ((xdrproc_t)xdr_control_status_result, (char *)&result);
  return caught_up;
}

bool
control_rig_wait_voter (struct control_rig *trial, uint32_t member,
                        uint32_t limit_ms)
{
  uint64_t end_ms = now_ms () + limit_ms;
  while (now_ms () < end_ms)
    {
      if (is_caught_up (trial, member))
        return true;
      g_usleep (POLL_US);
    }
  return false;
}

char *
control_rig_document (const struct control_rig *trial, uint64_t version,
                      uint32_t accounts, uint32_t mark)
{
  char key[65];
  GString *text = g_string_new (NULL);
  base_hex_write (key, trial->public_key, 32);
  g_string_append_printf (text,
                          "{\"version\":%" PRIu64
                          ",\"operators\":{\"root\":{\"public_key\":\"%s\"}},"
                          "\"accounts\":{",
                          version, key);
  for (uint32_t i = 0; i < accounts; i++)
    g_string_append_printf (
        text, "%s\"account-%05u\":{\"weight\":%u,\"keys\":[\"%032x\"]}",
        i > 0 ? "," : "", i, i == 0 ? 1 + mark % 1000 : 1, i + 1);
  g_string_append (text, "},\"services\":{\"redactor\":{\"kind\":\"model\"}},"
                         "\"classes\":{\"quick\":{}},"
                         "\"rules\":{\"all\":{\"accounts\":[\"*\"],"
                         "\"services\":[\"redactor\"],\"class\":\"quick\"}}}");
  return g_string_free (text, FALSE);
}

void
control_rig_make_push_args (const struct control_rig *trial, uint64_t version,
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
  bundle_sign (digest, trial->secret_key, (uint8_t *)args->signature);
  args->document.document_val = strdup (document);
  args->document.document_len = (u_int)strlen (document);
}

int
control_rig_push (struct control_rig *trial, uint64_t version,
                  uint32_t accounts, uint32_t mark)
{
  struct control_push_args args;
  struct control_push_result result;
  char *document = control_rig_document (trial, version, accounts, mark);
  control_rig_make_push_args (trial, version, document, &args);
  enum wire_status status = control_client_call (
      trial->client, CONTROL_PUSH, (xdrproc_t)xdr_control_push_args, &args,
      (xdrproc_t)xdr_control_push_result, &result, sizeof result,
      CALL_LIMIT_MS);
  int outcome = status == WIRE_OK ? (int)result.answer.status : -1;
  xdr_free ((xdrproc_t)xdr_control_push_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_control_push_args, (char *)&args);
  g_free (document);
  return outcome;
}

uint64_t
control_rig_top_up (struct control_rig *trial, const char *id,
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
      trial->client, CONTROL_TOP_UP, (xdrproc_t)xdr_control_top_up_args, &args,
      (xdrproc_t)xdr_control_top_up_result, &result, sizeof result,
      CALL_LIMIT_MS);
  bool good = status == WIRE_OK && result.answer.status == CONTROL_OK;
  uint64_t total = good ? result.topped_up_tokens : 0;
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_control_top_up_args, (char *)&args);
  return total;
}

uint64_t
control_rig_bundle_version (struct control_rig *trial)
{
  char cluster[] = CONTROL_RIG_CLUSTER;
  struct control_bundle_args args = { .cluster = cluster };
  struct control_bundle_result result;
  enum wire_status status = control_client_call (
      trial->client, CONTROL_BUNDLE, (xdrproc_t)xdr_control_bundle_args, &args,
      (xdrproc_t)xdr_control_bundle_result, &result, sizeof result,
      CALL_LIMIT_MS);
  bool good = status == WIRE_OK && result.answer.status == CONTROL_OK;
  uint64_t version = good ? result.bundle_version : 0;
  xdr_free ((xdrproc_t)xdr_control_bundle_result, (char *)&result);
  return version;
}

uint64_t
control_rig_topped_up_tokens (struct control_rig *trial, const char *account)
{
  char cluster[] = CONTROL_RIG_CLUSTER;
  char budget[] = "default";
  struct control_budget_args args = { .cluster = cluster, .budget = budget };
  struct control_budget_result result;
  args.account = strdup (account);
  enum wire_status status = control_client_call (
      trial->client, CONTROL_BUDGET, (xdrproc_t)xdr_control_budget_args, &args,
      (xdrproc_t)xdr_control_budget_result, &result, sizeof result,
      CALL_LIMIT_MS);
  bool good = status == WIRE_OK && result.answer.status == CONTROL_OK;
  uint64_t total = good ? result.topped_up_tokens : 0;
  xdr_free ((xdrproc_t)xdr_control_budget_result, (char *)&result);
  free (args.account);
  return total;
}
