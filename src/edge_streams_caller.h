#ifndef EDGE_STREAMS_CALLER_H
#define EDGE_STREAMS_CALLER_H

/** @file
 *  A thread that makes CONTROL_STREAMS calls to one control member, one at a
 *  time. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_client.h"
#include "wire_control.h"

struct edge_streams_caller;

/** Starts the thread.  @p wake is called on it when a call that asks has
 *  ended, or any call failed. */
struct edge_streams_caller *
edge_streams_caller_create (const char *address, uint16_t port,
                            void (*wake) (void *context), void *context);
/** Requests that the thread stops, without waiting. */
void edge_streams_caller_stop (struct edge_streams_caller *caller);
/** Stops the thread, after the call in progress, and frees the caller. */
void edge_streams_caller_destroy (struct edge_streams_caller *caller);
/** Starts a call, whose arguments become the caller's; none may be in
 *  progress. */
void edge_streams_caller_call (struct edge_streams_caller *caller,
                               const struct control_streams_args *args);
/** Takes the result of the last call, freed with xdr_free where @p status is
 *  WIRE_OK.  Returns false when there is none. */
bool edge_streams_caller_take_result (struct edge_streams_caller *caller,
                                      enum wire_status *status,
                                      struct control_streams_result *result);

#endif
