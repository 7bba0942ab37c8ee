#ifndef ADMISSION_CLASS_H
#define ADMISSION_CLASS_H

/** @file
 *  Waiting requests of one class of one service: client accounts in turns by
 *  start-time fair queueing. */

#include <glib.h>

#include "admission.h"
#include "admission_heap.h"
#include "admission_rate.h"

struct admission_class;

/** Waiting requests of one account in one class. */
struct admission_flow
{
  struct admission_class *owner;
  uint64_t account_id;
  uint32_t weight;
  uint32_t count;
  struct admission_entry *head;
  struct admission_entry *tail;
  /** Virtual start of the head, and finish of the last popped. */
  uint64_t start;
  uint64_t finish;
  uint32_t place;
};

/** Requests of one class. */
struct admission_class
{
  uint32_t class_hash;
  uint32_t priority;
  uint32_t ageing_ms;
  uint32_t count;
  /** Time from which the class ages: its last turn, or when it ceased to be
   *  empty. */
  uint64_t turn_ms;
  uint64_t virtual_time;
  /** Sum of weights of the flows that have requests. */
  uint64_t active_weight;
  /** struct admission_flow by account. */
  GHashTable *flows;
  /** Flows that have requests, by virtual start. */
  struct admission_heap active;
  struct admission_rate rate;
};

/** Makes an empty class. */
struct admission_class *admission_class_create (uint32_t class_hash);
/** Frees it; entries are the caller's. */
void admission_class_destroy (struct admission_class *owner);
/** Appends a request to its account's flow. */
void admission_class_push (struct admission_class *owner,
                           struct admission_entry *entry, uint64_t now_ms);
/** Takes the request whose turn it is; the class isn't empty. */
struct admission_entry *admission_class_pop (struct admission_class *owner,
                                             uint64_t now_ms);
/** Puts a popped request back as its flow's head. */
void admission_class_unpop (struct admission_class *owner,
                            struct admission_entry *entry);
/** Takes one given request out. */
void admission_class_remove (struct admission_class *owner,
                             struct admission_entry *entry);
/** Priority after ageing; lower is served first. */
int64_t admission_class_rank (const struct admission_class *owner,
                              uint64_t now_ms);
/** Number of requests of this class that go before a new one. */
double admission_class_ahead (const struct admission_class *owner,
                              const struct admission_entry *entry);

#endif
