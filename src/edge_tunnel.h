#ifndef EDGE_TUNNEL_H
#define EDGE_TUNNEL_H

/** @file
 *  How a router asks another one to pass a connection to a target on: an HTTP
 *  CONNECT request that names the target and its incarnation.  After the
 *  response 200 the connection carries the bytes of exactly one request and
 *  its response.  Without such a response nothing has reached the target. */

#include <stdbool.h>
#include <stdint.h>

#include "edge_path.h"
#include "edge_targets.h"

/** Maximum size of the request, in bytes. */
#define EDGE_TUNNEL_HEAD_BYTES 2048
/** Time for the connection to the target, and for the whole request as its
 *  sender waits for it, in milliseconds. */
#define EDGE_TUNNEL_CONNECT_MS 400
#define EDGE_TUNNEL_WAIT_MS 700

/** Status of the response. */
enum edge_tunnel_status
{
  EDGE_TUNNEL_NONE = 0,
  EDGE_TUNNEL_OPEN = 200,
  /** The sender is no router that control knows. */
  EDGE_TUNNEL_UNKNOWN_PEER = 403,
  /** The target isn't known here, or gets no new work. */
  EDGE_TUNNEL_NO_TARGET = 404,
  /** The target asked this router for rest, or has no room for it. */
  EDGE_TUNNEL_TARGET_RESTS = 429,
  /** The target's host refused the connection. */
  EDGE_TUNNEL_TARGET_REFUSED = 502,
  /** This router takes no more connections. */
  EDGE_TUNNEL_FULL = 503,
  /** The target didn't answer. */
  EDGE_TUNNEL_TARGET_SILENT = 504
};

/** The target that a request names. */
struct edge_tunnel_ask
{
  char target[256];
  uint64_t born_ms;
  char address[16];
  uint16_t port;
  /** Time after which the sender has no use for the connection, in
   *  milliseconds, or 0 when the request doesn't say. */
  uint32_t deadline_ms;
};

/** Returns the header line that names the target, freed with g_free. */
char *edge_tunnel_header (const struct edge_target *target);
/** Returns the header line that says how long the connection is needed, freed
 *  with g_free. */
char *edge_tunnel_deadline_header (uint32_t deadline_ms);
/** Returns the whole request of a probe, freed with g_free. */
char *edge_tunnel_request (const struct edge_target *target);
/** Parses a complete request.  Returns false when it is malformed. */
bool edge_tunnel_parse (const char *head, struct edge_tunnel_ask *ask);
/** Returns what the status says of the way to the target. */
enum edge_path_result edge_tunnel_result (long status);

#endif
