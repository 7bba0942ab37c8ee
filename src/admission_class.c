#include "admission_class.h"

/* Virtual time that a request costs an account of weight 1. */
#define VIRTUAL_UNIT 1000000
#define WEIGHT_MAX 1000
/* Number of idle flows above which those that equal a new flow are freed. */
#define IDLE_FLOWS_MAX 64

static bool
flow_before (const void *left, const void *right)
{
  const struct admission_flow *a = left;
  const struct admission_flow *b = right;
  if (a->start != b->start)
    return a->start < b->start;
  return a->account_id < b->account_id;
}

static uint32_t *
flow_heap_index (void *item)
{
  return &((struct admission_flow *)item)->heap_index;
}

static const struct admission_heap_order flow_order
    = { .before = flow_before, .heap_index = flow_heap_index };

struct admission_class *
admission_class_create (uint32_t class_hash)
{
  struct admission_class *class_queue = g_new0 (struct admission_class, 1);
  class_queue->class_hash = class_hash;
  class_queue->flows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  class_queue->active.order = &flow_order;
  return class_queue;
}

void
admission_class_destroy (struct admission_class *class_queue)
{
  admission_heap_clear (&class_queue->active);
  g_hash_table_destroy (class_queue->flows);
  g_free (class_queue);
}

static uint32_t
clamp_weight (uint32_t weight)
{
  return CLAMP (weight, 1, WEIGHT_MAX);
}

static struct admission_flow *
find_or_add_flow (struct admission_class *class_queue,
                  const struct admission_entry *entry)
{
  struct admission_flow *flow
      = g_hash_table_lookup (class_queue->flows, &entry->account_id);
  if (flow)
    return flow;
  flow = g_new0 (struct admission_flow, 1);
  flow->class_queue = class_queue;
  flow->account_id = entry->account_id;
  flow->weight = clamp_weight (entry->account_weight);
  g_hash_table_insert (class_queue->flows, &flow->account_id, flow);
  return flow;
}

/* A flow without requests equals a new one once the virtual time of the
   class has reached the flow's finish time. */
static gboolean
is_flow_disposable (gpointer key, gpointer value, gpointer data)
{
  const struct admission_flow *flow = value;
  const struct admission_class *class_queue = data;
  (void)key;
  return flow->count == 0 && flow->finish <= class_queue->virtual_time;
}

static void
free_idle_flows (struct admission_class *class_queue)
{
  guint flows = g_hash_table_size (class_queue->flows);
  if (flows > IDLE_FLOWS_MAX + 2 * class_queue->active.count)
    g_hash_table_foreach_remove (class_queue->flows, is_flow_disposable,
                                 class_queue);
}

static void
activate (struct admission_class *class_queue, struct admission_flow *flow,
          uint64_t start)
{
  flow->start = start;
  class_queue->active_weight += flow->weight;
  admission_heap_add (&class_queue->active, flow);
}

static void
deactivate (struct admission_class *class_queue, struct admission_flow *flow)
{
  class_queue->active_weight -= flow->weight;
  admission_heap_remove (&class_queue->active, flow);
}

void
admission_class_push (struct admission_class *class_queue,
                      struct admission_entry *entry, uint64_t now_ms)
{
  free_idle_flows (class_queue);
  struct admission_flow *flow = find_or_add_flow (class_queue, entry);
  if (class_queue->count == 0)
    class_queue->turn_ms = now_ms;
  class_queue->priority = entry->priority;
  class_queue->ageing_ms = entry->ageing_ms;
  entry->flow = flow;
  entry->next = NULL;
  entry->previous = flow->tail;
  if (flow->tail)
    flow->tail->next = entry;
  else
    flow->head = entry;
  flow->tail = entry;
  if (flow->count == 0)
    {
      flow->weight = clamp_weight (entry->account_weight);
      activate (class_queue, flow,
                MAX (class_queue->virtual_time, flow->finish));
    }
  flow->count++;
  class_queue->count++;
}

static void
unlink_entry (struct admission_flow *flow, struct admission_entry *entry)
{
  if (entry->previous)
    entry->previous->next = entry->next;
  else
    flow->head = entry->next;
  if (entry->next)
    entry->next->previous = entry->previous;
  else
    flow->tail = entry->previous;
  entry->next = NULL;
  entry->previous = NULL;
  entry->flow = NULL;
  flow->count--;
  flow->class_queue->count--;
}

struct admission_entry *
admission_class_pop (struct admission_class *class_queue, uint64_t now_ms)
{
  struct admission_flow *flow = admission_heap_first (&class_queue->active);
  struct admission_entry *entry = flow->head;
  entry->virtual_start = flow->start;
  entry->previous_turn_ms = class_queue->turn_ms;
  class_queue->turn_ms = now_ms;
  class_queue->virtual_time = flow->start;
  flow->finish = flow->start + VIRTUAL_UNIT / flow->weight;
  unlink_entry (flow, entry);
  if (flow->count == 0)
    {
      deactivate (class_queue, flow);
      return entry;
    }
  flow->start = flow->finish;
  admission_heap_update (&class_queue->active, flow);
  return entry;
}

void
admission_class_unpop (struct admission_class *class_queue,
                       struct admission_entry *entry)
{
  struct admission_flow *flow = find_or_add_flow (class_queue, entry);
  entry->flow = flow;
  entry->previous = NULL;
  entry->next = flow->head;
  if (flow->head)
    flow->head->previous = entry;
  else
    flow->tail = entry;
  flow->head = entry;
  flow->finish = entry->virtual_start;
  class_queue->turn_ms = MIN (class_queue->turn_ms, entry->previous_turn_ms);
  if (flow->count == 0)
    activate (class_queue, flow, entry->virtual_start);
  else
    {
      flow->start = entry->virtual_start;
      admission_heap_update (&class_queue->active, flow);
    }
  flow->count++;
  class_queue->count++;
}

void
admission_class_remove (struct admission_class *class_queue,
                        struct admission_entry *entry)
{
  struct admission_flow *flow = entry->flow;
  unlink_entry (flow, entry);
  if (flow->count == 0)
    deactivate (class_queue, flow);
}

int64_t
admission_class_rank (const struct admission_class *class_queue,
                      uint64_t now_ms)
{
  int64_t rank = class_queue->priority;
  if (class_queue->ageing_ms > 0 && now_ms > class_queue->turn_ms)
    rank
        -= (int64_t)((now_ms - class_queue->turn_ms) / class_queue->ageing_ms);
  return rank;
}

double
admission_class_requests_ahead (const struct admission_class *class_queue,
                                const struct admission_entry *entry)
{
  const struct admission_flow *flow
      = g_hash_table_lookup (class_queue->flows, &entry->account_id);
  uint32_t weight = clamp_weight (entry->account_weight);
  double own = flow ? flow->count : 0;
  double others = (double)class_queue->active_weight;
  if (flow && flow->count > 0)
    others -= flow->weight;
  double fair = own + (own + 1) * others / weight;
  return MIN (fair, class_queue->count);
}
