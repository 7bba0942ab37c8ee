#include "admission.h"

#include <glib.h>

#include "admission_class.h"
#include "admission_heap.h"
#include "admission_rate.h"

#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 60000

/* Queue of one service. */
struct admission_service
{
  uint64_t service_hash;
  uint32_t count;
  /* Classes (struct admission_class) of the service; few, so they are
     searched linearly. */
  GPtrArray *classes;
  struct admission_rate rate;
};

struct admission
{
  uint32_t count;
  /* Queues (struct admission_service) by hash of the service. */
  GHashTable *services;
  /* Entries ordered by expiry time. */
  struct admission_heap expiry;
};

static bool
expires_before (const void *left, const void *right)
{
  const struct admission_entry *a = left;
  const struct admission_entry *b = right;
  return a->expires_ms < b->expires_ms;
}

static uint32_t *
expiry_index_of (void *item)
{
  return &((struct admission_entry *)item)->expiry_index;
}

static const struct admission_heap_order expiry_order
    = { .before = expires_before, .heap_index = expiry_index_of };

static void
destroy_class (gpointer data)
{
  admission_class_destroy (data);
}

static void
destroy_service (gpointer data)
{
  struct admission_service *service = data;
  g_ptr_array_free (service->classes, TRUE);
  g_free (service);
}

struct admission *
admission_create (void)
{
  struct admission *admission = g_new0 (struct admission, 1);
  admission->services = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                               NULL, destroy_service);
  admission->expiry.order = &expiry_order;
  return admission;
}

void
admission_destroy (struct admission *admission)
{
  if (!admission)
    return;
  admission_heap_clear (&admission->expiry);
  g_hash_table_destroy (admission->services);
  g_free (admission);
}

static struct admission_service *
find_service (const struct admission *admission, uint64_t service_hash)
{
  return g_hash_table_lookup (admission->services, &service_hash);
}

static struct admission_service *
find_or_add_service (struct admission *admission, uint64_t service_hash)
{
  struct admission_service *service = find_service (admission, service_hash);
  if (service)
    return service;
  service = g_new0 (struct admission_service, 1);
  service->service_hash = service_hash;
  service->classes = g_ptr_array_new_with_free_func (destroy_class);
  g_hash_table_insert (admission->services, &service->service_hash, service);
  return service;
}

static struct admission_class *
find_or_add_class (struct admission_service *service, uint32_t class_hash)
{
  for (guint i = 0; i < service->classes->len; i++)
    {
      struct admission_class *class_queue
          = g_ptr_array_index (service->classes, i);
      if (class_queue->class_hash == class_hash)
        return class_queue;
    }
  struct admission_class *class_queue = admission_class_create (class_hash);
  g_ptr_array_add (service->classes, class_queue);
  return class_queue;
}

static void
advance_rates (struct admission_service *service, uint64_t now_ms)
{
  admission_rate_advance (&service->rate, service->count, now_ms);
  for (guint i = 0; i < service->classes->len; i++)
    {
      struct admission_class *class_queue
          = g_ptr_array_index (service->classes, i);
      admission_rate_advance (&class_queue->rate, class_queue->count, now_ms);
    }
}

/* Number of waiting requests in classes whose priority value is below
   @p priority, which are more urgent. */
static uint32_t
count_more_urgent (const struct admission_service *service, uint32_t priority)
{
  uint32_t waiting = 0;
  for (guint i = 0; i < service->classes->len; i++)
    {
      const struct admission_class *class_queue
          = g_ptr_array_index (service->classes, i);
      if (class_queue->priority < priority)
        waiting += class_queue->count;
    }
  return waiting;
}

/* Expected wait of a new request in ms.  It uses the rate of the class, which
   already excludes what other classes use of the service, or the rate of the
   service while that of the class isn't known. */
static uint64_t
expected_wait_ms (const struct admission_service *service,
                  const struct admission_class *class_queue,
                  const struct admission_entry *entry)
{
  double ahead = admission_class_requests_ahead (class_queue, entry);
  uint64_t by_class_ms = admission_rate_wait_ms (&class_queue->rate, ahead);
  if (by_class_ms > 0)
    return by_class_ms;
  ahead += count_more_urgent (service, entry->priority);
  return admission_rate_wait_ms (&service->rate, ahead);
}

static uint32_t
clamp_retry_after_ms (uint64_t wait_ms)
{
  return (uint32_t)CLAMP (wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

enum admission_outcome
admission_push (struct admission *admission, struct admission_entry *entry,
                uint64_t now_ms, uint32_t *retry_after_ms)
{
  struct admission_service *service
      = find_or_add_service (admission, entry->service_hash);
  struct admission_class *class_queue
      = find_or_add_class (service, entry->class_hash);
  advance_rates (service, now_ms);
  uint64_t wait_ms = expected_wait_ms (service, class_queue, entry);
  if (class_queue->count >= entry->queue_limit)
    {
      *retry_after_ms = clamp_retry_after_ms (wait_ms);
      return ADMISSION_FULL;
    }
  if (wait_ms > entry->queue_ms)
    {
      *retry_after_ms = clamp_retry_after_ms (wait_ms - entry->queue_ms);
      return ADMISSION_TOO_LATE;
    }
  entry->enqueued_ms = now_ms;
  entry->expires_ms = now_ms + entry->queue_ms;
  entry->queued = true;
  admission_class_push (class_queue, entry, now_ms);
  admission_heap_add (&admission->expiry, entry);
  service->count++;
  admission->count++;
  *retry_after_ms = 0;
  return ADMISSION_QUEUED;
}

static bool
is_skipped (const struct admission_class *class_queue,
            const uint32_t *class_hashes, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (class_hashes[i] == class_queue->class_hash)
      return true;
  return false;
}

/* Whether @p left is served before @p right. */
static bool
is_served_before (const struct admission_class *left,
                  const struct admission_class *right, uint64_t now_ms)
{
  int64_t left_rank = admission_class_rank (left, now_ms);
  int64_t right_rank = admission_class_rank (right, now_ms);
  if (left_rank != right_rank)
    return left_rank < right_rank;
  if (left->turn_ms != right->turn_ms)
    return left->turn_ms < right->turn_ms;
  return left->priority < right->priority;
}

static struct admission_class *
choose_class (const struct admission_service *service, uint64_t now_ms,
              const uint32_t *class_hashes, uint32_t count)
{
  struct admission_class *next = NULL;
  for (guint i = 0; i < service->classes->len; i++)
    {
      struct admission_class *class_queue
          = g_ptr_array_index (service->classes, i);
      if (class_queue->count == 0
          || is_skipped (class_queue, class_hashes, count))
        continue;
      if (!next || is_served_before (class_queue, next, now_ms))
        next = class_queue;
    }
  return next;
}

static void
leave_queue (struct admission *admission, struct admission_service *service,
             struct admission_entry *entry)
{
  admission_heap_remove (&admission->expiry, entry);
  entry->queued = false;
  service->count--;
  admission->count--;
}

struct admission_entry *
admission_pop_except (struct admission *admission, uint64_t service_hash,
                      uint64_t now_ms, const uint32_t *class_hashes,
                      uint32_t count)
{
  struct admission_service *service = find_service (admission, service_hash);
  if (!service || service->count == 0)
    return NULL;
  advance_rates (service, now_ms);
  struct admission_class *class_queue
      = choose_class (service, now_ms, class_hashes, count);
  if (!class_queue)
    return NULL;
  struct admission_entry *entry = admission_class_pop (class_queue, now_ms);
  admission_rate_count (&class_queue->rate, 1);
  leave_queue (admission, service, entry);
  return entry;
}

struct admission_entry *
admission_pop (struct admission *admission, uint64_t service_hash,
               uint64_t now_ms)
{
  return admission_pop_except (admission, service_hash, now_ms, NULL, 0);
}

void
admission_unpop (struct admission *admission, struct admission_entry *entry)
{
  struct admission_service *service
      = find_or_add_service (admission, entry->service_hash);
  struct admission_class *class_queue
      = find_or_add_class (service, entry->class_hash);
  admission_class_unpop (class_queue, entry);
  admission_rate_count (&class_queue->rate, -1);
  admission_heap_add (&admission->expiry, entry);
  entry->queued = true;
  service->count++;
  admission->count++;
}

void
admission_remove (struct admission *admission, struct admission_entry *entry)
{
  if (!entry->queued)
    return;
  struct admission_service *service
      = find_service (admission, entry->service_hash);
  admission_class_remove (entry->flow->class_queue, entry);
  leave_queue (admission, service, entry);
}

struct admission_entry *
admission_expire (struct admission *admission, uint64_t now_ms)
{
  struct admission_entry *entry = admission_heap_first (&admission->expiry);
  if (!entry || entry->expires_ms > now_ms)
    return NULL;
  advance_rates (find_service (admission, entry->service_hash), now_ms);
  admission_remove (admission, entry);
  return entry;
}

void
admission_served (struct admission *admission, uint64_t service_hash,
                  uint64_t now_ms)
{
  struct admission_service *service = find_service (admission, service_hash);
  if (!service)
    return;
  advance_rates (service, now_ms);
  if (service->count > 0)
    admission_rate_count (&service->rate, 1);
}

uint32_t
admission_count (const struct admission *admission)
{
  return admission->count;
}

uint32_t
admission_retry_after_ms (const struct admission *admission,
                          uint64_t service_hash)
{
  const struct admission_service *service
      = find_service (admission, service_hash);
  if (!service)
    return RETRY_AFTER_MIN_MS;
  return clamp_retry_after_ms (
      admission_rate_wait_ms (&service->rate, service->count));
}
