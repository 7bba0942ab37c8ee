#ifndef ADMISSION_HEAP_H
#define ADMISSION_HEAP_H

/** @file
 *  Binary heap of items that know their place, so that any can be taken out
 *  in logarithmic time. */

#include <stdbool.h>
#include <stdint.h>

/** How items are compared and told their place. */
struct admission_heap_order
{
  bool (*before) (const void *left, const void *right);
  /** Place of the item in the heap, written by the heap. */
  uint32_t *(*place) (void *item);
};

/** A heap; zeroed but for the order, it is empty. */
struct admission_heap
{
  const struct admission_heap_order *order;
  uint32_t count;
  uint32_t room;
  void **items;
};

/** Frees the heap's array, not the items. */
void admission_heap_clear (struct admission_heap *heap);
/** Adds an item. */
void admission_heap_add (struct admission_heap *heap, void *item);
/** First item, or NULL. */
void *admission_heap_first (const struct admission_heap *heap);
/** Takes a given item out. */
void admission_heap_remove (struct admission_heap *heap, void *item);
/** Moves an item whose order changed to its new place. */
void admission_heap_update (struct admission_heap *heap, void *item);

#endif
