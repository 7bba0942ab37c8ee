#ifndef REGISTRY_VIEW_H
#define REGISTRY_VIEW_H

/** @file
 *  Immutable views of services, and the hash table that finds them by
 *  service name. */

#include <glib.h>

#include "registry.h"

/** A view with its reference count and service. */
struct registry_view_holder
{
  struct registry_view view;
  /** Number of references; changed by the registry's writer only. */
  uint32_t references;
  char service[CACTUS_NAME_BYTES + 1];
  uint64_t service_hash;
};

/** Views by service name; immutable once published. */
struct registry_table
{
  /** Number of buckets, a power of two.  Empty buckets are NULL; collisions
   *  use linear probing. */
  uint32_t bucket_count;
  struct registry_view_holder **buckets;
};

/** Builds a view of @p targets (struct registry_target); sorts and copies
 *  them, and takes a reference on their loads. */
struct registry_view_holder *registry_view_build (const char *service,
                                                  GArray *targets);
/** Adds a reference. */
struct registry_view_holder *
registry_view_ref (struct registry_view_holder *holder);
/** Drops a reference; the last one frees the view. */
void registry_view_unref (struct registry_view_holder *holder);

/** Builds a table of @p views (struct registry_view_holder) and takes a
 *  reference on each. */
struct registry_table *registry_table_build (const GPtrArray *views);
/** Drops the references on the views and frees the table. */
void registry_table_destroy (struct registry_table *table);
/** Returns the view of a service, or NULL. */
const struct registry_view *
registry_table_find (const struct registry_table *table, const char *service);

#endif
