#include "admission_heap.h"

#include <glib.h>

#define ROOM_MIN 16

void
admission_heap_clear (struct admission_heap *heap)
{
  g_free (heap->items);
  heap->items = NULL;
  heap->count = 0;
  heap->room = 0;
}

static void
put (struct admission_heap *heap, uint32_t place, void *item)
{
  heap->items[place] = item;
  *heap->order->place (item) = place;
}

static void
sift_up (struct admission_heap *heap, uint32_t place)
{
  void *item = heap->items[place];
  while (place > 0)
    {
      uint32_t parent = (place - 1) / 2;
      if (!heap->order->before (item, heap->items[parent]))
        break;
      put (heap, place, heap->items[parent]);
      place = parent;
    }
  put (heap, place, item);
}

static void
sift_down (struct admission_heap *heap, uint32_t place)
{
  void *item = heap->items[place];
  for (;;)
    {
      uint32_t child = 2 * place + 1;
      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && heap->order->before (heap->items[child + 1], heap->items[child]))
        child++;
      if (!heap->order->before (heap->items[child], item))
        break;
      put (heap, place, heap->items[child]);
      place = child;
    }
  put (heap, place, item);
}

void
admission_heap_add (struct admission_heap *heap, void *item)
{
  if (heap->count == heap->room)
    {
      heap->room = heap->room ? 2 * heap->room : ROOM_MIN;
      heap->items = g_renew (void *, heap->items, heap->room);
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
  uint32_t place = *heap->order->place (item);
  void *last = heap->items[--heap->count];
  if (last == item)
    return;
  put (heap, place, last);
  admission_heap_update (heap, last);
}

void
admission_heap_update (struct admission_heap *heap, void *item)
{
  sift_up (heap, *heap->order->place (item));
  sift_down (heap, *heap->order->place (item));
}
