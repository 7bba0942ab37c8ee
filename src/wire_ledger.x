/* Protocol of the ledgers.  Routers send batches of reservations, extensions,
   settlements and releases; ledgers reconcile their bills with each other. */
%#include "wire_common.h"

const LEDGER_BATCH_MAX = 1024;
const LEDGER_ANSWER_BYTES = 256;

enum ledger_op_kind
{
  LEDGER_RESERVE = 1,
  LEDGER_EXTEND = 2,
  LEDGER_SETTLE = 3,
  LEDGER_RELEASE = 4
};

enum ledger_status
{
  LEDGER_OK = 0,
  /* Too few free tokens: tokens is the number that is free, retry_after_ms the
     time after which there may be more. */
  LEDGER_NO_BUDGET = 1,
  /* The key was settled before: tokens is the number billed then. */
  LEDGER_DUPLICATE_DONE = 2,
  /* The key has an open reservation of another attempt. */
  LEDGER_DUPLICATE_OPEN = 3,
  /* The key was used with another body. */
  LEDGER_KEY_CONFLICT = 4,
  /* The reservation is unknown, or was written off when its session
     expired. */
  LEDGER_UNKNOWN_RESERVATION = 5,
  /* The session expired or was never opened: open one with a new
     incarnation. */
  LEDGER_SESSION_LAPSED = 6,
  /* The ledger is starting, stopping, fenced or out of disk space. */
  LEDGER_UNAVAILABLE = 7,
  LEDGER_BAD_REQUEST = 8
};

/* reservation_id is unique within the router's incarnation, which makes a
   resent batch idempotent.  key identifies the request within the client
   account of its budget; body_digest distinguishes a retry from another
   request under the same key. */
struct ledger_reserve
{
  unsigned hyper reservation_id;
  unsigned hyper account_id;
  unsigned hyper budget_id;
  wire_digest key;
  wire_digest body_digest;
  unsigned hyper tokens;
  bool key_from_caller;
};

/* Authorises delivery up to watermark_tokens; sent before the caller receives
   them. */
struct ledger_extend
{
  unsigned hyper reservation_id;
  unsigned hyper watermark_tokens;
};

/* Bills used_tokens, at most the reserved tokens, and frees the remainder. */
struct ledger_settle
{
  unsigned hyper reservation_id;
  unsigned hyper used_tokens;
};

/* Ends a reservation whose request was not run: bills nothing and frees its
   key. */
struct ledger_release
{
  unsigned hyper reservation_id;
};

union ledger_op switch (ledger_op_kind kind)
{
case LEDGER_RESERVE:
  ledger_reserve reserve;
case LEDGER_EXTEND:
  ledger_extend extend;
case LEDGER_SETTLE:
  ledger_settle settle;
case LEDGER_RELEASE:
  ledger_release release;
};

struct ledger_op_result
{
  ledger_status status;
  unsigned hyper tokens;
  unsigned int retry_after_ms;
};

/* An empty batch is a heartbeat. */
struct ledger_batch_args
{
  wire_name cluster;
  wire_name router;
  unsigned hyper incarnation;
  ledger_op ops<LEDGER_BATCH_MAX>;
};

/* results holds one entry for each op, in order; it is empty unless status is
   LEDGER_OK. */
struct ledger_batch_result
{
  ledger_status status;
  unsigned hyper ledger_incarnation;
  unsigned int lease_ms;
  ledger_op_result results<LEDGER_BATCH_MAX>;
};

/* One line of the statement of bills. */
struct ledger_bill
{
  unsigned hyper account_id;
  unsigned hyper budget_id;
  wire_digest key;
  unsigned hyper settled_at_ms;
  unsigned hyper tokens;
  bool written_off;
  /* The line cancels an earlier bill, since another ledger billed the request
     too. */
  bool cancels;
};

struct ledger_bills_args
{
  unsigned hyper account_id;   /* 0 means all accounts */
  unsigned hyper from_ms;
  unsigned hyper to_ms;
  unsigned hyper after_index;  /* 0 means from the start */
};

struct ledger_bills_result
{
  ledger_bill bills<LEDGER_BATCH_MAX>;
  unsigned hyper next_index;   /* 0 means no more bills */
};

struct ledger_budget_args
{
  unsigned hyper budget_id;
};

struct ledger_budget_result
{
  ledger_status status;
  unsigned hyper free_tokens;
  unsigned hyper reserved_tokens;
  unsigned hyper spent_tokens;
  unsigned hyper written_off_tokens;
  unsigned hyper granted_tokens;
  unsigned hyper returned_tokens;
};

/* Ledgers send each other the callers' keys that they billed.  A key that two
   of them billed, for example during a network partition, keeps one bill. */
struct ledger_settled
{
  unsigned hyper account_id;
  wire_digest key;
  unsigned hyper body_hash;
  unsigned hyper tokens;
  unsigned hyper settled_at_ms;
};

struct ledger_reconcile_args
{
  wire_name cluster;
  wire_name ledger;
  ledger_settled settled<LEDGER_BATCH_MAX>;
};

/* With cancel set, the bill of the called ledger stands, with its tokens, and
   the calling ledger cancels its own. */
struct ledger_verdict
{
  bool cancel;
  unsigned hyper tokens;
};

/* verdicts holds one entry for each key, in order; it is empty unless status
   is LEDGER_OK. */
struct ledger_reconcile_result
{
  ledger_status status;
  ledger_verdict verdicts<LEDGER_BATCH_MAX>;
};

program LEDGER_PROGRAM
{
  version LEDGER_VERSION
  {
    ledger_batch_result LEDGER_BATCH (ledger_batch_args) = 1;
    ledger_bills_result LEDGER_BILLS (ledger_bills_args) = 2;
    ledger_budget_result LEDGER_BUDGET (ledger_budget_args) = 3;
    ledger_reconcile_result LEDGER_RECONCILE (ledger_reconcile_args) = 4;
  } = 1;
} = 0x20CAC701;
