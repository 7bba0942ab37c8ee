#include "escrow_budget.h"

#include <string.h>

#include <glib.h>

/* Records in one allocation. */
#define PAGE_RECORDS 4096u
/* Slots of an empty table; a power of two, as every later count. */
#define SLOTS_MIN 1024u
/* Multiplier of the hash function, odd so that no id bit is lost. */
#define HASH_MULTIPLIER UINT64_C (0x9e3779b97f4a7c15)

struct escrow_budgets
{
  /* Arrays of PAGE_RECORDS records, so that a record never moves. */
  GPtrArray *pages;
  uint32_t count;
  /* Hash table with open addressing: record index + 1, or 0 for an empty
     slot. */
  uint32_t *slots;
  uint32_t slot_count;
};

struct escrow_budgets *
escrow_budgets_create (void)
{
  struct escrow_budgets *budgets = g_new0 (struct escrow_budgets, 1);
  budgets->pages = g_ptr_array_new_with_free_func (g_free);
  budgets->slot_count = SLOTS_MIN;
  budgets->slots = g_new0 (uint32_t, SLOTS_MIN);
  return budgets;
}

void
escrow_budgets_destroy (struct escrow_budgets *budgets)
{
  g_ptr_array_unref (budgets->pages);
  g_free (budgets->slots);
  g_free (budgets);
}

struct escrow_budget *
escrow_budgets_at (const struct escrow_budgets *budgets, uint32_t index)
{
  struct escrow_budget *page = budgets->pages->pdata[index / PAGE_RECORDS];
  return &page[index % PAGE_RECORDS];
}

/* Slot of the budget, or the empty slot where it is to be inserted. */
static uint32_t
find_slot (const struct escrow_budgets *budgets, uint64_t budget_id)
{
  uint32_t mask = budgets->slot_count - 1;
  uint32_t slot = (uint32_t)((budget_id * HASH_MULTIPLIER) >> 32) & mask;
  while (budgets->slots[slot] != 0
         && escrow_budgets_at (budgets, budgets->slots[slot] - 1)->budget_id
                != budget_id)
    slot = (slot + 1) & mask;
  return slot;
}

struct escrow_budget *
escrow_budgets_find (const struct escrow_budgets *budgets, uint64_t budget_id)
{
  uint32_t number = budgets->slots[find_slot (budgets, budget_id)];
  return number ? escrow_budgets_at (budgets, number - 1) : NULL;
}

static void
double_slots (struct escrow_budgets *budgets)
{
  g_free (budgets->slots);
  budgets->slot_count *= 2;
  budgets->slots = g_new0 (uint32_t, budgets->slot_count);
  for (uint32_t i = 0; i < budgets->count; i++)
    {
      uint64_t id = escrow_budgets_at (budgets, i)->budget_id;
      budgets->slots[find_slot (budgets, id)] = i + 1;
    }
}

struct escrow_budget *
escrow_budgets_ensure (struct escrow_budgets *budgets, uint64_t budget_id)
{
  struct escrow_budget *budget = escrow_budgets_find (budgets, budget_id);
  if (budget)
    return budget;
  if (budgets->count >= budgets->slot_count / 4 * 3)
    double_slots (budgets);
  if (budgets->count % PAGE_RECORDS == 0)
    g_ptr_array_add (budgets->pages,
                     g_new0 (struct escrow_budget, PAGE_RECORDS));
  uint32_t index = budgets->count++;
  budget = escrow_budgets_at (budgets, index);
  budget->budget_id = budget_id;
  budgets->slots[find_slot (budgets, budget_id)] = index + 1;
  return budget;
}

uint32_t
escrow_budgets_count (const struct escrow_budgets *budgets)
{
  return budgets->count;
}

uint64_t
escrow_budget_free_tokens (const struct escrow_budget *budget)
{
  return budget->granted_tokens - budget->returned_tokens
         - budget->reserved_tokens - budget->spent_tokens
         - budget->written_off_tokens;
}

uint64_t
escrow_budgets_bytes (const struct escrow_budgets *budgets)
{
  uint64_t records = (uint64_t)budgets->pages->len * PAGE_RECORDS;
  return records * sizeof (struct escrow_budget)
         + budgets->slot_count * sizeof (uint32_t);
}
