#ifndef REGISTRY_VIEW_H
#define REGISTRY_VIEW_H

/** @file
 *  Immutable views of services and the table that finds them by name. */

#include <glib.h>

#include "registry.h"

/** A view with its owner's count and service. */
struct registry_view_holder
{
  struct registry_view view;
  /** Tables that hold it; changed by the registry's writer only. */
  uint32_t references;
  char service[CACTUS_NAME_BYTES + 1];
  uint64_t service_hash;
};

/** Views by service; immutable once published. */
struct registry_table
{
  /** Buckets, a power of two; NULL where empty (linear probing). */
  uint32_t bucket_count;
  struct registry_view_holder **buckets;
};

/** Builds a view of @p targets (struct registry_target), which are copied and
 *  their loads referenced; sorts @p targets. */
struct registry_view_holder *registry_view_build (const char *service,
                                                  GArray *targets);
/** Adds a reference. */
struct registry_view_holder *
registry_view_ref (struct registry_view_holder *holder);
/** Drops a reference; the last one frees the view. */
void registry_view_unref (struct registry_view_holder *holder);

/** Builds a table of @p views (struct registry_view_holder), referenced. */
struct registry_table *registry_table_build (const GPtrArray *views);
/** Drops the views and frees the table. */
void registry_table_destroy (struct registry_table *table);
/** Finds the view of a service, or NULL. */
const struct registry_view *
registry_table_find (const struct registry_table *table, const char *service);

#endif
