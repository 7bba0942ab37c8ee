#ifndef EDGE_DIALECT_H
#define EDGE_DIALECT_H

/** @file
 *  How requests, sends and answers are written on the wire: an adapter fills
 *  in the functions and the router sees only these types. */

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>
#include <glib.h>

#include "place.h"

/** Size of a caller's request id with its terminator, in bytes. */
#define EDGE_REQUEST_ID_BYTES 80
#define EDGE_NO_EVENT (-1)

/** Head of a caller's request. */
struct edge_request_head
{
  char *method;
  /** Path and query as sent. */
  char *uri;
  char *host;
  char request_id[EDGE_REQUEST_ID_BYTES];
  /** Key of a client account, or NULL. */
  char *key;
  /** Time for which the caller waits, in milliseconds; 0: not said. */
  uint32_t deadline_ms;
  /** Tokens of the prompt, and most tokens of the answer. */
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  struct place_part parts[PLACE_PARTS_MAX];
  uint32_t part_count;
  /** The caller has the stream up to this event; EDGE_NO_EVENT: from the
   *  start. */
  int64_t last_event_id;
  /** Lines that go to the target unchanged, "Name: value". */
  GPtrArray *lines;
  /** Name of a header whose value can't be read, or NULL. */
  const char *malformed_header;
};

/** What the router adds when it sends a request to a target. */
struct edge_send_headers
{
  const char *request_id;
  const char *target;
  /** Client account, or NULL. */
  const char *account;
  uint32_t deadline_ms;
  /** 0 is the most urgent. */
  uint32_t priority;
  int64_t last_event_id;
};

/** Head of a target's answer. */
struct edge_target_response
{
  uint32_t status;
  /** The target says that it did not run the request. */
  bool not_run;
  /** It names another request. */
  bool request_id_differs;
  /** It names this request. */
  bool request_id_matches;
  bool is_stream;
  /** Headers that go to the caller, "Name: value". */
  GPtrArray *lines;
};

/** First member of an adapter's own struct. */
struct edge_dialect
{
  /** Takes one header of a caller. */
  void (*read_request_header) (const struct edge_dialect *dialect,
                               struct edge_request_head *head,
                               const char *name, const char *value);
  /** Adds the headers that the router sets. */
  struct curl_slist *(*add_send_headers) (const struct edge_dialect *dialect,
                                          const struct edge_send_headers *send,
                                          struct curl_slist *lines);
  /** Takes one header of an answer to @p request_id. */
  void (*read_response_header) (const struct edge_dialect *dialect,
                                struct edge_target_response *answer,
                                const char *request_id, const char *name,
                                const char *value);
  /** Reads a document of routes; NULL when it can't be read. */
  struct edge_table *(*read_table) (const struct edge_dialect *dialect,
                                    uint64_t version, const char *document,
                                    size_t bytes);
};

#endif
