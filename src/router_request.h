#ifndef ROUTER_REQUEST_H
#define ROUTER_REQUEST_H

/** @file
 *  State of one request, from its arrival to its settlement. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <ck_stack.h>
#include <glib.h>

#include "admission.h"
#include "bundle.h"
#include "ledger_client.h"
#include "registry.h"
#include "router_attempt.h"
#include "router_body.h"
#include "router_claims.h"
#include "router_metrics.h"
#include "router_stream.h"

/** Maximum number of failed targets that one request avoids. */
#define ROUTER_AVOIDED_TARGETS_MAX 8
/** Size of a request id with its terminator, in bytes. */
#define ROUTER_REQUEST_ID_BYTES 33

struct router;
struct router_worker;
struct router_request;

/** Events of a request; bits of one mask. */
enum router_event
{
  /** The head and body were read. */
  ROUTER_EVENT_START = 1,
  /** The ledger answered an operation. */
  ROUTER_EVENT_LEDGER = 2,
  /** Control answered the claim. */
  ROUTER_EVENT_CLAIM = 4,
  /** The queue chose a target. */
  ROUTER_EVENT_TARGET_CHOSEN = 8,
  /** The request waited in the queue longer than its limit. */
  ROUTER_EVENT_EXPIRED = 16,
  /** There is no target that the request could wait for. */
  ROUTER_EVENT_NO_TARGET = 32,
  /** The caller's buffer has space again. */
  ROUTER_EVENT_WRITABLE = 64,
  /** The caller's connection ended before the whole response was sent. */
  ROUTER_EVENT_CALLER_LEFT = 128,
  /** Control recorded the outcome of the claimed call. */
  ROUTER_EVENT_OUTCOME = 256
};

/** Steps of a request. */
enum router_step
{
  ROUTER_STEP_NEW,
  ROUTER_STEP_RESERVING,
  ROUTER_STEP_CLAIMING,
  ROUTER_STEP_QUEUED,
  ROUTER_STEP_SENDING,
  /** Waits until control has recorded the outcome of a claimed call, and with
   *  a complete response for the settlement, before sending the response. */
  ROUTER_STEP_SETTLING,
  /** The caller has its final response, or has disconnected. */
  ROUTER_STEP_ANSWERED
};

/** An operation at the ledger. */
struct router_ledger_op
{
  struct ledger_request ledger;
  struct router_request *request;
  /** The operation was submitted, and the worker has not handled its answer
   *  yet. */
  bool open;
  atomic_bool answered;
  uint64_t submitted_us;
};

/** The target chosen for a request. */
struct router_choice
{
  struct registry_load *load;
  char target[CACTUS_NAME_BYTES + 1];
  char address[16];
  uint16_t port;
};

/** The request as the caller sent it; constant once posted to the worker. */
struct router_head
{
  char *method;
  /** Path and query as sent. */
  char *uri;
  char *path;
  char *content_type;
  char *bearer;
  char *key;
  char *budget;
  char *class_name;
  GString *body;
  uint64_t arrived_us;
};

/** Progress of the response to the caller. */
struct router_relay
{
  /** Events that the ledger has not authorised yet, and the tokens in them. */
  GString *held;
  uint64_t held_tokens;
  /** Tokens delivered to the caller. */
  uint64_t delivered_tokens;
  /** Number of tokens that the ledger has authorised, and number of tokens
   *  requested. */
  uint64_t granted_tokens;
  uint64_t requested_tokens;
  /** Tokens used as reported by the target; 0 before the report. */
  uint64_t usage_tokens;
  bool started;
  bool finished;
  /** The caller's buffer is full. */
  bool buffer_full;
};

/** A request.  Members after head belong to its worker's thread alone, except
 *  for those of the queue while the request waits there. */
struct router_request
{
  struct router_attempt_callbacks attempt_callbacks;
  struct router *router;
  struct router_worker *worker;
  _Atomic uint32_t references;
  _Atomic uint32_t events;
  ck_stack_entry_t inbox_link;
  struct router_stream stream;
  struct router_head head;

  GList link;
  enum router_step step;
  bool caller_left;
  /** Whether the worker's list holds the request, and a reference to it. */
  bool registered;
  struct bundle *bundle;
  const struct bundle_account *account;
  const struct bundle_service *service;
  const struct bundle_rule *rule;
  const struct bundle_class *request_class;
  const struct router_series *account_series;
  const struct router_series *class_series;
  struct router_body body;
  /** Body sent to a model target. */
  char *target_body;
  size_t target_body_bytes;
  char request_id[ROUTER_REQUEST_ID_BYTES];
  /** The caller's idempotency key, else the request id. */
  char key[2 * CACTUS_NAME_BYTES];
  uint8_t key_digest[CACTUS_DIGEST_BYTES];
  uint8_t body_digest[CACTUS_DIGEST_BYTES];
  bool idempotent;
  /** An attempt was sent whose outcome is unknown. */
  bool maybe_ran;
  /** Earlier billed runs of the key, and the tokens billed for them. */
  uint32_t reruns;
  uint64_t rerun_billed_tokens;
  /** Maximum number of output tokens that the target may generate. */
  uint32_t max_tokens;
  uint64_t reserved_tokens;
  uint64_t billed_tokens;
  /** Monotonic times, in milliseconds: deadline of the request (0 means none
   *  yet), last check of the caller's connection, and start of the
   *  settlement. */
  uint64_t deadline_ms;
  uint64_t checked_ms;
  uint64_t settling_ms;
  struct router_ledger_op reserve;
  struct router_ledger_op extend;
  struct router_ledger_op settle;
  /** A reservation is held, which must be settled or released. */
  bool holds_tokens;
  struct router_claim claim;
  bool holds_claim;
  /** Control has not recorded yet how the claimed call ended. */
  bool outcome_open;
  /** Refusal or failure that was not sent yet, or NULL. */
  struct MHD_Response *refusal;
  unsigned int refusal_status;

  struct admission_entry entry;
  uint64_t queued_us;
  struct router_choice choice;
  /** Targets that failed the request. */
  char avoid[ROUTER_AVOIDED_TARGETS_MAX][CACTUS_NAME_BYTES + 1];
  uint32_t avoid_count;
  uint32_t attempts;
  /** Monotonic time at which the last attempt was sent, in milliseconds. */
  uint64_t sent_ms;
  struct router_attempt *attempt;
  struct router_relay relay;
};

/** Creates a request for a connection; the caller owns one reference. */
struct router_request *
router_request_create (struct router *router,
                       struct MHD_Connection *connection,
                       const char *http_version);
/** Adds a reference. */
struct router_request *router_request_ref (struct router_request *request);
/** Drops a reference; the last one frees the request. */
void router_request_unref (struct router_request *request);
/** Posts an event to the request's worker; safe from any thread. */
void router_request_post (struct router_request *request,
                          enum router_event event);
/** Time since the request arrived, in microseconds. */
uint64_t router_request_age_us (const struct router_request *request);

#endif
