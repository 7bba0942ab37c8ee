#ifndef WIRE_SERVER_H
#define WIRE_SERVER_H

/** @file
 *  ONC RPC serving loop.  Each round reads every call that is ready, lets the
 *  handler sync once, then sends the replies.  A call may also be answered in
 *  a later round. */

#include <stdbool.h>
#include <stdint.h>

#include <rpc/rpc.h>

struct wire_server;
/** One call that waits for its reply. */
struct wire_call;

/** What the server calls; first member of the process's own struct.  All
 *  functions run on the server's thread. */
struct wire_handler
{
  /** A call came in.  Read it with wire_call_args and answer it, now or
   *  later, exactly once with wire_call_reply, wire_call_fail. */
  void (*call) (struct wire_handler *handler, struct wire_call *call);
  /** End of a round: sync what the round's calls appended.  Replies made so
   *  far are sent after it returns. */
  void (*round) (struct wire_handler *handler);
};

/** A program and version that is served. */
struct wire_program
{
  uint32_t program;
  uint32_t version;
};

/** Listens on @p address:@p port (0: the kernel picks one).  NULL with errno
 *  set on failure. */
struct wire_server *wire_server_create (const char *address, uint16_t port,
                                        const struct wire_program *programs,
                                        uint32_t program_count,
                                        struct wire_handler *handler);
/** Closes everything; open calls are dropped. */
void wire_server_destroy (struct wire_server *server);
/** Port that is listened on. */
uint16_t wire_server_port (const struct wire_server *server);
/** Runs one round, waiting for at most @p wait_ms; also runs the handler's
 *  round when nothing came in. */
void wire_server_round (struct wire_server *server, uint32_t wait_ms);
/** Ends the wait of the current round; callable from any thread and from a
 *  signal handler. */
void wire_server_wake (struct wire_server *server);
/** Number of calls without a reply. */
uint32_t wire_server_open_calls (const struct wire_server *server);

/** Program number of the call. */
uint32_t wire_call_program (const struct wire_call *call);
/** Procedure number of the call. */
uint32_t wire_call_procedure (const struct wire_call *call);
/** Decodes the arguments into zeroed @p args, freed by the caller with
 *  xdr_free; false when malformed (then wire_call_fail).  Only inside the
 *  handler's call function. */
bool wire_call_args (struct wire_call *call, xdrproc_t codec, void *args);
/** Answers the call; @p result is encoded at once and may be freed after. */
void wire_call_reply (struct wire_call *call, xdrproc_t codec, void *result);
/** Answers with a decoding error. */
void wire_call_fail (struct wire_call *call);

#endif
