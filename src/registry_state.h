#ifndef REGISTRY_STATE_H
#define REGISTRY_STATE_H

/** @file
 *  State of a registry, shared by the files that write and that query it. */

#include <pthread.h>

#include <ck_epoch.h>
#include <glib.h>

#include "registry.h"
#include "registry_view.h"

struct registry_service;

/** What is known of one target. */
struct registry_entry
{
  struct registry_record record;
  uint64_t identity;
  uint64_t change;
  /** Whether the record lapsed: it is kept for the order of late copies and
   *  shown to nobody. */
  bool lapsed;
  /** last_report_ms of the record at that change. */
  uint64_t changed_heard_ms;
  /** Position in the registry's array. */
  guint index;
  struct registry_load *load;
  struct registry_service *service;
  /** Link in the list by change. */
  GList link;
};

/** Targets of one service and their newest view. */
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
  /** Number of reads that ended; orders them before the freeing of what they
   *  read in C11's terms too, so that thread sanitizers can check it. */
  uint64_t ended;
  struct registry *registry;
  struct registry_reader *next;
};

struct registry
{
  uint32_t lapse_ms;
  /** The own availability zone; empty: all are. */
  char home[CACTUS_NAME_BYTES + 1];
  pthread_mutex_t mutex;
  ck_epoch_t epoch;
  /** Record of whichever thread writes; under the mutex. */
  struct registry_reader *writer;
  /** All readers ever made; freed with the registry. */
  struct registry_reader *readers;
  /** Published; loaded by readers with acquire order. */
  struct registry_table *table;
  GPtrArray *entries;
  GHashTable *by_target;
  GHashTable *by_identity;
  GHashTable *services;
  GHashTable *drained;
  /** Entries in ascending order of change. */
  GQueue by_change;
  uint64_t change;
  size_t live;
};

/** A reader with a record of the epoch, a recycled one where there is one;
 *  under the mutex. */
struct registry_reader *registry_reader_new (struct registry *registry);
/** Monotonic time at which the record lapses, in ms. */
uint64_t registry_lapse_at (const struct registry *registry,
                            const struct registry_record *record);
/** Swaps the table for one with the views of changed services rebuilt; under
 *  the mutex. */
void registry_publish (struct registry *registry);

#endif
