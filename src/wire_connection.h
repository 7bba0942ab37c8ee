#ifndef WIRE_CONNECTION_H
#define WIRE_CONNECTION_H

/** @file
 *  One connection of an ONC RPC server: reads calls and writes replies without
 *  ever waiting for the peer. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <rpc/rpc.h>

struct wire_call;
/** A connection to a peer, with its buffers. */
struct wire_connection;

/** A call that was read from a connection. */
struct wire_call_record
{
  uint32_t xid;
  uint32_t program;
  uint32_t version;
  uint32_t procedure;
  /** Encoded arguments, freed by the caller with g_bytes_unref. */
  GBytes *args;
};

/** Takes over the connected socket @p fd and makes it non-blocking. */
struct wire_connection *wire_connection_create (int fd);
/** Closes the socket and frees the connection. */
void wire_connection_destroy (struct wire_connection *connection);
/** Returns the socket. */
int wire_connection_fd (const struct wire_connection *connection);
/** Reads the bytes that are available.  Returns false when the peer closed the
 *  connection or reading failed. */
bool wire_connection_read (struct wire_connection *connection);
/** Takes the next call from the bytes read so far.  Returns 1 when it took
 *  one, 0 when no call is complete yet, -1 when the bytes are no valid
 *  call. */
int wire_connection_next_call (struct wire_connection *connection,
                               struct wire_call_record *record);
/** Queues a reply with @p bytes of encoded result. */
void wire_connection_reply (struct wire_connection *connection, uint32_t xid,
                            const char *result, uint32_t bytes);
/** Queues an error reply.  @p version, the one version that is served, is sent
 *  with the status PROG_MISMATCH only. */
void wire_connection_reply_error (struct wire_connection *connection,
                                  uint32_t xid, enum accept_stat status,
                                  uint32_t version);
/** Sends as many queued bytes as the socket takes.  Returns false when the
 *  connection failed or too many bytes are queued. */
bool wire_connection_write (struct wire_connection *connection);
/** Whether bytes are queued to be sent. */
bool wire_connection_has_output (const struct wire_connection *connection);

#endif
