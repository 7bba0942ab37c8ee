#ifndef EDGE_TABLE_H
#define EDGE_TABLE_H

/** @file
 *  One version of the routing table: which host and path map to which service,
 *  with which limits, and which API key belongs to which client account.
 *  Read-only once built, and shared by reference counting. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "edge_regions.h"

/** Kind of a route, which decides what may be retried. */
enum edge_route_kind
{
  /** Idempotent, with one complete response. */
  EDGE_ROUTE_IDEMPOTENT,
  /** Runs at most once, with one complete response. */
  EDGE_ROUTE_AT_MOST_ONCE,
  /** A stream of events; idempotent only if the route is resumable. */
  EDGE_ROUTE_STREAM
};

/** A service with targets. */
struct edge_service
{
  char *name;
  /** The targets are language model engines. */
  bool is_engine;
  /** Number of requests that one target runs at a time, and number of tokens
   *  that its KV cache holds. */
  uint32_t slots;
  uint64_t kv_tokens;
  /** Maximum number of tokens in one event of a stream. */
  uint32_t tokens_per_event;
  /** Requests a second that a cold target tolerates; 0: targets of the service
   *  are never cold. */
  double cold_per_s;
};

/** A weighted share of a route's traffic. */
struct edge_route_share
{
  const struct edge_service *service;
  uint32_t weight;
};

/** A client account, which owns its name and regions. */
struct edge_account
{
  char *name;
  /** The account's priority replaces the route's. */
  bool has_priority;
  uint32_t priority;
  bool is_prepaid;
  uint64_t prepaid_tokens;
  /** Regions in which its requests may be served; NULL: any. */
  struct edge_regions *regions;
};

/** A route, which owns its strings, shares and regions. */
struct edge_route
{
  char *name;
  char *host;
  /** Path prefix, which begins and ends with a slash. */
  char *path_prefix;
  enum edge_route_kind kind;
  /** A stream may be resumed at another target after its last event. */
  bool is_resumable;
  /** Requests need no API key. */
  bool is_public;
  /** Limit on the caller's wait, in milliseconds; 0 when there is none. */
  uint32_t timeout_ms;
  /** Latency objective, in milliseconds; 0 when there is none. */
  uint32_t latency_objective_ms;
  /** Priority of the route; 0 is the most urgent. */
  uint32_t priority;
  /** Maximum number of attempts that may have run. */
  uint32_t max_attempts;
  struct edge_route_share *shares;
  uint32_t share_count;
  /** Regions in which requests may be served; NULL: any.  Where the account
   *  has some too, both bind. */
  struct edge_regions *regions;
};

/** Limit of a request's body where a table sets none, in bytes. */
#define EDGE_TABLE_BODY_MAX_BYTES (8u * 1024 * 1024)

struct edge_table;

/** Creates an empty table of @p version with one reference. */
struct edge_table *edge_table_create (uint64_t version);
/** Adds a reference and returns the table. */
struct edge_table *edge_table_ref (struct edge_table *table);
/** Drops a reference.  NULL is allowed. */
void edge_table_unref (struct edge_table *table);
/** Returns the version of the table. */
uint64_t edge_table_version (const struct edge_table *table);

/** Adds a service.  Returns NULL when the name is taken. */
struct edge_service *edge_table_add_service (struct edge_table *table,
                                             const char *name);
/** Adds a route with host and prefix set; the caller fills in the other
 *  members.  Returns NULL when a route with the same host and prefix
 *  exists. */
struct edge_route *edge_table_add_route (struct edge_table *table,
                                         const char *host,
                                         const char *path_prefix);
/** Adds a client account.  Returns NULL when the name is taken. */
struct edge_account *edge_table_add_account (struct edge_table *table,
                                             const char *name);
/** Assigns an API key to the account.  Returns false when the key is taken. */
bool edge_table_add_key (struct edge_table *table, const char *key,
                         struct edge_account *account);
/** Sets the limit of a request's body, in bytes. */
void edge_table_set_body_max (struct edge_table *table, uint32_t bytes);
/** Returns the limit of a request's body, in bytes;
 *  EDGE_TABLE_BODY_MAX_BYTES where none was set. */
uint32_t edge_table_body_max_bytes (const struct edge_table *table);
/** Sets the timeout of idle connections of callers, in milliseconds. */
void edge_table_set_idle_timeout (struct edge_table *table, uint32_t idle_ms);
/** Returns the timeout of idle connections of callers, in milliseconds. */
uint32_t edge_table_idle_timeout_ms (const struct edge_table *table);

/** Returns the service of that name, or NULL. */
const struct edge_service *
edge_table_find_service (const struct edge_table *table, const char *name);
/** Returns the route with the longest prefix of @p path, or NULL.  The host is
 *  compared without its port and regardless of case. */
const struct edge_route *edge_table_find_route (const struct edge_table *table,
                                                const char *host,
                                                const char *path);
/** Returns the account that the API key belongs to, or NULL. */
const struct edge_account *
edge_table_find_account_by_key (const struct edge_table *table,
                                const char *key);
/** Returns whether the table has accounts, so that requests need API keys. */
bool edge_table_has_accounts (const struct edge_table *table);
/** Calls @p visit for each account. */
void edge_table_visit_accounts (const struct edge_table *table,
                                void (*visit) (void *context,
                                               const struct edge_account *),
                                void *context);

#endif
