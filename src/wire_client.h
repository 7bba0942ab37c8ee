#ifndef WIRE_CLIENT_H
#define WIRE_CLIENT_H

/** @file
 *  Calling side of ONC RPC with deadlines.  A client holds one connection,
 *  made when needed; one call at a time, callers wait for each other. */

#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

/** A connection to one server. */
struct wire_client;

/** How a call ended. */
enum wire_status
{
  WIRE_OK = 0,
  /** Nothing was sent: the server was not reached. */
  WIRE_UNSENT = 1,
  /** Sent, without an answer within the deadline: it may have been applied.
   *  The connection was closed. */
  WIRE_LOST = 2,
  /** The server doesn't know the program, version or procedure, or could not
   *  decode the arguments. */
  WIRE_REFUSED = 3
};

/** Makes a client of @p program at @p address:@p port, unconnected. */
struct wire_client *wire_client_create (const char *address, uint16_t port,
                                        uint32_t program, uint32_t version);
/** Closes the connection and frees the client. */
void wire_client_destroy (struct wire_client *client);
/** Calls @p procedure within @p timeout_ms; @p result is zeroed first and
 *  freed by the caller with xdr_free. */
enum wire_status wire_client_call (struct wire_client *client,
                                   uint32_t procedure, xdrproc_t args_codec,
                                   void *args, xdrproc_t result_codec,
                                   void *result, size_t result_bytes,
                                   uint32_t timeout_ms);
/** Sends a call without waiting for its answer, so that many may be under way
 *  on a slow link; WIRE_OK says only that it was handed to the network within
 *  @p timeout_ms.  Answers are read and dropped at the next call.  Not to be
 *  mixed with wire_client_call on one client. */
enum wire_status wire_client_post (struct wire_client *client,
                                   uint32_t procedure, xdrproc_t args_codec,
                                   void *args, uint32_t timeout_ms);
/** Name of a status, for log lines. */
const char *wire_status_name (enum wire_status status);

#endif
