#include "trial_operator.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "base_clock.h"
#include "base_hash.h"
#include "bundle.h"
#include "control_client.h"
#include "trial_bundle.h"

/* Timeout of one call to control. */
#define ATTEMPT_TIMEOUT_MS 2000
/* Wait before a retry. */
#define RETRY_PAUSE_US 100000

struct trial_operator
{
  const struct load_mix *mix;
  char *cluster;
  struct control_client *client;
  uint8_t public_key[crypto_sign_PUBLICKEYBYTES];
  uint8_t secret_key[crypto_sign_SECRETKEYBYTES];
  char public_key_hex[2 * crypto_sign_PUBLICKEYBYTES + 1];
  uint64_t version;
  uint32_t top_ups;
};

struct trial_operator *
trial_operator_create (const struct load_mix *mix, const char *cluster,
                       const char *const *endpoints)
{
  struct trial_operator *op = g_new0 (struct trial_operator, 1);
  op->mix = mix;
  op->cluster = g_strdup (cluster);
  op->client = control_client_create (endpoints);
  crypto_sign_keypair (op->public_key, op->secret_key);
  base_hex_write (op->public_key_hex, op->public_key, sizeof op->public_key);
  return op;
}

void
trial_operator_destroy (struct trial_operator *op)
{
  if (!op)
    return;
  control_client_destroy (op->client);
  g_free (op->cluster);
  g_free (op);
}

const char *
trial_operator_root_key (const struct trial_operator *op)
{
  return op->public_key_hex;
}

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static void
sign_document (const struct trial_operator *op, const char *document,
               uint8_t signature[BUNDLE_SIGNATURE_BYTES])
{
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle = bundle_read (document, strlen (document), findings);
  base_findings_print (findings, stderr);
  g_assert (bundle);
  bundle_digest (bundle, digest);
  bundle_sign (digest, op->secret_key, signature);
  bundle_unref (bundle);
  base_findings_destroy (findings);
}

/* Calls control once; true when it accepted, else false after a pause.  Prints
   refusals, except for the statuses unavailable and not-leader. */
static bool
call_control (struct trial_operator *op, uint32_t procedure,
              xdrproc_t args_codec, void *args, xdrproc_t result_codec,
              void *result, size_t bytes, struct control_answer *answer)
{
  enum wire_status status
      = control_client_call (op->client, procedure, args_codec, args,
                             result_codec, result, bytes, ATTEMPT_TIMEOUT_MS);
  if (status == WIRE_OK && answer->status == CONTROL_OK)
    return true;
  if (status == WIRE_OK && answer->status != CONTROL_UNAVAILABLE
      && answer->status != CONTROL_NOT_LEADER)
    fprintf (stderr,
             "control refused the call, retrying until the time limit: %s\n",
             answer->text ? answer->text : "");
  g_usleep (RETRY_PAUSE_US);
  return false;
}

static bool
push_once (struct trial_operator *op, struct control_push_args *args)
{
  struct control_push_result result = { 0 };
  bool accepted
      = call_control (op, CONTROL_PUSH, (xdrproc_t)xdr_control_push_args, args,
                      (xdrproc_t)xdr_control_push_result, &result,
                      sizeof result, &result.answer);
  xdr_free ((xdrproc_t)xdr_control_push_result, (char *)&result);
  return accepted;
}

bool
trial_operator_push (struct trial_operator *op, uint32_t limit_ms)
{
  char signer[] = "trial";
  bool accepted = false;
  uint64_t end_ms = now_ms () + limit_ms;
  uint64_t version = op->version + 1;
  char *document = trial_bundle_document (op->mix, version, op->public_key);
  struct control_push_args args = { .cluster = op->cluster,
                                    .bundle_version = version,
                                    .signer = signer };
  args.document.document_val = document;
  args.document.document_len = (u_int)strlen (document);
  sign_document (op, document, (uint8_t *)args.signature);
  while (!accepted && now_ms () < end_ms)
    accepted = push_once (op, &args);
  if (accepted)
    op->version = version;
  g_free (document);
  return accepted;
}

static bool
top_up_once (struct trial_operator *op, struct control_top_up_args *args)
{
  struct control_top_up_result result = { 0 };
  bool accepted
      = call_control (op, CONTROL_TOP_UP, (xdrproc_t)xdr_control_top_up_args,
                      args, (xdrproc_t)xdr_control_top_up_result, &result,
                      sizeof result, &result.answer);
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  return accepted;
}

bool
trial_operator_top_up (struct trial_operator *op, uint32_t account,
                       uint64_t tokens, uint32_t limit_ms)
{
  char budget[] = "default";
  char operator_name[] = "trial";
  char id[32];
  bool accepted = false;
  uint64_t end_ms = now_ms () + limit_ms;
  char *name = load_mix_account_name (op->mix, account);
  snprintf (id, sizeof id, "trial-%" PRIu32, ++op->top_ups);
  struct control_top_up_args args = { .cluster = op->cluster,
                                      .top_up_id = id,
                                      .operator_name = operator_name,
                                      .account = name,
                                      .budget = budget,
                                      .tokens = tokens };
  while (!accepted && now_ms () < end_ms)
    accepted = top_up_once (op, &args);
  g_free (name);
  return accepted;
}
