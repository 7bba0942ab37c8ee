#include "edge_table.h"

#include <string.h>

#include <glib.h>

#define DEFAULT_IDLE_TIMEOUT_MS 60000

struct edge_table
{
  gatomicrefcount references;
  uint64_t version;
  uint32_t idle_ms;
  uint32_t body_max_bytes;
  /* Services (struct edge_service) by name. */
  GHashTable *services;
  /* Routes (struct edge_route) by host and path prefix, concatenated. */
  GHashTable *routes;
  /* Accounts (struct edge_account) by name, and by API key. */
  GHashTable *accounts;
  GHashTable *keys;
};

static void
free_service (gpointer data)
{
  struct edge_service *service = data;
  g_free (service->name);
  g_free (service);
}

static void
free_route (gpointer data)
{
  struct edge_route *route = data;
  g_free (route->name);
  g_free (route->host);
  g_free (route->path_prefix);
  g_free (route->shares);
  edge_regions_destroy (route->regions);
  g_free (route);
}

static void
free_account (gpointer data)
{
  struct edge_account *account = data;
  edge_regions_destroy (account->regions);
  g_free (account->name);
  g_free (account);
}

struct edge_table *
edge_table_create (uint64_t version)
{
  struct edge_table *table = g_new0 (struct edge_table, 1);
  g_atomic_ref_count_init (&table->references);
  table->version = version;
  table->idle_ms = DEFAULT_IDLE_TIMEOUT_MS;
  table->body_max_bytes = EDGE_TABLE_BODY_MAX_BYTES;
  table->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  table->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_route);
  table->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_account);
  table->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return table;
}

struct edge_table *
edge_table_ref (struct edge_table *table)
{
  g_atomic_ref_count_inc (&table->references);
  return table;
}

void
edge_table_unref (struct edge_table *table)
{
  if (!table || !g_atomic_ref_count_dec (&table->references))
    return;
  g_hash_table_unref (table->keys);
  g_hash_table_unref (table->accounts);
  g_hash_table_unref (table->routes);
  g_hash_table_unref (table->services);
  g_free (table);
}

uint64_t
edge_table_version (const struct edge_table *table)
{
  return table->version;
}

struct edge_service *
edge_table_add_service (struct edge_table *table, const char *name)
{
  if (g_hash_table_contains (table->services, name))
    return NULL;
  struct edge_service *service = g_new0 (struct edge_service, 1);
  service->name = g_strdup (name);
  g_hash_table_insert (table->services, service->name, service);
  return service;
}

/* Returns the host name in lower case and without its port. */
static char *
normalize_host (const char *host)
{
  const char *colon = strrchr (host, ':');
  char *name
      = colon ? g_strndup (host, (gsize)(colon - host)) : g_strdup (host);
  char *folded = g_ascii_strdown (name, -1);
  g_free (name);
  return folded;
}

struct edge_route *
edge_table_add_route (struct edge_table *table, const char *host,
                      const char *path_prefix)
{
  char *folded = normalize_host (host);
  char *route_key = g_strconcat (folded, path_prefix, NULL);
  if (g_hash_table_contains (table->routes, route_key))
    {
      g_free (folded);
      g_free (route_key);
      return NULL;
    }
  struct edge_route *route = g_new0 (struct edge_route, 1);
  route->host = folded;
  route->path_prefix = g_strdup (path_prefix);
  g_hash_table_insert (table->routes, route_key, route);
  return route;
}

struct edge_account *
edge_table_add_account (struct edge_table *table, const char *name)
{
  if (g_hash_table_contains (table->accounts, name))
    return NULL;
  struct edge_account *account = g_new0 (struct edge_account, 1);
  account->name = g_strdup (name);
  g_hash_table_insert (table->accounts, account->name, account);
  return account;
}

bool
edge_table_add_key (struct edge_table *table, const char *key,
                    struct edge_account *account)
{
  if (g_hash_table_contains (table->keys, key))
    return false;
  g_hash_table_insert (table->keys, g_strdup (key), account);
  return true;
}

void
edge_table_set_body_max (struct edge_table *table, uint32_t bytes)
{
  table->body_max_bytes = bytes;
}

uint32_t
edge_table_body_max_bytes (const struct edge_table *table)
{
  return table->body_max_bytes;
}

void
edge_table_set_idle_timeout (struct edge_table *table, uint32_t idle_ms)
{
  table->idle_ms = idle_ms;
}

uint32_t
edge_table_idle_timeout_ms (const struct edge_table *table)
{
  return table->idle_ms;
}

const struct edge_service *
edge_table_find_service (const struct edge_table *table, const char *name)
{
  return g_hash_table_lookup (table->services, name);
}

const struct edge_route *
edge_table_find_route (const struct edge_table *table, const char *host,
                       const char *path)
{
  char *folded = normalize_host (host);
  size_t host_bytes = strlen (folded);
  char *route_key = g_strconcat (folded, path, NULL);
  const struct edge_route *route = NULL;
  /* Tries the prefixes of the path that end with a slash, longest first. */
  for (size_t end = strlen (route_key); !route && end > host_bytes; end--)
    {
      if (route_key[end - 1] != '/')
        continue;
      route_key[end] = '\0';
      route = g_hash_table_lookup (table->routes, route_key);
    }
  g_free (route_key);
  g_free (folded);
  return route;
}

const struct edge_account *
edge_table_find_account_by_key (const struct edge_table *table,
                                const char *key)
{
  return g_hash_table_lookup (table->keys, key);
}

bool
edge_table_has_accounts (const struct edge_table *table)
{
  return g_hash_table_size (table->accounts) > 0;
}

void
edge_table_visit_accounts (const struct edge_table *table,
                           void (*visit) (void *context,
                                          const struct edge_account *),
                           void *context)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, table->accounts);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    visit (context, value);
}
