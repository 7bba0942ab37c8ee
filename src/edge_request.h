#ifndef EDGE_REQUEST_H
#define EDGE_REQUEST_H

/** @file
 *  Life of one request: reservation of tokens, choice of a target, attempts,
 *  response, and settlement of the tokens. */

#include "edge.h"
#include "edge_attempt.h"
#include "edge_borrower.h"
#include "edge_events.h"
#include "router_stream.h"

/** Maximum number of failed targets that one request avoids. */
#define EDGE_AVOID_MAX 8

struct edge_caller;

/** State of a request. */
enum edge_step
{
  EDGE_STEP_READING,
  /** The router has just started; the request waits for the first routing
   *  table. */
  EDGE_STEP_AWAITS_TABLE,
  /** The request takes a stream up, and waits for control's answer which
   *  software version began that. */
  EDGE_STEP_AWAITS_VERSION,
  /** The request waits for a lease of prepaid tokens. */
  EDGE_STEP_AWAITS_LEASE,
  /** The request waits for control's answer: a permit to be sent to a limited
   *  target, or the trial of a blocked request. */
  EDGE_STEP_AWAITS_PERMIT,
  /** The request waits until its targets have room. */
  EDGE_STEP_AWAITS_ROOM,
  EDGE_STEP_SENT,
  /** The final response was passed on, or the caller disconnected. */
  EDGE_STEP_DONE
};

/** A request. */
struct edge_request
{
  struct edge_attempt_callbacks callbacks;
  struct edge *edge;
  /** Number of references: one for the caller's connection, and one while the
   *  request is open. */
  uint32_t references;
  /** Watches for the close of the caller's connection. */
  struct router_watch watch;
  int caller_fd;
  /** The caller's connection in the account of what callers hold; NULL once
   *  the request was closed. */
  struct edge_caller *caller;
  /** Reading of the answer is paused until the account has room. */
  bool awaits_answer_room;
  /** The caller has disconnected. */
  bool has_left;
  struct router_stream stream;
  struct edge_request_head head;
  GString *body;
  enum edge_step step;
  /** Link in the router's queue of open requests. */
  GList link;
  uint64_t arrived_ms;
  /** Time at which the final response is due. */
  uint64_t deadline_ms;
  struct edge_table *table;
  const struct edge_route *route;
  const struct edge_service *service;
  const struct edge_account *account;
  bool is_idempotent;
  uint64_t reserved_tokens;
  /** The reservation was made and is not settled yet. */
  bool holds_tokens;
  /** Number of the loan that the tokens come from, or that the request waits
   *  for; 0 for tokens of the own lease. */
  uint64_t loan;
  /** The request has looked for a lender. */
  bool has_sought_loan;
  /** The request is counted in the demand for the own lease. */
  bool is_in_demand;
  /** The digest, once it was needed. */
  uint64_t digest;
  bool has_digest;
  /** Targets crashed under an equal request before. */
  bool is_suspected;
  /** Control granted the trial of a request that was blocked. */
  bool has_trial;
  /** The request waits for a trial rather than a permit. */
  bool awaits_trial;
  /** Time since which the request waits for a permit
   *  (base_clock_steady_wall_ms), and the last call that asked for one, or
   *  0. */
  uint64_t permit_wait_ms;
  uint64_t permit_sequence;
  /** Time since which the request waits for room at its targets. */
  uint64_t room_wait_ms;
  /** Build that the stream is bound to; 0 before its first event. */
  uint64_t build;
  struct place_request placement;
  /** Number of attempts that a target may have run, and number of attempts
   *  started. */
  uint32_t attempts_maybe_run;
  uint32_t attempts_sent;
  /** An attempt may have run, so the error status must not promise that the
   *  request did not run. */
  bool maybe_ran;
  /** Attempts that reached no target. */
  uint32_t unsent_count;
  /** Interned name of the router that passes the present attempt on, or
   *  NULL. */
  const char *via;
  /** A connection that was sent on proved silent, so the next attempt gets a
   *  new one: those that are kept to other targets may be silent too. */
  bool needs_connection;
  /** Shortest rest of the targets when all that could take the request rested,
   *  in milliseconds, or 0. */
  uint32_t rest_left_ms;
  /** What kept the request from being sent again, or NULL. */
  const char *obstacle;
  /** Names of targets that failed this request. */
  const char *avoid[EDGE_AVOID_MAX];
  uint32_t avoid_count;
  struct edge_target *target;
  /** Prompt tokens counted in the target's load as not prefilled yet; removed
   *  from it when the response begins (awaits_first_response). */
  uint32_t unread_tokens;
  bool awaits_first_response;
  /** Times at which the present attempt began, and at which it received its
   *  first and its last stream data. */
  uint64_t sent_ms;
  uint64_t first_data_ms;
  uint64_t last_data_ms;
  struct edge_send_headers send;
  struct edge_attempt *attempt;
  struct edge_events *events;
  uint32_t event_count;
  /** Events received before the present attempt. */
  uint32_t events_before;
  /** The headers of a streamed response were sent to the caller. */
  bool is_started;
  /** The caller's send buffer is full, so the attempt is paused. */
  bool is_buffer_full;
};

/** Creates a request for a connection; the caller owns one reference.
 *  @p http_version is the caller's version of HTTP. */
struct edge_request *edge_request_create (struct edge *edge,
                                          struct MHD_Connection *connection,
                                          const char *http_version,
                                          int caller_fd);
/** Goes on reading an answer that waits for room, if there is some. */
void edge_request_retry_answer (struct edge_request *request);
/** Drops a reference. */
void edge_request_unref (struct edge_request *request);
/** Returns the priority of the request, 0 being the most urgent. */
uint32_t edge_request_priority (const struct edge_request *request);
/** Compares two requests (struct edge_request **) that wait: by priority, then
 *  by arrival.  For g_ptr_array_sort. */
gint edge_request_compare (gconstpointer a, gconstpointer b);
/** Returns a digest of account, path and body, by which a request is known
 *  again under another id. */
uint64_t edge_request_digest (struct edge_request *request);
/** Returns whether the route and the account allow the request, with its body,
 *  to be sent to hosts in the availability zone. */
bool edge_request_allows_zone (const struct edge_request *request,
                               const char *availability_zone);
/** Refuses a request that has not run when a graceful stop has gone on for so
 *  long that its run may be cut off, and returns true. */
bool edge_request_refuse_late (struct edge_request *request);
/** Starts processing once headers and body were read. */
void edge_request_begin (struct edge_request *request);
/** Called when the caller disconnected or has the complete response.  Drops
 *  the reference of the caller's connection. */
void edge_request_close (struct edge_request *request);
/** Continues a request that waits for the first routing table, if there is one
 *  now, or refuses it when it has waited too long. */
void edge_request_retry_table (struct edge_request *request, uint64_t now_ms);
/** Continues a request that waits for its stream's software version, if that
 *  is known now. */
void edge_request_retry_version (struct edge_request *request);
/** Tries the reservation again after control answered a lease call. */
void edge_request_retry_lease (struct edge_request *request);
/** Handles the outcome of the request's wish for a loan. */
void edge_request_handle_loan (struct edge_request *request,
                               enum edge_borrower_outcome outcome);

#endif
