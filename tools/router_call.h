#ifndef ROUTER_CALL_H
#define ROUTER_CALL_H

/** @file
 *  One HTTP call as a caller makes it, for tests and benchmarks. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** What to send; strings may be NULL. */
struct router_call_options
{
  const char *method;
  const char *path;
  const char *body;
  /** Length of the body; 0: up to its terminator. */
  size_t body_bytes;
  const char *api_key;
  const char *idempotency_key;
  const char *budget;
  const char *class_name;
  /** One more header, "Name: value". */
  const char *header;
  uint32_t timeout_ms;
};

/** What came back. */
struct router_call_result
{
  /** Whether the answer came whole. */
  bool whole;
  uint32_t status;
  GString *head;
  GString *body;
};

/** Calls 127.0.0.1:@p port; the result is freed with router_call_clear. */
struct router_call_result router_call (uint16_t port,
                                       const struct router_call_options *call);
/** Frees what a result holds. */
void router_call_clear (struct router_call_result *result);
/** Value of a header of the answer, freed with g_free; NULL when absent. */
char *router_call_header (const struct router_call_result *result,
                          const char *name);
/** Text of a whole or streamed answer of a model, freed with g_free. */
char *router_call_text (const struct router_call_result *result);
/** Code of a refusal, freed with g_free; NULL when it is none. */
char *router_call_code (const struct router_call_result *result);
/** Billed tokens by the header or the stream's last line; -1 when absent. */
int64_t router_call_billed (const struct router_call_result *result);

#endif
