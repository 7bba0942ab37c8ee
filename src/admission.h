#ifndef ADMISSION_H
#define ADMISSION_H

/** @file
 *  Queue of the requests of one router that wait for a target.  Classes are
 *  served by priority with ageing: a class rises by one priority for each
 *  ageing time that it waits without being served.  Inside a class the client
 *  accounts are served in proportion to their weights.  Queue length and
 *  waiting time are bounded for each class.  No I/O and no locks; the caller
 *  serialises access. */

#include <stdbool.h>
#include <stdint.h>

/** Waiting requests of one account in one class of one service. */
struct admission_flow;

/** A waiting request.  Embed it in the request, and don't move it while it
 *  is queued. */
struct admission_entry
{
  /** Hash of the service's name; the entries of one service form one queue. */
  uint64_t service_hash;
  uint64_t account_id;
  /** Weight of the account, 1 to 1000; accounts are served in proportion to
   *  it. */
  uint32_t account_weight;
  /** Priority of the class as in the bundle; lower is served first. */
  uint32_t priority;
  uint32_t class_hash;
  /** Maximum number of requests of the class that wait for one service. */
  uint32_t queue_limit;
  /** Maximum time in the queue, in ms. */
  uint32_t queue_ms;
  /** Waiting time in ms for which the class rises by one priority; 0 disables
   *  the rise. */
  uint32_t ageing_ms;
  /** The members from here on are set by the queue. */
  uint64_t enqueued_ms;
  uint64_t virtual_start;
  uint64_t expires_ms;
  uint64_t previous_turn_ms;
  uint32_t expiry_index;
  struct admission_flow *flow;
  bool queued;
  struct admission_entry *next;
  struct admission_entry *previous;
};

/** Whether a request was queued, or why not. */
enum admission_outcome
{
  ADMISSION_QUEUED,
  /** The queue of the class is full. */
  ADMISSION_FULL,
  /** At the present service rate the request would wait longer than its
   *  queue_ms. */
  ADMISSION_TOO_LATE
};

struct admission;

/** Creates an empty queue. */
struct admission *admission_create (void);
/** Frees the queue; the caller owns the entries. */
void admission_destroy (struct admission *admission);
/** Queues a request.  If it is refused, sets @p retry_after_ms to the time
 *  after which the caller may retry. */
enum admission_outcome admission_push (struct admission *admission,
                                       struct admission_entry *entry,
                                       uint64_t now_ms,
                                       uint32_t *retry_after_ms);
/** Removes and returns the next request of a service.  Returns NULL when none
 *  waits. */
struct admission_entry *admission_pop (struct admission *admission,
                                       uint64_t service_hash, uint64_t now_ms);
/** Pops as admission_pop does, but skips the @p count classes in
 *  @p class_hashes, for which no target was free. */
struct admission_entry *admission_pop_except (struct admission *admission,
                                              uint64_t service_hash,
                                              uint64_t now_ms,
                                              const uint32_t *class_hashes,
                                              uint32_t count);
/** Puts the request popped last back at its previous position, for example
 *  when no target was free. */
void admission_unpop (struct admission *admission,
                      struct admission_entry *entry);
/** Removes a request, for example when its caller disconnected.  A request
 *  that isn't queued is left as it is. */
void admission_remove (struct admission *admission,
                       struct admission_entry *entry);
/** Removes and returns one request that waited longer than its queue_ms.
 *  Returns NULL when there is none. */
struct admission_entry *admission_expire (struct admission *admission,
                                          uint64_t now_ms);
/** Counts a served request of the service, for the estimate of the service
 *  rate. */
void admission_served (struct admission *admission, uint64_t service_hash,
                       uint64_t now_ms);
/** Returns the number of waiting requests. */
uint32_t admission_count (const struct admission *admission);
/** Returns the time in ms, from 1000 to 60000, after which a refused caller
 *  may retry, computed from queue length and service rate. */
uint32_t admission_retry_after_ms (const struct admission *admission,
                                   uint64_t service_hash);

#endif
