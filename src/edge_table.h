#ifndef EDGE_TABLE_H
#define EDGE_TABLE_H

/** @file
 *  One version of the routes in force: which host and path goes to which
 *  service, under which limits, and which key belongs to which client account.
 *  Built once, then shared read-only by reference. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What may be repeated. */
enum edge_route_kind
{
  /** Idempotent, one whole answer. */
  EDGE_SAFE,
  /** At most once, one whole answer. */
  EDGE_UNSAFE,
  /** A stream of events; idempotent only where it may be resumed. */
  EDGE_STREAM
};

/** A service with targets. */
struct edge_service
{
  char *name;
  /** Its targets are model engines. */
  bool is_engine;
  /** Requests that one target runs at once, and tokens its memory holds. */
  uint32_t slots;
  uint64_t kv_tokens;
  /** Most tokens in one event of a stream. */
  uint32_t tokens_per_event;
};

/** A part of a route's traffic. */
struct edge_route_share
{
  const struct edge_service *service;
  uint32_t weight;
};

/** A client account. */
struct edge_account
{
  char *name;
  bool has_priority;
  uint32_t priority;
  bool is_prepaid;
  uint64_t prepaid_tokens;
};

/** A route; strings are its own. */
struct edge_route
{
  char *name;
  char *host;
  /** Begins and ends with a slash. */
  char *path_prefix;
  enum edge_route_kind kind;
  /** Streams: may go on at another target after their last event. */
  bool is_resumable;
  /** Needs no key. */
  bool is_public;
  /** Time after which the caller is not kept waiting, in milliseconds. */
  uint32_t timeout_ms;
  /** Latency objective, in milliseconds. */
  uint32_t target_latency_ms;
  /** 0 is the most urgent. */
  uint32_t priority;
  uint32_t max_attempts;
  struct edge_route_share *shares;
  uint32_t share_count;
};

struct edge_table;

/** Makes an empty table of @p version; one reference. */
struct edge_table *edge_table_create (uint64_t version);
/** Adds a reference. */
struct edge_table *edge_table_ref (struct edge_table *table);
/** Drops a reference; NULL is allowed. */
void edge_table_unref (struct edge_table *table);
uint64_t edge_table_version (const struct edge_table *table);

/** Adds a service, or NULL when its name is taken. */
struct edge_service *edge_table_add_service (struct edge_table *table,
                                             const char *name);
/** Adds a route that is filled in by the caller, but for host and prefix;
 *  NULL when another route has both. */
struct edge_route *edge_table_add_route (struct edge_table *table,
                                         const char *host,
                                         const char *path_prefix);
/** Adds a client account, or NULL when its name is taken. */
struct edge_account *edge_table_add_account (struct edge_table *table,
                                             const char *name);
/** Gives the account a key; false when the key is taken. */
bool edge_table_add_key (struct edge_table *table, const char *key,
                         struct edge_account *account);
/** Longest time that an idle caller's connection is kept, in milliseconds. */
void edge_table_set_idle_timeout (struct edge_table *table, uint32_t idle_ms);
uint32_t edge_table_idle_timeout_ms (const struct edge_table *table);

/** Service of that name, or NULL. */
const struct edge_service *
edge_table_find_service (const struct edge_table *table, const char *name);
/** Route with the longest prefix that begins @p path, or NULL.  @p host may
 *  carry a port. */
const struct edge_route *edge_table_find_route (const struct edge_table *table,
                                                const char *host,
                                                const char *path);
/** Account that holds the key, or NULL. */
const struct edge_account *
edge_table_find_account_by_key (const struct edge_table *table,
                                const char *key);
/** Whether requests need keys at all. */
bool edge_table_has_accounts (const struct edge_table *table);
/** Calls @p visit for each account. */
void edge_table_visit_accounts (const struct edge_table *table,
                                void (*visit) (void *context,
                                               const struct edge_account *),
                                void *context);

#endif
