/* Protocol of control, used by routers, ledgers and operators.  Calls are
   answered by the leader, except for CONTROL_STATUS, CONTROL_WATCH,
   CONTROL_FETCH, CONTROL_STREAMS and CONTROL_EVACUATION_LIST; another member
   answers CONTROL_NOT_LEADER, with the leader's address if it knows it. */
%#include "wire_common.h"

const CONTROL_DOCUMENT_BYTES = 8388608;
const CONTROL_PIECE_BYTES = 131072;
const CONTROL_ANSWER_BYTES = 65536;
const CONTROL_TEXT_BYTES = 65536;
const CONTROL_BATCH_MAX = 4096;
const CONTROL_SIGNATURE_BYTES = 64;
const CONTROL_BUNDLE_DIGEST_BYTES = 32;
const CONTROL_MEMBERS_MAX = 16;

enum control_status
{
  CONTROL_OK = 0,
  CONTROL_NOT_LEADER = 1,
  /* No quorum answers: the call was not applied, or may be applied later; send
     it again with the same id. */
  CONTROL_UNAVAILABLE = 2,
  CONTROL_WRONG_CLUSTER = 3,
  /* The caller's incarnation was superseded or fenced. */
  CONTROL_FENCED = 4,
  /* Refused for the reason in text. */
  CONTROL_REFUSED = 5,
  /* The same id or version was used with other content. */
  CONTROL_CONFLICT = 6,
  CONTROL_NOT_FOUND = 7
};

struct control_answer
{
  control_status status;
  wire_name leader_address;
  unsigned int leader_port;
  string text<CONTROL_TEXT_BYTES>;
};

/* Heartbeat of a session; returns changes of the bundle and the live peers.
   document is a bundle_delta (JSON) from bundle_version to new_version, or the
   whole bundle when full is true.  A whole bundle comes in pieces: document is
   the piece at document_offset of document_bytes (0 means that it is
   complete), and the next call requests the piece at piece_offset of
   piece_version.  peers and drained (the drained targets) are sent only when
   their digest differs from the caller's; drained_digest is 0 when no target
   is drained. */
struct control_sync_args
{
  wire_name cluster;
  wire_process process;
  unsigned hyper peers_digest;
  unsigned hyper drained_digest;
  unsigned hyper piece_version;
  unsigned int piece_offset;
};

struct control_sync_result
{
  control_answer answer;
  unsigned int lease_ms;
  unsigned hyper new_version;
  bool full;
  unsigned int document_bytes;
  unsigned int document_offset;
  opaque document<CONTROL_DOCUMENT_BYTES>;
  unsigned hyper peers_digest;
  wire_process peers<WIRE_PEERS_MAX>;
  unsigned hyper drained_digest;
  wire_name drained<WIRE_PEERS_MAX>;
};

/* Proposes a bundle.  It is accepted only if its version is that of the
   accepted bundle plus one, and it is signed by an operator whom the accepted
   bundle names, or by the root key for version 1. */
struct control_push_args
{
  wire_name cluster;
  unsigned hyper bundle_version;
  wire_name signer;
  opaque signature[CONTROL_SIGNATURE_BYTES];
  opaque document<CONTROL_DOCUMENT_BYTES>;
};

struct control_push_result
{
  control_answer answer;
  unsigned hyper accepted_version;
  opaque accepted_digest[CONTROL_BUNDLE_DIGEST_BYTES];
  wire_name accepted_signer;
};

struct control_bundle_args
{
  wire_name cluster;
  unsigned hyper bundle_version;      /* 0 means the newest version */
};

struct control_bundle_result
{
  control_answer answer;
  unsigned hyper bundle_version;
  wire_name signer;
  opaque digest[CONTROL_BUNDLE_DIGEST_BYTES];
  opaque document<CONTROL_DOCUMENT_BYTES>;
};

/* Tops up a budget.  Idempotent: a repeated top_up_id gets the same answer and
   credits nothing. */
struct control_top_up_args
{
  wire_name cluster;
  wire_name top_up_id;
  wire_name operator_name;
  wire_name account;
  wire_name budget;
  unsigned hyper tokens;
};

struct control_top_up_result
{
  control_answer answer;
  unsigned hyper topped_up_tokens;   /* total of the budget */
  unsigned hyper unallocated_tokens;
};

/* A transfer of tokens between control and a ledger.  Grants of control are
   numbered for each ledger and resent until grant_ack_sequence reaches them;
   returns are numbered by the ledger and resent until return_ack_sequence
   reaches them. */
struct control_transfer
{
  unsigned hyper sequence;
  unsigned hyper budget_id;
  unsigned hyper tokens;
};

/* Tokens of a budget that a ledger wants and holds; sent for budgets that
   changed. */
struct control_demand
{
  unsigned hyper budget_id;
  unsigned hyper want_tokens;
  unsigned hyper free_tokens;
  unsigned hyper reserved_tokens;
  unsigned hyper spent_tokens;
  unsigned hyper written_off_tokens;
  unsigned hyper spend_rate_tokens;  /* tokens a minute */
};

struct control_recall
{
  unsigned hyper budget_id;
  unsigned hyper tokens;
};

struct control_ledger_args
{
  wire_name cluster;
  wire_name ledger;
  unsigned hyper incarnation;
  unsigned hyper grant_ack_sequence;
  control_transfer returns<CONTROL_BATCH_MAX>;
  control_demand demands<CONTROL_BATCH_MAX>;
};

struct control_ledger_result
{
  control_answer answer;
  unsigned hyper return_ack_sequence;
  control_transfer grants<CONTROL_BATCH_MAX>;
  control_recall recalls<CONTROL_BATCH_MAX>;
};

/* Claim of a non-idempotent request.  A router claims its key before it
   dispatches the request, so that the request runs at most once. */
enum control_claim_state
{
  CONTROL_CLAIM_GRANTED = 1,   /* the router may dispatch the request */
  CONTROL_CLAIM_RUNNING = 2,   /* another attempt holds the claim */
  CONTROL_CLAIM_DONE = 3,      /* body holds the final answer */
  CONTROL_CLAIM_UNKNOWN = 4    /* the outcome is unknown: never run again */
};

struct control_claim_args
{
  wire_name cluster;
  wire_name router;
  unsigned hyper router_incarnation;
  unsigned hyper claim_id;     /* unique within the incarnation */
  unsigned hyper account_id;
  wire_digest key;
  wire_digest body_digest;
};

struct control_claim_result
{
  control_answer answer;
  control_claim_state state;
  unsigned int http_status;
  unsigned hyper billed_tokens;
  opaque body<CONTROL_ANSWER_BYTES>;
};

/* Ends a claim.  not_run frees it: the request was certainly not sent.  known
   false makes its outcome unknown permanently. */
struct control_finish_args
{
  wire_name cluster;
  wire_name router;
  unsigned hyper router_incarnation;
  unsigned hyper claim_id;     /* 0 means any claim that holds the key */
  unsigned hyper account_id;
  wire_digest key;
  bool not_run;
  bool known;
  unsigned int http_status;
  unsigned hyper billed_tokens;
  opaque body<CONTROL_ANSWER_BYTES>;
};

struct control_budget_args
{
  wire_name cluster;
  wire_name account;
  wire_name budget;
};

struct control_share
{
  wire_name ledger;
  unsigned hyper incarnation;
  unsigned hyper granted_tokens;
  unsigned hyper returned_tokens;
  unsigned hyper free_tokens;
  unsigned hyper reserved_tokens;
  unsigned hyper spent_tokens;
  unsigned hyper written_off_tokens;
  unsigned hyper reported_at_ms;
};

struct control_budget_result
{
  control_answer answer;
  unsigned hyper budget_id;
  unsigned hyper topped_up_tokens;
  unsigned hyper unallocated_tokens;
  control_share shares<WIRE_PEERS_MAX>;
};

/* Drains a target: it gets no new requests until it is undrained. */
struct control_drain_args
{
  wire_name cluster;
  wire_name target;
  bool drain;
};

struct control_member
{
  wire_name name;
  wire_name address;
  unsigned int port;
  bool voter;
  unsigned hyper match_index;
  unsigned hyper incarnation;   /* 0 means unknown */
};

struct control_status_args
{
  wire_name cluster;
};

struct control_status_result
{
  control_answer answer;
  wire_name member;
  bool leader;
  unsigned hyper term;
  unsigned hyper commit_index;
  unsigned hyper applied_index;
  unsigned hyper last_index;
  unsigned hyper bundle_version;
  control_member members<CONTROL_MEMBERS_MAX>;
  wire_process processes<WIRE_PEERS_MAX>;
};

/* Adds a member as a learner, promotes it when it has caught up, or removes
   it; one change at a time. */
enum control_member_change
{
  CONTROL_MEMBER_ADD = 1,
  CONTROL_MEMBER_PROMOTE = 2,
  CONTROL_MEMBER_REMOVE = 3
};

struct control_member_args
{
  wire_name cluster;
  control_member_change change;
  control_member member;
};

/* Stores a configuration document unchanged.  Only a version higher than the
   stored one has an effect.  totals are the accounts' prepaid tokens from the
   budgets of the document.  The document may be compressed by base_deflate, so
   that the log carries less. */
const CONTROL_BUDGETS_MAX = 300000;

struct control_prepaid_total
{
  wire_name account;
  unsigned hyper tokens;
};

struct control_document_args
{
  wire_name cluster;
  unsigned hyper document_version;
  control_prepaid_total totals<CONTROL_BUDGETS_MAX>;
  opaque document<CONTROL_DOCUMENT_BYTES>;
};

struct control_document_result
{
  control_answer answer;
  unsigned hyper held_version;
};

struct control_read_args
{
  wire_name cluster;
};

/* Version of the newest document, confirmed by a quorum. */
struct control_read_result
{
  control_answer answer;
  unsigned hyper document_version;
};

/* Leases of prepaid tokens to a router.  Idempotent: a repeated sequence
   number gets the same answer, and one below the last is refused.  Each call
   reports the tokens that the router has used.  From its answer until the next
   one the router uses no more than escrow_allowance permits, so when it
   restarts, the remainder of its earlier leases is known to be unused. */
struct control_lease_ask
{
  wire_name account;
  unsigned hyper want_tokens;
  unsigned hyper need_tokens;     /* smallest useful grant; 0 means no
                                     minimum */
  unsigned hyper returned_tokens;
  unsigned hyper demand_tokens;   /* tokens requested since the last call */
  unsigned hyper used_tokens;     /* tokens reserved or spent since the
                                     router's start */
  unsigned hyper tokens_per_s;    /* recent demand */
  unsigned hyper spent_tokens;    /* part of used_tokens: of ended requests */
  unsigned hyper ahead_tokens;    /* tokens that the router may use before its
                                     next report, once this one is answered */
};

/* A prompt part under which a target's process ended while it began the
   response. */
struct control_part_crash
{
  wire_name target;
  wire_name account;              /* empty: none */
  unsigned hyper part;
  unsigned hyper lost_ms;         /* wall time of the router */
};

struct control_part_reports
{
  control_part_crash crashes<CONTROL_BATCH_MAX>;
  unsigned hyper sound<CONTROL_BATCH_MAX>; /* parts on which a response was
                                              completed */
};

struct control_lease_args
{
  wire_name cluster;
  wire_name router;
  unsigned hyper router_incarnation; /* increases with each restart */
  unsigned hyper sequence;
  unsigned hyper sent_ms;         /* wall time of the router */
  unsigned hyper uptime_ms;       /* since the router started */
  control_lease_ask asks<CONTROL_BATCH_MAX>;
  control_part_reports reports;
};

struct control_lease_line
{
  wire_name account;
  unsigned hyper granted_tokens;
  unsigned hyper total_tokens;   /* prepaid tokens; 0 when known is false */
  unsigned hyper left_tokens;    /* tokens not leased to any router */
  unsigned hyper demand_tokens;  /* total demand of all routers */
  unsigned hyper tokens_per_s;   /* recent demand of all routers */
  bool known;
  unsigned hyper unspent_tokens; /* unused tokens, as reported by the
                                    routers */
  unsigned hyper recalled_tokens;/* tokens to return, since another router
                                    lacks them */
  unsigned hyper recall_id;      /* a router follows each recall once */
  bool notice;                   /* the line answers no ask but announces a
                                    recall */
};

struct control_lease_result
{
  control_answer answer;
  unsigned hyper router_incarnation; /* highest incarnation that has called */
  unsigned hyper sequence;
  control_lease_line lines<CONTROL_BATCH_MAX>;
};

/* What a target says in the head of a response about the requests that it
   takes from all hosts together. */
const CONTROL_LIMITS_MAX = 1024;
const CONTROL_PRIORITIES = 10;

struct control_limit_report
{
  wire_name target;
  unsigned hyper born_ms;         /* incarnation of the target */
  bool limited;
  unsigned hyper rate_mrps;       /* requests per 1,000 s */
  unsigned hyper sent_ms;         /* wall time of the router at which it sent
                                     the request */
  unsigned hyper seen_ms;         /* and at which the response's head came */
};

/* What became of a router's permits since its last call. */
struct control_permit_use
{
  wire_name target;
  unsigned hyper born_ms;
  unsigned int used;
  unsigned int returned;          /* expired unused */
};

struct control_permit_want
{
  unsigned int priority;          /* 0 is the most urgent */
  unsigned int waiting;           /* requests that wait for a permit */
  unsigned int expected;          /* requests that will come soon */
};

/* Permits that a router wants for the requests of one service.  Those that
   wait may be sent to any of the targets, the expected ones to the first
   near_targets of them. */
struct control_permit_ask
{
  wire_name targets<CONTROL_LIMITS_MAX>;
  unsigned int near_targets;
  bool others;                    /* other targets take any number */
  control_permit_want wants<CONTROL_PRIORITIES>;
};

struct control_limit_call
{
  control_limit_report reports<CONTROL_LIMITS_MAX>;
  control_permit_use uses<CONTROL_LIMITS_MAX>;
  control_permit_ask asks<CONTROL_LIMITS_MAX>;
};

/* Permits to send requests of this priority, or more urgent ones, to a target.
   They expire CONTROL_PERMIT_MS after the router made the call. */
const CONTROL_PERMIT_MS = 1000;

struct control_permit_grant
{
  wire_name target;
  unsigned hyper born_ms;
  unsigned int priority;
  unsigned int permits;
};

/* A request under which a target's process ended before the response, or while
   it began.  It is known by a digest of account, path and body. */
struct control_request_crash
{
  wire_name target;
  wire_name account;              /* empty: none */
  unsigned hyper digest;
  unsigned hyper sent_ms;         /* wall times of the router */
  unsigned hyper lost_ms;
};

struct control_request_reports
{
  control_request_crash crashes<CONTROL_BATCH_MAX>;
  unsigned hyper sound<CONTROL_BATCH_MAX>;  /* requests with a complete
                                               response */
  unsigned hyper trials<CONTROL_BATCH_MAX>; /* requests whose block is over,
                                               which this router wants to try
                                               once */
};

/* A router's regular call: its leases, its part in the limits of targets, and
   requests that crash targets. */
struct control_router_args
{
  control_lease_args lease;
  control_limit_call limits;
  control_request_reports requests;
};

struct control_router_result
{
  control_lease_result lease;
  control_permit_grant grants<CONTROL_LIMITS_MAX>;
  unsigned hyper trials<CONTROL_BATCH_MAX>; /* requests that this router, and no
                                               other, may try */
};

/* A target that takes a limited number of requests. */
struct control_limit
{
  wire_name target;
  unsigned hyper born_ms;
  unsigned hyper rate_mrps;
};

struct control_limit_list
{
  unsigned hyper list_version;    /* 0: the router's list is up to date */
  control_limit limits<CONTROL_LIMITS_MAX>;
};

/* A target as it announced itself to a control member. */
const CONTROL_TARGETS_MAX = 16384;

enum control_target_state
{
  CONTROL_TARGET_READY = 1,
  CONTROL_TARGET_LEAVING = 2,
  CONTROL_TARGET_GONE = 3
};

struct control_target
{
  wire_name name;
  unsigned hyper born_ms;         /* start time; increases with each restart */
  unsigned hyper sequence;        /* increases with each announcement */
  wire_name service;
  wire_name address;
  unsigned int port;
  wire_name availability_zone;
  unsigned int slots;
  unsigned int cold_left_ms;      /* of a target that is gone: time for which
                                     the member keeps the record */
  control_target_state state;
  bool silent;                    /* announcements stopped arriving */
  wire_name software_version;     /* empty: not announced */
};

/* The targets that a member reports, in its data folder; a member that starts
   knows by them which targets there were and which have left.  Builds that
   don't read the file ignore it. */
struct control_target_entry
{
  control_target target;
  unsigned hyper left_ms;         /* time until the member forgets it */
};

struct control_targets_file
{
  unsigned hyper wall_ms;         /* wall time at which it was written */
  control_target_entry entries<CONTROL_TARGETS_MAX>;
};

/* A part of a prompt, or a whole request, that is suspected to crash targets,
   or blocked. */
struct control_suspect
{
  bool is_request;
  unsigned hyper part;            /* or the digest of the request */
  wire_name account;              /* the account that it is blocked for */
  bool for_all;                   /* the line is about all accounts */
  unsigned hyper left_ms;         /* for which it stays blocked */
  bool needs_trial;               /* after that a router must ask before it
                                     sends the request */
};

struct control_suspects
{
  unsigned hyper list_version;    /* 0: the router's list is up to date */
  control_suspect parts<CONTROL_BATCH_MAX>;
};

/* A router, to which other routers may pass connections to targets that they
   can't reach themselves. */
const CONTROL_ROUTERS_MAX = 4096;

struct control_router_record
{
  wire_name name;
  wire_name address;
  unsigned int relay_port;        /* 0: it takes no connections of others */
  wire_name availability_zone;
  bool is_cut_off;                /* it can't reach most targets itself */
  unsigned int demand;            /* weight of its demand for brittle targets */
  bool gone;                      /* it has stopped calling */
};

/* Long poll: any member answers as soon as it has newer data than the router,
   at the latest after wait_ms.  epoch is drawn at each start of the member;
   change counts the changes of its targets since then.  document_version is
   the newest document that the caller knows this member to hold.  A member that
   watches another one has an empty self.name, and its address as router; it
   counts as no router. */
struct control_watch_args
{
  wire_name cluster;
  wire_name router;
  unsigned hyper epoch;
  unsigned hyper change;
  unsigned hyper document_version;
  unsigned int wait_ms;
  unsigned hyper suspects_version; /* of the router's list of suspects */
  unsigned hyper limits_version;  /* of the router's list of limits */
  control_router_record self;
  unsigned hyper routers_change;  /* up to which the router knows the others;
                                     counts within the epoch */
};

struct control_watch_result
{
  control_answer answer;
  wire_name availability_zone;    /* of the member */
  unsigned hyper epoch;
  unsigned hyper change;
  unsigned hyper document_version;
  control_target targets<CONTROL_TARGETS_MAX>;
  unsigned int routers;           /* number of routers that recently called
                                     this member */
  control_member members<CONTROL_MEMBERS_MAX>;
  control_suspects suspects;
  control_limit_list limits;
  unsigned hyper routers_change;
  control_router_record changed_routers<CONTROL_ROUTERS_MAX>;
};

/* Fetches a transfer: the control_difference from one document (version 0: the
   empty one) to a newer one, in pieces.  Any member answers from its own
   documents.  The first call names the version that the caller holds, and
   to_version 0; it gets the transfer to the newest document, or to_version 0
   when there is nothing newer.  Later calls name the transfer, also at another
   member, and get it to its end even if there is a newer document by then.
   CONTROL_NOT_FOUND: this member can't make the transfer; begin again. */
const CONTROL_FETCH_PIECE_BYTES = 32768;

struct control_fetch_args
{
  wire_name cluster;
  unsigned hyper from_version;
  unsigned hyper to_version;
  unsigned hyper digest;
  unsigned int offset;
};

struct control_fetch_result
{
  control_answer answer;
  unsigned hyper from_version;    /* 0: of the whole document */
  unsigned hyper to_version;
  unsigned hyper digest;          /* of the whole transfer */
  unsigned int transfer_bytes;
  opaque piece<CONTROL_FETCH_PIECE_BYTES>;
};

/* Orders that no new request is sent to the targets of an availability zone,
   or withdraws that.  after_change is the newest change of evacuations that
   the caller knew when the order came to it: where a counterpart was accepted
   since, the order gets CONTROL_CONFLICT, so that a copy that was held up
   undoes nothing that was accepted meanwhile. */
const CONTROL_EVACUATIONS_MAX = 256;

struct control_evacuation_args
{
  wire_name cluster;
  wire_name availability_zone;
  bool evacuate;
  unsigned hyper after_change;
};

struct control_evacuation_result
{
  control_answer answer;
  unsigned hyper change;          /* the newest one, of any zone */
};

struct control_evacuation
{
  wire_name availability_zone;
  unsigned hyper since_ms;        /* wall time of the order */
  unsigned hyper change;
};

/* Follows the arguments of CONTROL_WATCH, from routers since these exist;
   members without them ignore it. */
struct control_evacuations_known
{
  unsigned hyper from_member;     /* newest change that the member told */
  unsigned hyper in_force;        /* and the newest in force at the router */
};

/* Follows the result of CONTROL_WATCH where the arguments had
   control_evacuations_known. */
struct control_evacuations
{
  bool is_current;                /* the member has applied all that was
                                     accepted, as far as it can know */
  unsigned hyper list_version;    /* the newest change; 0: nothing newer than
                                     what the router knows */
  control_evacuation zones<CONTROL_EVACUATIONS_MAX>;
};

/* Which zones are evacuated, as any member has it, and how many of the routers
   that lately called it have that in force. */
struct control_evacuation_list_args
{
  wire_name cluster;
};

struct control_evacuation_status
{
  control_evacuation evacuation;
  unsigned int routers_in_force;
};

struct control_evacuation_list_result
{
  control_answer answer;
  unsigned hyper change;
  unsigned int routers;
  control_evacuation_status zones<CONTROL_EVACUATIONS_MAX>;
};

/* The difference between two configuration documents: for each edit, insert
   is appended to the result, then copy_bytes at copy_offset of the older
   document. */
const CONTROL_EDITS_MAX = 262144;

struct control_edit
{
  opaque insert<CONTROL_DOCUMENT_BYTES>;
  unsigned int copy_offset;
  unsigned int copy_bytes;
};

struct control_difference
{
  unsigned hyper from_digest;
  unsigned hyper to_digest;
  control_edit edits<CONTROL_EDITS_MAX>;
};

/* A command in the replicated log.  wall_ms is the wall time of the member
   that proposed it. */
enum control_command_kind
{
  CONTROL_COMMAND_PUSH = 1,
  CONTROL_COMMAND_TOP_UP = 2,
  CONTROL_COMMAND_LEDGER = 3,
  CONTROL_COMMAND_CLAIM = 4,
  CONTROL_COMMAND_FINISH = 5,
  CONTROL_COMMAND_DRAIN = 6,
  CONTROL_COMMAND_REGISTER = 7,
  CONTROL_COMMAND_LAPSE = 8,
  CONTROL_COMMAND_DOCUMENT = 9,
  /* Written by builds of the protocol's versions 2 and 3. */
  CONTROL_COMMAND_LEASE_2 = 10,
  CONTROL_COMMAND_LEASE_3 = 11,
  CONTROL_COMMAND_ROUTER = 12,
  /* Builds without it skip the entry: their state doesn't change. */
  CONTROL_COMMAND_EVACUATION = 13
};

struct control_lease_ask_2
{
  wire_name account;
  unsigned hyper want_tokens;
  unsigned hyper need_tokens;
  unsigned hyper returned_tokens;
  unsigned hyper demand_tokens;
  unsigned hyper used_tokens;
  unsigned hyper tokens_per_s;
};

struct control_lease_args_2
{
  wire_name cluster;
  wire_name router;
  unsigned hyper router_incarnation;
  unsigned hyper sequence;
  unsigned hyper sent_ms;
  unsigned hyper uptime_ms;
  control_lease_ask_2 asks<CONTROL_BATCH_MAX>;
};

union control_command_body switch (control_command_kind kind)
{
case CONTROL_COMMAND_PUSH:
  control_push_args push;
case CONTROL_COMMAND_TOP_UP:
  control_top_up_args top_up;
case CONTROL_COMMAND_LEDGER:
  control_ledger_args ledger;
case CONTROL_COMMAND_CLAIM:
  control_claim_args claim;
case CONTROL_COMMAND_FINISH:
  control_finish_args finish;
case CONTROL_COMMAND_DRAIN:
  control_drain_args drain;
case CONTROL_COMMAND_REGISTER:
case CONTROL_COMMAND_LAPSE:
  wire_process process;
case CONTROL_COMMAND_DOCUMENT:
  control_document_args document;
case CONTROL_COMMAND_LEASE_2:
  control_lease_args_2 lease_2;
case CONTROL_COMMAND_LEASE_3:
  control_lease_args lease_3;
case CONTROL_COMMAND_ROUTER:
  control_router_args router;
case CONTROL_COMMAND_EVACUATION:
  control_evacuation_args evacuation;
};

struct control_command
{
  unsigned hyper wall_ms;
  control_command_body body;
};

/* The applied state, as stored in a snapshot. */
struct control_bundle_record
{
  unsigned hyper bundle_version;
  opaque digest[CONTROL_BUNDLE_DIGEST_BYTES];
  wire_name signer;
};

struct control_process_image
{
  wire_process process;
  bool lapsed;
  unsigned hyper lapsed_at_ms;
  unsigned hyper superseded<>;
};

struct control_claim_image
{
  unsigned hyper account_id;
  wire_digest key;
  wire_digest body_digest;
  wire_name router;
  unsigned hyper router_incarnation;
  unsigned hyper claim_id;
  unsigned hyper claimed_at_ms;
  control_claim_state state;
  unsigned int http_status;
  unsigned hyper billed_tokens;
  opaque body<CONTROL_ANSWER_BYTES>;
};

struct control_prepaid_image
{
  wire_name account;
  unsigned hyper total_tokens;
  unsigned hyper leased_tokens;
  unsigned hyper demand_tokens;
  unsigned hyper used_tokens;
  unsigned hyper tokens_per_s;
  unsigned hyper short_ms;
  unsigned hyper short_tokens;
  bool known;
};

struct control_holding_image
{
  wire_name account;
  unsigned hyper leased_tokens;
  unsigned hyper used_tokens;
  unsigned hyper former_used_tokens;
  unsigned hyper former_free_tokens;
  unsigned hyper tokens_per_s;
  unsigned hyper former_tokens_per_s;
  unsigned hyper sequence;
};

struct control_lessee_image
{
  wire_name router;
  unsigned hyper incarnation;
  control_lease_result last;
  unsigned hyper called_ms;
  unsigned hyper former_called_ms;
  control_holding_image holdings<>;
};

struct control_state_image
{
  unsigned hyper wall_ms;
  control_bundle_record accepted<>;   /* oldest first */
  opaque document<CONTROL_DOCUMENT_BYTES>;
  control_process_image processes<>;
  control_claim_image claims<>;       /* oldest first */
  wire_name drained<>;
  opaque pool<>;
  unsigned hyper held_version;
  opaque held_document<CONTROL_DOCUMENT_BYTES>;
  control_prepaid_image prepaid<>;
  control_lessee_image lessees<>;
};

/* Tokens counted as used of incarnations that ended without returning their
   leases, although no report says that they were spent. */
struct control_write_off
{
  unsigned hyper open_tokens;       /* reserved by open requests */
  unsigned hyper unreported_tokens; /* possibly used since the last report */
};

/* Follows control_state_image in a snapshot, since version 3 of the protocol.
   The lessees and their holdings are in the order of that image. */
struct control_holding_report_image
{
  unsigned hyper spent_tokens;
  unsigned hyper ahead_tokens;
  unsigned hyper former_ahead_tokens;
};

struct control_lessee_report_image
{
  control_holding_report_image holdings<>;
};

struct control_evidence_image
{
  wire_name account;
  unsigned hyper crash_ms<>;      /* the oldest first */
  unsigned hyper target_hashes<>;
  unsigned hyper blocked_until_ms;
};

struct control_suspect_image
{
  unsigned hyper part;
  control_evidence_image accounts<>;
  unsigned hyper last_crash_ms;
  unsigned hyper all_blocked_until_ms;
};

struct control_quarantine_image
{
  unsigned hyper list_version;
  control_suspect_image suspects<>;
};

struct control_reports_image
{
  control_write_off write_off;
  control_lessee_report_image lessees<>;
  control_quarantine_image quarantine;
};

struct control_permit_image
{
  unsigned hyper router_hash;
  unsigned hyper granted_ms;
  unsigned int permits;
};

struct control_limit_image
{
  control_limit limit;
  bool limited;
  unsigned hyper seen_ms;
  unsigned hyper ended_ms;
  unsigned hyper refilled_ms;
  unsigned hyper granted_ms;
  unsigned hyper level_micro;
  unsigned hyper short_until_ms[CONTROL_PRIORITIES];
  control_permit_image permits<>;
};

struct control_limits_image
{
  unsigned hyper list_version;
  unsigned hyper clock_ms;
  unsigned hyper wall_ms;
  control_limit_image limits<>;
};

struct control_request_image
{
  unsigned hyper digest;
  wire_name account;
  unsigned hyper crash_ms<>;      /* the oldest first */
  unsigned hyper sent_ms<>;
  unsigned hyper target_hashes<>;
  unsigned hyper blocked_until_ms;
  unsigned int trials;
};

/* Follows control_reports_image in a snapshot, since version 4 of the
   protocol. */
struct control_routers_image
{
  control_limits_image limits;
  control_request_image requests<>;
};

/* Follows control_routers_image in a snapshot once a zone was evacuated.  Zones
   that were taken back are kept for the order of their changes. */
struct control_evacuation_image
{
  control_evacuation evacuation;
  bool is_evacuated;
};

struct control_evacuations_image
{
  unsigned hyper change;
  unsigned hyper forgotten_change; /* the newest of a zone that is not kept */
  control_evacuation_image zones<CONTROL_EVACUATIONS_MAX>;
};

/* Builds (a service at one software version, as a digest) that began streams.
   Any member takes notes from routers and answers from those that it has: it
   keeps them in memory, for CONTROL_STREAMS_KEEP_MS at least. */
const CONTROL_STREAMS_MAX = 1024;

struct control_stream
{
  unsigned hyper stream;
  unsigned hyper build;
};

struct control_streams_args
{
  wire_name cluster;
  control_stream begun<CONTROL_STREAMS_MAX>;
  unsigned hyper asked<CONTROL_STREAMS_MAX>;
};

struct control_streams_result
{
  control_answer answer;
  unsigned hyper builds<CONTROL_STREAMS_MAX>; /* of the streams asked for, in
                                                 their order; 0: unknown */
};

program CONTROL_PROGRAM
{
  version CONTROL_VERSION
  {
    control_sync_result CONTROL_SYNC (control_sync_args) = 1;
    control_push_result CONTROL_PUSH (control_push_args) = 2;
    control_bundle_result CONTROL_BUNDLE (control_bundle_args) = 3;
    control_top_up_result CONTROL_TOP_UP (control_top_up_args) = 4;
    control_ledger_result CONTROL_LEDGER (control_ledger_args) = 5;
    control_claim_result CONTROL_CLAIM (control_claim_args) = 6;
    control_answer CONTROL_FINISH (control_finish_args) = 7;
    control_budget_result CONTROL_BUDGET (control_budget_args) = 8;
    control_answer CONTROL_DRAIN (control_drain_args) = 9;
    control_status_result CONTROL_STATUS (control_status_args) = 10;
    control_answer CONTROL_MEMBER_CHANGE (control_member_args) = 11;
    control_document_result CONTROL_DOCUMENT (control_document_args) = 12;
    control_read_result CONTROL_READ (control_read_args) = 13;
    control_router_result CONTROL_LEASE (control_router_args) = 14;
    control_watch_result CONTROL_WATCH (control_watch_args) = 15;
    control_fetch_result CONTROL_FETCH (control_fetch_args) = 16;
    control_streams_result CONTROL_STREAMS (control_streams_args) = 17;
    control_evacuation_result CONTROL_EVACUATION (control_evacuation_args) = 18;
    control_evacuation_list_result
    CONTROL_EVACUATION_LIST (control_evacuation_list_args) = 19;
  } = 6;
} = 0x20CAC702;
