#ifndef REGISTRY_STATE_H
#define REGISTRY_STATE_H

/** @file
 *  Internal state of a registry, shared by its source files. */

#include <pthread.h>

#include <ck_epoch.h>
#include <glib.h>

#include "registry.h"
#include "registry_view.h"

struct registry_service;

/** Entry of one target. */
struct registry_entry
{
  struct registry_record record;
  uint64_t identity;
  uint64_t change;
  /** Whether the record has expired.  It is then hidden, and kept only to
   *  reject late copies. */
  bool lapsed;
  /** last_report_ms of the record when @ref change was assigned. */
  uint64_t changed_report_ms;
  /** Position in the registry's array of entries. */
  guint index;
  struct registry_load *load;
  struct registry_service *service;
  /** Link in the list of entries by change. */
  GList link;
};

/** Targets of one service and their current view. */
struct registry_service
{
  char name[CACTUS_NAME_BYTES + 1];
  /** Entries (struct registry_entry). */
  GPtrArray *entries;
  struct registry_view_holder *view;
  bool dirty;
};

struct registry_reader
{
  ck_epoch_record_t record;
  /** Number of completed reads.  It is stored with release order at the end
   *  of a read and loaded before a table is freed, so that the order also
   *  holds by the C11 memory model and thread sanitizers can check it. */
  uint64_t ended;
  struct registry *registry;
  struct registry_reader *next;
};

struct registry
{
  uint32_t lapse_ms;
  /** Availability zone of this router; when empty, every zone counts as its
   *  own. */
  char local_zone[CACTUS_NAME_BYTES + 1];
  pthread_mutex_t mutex;
  ck_epoch_t epoch;
  /** Reader whose epoch record is used by the thread that holds the mutex. */
  struct registry_reader *writer;
  /** All readers ever created; freed with the registry. */
  struct registry_reader *readers;
  /** Published table; readers load it with acquire order. */
  struct registry_table *table;
  GPtrArray *entries;
  GHashTable *by_target;
  GHashTable *by_identity;
  GHashTable *services;
  GHashTable *drained;
  /** Entries in ascending order of change number. */
  GQueue by_change;
  uint64_t change;
  size_t live;
};

/** Creates a reader, or reuses one that was destroyed; the caller holds the
 *  mutex. */
struct registry_reader *registry_reader_allocate (struct registry *registry);
/** Returns the monotonic time in ms at which the record expires. */
uint64_t registry_lapse_at (const struct registry *registry,
                            const struct registry_record *record);
/** Rebuilds the views of changed services and publishes a new table; the
 *  caller holds the mutex. */
void registry_publish (struct registry *registry);

#endif
