#ifndef ROUTER_BODY_H
#define ROUTER_BODY_H

/** @file
 *  Body of a chat completion or completion, as a caller sent it. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base_findings.h"

/** A parsed body; zeroed at first, emptied by router_body_clear. */
struct router_body
{
  json_t *document;
  /** Name of the service; owned by the document. */
  const char *model;
  bool stream;
  /** Whether the caller wants usage as an event of its stream. */
  bool include_usage;
  /** Longest answer wanted, in tokens; 0: not said. */
  uint32_t max_tokens;
  /** Most tokens that the prompt can have. */
  uint64_t prompt_bound_tokens;
  /** Hash of the prompt's beginning, for prefix affinity. */
  uint64_t prefix_hash;
};

/** Reads and checks a body, @p chat with messages, else with a prompt; all
 *  findings are added at once.  0, or -1 with findings. */
int router_body_read (struct router_body *body, const char *data, size_t bytes,
                      bool chat, struct base_findings *findings);
/** Body for the target with an answer of at most @p max_tokens; freed with
 *  free. */
char *router_body_print (struct router_body *body, uint32_t max_tokens,
                         size_t *bytes);
/** Frees what it holds. */
void router_body_clear (struct router_body *body);

#endif
