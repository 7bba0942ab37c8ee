#ifndef ROUTER_CHECK_H
#define ROUTER_CHECK_H

/** @file
 *  Calls the router of a router_rig and checks the responses, for tests. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "router_call.h"
#include "router_rig.h"

/** Path of the chat completions API. */
#define ROUTER_CHECK_CHAT "/v1/chat/completions"
/** Output tokens of a stream by default. */
#define ROUTER_CHECK_STREAM_TOKENS 40

/** A streamed chat completion that a thread of its own reads. */
struct router_check_stream
{
  struct router_rig *rig;
  char *prompt;
  /** Idempotency key, or NULL. */
  const char *key;
  /** Output tokens; 0 for ROUTER_CHECK_STREAM_TOKENS. */
  uint32_t tokens;
  struct router_call_result result;
  GThread *thread;
};

/** Makes the body of a chat request, freed with g_free. */
char *router_check_body (const char *prompt, uint32_t max_tokens, bool stream);
/** Requests a chat completion as alice with the idempotency key @p key, which
 *  may be NULL. */
struct router_call_result router_check_chat (struct router_rig *rig,
                                             const char *prompt,
                                             uint32_t max_tokens, bool stream,
                                             const char *key);
/** Thread function that runs a struct router_check_stream. */
gpointer router_check_run_stream (gpointer data);
/** Checks the value of a response header; @p expected NULL checks that it is
 *  absent. */
void router_check_header (const struct router_call_result *result,
                          const char *name, const char *expected);
/** Checks the status, the error code and the Cactus-Run header (@p run) of an
 *  error response, and frees the result. */
void router_check_error (struct router_call_result *result, uint32_t status,
                         const char *code, const char *run);
/** Checks the text and the billed tokens of a complete response, and frees the
 *  result; returns the tokens used. */
uint64_t router_check_success (struct router_call_result *result,
                               const char *prompt, uint32_t tokens);

#endif
