#ifndef WIRE_SERVER_H
#define WIRE_SERVER_H

/** @file
 *  ONC RPC server that works in rounds.  A round reads the calls that are
 *  ready, lets the handler sync once, then sends the replies.  A call may also
 *  be answered in a later round. */

#include <stdbool.h>
#include <stdint.h>

#include <rpc/rpc.h>

/** A listening server and its connections. */
struct wire_server;
/** A call that waits for its reply. */
struct wire_call;

/** Callbacks of the server, which run on its thread.  First member of the
 *  user's own struct. */
struct wire_handler
{
  /** A call arrived.  Read its arguments with wire_call_args and answer it
   *  exactly once, now or later, with wire_call_reply or wire_call_fail. */
  void (*call) (struct wire_handler *handler, struct wire_call *call);
  /** End of a round: sync what the calls of the round changed.  The replies
   *  made so far are sent after it returns.  May be NULL. */
  void (*round) (struct wire_handler *handler);
};

/** A program and the version of it that is served. */
struct wire_program
{
  uint32_t program;
  uint32_t version;
};

/** Listens on @p address:@p port; with port 0 the kernel chooses one.  Returns
 *  NULL with errno set on failure. */
struct wire_server *wire_server_create (const char *address, uint16_t port,
                                        const struct wire_program *programs,
                                        uint32_t program_count,
                                        struct wire_handler *handler);
/** Closes all connections and frees the server; calls without a reply are
 *  dropped. */
void wire_server_destroy (struct wire_server *server);
/** Returns the port that the server listens on. */
uint16_t wire_server_port (const struct wire_server *server);
/** Runs one round, which waits for calls for at most @p wait_ms.  The
 *  handler's round callback is called also when no call arrived. */
void wire_server_round (struct wire_server *server, uint32_t wait_ms);
/** Closes connections on which no call came in for @p idle_max_ms; 0, as at
 *  first: none.  Call it before the first round. */
void wire_server_set_idle_limit (struct wire_server *server,
                                 uint64_t idle_max_ms);
/** Ends the wait of the current round.  Thread-safe and callable from a signal
 *  handler. */
void wire_server_wake (struct wire_server *server);
/** Returns the number of calls without a reply. */
uint32_t wire_server_open_calls (const struct wire_server *server);

/** Returns the program number of the call. */
uint32_t wire_call_program (const struct wire_call *call);
/** Returns the procedure number of the call. */
uint32_t wire_call_procedure (const struct wire_call *call);
/** Decodes the arguments into zeroed @p args, freed by the caller with
 *  xdr_free.  Returns false when they are malformed: what was decoded is then
 *  freed, and the caller answers with wire_call_fail.  Call it only inside the
 * handler's call function. */
bool wire_call_args (struct wire_call *call, xdrproc_t codec, void *args);
/** Answers the call; encodes @p result at once, so that it may be freed. */
void wire_call_reply (struct wire_call *call, xdrproc_t codec, void *result);
/** Answers the call with the error GARBAGE_ARGS. */
void wire_call_fail (struct wire_call *call);

#endif
