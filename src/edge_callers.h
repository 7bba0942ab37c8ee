#ifndef EDGE_CALLERS_H
#define EDGE_CALLERS_H

/** @file
 *  Connections of callers at a router's HTTP server, and the account of what
 *  they hold (edge_intake.h): refuses what doesn't fit, and closes what has to
 *  go. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <microhttpd.h>

#include "base_metrics.h"
#include "edge_intake.h"

struct edge_callers;

/** A connection. */
struct edge_caller
{
  struct edge_intake_entry entry;
  int fd;
  /** Body that is being read, or NULL. */
  GString *body;
  /** Length of the body as announced, or 0, and its limit, which a newer
   *  configuration doesn't change. */
  uint64_t announced_bytes;
  uint64_t body_max;
};

/** Creates an account. */
struct edge_callers *
edge_callers_create (const struct edge_intake_limits *limits,
                     struct base_metrics *metrics);
/** Frees an account without connections.  NULL is allowed. */
void edge_callers_destroy (struct edge_callers *callers);
/** Tells of the beginning and the end of a connection; the callback of the
 *  HTTP server, with the account as its context. */
void edge_callers_notify (void *context, struct MHD_Connection *connection,
                          void **socket_context,
                          enum MHD_ConnectionNotificationCode code);
/** Returns the caller of a connection, or NULL when it was told to go. */
struct edge_caller *edge_callers_find (struct MHD_Connection *connection);
/** Begins a request whose head is complete; its body may have @p body_max
 *  bytes.  Returns whether the body may be read; otherwise the request was
 *  refused, and @p result is for the HTTP server. */
bool edge_callers_begin (struct edge_callers *callers,
                         struct edge_caller *caller,
                         struct MHD_Connection *connection, GString *body,
                         uint64_t body_max, enum MHD_Result *result);
/** Appends to the body.  Returns false when it doesn't fit: the request was
 *  refused, and its connection has to be closed. */
bool edge_callers_append (struct edge_callers *callers,
                          struct edge_caller *caller, const char *data,
                          size_t bytes);
/** The body is complete. */
void edge_callers_hold (struct edge_callers *callers,
                        struct edge_caller *caller);
/** The body is not held any more, though the answer may be. */
void edge_callers_release_body (struct edge_callers *callers,
                                struct edge_caller *caller);
/** Sets the bytes held of the answer.  Returns whether more of it may be
 *  read. */
bool edge_callers_set_answer (struct edge_callers *callers,
                              struct edge_caller *caller, uint64_t bytes);
/** The request has ended. */
void edge_callers_end (struct edge_callers *callers,
                       struct edge_caller *caller);
/** Returns the number of connections that may be open. */
uint32_t edge_callers_connections_max (const struct edge_callers *callers);
/** Closes connections whose bodies don't move, and notes the state; called
 *  about once a second.  Returns whether any was closed. */
bool edge_callers_run (struct edge_callers *callers);

#endif
