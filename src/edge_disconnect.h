#ifndef EDGE_DISCONNECT_H
#define EDGE_DISCONNECT_H

/** @file
 *  Callers that disconnect before their response is complete: ends their
 *  requests, and measures how late the router and the target learned of it. */

#include <stdbool.h>
#include <stdint.h>

#include "base_metrics.h"
#include "router_poll.h"

struct edge_request;

/** What a request was waiting for when its caller disconnected. */
enum edge_disconnect_queue
{
  /** Head or body were not read completely. */
  EDGE_DISCONNECT_READING,
  EDGE_DISCONNECT_VERSION,
  EDGE_DISCONNECT_LEASE,
  EDGE_DISCONNECT_PERMIT,
  EDGE_DISCONNECT_ROOM,
  /** The response of a target, or the end of its stream. */
  EDGE_DISCONNECT_RESPONSE,
  EDGE_DISCONNECT_STREAM,
  EDGE_DISCONNECT_QUEUES
};

/** Metrics by queue, in microseconds. */
struct edge_disconnect_metrics
{
  /** From the close of the connection until the router read it. */
  struct base_histogram *unread_us[EDGE_DISCONNECT_QUEUES];
  /** From there until the connection to the target was closed. */
  struct base_histogram *told_us[EDGE_DISCONNECT_QUEUES];
};

/** Creates the metrics. */
void edge_disconnect_metrics_create (struct edge_disconnect_metrics *result,
                                     struct base_metrics *metrics);
/** Returns whether the caller has closed its connection. */
bool edge_disconnect_has_left (const struct edge_request *request);
/** Ends a request whose caller has disconnected, and the work of its
 *  target. */
void edge_disconnect_end (struct edge_request *request);
/** Handles an event of the caller's connection; the callback of the request's
 *  watch. */
void edge_disconnect_handle (struct router_watch *watch, uint32_t events);

#endif
