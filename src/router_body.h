#ifndef ROUTER_BODY_H
#define ROUTER_BODY_H

/** @file
 *  Body of a chat completion or text completion request. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base_findings.h"

/** A parsed body; zero it before use, and free it with router_body_clear. */
struct router_body
{
  json_t *document;
  /** Name of the service; owned by the document. */
  const char *model;
  bool stream;
  /** Whether the caller requested an event with the usage in its stream. */
  bool include_usage;
  /** Maximum number of output tokens requested; 0 when not given. */
  uint32_t max_tokens;
  /** Upper bound of the prompt's length, in tokens. */
  uint64_t prompt_bound_tokens;
  /** Hash of the start of the prompt, for prefix affinity. */
  uint64_t prefix_hash;
};

/** Parses and validates a body, with messages if @p chat, else with a prompt.
 *  Adds all findings, not only the first.  Returns 0, or -1 with findings. */
int router_body_read (struct router_body *body, const char *data, size_t bytes,
                      bool chat, struct base_findings *findings);
/** Body to send to the target, with the output limited to @p max_tokens; free
 *  it with free. */
char *router_body_print (struct router_body *body, uint32_t max_tokens,
                         size_t *bytes);
/** Frees the members of a body. */
void router_body_clear (struct router_body *body);

#endif
