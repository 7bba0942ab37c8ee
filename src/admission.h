#ifndef ADMISSION_H
#define ADMISSION_H

/** @file
 *  Queue of requests that wait for a target on one router: classes by
 *  priority with ageing (a class rises by one for each ageing time that it
 *  waits without a turn), client accounts in fair turns inside a class,
 *  bounded by limit and deadline.  A core; the caller serialises access. */

#include <stdbool.h>
#include <stdint.h>

/** Waiting requests of one account in one class of one service. */
struct admission_flow;

/** A waiting request; embed it in the request and keep it in place. */
struct admission_entry
{
  /** Service it waits for; entries of one service form one queue. */
  uint64_t service_hash;
  uint64_t account_id;
  /** Fair share of the account, 1 to 1000. */
  uint32_t account_weight;
  /** As in the bundle's class. */
  uint32_t priority;
  uint32_t class_hash;
  /** Most requests of the class waiting for one service. */
  uint32_t queue_limit;
  uint32_t queue_ms;
  uint32_t ageing_ms;
  /** Set by the queue. */
  uint64_t enqueued_ms;
  uint64_t virtual_start;
  uint64_t expires_ms;
  uint64_t turn_before_ms;
  uint32_t expiry_index;
  struct admission_flow *flow;
  bool queued;
  struct admission_entry *next;
  struct admission_entry *previous;
};

/** Why a request may not wait. */
enum admission_outcome
{
  ADMISSION_QUEUED,
  /** The class's queue is full. */
  ADMISSION_FULL,
  /** At the present rate it would wait past its limit. */
  ADMISSION_TOO_LATE
};

struct admission;

/** Makes an empty queue. */
struct admission *admission_create (void);
/** Frees it; entries are the caller's. */
void admission_destroy (struct admission *admission);
/** Puts a request in the queue; on refusal @p retry_after_ms says when to
 *  come back. */
enum admission_outcome admission_push (struct admission *admission,
                                       struct admission_entry *entry,
                                       uint64_t now_ms,
                                       uint32_t *retry_after_ms);
/** Takes the next request of a service, or NULL. */
struct admission_entry *admission_pop (struct admission *admission,
                                       uint64_t service_hash, uint64_t now_ms);
/** The same, passing over @p count classes given by hash: those for which no
 *  target was free in this round. */
struct admission_entry *admission_pop_except (struct admission *admission,
                                              uint64_t service_hash,
                                              uint64_t now_ms,
                                              const uint32_t *class_hashes,
                                              uint32_t count);
/** Puts the request that was popped last back in its former place (no target
 *  was free). */
void admission_unpop (struct admission *admission,
                      struct admission_entry *entry);
/** Takes one given request out (its caller left). */
void admission_remove (struct admission *admission,
                       struct admission_entry *entry);
/** Takes out one request that waited past its limit, or NULL. */
struct admission_entry *admission_expire (struct admission *admission,
                                          uint64_t now_ms);
/** Tells the queue that a request of the service was served, for its estimate
 *  of the rate. */
void admission_served (struct admission *admission, uint64_t service_hash,
                       uint64_t now_ms);
/** Number waiting. */
uint32_t admission_count (const struct admission *admission);
/** When to come back, in ms, by queue length and rate of service. */
uint32_t admission_retry_after_ms (const struct admission *admission,
                                   uint64_t service_hash);

#endif
