#ifndef ROUTER_CALL_H
#define ROUTER_CALL_H

/** @file
 *  Makes one HTTP call to a router as its callers do, for tests and
 *  benchmarks. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Options of a call; all strings but the path may be NULL. */
struct router_call_options
{
  const char *method;
  const char *path;
  const char *body;
  /** Length of the body in bytes; 0 when it is a terminated string. */
  size_t body_bytes;
  const char *api_key;
  const char *idempotency_key;
  const char *budget;
  const char *class_name;
  /** One additional header, "Name: value". */
  const char *header;
  uint32_t timeout_ms;
};

/** Response to a call. */
struct router_call_result
{
  /** Whether the complete response was received. */
  bool whole;
  uint32_t status;
  GString *head;
  GString *body;
};

/** Makes one call to @p port of 127.0.0.1; free the result with
 *  router_call_clear(). */
struct router_call_result router_call (uint16_t port,
                                       const struct router_call_options *call);
/** Frees the contents of a result. */
void router_call_clear (struct router_call_result *result);
/** Value of a response header, freed with g_free; NULL when absent. */
char *router_call_header (const struct router_call_result *result,
                          const char *name);
/** Text that the model generated, from a streamed or unstreamed response,
 *  freed with g_free. */
char *router_call_text (const struct router_call_result *result);
/** Error code in the response body, freed with g_free; NULL when there is
 *  none. */
char *router_call_code (const struct router_call_result *result);
/** Billed tokens, from the response header or the last line of a stream; -1
 *  when absent. */
int64_t router_call_billed (const struct router_call_result *result);

#endif
