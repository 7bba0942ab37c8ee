#ifndef WIRE_CLIENT_H
#define WIRE_CLIENT_H

/** @file
 *  ONC RPC client with deadlines.  A client has one connection, opened when
 *  needed, and makes one call at a time; further callers wait. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

/** A client of one server. */
struct wire_client;

/** Outcome of a call. */
enum wire_status
{
  WIRE_OK = 0,
  /** Nothing was sent: the server was not reached. */
  WIRE_UNSENT = 1,
  /** The call was sent, perhaps in part, and got no valid reply within the
   *  deadline: it may have been applied.  The connection was closed. */
  WIRE_LOST = 2,
  /** The server doesn't serve the program, version or procedure, or could not
   *  decode the arguments. */
  WIRE_REFUSED = 3
};

/** What wire_client_check_posts found. */
struct wire_posts
{
  /** The connection was closed since replies were overdue. */
  bool is_dropped;
  /** Number of calls that had no reply. */
  uint32_t open_calls;
  /** Time without a received byte while calls were open, in milliseconds. */
  uint64_t silent_ms;
  /** Number of replies on the present connection. */
  uint64_t replies;
};

/** Creates a client of @p program at @p address:@p port, not yet connected. */
struct wire_client *wire_client_create (const char *address, uint16_t port,
                                        uint32_t program, uint32_t version);
/** Closes the connection and frees the client. */
void wire_client_destroy (struct wire_client *client);
/** Calls @p procedure and waits for the reply for at most @p timeout_ms.
 *  Zeroes @p result first; the caller frees it with xdr_free. */
enum wire_status wire_client_call (struct wire_client *client,
                                   uint32_t procedure, xdrproc_t args_codec,
                                   void *args, xdrproc_t result_codec,
                                   void *result, size_t result_bytes,
                                   uint32_t timeout_ms);
/** Sends a call without waiting for its reply, so that many calls can be in
 *  flight on a slow connection.  WIRE_OK means only that the kernel took the
 *  call within @p timeout_ms.  Replies are read and dropped by the next call
 * of this or the next two functions, so a client must not use both this and
 *  wire_client_call.  A connection that brings no replies for @p timeout_ms is
 *  replaced first. */
enum wire_status wire_client_post (struct wire_client *client,
                                   uint32_t procedure, xdrproc_t args_codec,
                                   void *args, uint32_t timeout_ms);
/** Time at which the replies to posted calls are overdue, in milliseconds of
 *  base_clock_system(); UINT64_MAX when no call is open. */
uint64_t wire_client_reply_due_ms (struct wire_client *client);
/** Closes the connection when replies to posted calls are overdue: it takes
 *  bytes, but the calls or their replies don't arrive. */
void wire_client_check_posts (struct wire_client *client,
                              struct wire_posts *posts);
/** Returns the name of a status, for log lines. */
const char *wire_status_name (enum wire_status status);

#endif
