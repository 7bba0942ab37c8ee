#include "admission_heap.h"

#include <glib.h>

#define CAPACITY_MIN 16

void
admission_heap_clear (struct admission_heap *heap)
{
  g_free (heap->items);
  heap->items = NULL;
  heap->count = 0;
  heap->capacity = 0;
}

static void
set_item (struct admission_heap *heap, uint32_t heap_index, void *item)
{
  heap->items[heap_index] = item;
  *heap->order->heap_index (item) = heap_index;
}

static void
sift_up (struct admission_heap *heap, uint32_t heap_index)
{
  void *item = heap->items[heap_index];
  while (heap_index > 0)
    {
      uint32_t parent = (heap_index - 1) / 2;
      if (!heap->order->before (item, heap->items[parent]))
        break;
      set_item (heap, heap_index, heap->items[parent]);
      heap_index = parent;
    }
  set_item (heap, heap_index, item);
}

static void
sift_down (struct admission_heap *heap, uint32_t heap_index)
{
  void *item = heap->items[heap_index];
  for (;;)
    {
      uint32_t child = 2 * heap_index + 1;
      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && heap->order->before (heap->items[child + 1], heap->items[child]))
        child++;
      if (!heap->order->before (heap->items[child], item))
        break;
      set_item (heap, heap_index, heap->items[child]);
      heap_index = child;
    }
  set_item (heap, heap_index, item);
}

void
admission_heap_add (struct admission_heap *heap, void *item)
{
  if (heap->count == heap->capacity)
    {
      heap->capacity = heap->capacity ? 2 * heap->capacity : CAPACITY_MIN;
      heap->items = g_renew (void *, heap->items, heap->capacity);
    }
  heap->items[heap->count] = item;
  heap->count++;
  sift_up (heap, heap->count - 1);
}

void *
admission_heap_first (const struct admission_heap *heap)
{
  return heap->count > 0 ? heap->items[0] : NULL;
}

void
admission_heap_remove (struct admission_heap *heap, void *item)
{
  uint32_t heap_index = *heap->order->heap_index (item);
  void *last = heap->items[--heap->count];
  if (last == item)
    return;
  set_item (heap, heap_index, last);
  admission_heap_update (heap, last);
}

void
admission_heap_update (struct admission_heap *heap, void *item)
{
  sift_up (heap, *heap->order->heap_index (item));
  sift_down (heap, *heap->order->heap_index (item));
}
