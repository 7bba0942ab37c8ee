#ifndef ADMISSION_CLASS_H
#define ADMISSION_CLASS_H

/** @file
 *  Waiting requests of one class of one service.  Client accounts are
 *  served in turn by start-time fair queueing. */

#include <glib.h>

#include "admission.h"
#include "admission_heap.h"
#include "admission_rate.h"

struct admission_class;

/** Waiting requests of one account in one class. */
struct admission_flow
{
  struct admission_class *class_queue;
  uint64_t account_id;
  uint32_t weight;
  uint32_t count;
  struct admission_entry *head;
  struct admission_entry *tail;
  /** Virtual start time of the first request, and virtual finish time of
   *  the request popped last. */
  uint64_t start;
  uint64_t finish;
  uint32_t heap_index;
};

/** Queue of the requests of one class. */
struct admission_class
{
  uint32_t class_hash;
  uint32_t priority;
  uint32_t ageing_ms;
  uint32_t count;
  /** Time in ms from which the class ages: when it was last served, or when it
   *  last became non-empty. */
  uint64_t turn_ms;
  uint64_t virtual_time;
  /** Sum of the weights of the flows that have requests. */
  uint64_t active_weight;
  /** Flows (struct admission_flow) by account. */
  GHashTable *flows;
  /** Flows that have requests, ordered by virtual start time. */
  struct admission_heap active;
  struct admission_rate rate;
};

/** Creates an empty class. */
struct admission_class *admission_class_create (uint32_t class_hash);
/** Frees the class; the caller owns the entries. */
void admission_class_destroy (struct admission_class *class_queue);
/** Appends a request to the flow of its account. */
void admission_class_push (struct admission_class *class_queue,
                           struct admission_entry *entry, uint64_t now_ms);
/** Removes and returns the next request; the class must not be empty. */
struct admission_entry *
admission_class_pop (struct admission_class *class_queue, uint64_t now_ms);
/** Puts the request popped last back at the head of its flow. */
void admission_class_unpop (struct admission_class *class_queue,
                            struct admission_entry *entry);
/** Removes a given request. */
void admission_class_remove (struct admission_class *class_queue,
                             struct admission_entry *entry);
/** Returns the priority after ageing; lower is served first. */
int64_t admission_class_rank (const struct admission_class *class_queue,
                              uint64_t now_ms);
/** Estimates the number of requests of this class that are served before a
 *  new one. */
double
admission_class_requests_ahead (const struct admission_class *class_queue,
                                const struct admission_entry *entry);

#endif
