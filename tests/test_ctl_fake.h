#ifndef TEST_CTL_FAKE_H
#define TEST_CTL_FAKE_H

/** @file
 *  Fake control for the tests of cactusctl: bundles, idempotent top-ups, and a
 *  status with two processes whose bundle versions the test sets. */

#include <stdlib.h>

#include "bundle.h"
#include "control_client.h"
#include "test_control_fake.h"

struct ctl_fake
{
  struct control_fake fake;
  struct bundle *accepted;
  char signer[64];
  uint64_t topped_up_tokens;
  /** Ids of the applied top-ups. */
  GHashTable *top_ups;
  /** Newest version that the second process reports; the first always reports
   *  the newest accepted one. */
  uint64_t lagging_version;
  char drained[64];
  /** The zone that is evacuated, or empty. */
  char evacuated[64];
};

static inline void
ctl_fake_answer_fill (struct control_answer *answer,
                      enum control_status status, const char *text)
{
  answer->status = status;
  answer->leader_address = strdup ("");
  answer->text = strdup (text);
}

static inline void
ctl_fake_push (struct ctl_fake *ctl, struct wire_call *call)
{
  struct control_push_args args = { 0 };
  struct control_push_result result = { 0 };
  struct base_findings *findings = base_findings_create ();
  g_assert_true (
      wire_call_args (call, (xdrproc_t)xdr_control_push_args, &args));
  struct bundle *bundle = bundle_read (args.document.document_val,
                                       args.document.document_len, findings);
  g_assert_nonnull (bundle);
  uint64_t newest = ctl->accepted ? bundle_version (ctl->accepted) : 0;
  bool same = ctl->accepted
              && strcmp (bundle_canonical (ctl->accepted, NULL),
                         bundle_canonical (bundle, NULL))
                     == 0;
  if (same)
    ctl_fake_answer_fill (&result.answer, CONTROL_OK, "");
  else if (args.bundle_version == newest)
    ctl_fake_answer_fill (&result.answer, CONTROL_CONFLICT,
                          "version 1 was accepted with another digest, "
                          "signed by ana");
  else if (args.bundle_version != newest + 1)
    ctl_fake_answer_fill (&result.answer, CONTROL_REFUSED,
                          "version 1 is the newest; the next must be 2");
  else
    {
      ctl_fake_answer_fill (&result.answer, CONTROL_OK, "");
      bundle_unref (ctl->accepted);
      ctl->accepted = bundle_ref (bundle);
      g_strlcpy (ctl->signer, args.signer, sizeof ctl->signer);
    }
  result.accepted_signer = strdup (ctl->signer);
  wire_call_reply (call, (xdrproc_t)xdr_control_push_result, &result);
  xdr_free ((xdrproc_t)xdr_control_push_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_control_push_args, (char *)&args);
  bundle_unref (bundle);
  base_findings_destroy (findings);
}

static inline void
ctl_fake_bundle (struct ctl_fake *ctl, struct wire_call *call)
{
  size_t bytes;
  struct control_bundle_result result = { 0 };
  ctl_fake_answer_fill (&result.answer,
                        ctl->accepted ? CONTROL_OK : CONTROL_NOT_FOUND,
                        ctl->accepted ? "" : "no bundle was accepted yet");
  result.signer = strdup (ctl->signer);
  if (ctl->accepted)
    {
      result.bundle_version = bundle_version (ctl->accepted);
      bundle_digest (ctl->accepted, (uint8_t *)result.digest);
      result.document.document_val
          = strdup (bundle_canonical (ctl->accepted, &bytes));
      result.document.document_len = (u_int)bytes;
    }
  wire_call_reply (call, (xdrproc_t)xdr_control_bundle_result, &result);
  xdr_free ((xdrproc_t)xdr_control_bundle_result, (char *)&result);
}

static inline void
ctl_fake_top_up (struct ctl_fake *ctl, struct wire_call *call)
{
  struct control_top_up_args args = { 0 };
  struct control_top_up_result result = { 0 };
  g_assert_true (
      wire_call_args (call, (xdrproc_t)xdr_control_top_up_args, &args));
  if (g_hash_table_add (ctl->top_ups, g_strdup (args.top_up_id)))
    ctl->topped_up_tokens += args.tokens;
  ctl_fake_answer_fill (&result.answer, CONTROL_OK, "");
  result.topped_up_tokens = ctl->topped_up_tokens;
  result.unallocated_tokens = ctl->topped_up_tokens;
  wire_call_reply (call, (xdrproc_t)xdr_control_top_up_result, &result);
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_control_top_up_args, (char *)&args);
}

static inline void
ctl_fake_budget (struct ctl_fake *ctl, struct wire_call *call)
{
  char name[] = "ledger-a";
  struct control_budget_result result = { 0 };
  struct control_share share = { .ledger = name,
                                 .incarnation = 4,
                                 .granted_tokens = 600,
                                 .free_tokens = 100,
                                 .reserved_tokens = 50,
                                 .spent_tokens = 440,
                                 .written_off_tokens = 10 };
  char empty[] = "";
  result.answer.leader_address = empty;
  result.answer.text = empty;
  result.topped_up_tokens = ctl->topped_up_tokens;
  result.unallocated_tokens = ctl->topped_up_tokens - 600;
  result.shares.shares_val = &share;
  result.shares.shares_len = 1;
  wire_call_reply (call, (xdrproc_t)xdr_control_budget_result, &result);
}

static inline void
ctl_fake_status (struct ctl_fake *ctl, struct wire_call *call)
{
  char member[] = "control-1";
  char address[] = "127.0.0.1";
  char empty[] = "";
  char zones[][8] = { "cnx-a", "cnx-b" };
  char hosts[][16] = { "ledger-a", "router-b" };
  struct control_status_result result = { 0 };
  struct wire_process processes[2] = { 0 };
  uint64_t newest = ctl->accepted ? bundle_version (ctl->accepted) : 0;
  for (int i = 0; i < 2; i++)
    {
      processes[i].kind = i ? WIRE_PROCESS_ROUTER : WIRE_PROCESS_LEDGER;
      processes[i].host = hosts[i];
      processes[i].availability_zone = zones[i];
      processes[i].region = zones[i];
      processes[i].address = address;
      processes[i].rpc_port = 1;
      processes[i].http_port = 1;
    }
  processes[0].bundle_version = newest;
  processes[1].bundle_version = MIN (ctl->lagging_version, newest);
  result.answer.leader_address = empty;
  result.answer.text = empty;
  result.member = member;
  result.leader = true;
  result.term = 3;
  result.commit_index = 12;
  result.applied_index = 12;
  result.last_index = 12;
  result.bundle_version = newest;
  result.processes.processes_val = processes;
  result.processes.processes_len = 2;
  wire_call_reply (call, (xdrproc_t)xdr_control_status_result, &result);
}

static inline void
ctl_fake_drain (struct ctl_fake *ctl, struct wire_call *call)
{
  struct control_drain_args args = { 0 };
  struct control_answer answer = { 0 };
  g_assert_true (
      wire_call_args (call, (xdrproc_t)xdr_control_drain_args, &args));
  g_strlcpy (ctl->drained, args.drain ? args.target : "", sizeof ctl->drained);
  ctl_fake_answer_fill (&answer, CONTROL_OK, "");
  wire_call_reply (call, (xdrproc_t)xdr_control_answer, &answer);
  xdr_free ((xdrproc_t)xdr_control_answer, (char *)&answer);
  xdr_free ((xdrproc_t)xdr_control_drain_args, (char *)&args);
}

static inline void
ctl_fake_evacuation (struct ctl_fake *ctl, struct wire_call *call)
{
  struct control_evacuation_args args = { 0 };
  struct control_evacuation_result result = { 0 };
  g_assert_true (
      wire_call_args (call, (xdrproc_t)xdr_control_evacuation_args, &args));
  bool is_known = strcmp (args.availability_zone, "nowhere") != 0;
  if (is_known)
    g_strlcpy (ctl->evacuated, args.evacuate ? args.availability_zone : "",
               sizeof ctl->evacuated);
  ctl_fake_answer_fill (&result.answer,
                        is_known ? CONTROL_OK : CONTROL_NOT_FOUND,
                        is_known ? "" : "the availability zone is unknown");
  result.change = 4;
  wire_call_reply (call, (xdrproc_t)xdr_control_evacuation_result, &result);
  xdr_free ((xdrproc_t)xdr_control_evacuation_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_control_evacuation_args, (char *)&args);
}

static inline void
ctl_fake_evacuations (struct ctl_fake *ctl, struct wire_call *call)
{
  char empty[] = "";
  control_evacuation_status zone
      = { { ctl->evacuated, UINT64_C (1796589504989), 4 }, 2 };
  struct control_evacuation_list_result result = {
    { CONTROL_OK, empty, 0, empty }, 4, 3, { *ctl->evacuated ? 1 : 0, &zone }
  };
  wire_call_reply (call, (xdrproc_t)xdr_control_evacuation_list_result,
                   &result);
}

static inline void
ctl_fake_answer (struct control_fake *fake, struct wire_call *call)
{
  struct ctl_fake *ctl = fake->context;
  switch (wire_call_procedure (call))
    {
    case CONTROL_PUSH:
      ctl_fake_push (ctl, call);
      break;
    case CONTROL_BUNDLE:
      ctl_fake_bundle (ctl, call);
      break;
    case CONTROL_TOP_UP:
      ctl_fake_top_up (ctl, call);
      break;
    case CONTROL_BUDGET:
      ctl_fake_budget (ctl, call);
      break;
    case CONTROL_STATUS:
      ctl_fake_status (ctl, call);
      break;
    case CONTROL_DRAIN:
      ctl_fake_drain (ctl, call);
      break;
    case CONTROL_EVACUATION:
      ctl_fake_evacuation (ctl, call);
      break;
    case CONTROL_EVACUATION_LIST:
      ctl_fake_evacuations (ctl, call);
      break;
    default:
      wire_call_fail (call);
    }
}

/** Starts the fake; the second process reports @p lagging_version at most. */
static inline void
ctl_fake_start (struct ctl_fake *ctl, uint64_t lagging_version)
{
  memset (ctl, 0, sizeof *ctl);
  ctl->lagging_version = lagging_version;
  ctl->top_ups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  control_fake_start (&ctl->fake, ctl_fake_answer, ctl);
}

/** Stops the fake. */
static inline void
ctl_fake_stop (struct ctl_fake *ctl)
{
  control_fake_stop (&ctl->fake);
  bundle_unref (ctl->accepted);
  g_hash_table_unref (ctl->top_ups);
}

#endif
