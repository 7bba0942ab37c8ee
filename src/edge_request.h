#ifndef EDGE_REQUEST_H
#define EDGE_REQUEST_H

/** @file
 *  One request of a caller: reserved, placed, sent, sent again where that is
 *  allowed, answered, settled. */

#include "edge.h"
#include "edge_attempt.h"
#include "edge_events.h"
#include "router_stream.h"

/** Targets that one request avoids at most. */
#define EDGE_AVOID_MAX 8

/** Where a request stands. */
enum edge_step
{
  EDGE_STEP_READING,
  /** Waits for a lease of prepaid tokens. */
  EDGE_STEP_LEASE,
  EDGE_STEP_SENT,
  /** The caller has its final answer, or left. */
  EDGE_STEP_OVER
};

/** A request. */
struct edge_request
{
  struct edge_attempt_callbacks user;
  struct edge *edge;
  /** One for the caller's side, one while it is open. */
  uint32_t references;
  struct router_watch watch;
  int caller_fd;
  struct router_stream stream;
  struct edge_request_head head;
  GString *body;
  enum edge_step step;
  GList link;
  uint64_t arrived_ms;
  /** When it is to have its final answer. */
  uint64_t deadline_ms;
  struct edge_table *table;
  const struct edge_route *route;
  const struct edge_service *service;
  const struct edge_account *account;
  bool is_idempotent;
  uint64_t reserved_tokens;
  bool holds_tokens;
  struct place_request call;
  /** Sends that may have run, and all sends. */
  uint32_t runs;
  uint32_t sends;
  bool maybe_ran;
  const char *avoid[EDGE_AVOID_MAX];
  uint32_t avoid_count;
  struct edge_target *target;
  uint32_t unread_tokens;
  bool awaits_first;
  uint64_t sent_ms;
  uint64_t heard_ms;
  struct edge_send_headers send;
  struct edge_attempt *attempt;
  struct edge_events *events;
  uint32_t event_count;
  bool is_started;
  bool is_full;
};

/** Makes a request for a connection; the caller owns one reference. */
struct edge_request *edge_request_create (struct edge *edge,
                                          struct MHD_Connection *connection,
                                          int caller_fd);
/** Drops a reference. */
void edge_request_unref (struct edge_request *request);
/** Its head and body were read. */
void edge_request_begin (struct edge_request *request);
/** The caller left, or has its whole answer. */
void edge_request_leave (struct edge_request *request);
/** Checks time limits. */
void edge_request_sweep (struct edge_request *request, uint64_t now_ms);
/** A lease call was answered. */
void edge_request_leased (struct edge_request *request);

#endif
