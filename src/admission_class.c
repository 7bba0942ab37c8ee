#include "admission_class.h"

/* Virtual cost of a request of an account of weight 1. */
#define VIRTUAL_UNIT 1000000
#define WEIGHT_MAX 1000
/* Idle flows kept before those that are owed nothing are dropped. */
#define IDLE_FLOWS 64

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
flow_place (void *item)
{
  return &((struct admission_flow *)item)->place;
}

static const struct admission_heap_order flow_order
    = { .before = flow_before, .place = flow_place };

struct admission_class *
admission_class_create (uint32_t class_hash)
{
  struct admission_class *owner = g_new0 (struct admission_class, 1);
  owner->class_hash = class_hash;
  owner->flows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  owner->active.order = &flow_order;
  return owner;
}

void
admission_class_destroy (struct admission_class *owner)
{
  admission_heap_clear (&owner->active);
  g_hash_table_destroy (owner->flows);
  g_free (owner);
}

static uint32_t
valid_weight (uint32_t weight)
{
  return CLAMP (weight, 1, WEIGHT_MAX);
}

static struct admission_flow *
flow_of (struct admission_class *owner, const struct admission_entry *entry)
{
  struct admission_flow *flow
      = g_hash_table_lookup (owner->flows, &entry->account_id);
  if (flow)
    return flow;
  flow = g_new0 (struct admission_flow, 1);
  flow->owner = owner;
  flow->account_id = entry->account_id;
  flow->weight = valid_weight (entry->account_weight);
  g_hash_table_insert (owner->flows, &flow->account_id, flow);
  return flow;
}

/* A flow that holds nothing and whose past use the class has caught up with
   is the same as a new one. */
static gboolean
flow_forgotten (gpointer key, gpointer value, gpointer data)
{
  const struct admission_flow *flow = value;
  const struct admission_class *owner = data;
  (void)key;
  return flow->count == 0 && flow->finish <= owner->virtual_time;
}

static void
drop_idle_flows (struct admission_class *owner)
{
  guint flows = g_hash_table_size (owner->flows);
  if (flows > IDLE_FLOWS + 2 * owner->active.count)
    g_hash_table_foreach_remove (owner->flows, flow_forgotten, owner);
}

static void
activate (struct admission_class *owner, struct admission_flow *flow,
          uint64_t start)
{
  flow->start = start;
  owner->active_weight += flow->weight;
  admission_heap_add (&owner->active, flow);
}

static void
deactivate (struct admission_class *owner, struct admission_flow *flow)
{
  owner->active_weight -= flow->weight;
  admission_heap_remove (&owner->active, flow);
}

void
admission_class_push (struct admission_class *owner,
                      struct admission_entry *entry, uint64_t now_ms)
{
  drop_idle_flows (owner);
  struct admission_flow *flow = flow_of (owner, entry);
  if (owner->count == 0)
    owner->turn_ms = now_ms;
  owner->priority = entry->priority;
  owner->ageing_ms = entry->ageing_ms;
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
      flow->weight = valid_weight (entry->account_weight);
      activate (owner, flow, MAX (owner->virtual_time, flow->finish));
    }
  flow->count++;
  owner->count++;
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
  flow->owner->count--;
}

struct admission_entry *
admission_class_pop (struct admission_class *owner, uint64_t now_ms)
{
  struct admission_flow *flow = admission_heap_first (&owner->active);
  struct admission_entry *entry = flow->head;
  entry->virtual_start = flow->start;
  entry->turn_before_ms = owner->turn_ms;
  owner->turn_ms = now_ms;
  owner->virtual_time = flow->start;
  flow->finish = flow->start + VIRTUAL_UNIT / flow->weight;
  unlink_entry (flow, entry);
  if (flow->count == 0)
    {
      deactivate (owner, flow);
      return entry;
    }
  flow->start = flow->finish;
  admission_heap_update (&owner->active, flow);
  return entry;
}

void
admission_class_unpop (struct admission_class *owner,
                       struct admission_entry *entry)
{
  struct admission_flow *flow = flow_of (owner, entry);
  entry->flow = flow;
  entry->previous = NULL;
  entry->next = flow->head;
  if (flow->head)
    flow->head->previous = entry;
  else
    flow->tail = entry;
  flow->head = entry;
  flow->finish = entry->virtual_start;
  owner->turn_ms = MIN (owner->turn_ms, entry->turn_before_ms);
  if (flow->count == 0)
    activate (owner, flow, entry->virtual_start);
  else
    {
      flow->start = entry->virtual_start;
      admission_heap_update (&owner->active, flow);
    }
  flow->count++;
  owner->count++;
}

void
admission_class_remove (struct admission_class *owner,
                        struct admission_entry *entry)
{
  struct admission_flow *flow = entry->flow;
  unlink_entry (flow, entry);
  if (flow->count == 0)
    deactivate (owner, flow);
}

int64_t
admission_class_rank (const struct admission_class *owner, uint64_t now_ms)
{
  int64_t rank = owner->priority;
  if (owner->ageing_ms > 0 && now_ms > owner->turn_ms)
    rank -= (int64_t)((now_ms - owner->turn_ms) / owner->ageing_ms);
  return rank;
}

double
admission_class_ahead (const struct admission_class *owner,
                       const struct admission_entry *entry)
{
  const struct admission_flow *flow
      = g_hash_table_lookup (owner->flows, &entry->account_id);
  uint32_t weight = valid_weight (entry->account_weight);
  double own = flow ? flow->count : 0;
  double others = (double)owner->active_weight;
  if (flow && flow->count > 0)
    others -= flow->weight;
  double fair = own + (own + 1) * others / weight;
  return MIN (fair, owner->count);
}
