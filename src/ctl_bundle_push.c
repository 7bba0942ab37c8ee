/** @file
 *  Commands bundle push, bundle status and bundle show. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base_clock.h"
#include "base_hash.h"
#include "ctl_cluster.h"
#include "ctl_document.h"
#include "ctl_table.h"

/* Interval between the status calls that --wait makes. */
#define WAIT_POLL_MS 100

/* Signs with --key-file, or else reads the signature from FILE.sig.  Returns
   false after printing an error. */
static bool
get_signature (struct ctl_context *context, const struct bundle *bundle,
               struct ctl_signature *signature)
{
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  if (context->options.key_file)
    return ctl_signature_make (context, bundle, signature);
  char *path = g_strconcat (context->arguments[1], ".sig", NULL);
  bool found = ctl_signature_read (path, signature);
  bundle_digest (bundle, digest);
  if (found && memcmp (digest, signature->digest, sizeof digest) != 0)
    {
      ctl_fail (CTL_USAGE,
                "%s does not match the document; sign the document again",
                path);
      found = false;
    }
  g_free (path);
  return found;
}

static enum ctl_exit
send_bundle (struct ctl_context *context, const struct bundle *bundle,
             const struct ctl_signature *signature)
{
  size_t bytes;
  struct control_push_result result;
  struct control_push_args args = { 0 };
  args.cluster = context->options.cluster;
  args.bundle_version = bundle_version (bundle);
  args.signer = (char *)signature->signer;
  memcpy (args.signature, signature->signature, sizeof args.signature);
  args.document.document_val = (char *)bundle_canonical (bundle, &bytes);
  args.document.document_len = (u_int)bytes;
  enum ctl_exit code = ctl_call (
      context, CONTROL_PUSH, (xdrproc_t)xdr_control_push_args, &args,
      (xdrproc_t)xdr_control_push_result, &result, sizeof result);
  xdr_free ((xdrproc_t)xdr_control_push_result, (char *)&result);
  return code;
}

/* Lists the live processes that run an older version than @p version.  Returns
   NULL when there are none. */
static GString *
list_outdated (const struct control_status_result *status, uint64_t version)
{
  GString *names = NULL;
  for (u_int i = 0; i < status->processes.processes_len; i++)
    {
      const struct wire_process *process = &status->processes.processes_val[i];
      if (process->kind == WIRE_PROCESS_CONTROL
          || process->bundle_version >= version)
        continue;
      if (!names)
        names = g_string_new (NULL);
      g_string_append_printf (
          names, "%s%s %s (version %" PRIu64 ")", names->len ? ", " : "",
          ctl_process_kind_name (process->kind), process->host,
          (uint64_t)process->bundle_version);
    }
  return names;
}

/* Counts the live processes that run bundles, which are all processes except
   control. */
static uint32_t
count_bundle_processes (const struct control_status_result *status)
{
  uint32_t count = 0;
  for (u_int i = 0; i < status->processes.processes_len; i++)
    count += status->processes.processes_val[i].kind != WIRE_PROCESS_CONTROL;
  return count;
}

/** Result of --wait. */
struct rollout
{
  /** Live processes that run bundles: ledgers and routers. */
  uint32_t process_count;
  /** Newest accepted version, which may be newer than the one pushed. */
  uint64_t accepted_version;
};

/* Waits until every live process runs @p version or a newer one, at most for
   the command's timeout. */
static enum ctl_exit
wait_rollout (struct ctl_context *context, uint64_t version,
              struct rollout *rollout)
{
  struct base_clock *clock = base_clock_system ();
  uint64_t deadline_ms
      = base_clock_now_ms (clock) + (uint64_t)context->options.timeout_ms;
  for (;;)
    {
      struct control_status_result status;
      enum ctl_exit code = ctl_wait_leader_status (context, &status);
      if (code != CTL_OK)
        return code;
      GString *outdated = list_outdated (&status, version);
      rollout->process_count = count_bundle_processes (&status);
      rollout->accepted_version = status.bundle_version;
      ctl_status_clear (&status);
      if (!outdated)
        return CTL_OK;
      bool timed_out = base_clock_now_ms (clock) >= deadline_ms;
      if (timed_out)
        ctl_fail (CTL_REFUSED,
                  "version %" PRIu64 " was accepted, but after %d ms it is "
                  "not in force at %s; cactusctl bundle status shows the "
                  "versions",
                  version, context->options.timeout_ms, outdated->str);
      g_string_free (outdated, TRUE);
      if (timed_out)
        return CTL_REFUSED;
      g_usleep (WAIT_POLL_MS * 1000);
    }
}

static void
print_push_result (const struct ctl_context *context, uint64_t version,
                   const struct rollout *rollout)
{
  if (context->options.json)
    printf ("{\"version\":%" PRIu64 ",\"in_force\":%s}\n", version,
            context->options.wait ? "true" : "null");
  else if (!context->options.wait)
    printf ("version %" PRIu64 " is accepted\n", version);
  else if (rollout->accepted_version > version)
    printf ("version %" PRIu64 " was accepted earlier; the newest accepted "
            "version is %" PRIu64 "\n",
            version, rollout->accepted_version);
  else
    printf ("version %" PRIu64 " is in force at all %u live process(es)\n",
            version, rollout->process_count);
}

enum ctl_exit
ctl_bundle_push (struct ctl_context *context)
{
  struct ctl_signature signature;
  struct rollout rollout = { 0 };
  enum ctl_exit code = CTL_USAGE;
  struct bundle *bundle = ctl_document_read (context->arguments[1]);
  if (!bundle || !get_signature (context, bundle, &signature))
    goto done;
  code = send_bundle (context, bundle, &signature);
  if (code == CTL_OK && context->options.wait)
    code = wait_rollout (context, bundle_version (bundle), &rollout);
  if (code == CTL_OK)
    print_push_result (context, bundle_version (bundle), &rollout);
done:
  bundle_unref (bundle);
  return code;
}

enum ctl_exit
ctl_bundle_status (struct ctl_context *context)
{
  static const char *const columns[]
      = { "kind",           "host",    "availability_zone",
          "bundle_version", "current", NULL };
  struct control_status_result status;
  enum ctl_exit code = ctl_wait_leader_status (context, &status);
  if (code != CTL_OK)
    return code;
  struct ctl_table *table = ctl_table_create (columns);
  for (u_int i = 0; i < status.processes.processes_len; i++)
    {
      const struct wire_process *process = &status.processes.processes_val[i];
      ctl_table_add_text (table, ctl_process_kind_name (process->kind));
      ctl_table_add_text (table, process->host);
      ctl_table_add_text (table, process->availability_zone);
      ctl_table_add_number (table, process->bundle_version);
      ctl_table_add_bool (table,
                          process->bundle_version >= status.bundle_version);
    }
  if (!context->options.json)
    printf ("accepted version: %" PRIu64 "\n",
            (uint64_t)status.bundle_version);
  ctl_table_print (table, context->options.json);
  ctl_table_destroy (table);
  ctl_status_clear (&status);
  return CTL_OK;
}

enum ctl_exit
ctl_bundle_show (struct ctl_context *context)
{
  char digest[2 * BUNDLE_DIGEST_BYTES + 1];
  struct control_bundle_result result;
  struct control_bundle_args args
      = { context->options.cluster,
          (u_quad_t)context->options.bundle_version };
  enum ctl_exit code = ctl_call (
      context, CONTROL_BUNDLE, (xdrproc_t)xdr_control_bundle_args, &args,
      (xdrproc_t)xdr_control_bundle_result, &result, sizeof result);
  if (code == CTL_OK)
    {
      base_hex_write (digest, (const uint8_t *)result.digest,
                      BUNDLE_DIGEST_BYTES);
      fprintf (stderr, "version %" PRIu64 ", digest %s, signed by %s\n",
               (uint64_t)result.bundle_version, digest, result.signer);
      printf ("%.*s\n", (int)result.document.document_len,
              result.document.document_val);
    }
  xdr_free ((xdrproc_t)xdr_control_bundle_result, (char *)&result);
  return code;
}
