#ifndef ADMISSION_HEAP_H
#define ADMISSION_HEAP_H

/** @file
 *  Binary heap whose items store their index, so that any item can be
 *  removed in logarithmic time. */

#include <stdbool.h>
#include <stdint.h>

/** Callbacks that compare two items and give access to an item's index. */
struct admission_heap_order
{
  bool (*before) (const void *left, const void *right);
  /** Returns the address of the item's index in the heap; the heap writes
   *  it. */
  uint32_t *(*heap_index) (void *item);
};

/** A heap.  It is empty when all but the order is zero. */
struct admission_heap
{
  const struct admission_heap_order *order;
  uint32_t count;
  uint32_t capacity;
  void **items;
};

/** Frees the array of the heap, not the items. */
void admission_heap_clear (struct admission_heap *heap);
/** Adds an item. */
void admission_heap_add (struct admission_heap *heap, void *item);
/** Returns the first item, or NULL when the heap is empty. */
void *admission_heap_first (const struct admission_heap *heap);
/** Removes a given item. */
void admission_heap_remove (struct admission_heap *heap, void *item);
/** Restores the heap's order after an item's sort key changed. */
void admission_heap_update (struct admission_heap *heap, void *item);

#endif
