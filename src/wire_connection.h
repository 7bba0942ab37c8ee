#ifndef WIRE_CONNECTION_H
#define WIRE_CONNECTION_H

/** @file
 *  One connection of the serving loop: records of ONC RPC in and out, without
 *  ever waiting for the peer. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <rpc/rpc.h>

struct wire_call;
struct wire_connection;

/** A call that was read from a connection. */
struct wire_call_record
{
  uint32_t xid;
  uint32_t program;
  uint32_t version;
  uint32_t procedure;
  /** Encoded arguments; owned by the taker. */
  GBytes *args;
};

/** Takes over a connected socket, which is made non-blocking. */
struct wire_connection *wire_connection_create (int fd);
/** Closes it. */
void wire_connection_destroy (struct wire_connection *connection);
/** Its socket. */
int wire_connection_fd (const struct wire_connection *connection);
/** Reads what is there; false when the peer is gone or sent no RPC. */
bool wire_connection_read (struct wire_connection *connection);
/** Takes the next whole call; 1, 0 when there is none yet, -1 when what came
 *  is no call. */
int wire_connection_next_call (struct wire_connection *connection,
                               struct wire_call_record *record);
/** Adds a reply whose result is encoded already. */
void wire_connection_reply (struct wire_connection *connection, uint32_t xid,
                            const char *result, uint32_t bytes);
/** Adds a reply without a result; of @p status PROG_MISMATCH, the one version
 *  served is @p version. */
void wire_connection_reply_error (struct wire_connection *connection,
                                  uint32_t xid, enum accept_stat status,
                                  uint32_t version);
/** Sends what the peer takes now; false when it is gone. */
bool wire_connection_write (struct wire_connection *connection);
/** Whether bytes wait for the peer. */
bool wire_connection_has_output (const struct wire_connection *connection);

#endif
