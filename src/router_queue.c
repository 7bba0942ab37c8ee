#include "router_queue.h"

#include <stddef.h>
#include <string.h>

#include "base_clock.h"
#include "base_hash.h"
#include "base_random.h"
#include "pick.h"

/* Maximum number of classes skipped in one round because no target is free for
   them. */
#define BUSY_CLASSES_MAX 16

struct router_queue
{
  const char *availability_zone;
  const char *region;
  GMutex mutex;
  struct admission *admission;
  struct base_random random;
  uint32_t rank;
  uint32_t router_count;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static struct router_request *
request_of_entry (struct admission_entry *entry)
{
  return (struct router_request *)((char *)entry
                                   - offsetof (struct router_request, entry));
}

struct router_queue *
router_queue_create (const char *availability_zone, const char *region)
{
  struct router_queue *queue = g_new0 (struct router_queue, 1);
  queue->availability_zone = availability_zone;
  queue->region = region;
  queue->admission = admission_create ();
  g_mutex_init (&queue->mutex);
  base_random_seed (&queue->random, base_random_system_seed ());
  return queue;
}

void
router_queue_destroy (struct router_queue *queue)
{
  if (!queue)
    return;
  admission_destroy (queue->admission);
  g_mutex_clear (&queue->mutex);
  g_free (queue);
}

void
router_queue_set_rank (struct router_queue *queue, uint32_t rank,
                       uint32_t count)
{
  g_mutex_lock (&queue->mutex);
  queue->rank = rank;
  queue->router_count = count;
  g_mutex_unlock (&queue->mutex);
}

static void
set_choice (struct router_request *request,
            const struct registry_target *target)
{
  struct router_choice *choice = &request->choice;
  pick_acquire (target->load);
  choice->load = registry_load_ref (target->load);
  g_strlcpy (choice->target, target->record.target, sizeof choice->target);
  g_strlcpy (choice->address, target->record.address, sizeof choice->address);
  choice->port = target->record.port;
}

/* Called with the mutex held. */
static enum pick_outcome
choose (struct router_queue *queue, struct router_request *request,
        struct registry_reader *reader)
{
  const char *avoid[ROUTER_AVOIDED_TARGETS_MAX];
  const struct registry_target *chosen = NULL;
  enum pick_outcome outcome = PICK_NONE;
  struct pick_request wanted = { 0 };
  for (uint32_t i = 0; i < request->avoid_count; i++)
    avoid[i] = request->avoid[i];
  wanted.availability_zone = queue->availability_zone;
  wanted.region = queue->region;
  wanted.cross_region = request->rule->cross_region;
  wanted.prefix_hash = request->body.prefix_hash;
  wanted.target_limit = request->service->target_limit;
  wanted.slot_percent = request->request_class->slot_percent;
  wanted.avoid = avoid;
  wanted.avoid_count = request->avoid_count;
  wanted.now_ms = now_ms ();
  wanted.router_rank = queue->rank;
  wanted.router_count = queue->router_count;
  const struct registry_view *view
      = registry_read (reader, request->service->name);
  if (view)
    outcome = pick_target (PICK_TWO_CHOICES_AFFINITY, view, &wanted,
                           &queue->random, &chosen);
  if (outcome == PICK_FOUND)
    set_choice (request, chosen);
  registry_read_end (reader);
  return outcome;
}

/* Gives free targets to waiting requests.  A class that fills its share of all
   targets does not delay the other classes.  Called with the mutex held. */
static void
serve_waiting (struct router_queue *queue, uint64_t service_hash,
               struct registry_reader *reader)
{
  uint32_t busy[BUSY_CLASSES_MAX];
  uint32_t busy_count = 0;
  struct admission_entry *entry;
  while ((entry = admission_pop_except (queue->admission, service_hash,
                                        now_ms (), busy, busy_count)))
    {
      struct router_request *request = request_of_entry (entry);
      enum pick_outcome outcome = choose (queue, request, reader);
      if (outcome == PICK_BUSY)
        {
          admission_unpop (queue->admission, entry);
          if (busy_count == BUSY_CLASSES_MAX)
            return;
          busy[busy_count++] = entry->class_hash;
          continue;
        }
      router_request_post (request, outcome == PICK_FOUND
                                        ? ROUTER_EVENT_TARGET_CHOSEN
                                        : ROUTER_EVENT_NO_TARGET);
    }
}

static void
fill_entry (struct router_request *request)
{
  struct admission_entry *entry = &request->entry;
  const struct bundle_class *request_class = request->request_class;
  memset (entry, 0, sizeof *entry);
  entry->service_hash = base_hash_string (request->service->name);
  entry->account_id = request->account->account_id;
  entry->account_weight = request->account->weight;
  entry->priority = request_class->priority;
  entry->class_hash = (uint32_t)base_hash_string (request_class->name);
  entry->queue_limit = request_class->queue_limit;
  entry->queue_ms = request_class->queue_ms;
  entry->ageing_ms = request_class->ageing_ms;
}

/* Called with the mutex held. */
static enum router_queue_outcome
wait_for_target (struct router_queue *queue, struct router_request *request,
                 struct registry_reader *reader, uint32_t *retry_after_ms)
{
  struct admission_entry *entry = &request->entry;
  if (admission_push (queue->admission, entry, now_ms (), retry_after_ms)
      != ADMISSION_QUEUED)
    return ROUTER_QUEUE_REFUSED;
  serve_waiting (queue, entry->service_hash, reader);
  return ROUTER_QUEUE_WAITING;
}

enum router_queue_outcome
router_queue_enter (struct router_queue *queue, struct router_request *request,
                    struct registry_reader *reader, uint32_t *retry_after_ms)
{
  enum router_queue_outcome outcome = ROUTER_QUEUE_NO_TARGET;
  enum pick_outcome picked = PICK_BUSY;
  fill_entry (request);
  g_mutex_lock (&queue->mutex);
  if (admission_count (queue->admission) == 0)
    picked = choose (queue, request, reader);
  if (picked == PICK_FOUND)
    outcome = ROUTER_QUEUE_CHOSEN;
  else if (picked == PICK_BUSY)
    outcome = wait_for_target (queue, request, reader, retry_after_ms);
  g_mutex_unlock (&queue->mutex);
  return outcome;
}

static bool
may_use (const struct router_queue *queue,
         const struct router_request *request,
         const struct registry_target *target)
{
  const struct registry_record *record = &target->record;
  bool near = strcmp (record->region, queue->region) == 0;
  for (uint32_t i = 0; i < request->avoid_count; i++)
    if (strcmp (request->avoid[i], record->target) == 0)
      return false;
  return !record->leaving && !target->drained
         && (near || request->rule->cross_region);
}

bool
router_queue_has_untried_target (struct router_queue *queue,
                                 const struct router_request *request,
                                 struct registry_reader *reader)
{
  bool found = false;
  const struct registry_view *view
      = registry_read (reader, request->service->name);
  for (size_t i = 0; view && !found && i < view->count; i++)
    found = may_use (queue, request, &view->targets[i]);
  registry_read_end (reader);
  return found;
}

static void
release_choice (struct router_request *request, bool failed)
{
  if (!request->choice.load)
    return;
  pick_release (request->choice.load, failed, now_ms ());
  registry_load_unref (request->choice.load);
  request->choice.load = NULL;
}

void
router_queue_leave (struct router_queue *queue, struct router_request *request)
{
  g_mutex_lock (&queue->mutex);
  if (request->entry.queued)
    admission_remove (queue->admission, &request->entry);
  else
    release_choice (request, false);
  g_mutex_unlock (&queue->mutex);
}

void
router_queue_release (struct router_queue *queue,
                      struct router_request *request,
                      struct registry_reader *reader, bool failed)
{
  if (!request->choice.load)
    return;
  release_choice (request, failed);
  g_mutex_lock (&queue->mutex);
  if (!failed)
    admission_served (queue->admission, request->entry.service_hash,
                      now_ms ());
  if (admission_count (queue->admission) > 0)
    serve_waiting (queue, request->entry.service_hash, reader);
  g_mutex_unlock (&queue->mutex);
}

void
router_queue_tick (struct router_queue *queue, struct registry_reader *reader,
                   struct bundle *bundle)
{
  struct admission_entry *entry;
  const struct bundle_service *service;
  g_mutex_lock (&queue->mutex);
  while ((entry = admission_expire (queue->admission, now_ms ())))
    router_request_post (request_of_entry (entry), ROUTER_EVENT_EXPIRED);
  if (admission_count (queue->admission) > 0)
    for (size_t i = 0; (service = bundle_service_at (bundle, i)); i++)
      serve_waiting (queue, base_hash_string (service->name), reader);
  g_mutex_unlock (&queue->mutex);
}
