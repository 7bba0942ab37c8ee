#ifndef CONTROL_CLIENT_H
#define CONTROL_CLIENT_H

/** @file
 *  RPC client for control, which finds the leader among the members and sends
 *  calls to it. */

#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

#include "wire_client.h"
#include "wire_control.h"

struct control_client;

/** Creates a client for the members at @p endpoints ("A.B.C.D:PORT", ended by
 *  NULL). */
struct control_client *control_client_create (const char *const *endpoints);
/** Adds a member; does nothing when its endpoint is known already. */
void control_client_add (struct control_client *client, const char *address,
                         uint16_t port);
/** Frees the client. */
void control_client_destroy (struct control_client *client);
/** Calls @p procedure at the leader; every result begins with a
 *  control_answer.  Tries the next member when one is unreachable or not the
 *  leader, until @p timeout_ms have passed.  Returns WIRE_LOST when a call was
 *  sent and its outcome is not known.  Thread-safe; free the result with
 *  xdr_free. */
enum wire_status control_client_call (struct control_client *client,
                                      uint32_t procedure, xdrproc_t args_codec,
                                      void *args, xdrproc_t result_codec,
                                      void *result, size_t result_bytes,
                                      uint32_t timeout_ms);

#endif
