#ifndef EDGE_DIALECT_H
#define EDGE_DIALECT_H

/** @file
 *  Interface between the router and a platform's HTTP headers and documents:
 *  an adapter implements struct edge_dialect, and the router uses only the
 *  types below. */

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>
#include <glib.h>

#include "place.h"

/** Size of a caller's request id with its terminator, in bytes. */
#define EDGE_REQUEST_ID_BYTES 80
/** Event id that means that no event was received yet. */
#define EDGE_NO_EVENT (-1)

/** Request line and headers of a caller's request. */
struct edge_request_head
{
  char *method;
  /** Path and query as received. */
  char *uri;
  char *host;
  char request_id[EDGE_REQUEST_ID_BYTES];
  /** API key of a client account, or NULL. */
  char *key;
  /** Time for which the caller waits, in milliseconds; 0 when not
   *  specified. */
  uint32_t deadline_ms;
  /** Number of prompt tokens, and the maximum number of output tokens. */
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  struct place_part parts[PLACE_PARTS_MAX];
  uint32_t part_count;
  /** Last event of the stream that the caller received, or EDGE_NO_EVENT. */
  int64_t last_event_id;
  /** Id of the request that brought the first event of that stream; empty when
   *  not specified. */
  char resumed_id[EDGE_REQUEST_ID_BYTES];
  /** Headers that are forwarded unchanged, as "Name: value". */
  GPtrArray *lines;
  /** Name of a header whose value is malformed, or NULL. */
  const char *malformed_header;
};

/** Values of the headers that the router adds to a forwarded request. */
struct edge_send_headers
{
  const char *request_id;
  const char *target;
  /** Client account, or NULL. */
  const char *account;
  /** Time left for the response, in milliseconds. */
  uint32_t deadline_ms;
  /** Priority of the request; 0 is the most urgent. */
  uint32_t priority;
  /** Event after which the stream goes on, or EDGE_NO_EVENT. */
  int64_t last_event_id;
};

/** What a response says about the requests that its target takes. */
enum edge_limit_statement
{
  /** The target takes any number. */
  EDGE_LIMIT_NONE,
  /** The target takes limit_mrps from all hosts together. */
  EDGE_LIMIT_NAMED,
  /** The response names a limit that can't be read. */
  EDGE_LIMIT_MALFORMED
};

/** Longest rest that a target can ask for, in milliseconds; longer ones count
 *  as this. */
#define EDGE_REST_MAX_MS 60000u

/** Largest limit, in requests per 1,000 s; higher ones count as this. */
#define EDGE_LIMIT_MAX_MRPS UINT64_C (1000000000)

/** Status and headers of a target's response. */
struct edge_target_response
{
  uint32_t status;
  enum edge_limit_statement limit;
  /** With EDGE_LIMIT_NAMED: requests per 1,000 s. */
  uint64_t limit_mrps;
  /** The target leaves: it wants no new requests. */
  bool is_leaving;
  /** The target falls over when it has to turn away more than
   *  rejections_per_s requests for want of room. */
  bool is_brittle;
  uint32_t rejections_per_s;
  /** Time for which the target wants no request from this router, in
   *  milliseconds; 0 for none. */
  uint32_t rest_ms;
  /** Time for which the target stays cold, in milliseconds. */
  uint32_t cold_ms;
  /** Name of the last header of these whose value can't be read, or NULL. */
  const char *malformed_statement;
  /** The target reports that it did not run the request. */
  bool not_run;
  /** The response carries the id of another request. */
  bool request_id_differs;
  /** The response carries the id of this request. */
  bool request_id_matches;
  bool is_stream;
  /** Headers that are forwarded to the caller, as "Name: value". */
  GPtrArray *lines;
};

/** Functions of an adapter; embed it as the first member of the adapter's
 *  struct. */
struct edge_dialect
{
  /** Parses one header of a caller's request into @p head. */
  void (*read_request_header) (const struct edge_dialect *dialect,
                               struct edge_request_head *head,
                               const char *name, const char *value);
  /** Appends to @p lines the headers that the router adds.  Returns the new
   *  head of the list, which the caller owns. */
  struct curl_slist *(*add_send_headers) (const struct edge_dialect *dialect,
                                          const struct edge_send_headers *send,
                                          struct curl_slist *lines);
  /** Parses one header of the response to request @p request_id. */
  void (*read_response_header) (const struct edge_dialect *dialect,
                                struct edge_target_response *answer,
                                const char *request_id, const char *name,
                                const char *value);
  /** Parses a configuration document into a routing table.  Returns NULL when
   *  it is invalid. */
  struct edge_table *(*read_table) (const struct edge_dialect *dialect,
                                    uint64_t version, const char *document,
                                    size_t bytes);
};

#endif
