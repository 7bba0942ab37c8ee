#ifndef ROUTER_CHECK_H
#define ROUTER_CHECK_H

/** @file
 *  Calls of a router rig and what their answers must be, for tests. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "router_call.h"
#include "router_rig.h"

/** Path of chat completions. */
#define ROUTER_CHECK_CHAT "/v1/chat/completions"
/** Tokens of a stream where a test names none. */
#define ROUTER_CHECK_STREAM_TOKENS 40

/** A caller of one stream, for a thread of its own. */
struct router_check_stream
{
  struct router_rig *rig;
  char *prompt;
  /** NULL: none. */
  const char *key;
  /** 0: ROUTER_CHECK_STREAM_TOKENS. */
  uint32_t tokens;
  struct router_call_result result;
  GThread *thread;
};

/** Body of a chat request, freed with g_free. */
char *router_check_body (const char *prompt, uint32_t max_tokens, bool stream);
/** Asks for a chat completion as alice; @p key may be NULL. */
struct router_call_result router_check_chat (struct router_rig *rig,
                                             const char *prompt,
                                             uint32_t max_tokens, bool stream,
                                             const char *key);
/** Runs a struct router_check_stream. */
gpointer router_check_run_stream (gpointer data);
/** Checks a header of an answer; @p expected NULL: there is none. */
void router_check_header (const struct router_call_result *result,
                          const char *name, const char *expected);
/** Checks a refusal and what it says of the run, and frees the result. */
void router_check_error (struct router_call_result *result, uint32_t status,
                         const char *code, const char *run);
/** Checks the text and bill of a whole answer and frees the result; tokens
 *  used. */
uint64_t router_check_success (struct router_call_result *result,
                               const char *prompt, uint32_t tokens);

#endif
