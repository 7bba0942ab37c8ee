/** @file
 *  Creation, reference count and destruction of a bundle. */

#include "bundle_data.h"

static void
free_service (gpointer data)
{
  struct bundle_service_data *service = data;
  g_strfreev (service->non_idempotent);
  g_ptr_array_unref (service->rules);
  g_free (service);
}

struct bundle *
bundle_data_create (void)
{
  struct bundle *bundle = g_new0 (struct bundle, 1);
  atomic_init (&bundle->references, 1);
  bundle->names = g_string_chunk_new (4096);
  bundle->accounts = g_array_new (FALSE, TRUE, sizeof (struct bundle_account));
  bundle->keys = g_array_new (FALSE, TRUE, sizeof (struct bundle_api_key));
  bundle->services = g_ptr_array_new_with_free_func (free_service);
  bundle->classes = g_ptr_array_new_with_free_func (g_free);
  bundle->rules = g_ptr_array_new_with_free_func (g_free);
  bundle->account_bits = g_ptr_array_new_with_free_func (g_free);
  bundle->operators
      = g_array_new (FALSE, TRUE, sizeof (struct bundle_operator));
  for (int i = 0; i < BUNDLE_SECTION_COUNT; i++)
    bundle->entries[i]
        = g_array_new (FALSE, TRUE, sizeof (struct bundle_entry));
  return bundle;
}

static void
destroy (struct bundle *bundle)
{
  g_ptr_array_unref (bundle->services);
  g_ptr_array_unref (bundle->classes);
  g_ptr_array_unref (bundle->rules);
  g_ptr_array_unref (bundle->account_bits);
  g_array_unref (bundle->accounts);
  g_array_unref (bundle->keys);
  g_array_unref (bundle->operators);
  for (int i = 0; i < BUNDLE_SECTION_COUNT; i++)
    g_array_unref (bundle->entries[i]);
  g_string_chunk_free (bundle->names);
  g_free (bundle->canonical);
  g_free (bundle);
}

struct bundle *
bundle_ref (struct bundle *bundle)
{
  atomic_fetch_add_explicit (&bundle->references, 1, memory_order_relaxed);
  return bundle;
}

void
bundle_unref (struct bundle *bundle)
{
  if (!bundle)
    return;
  if (atomic_fetch_sub_explicit (&bundle->references, 1, memory_order_acq_rel)
      == 1)
    destroy (bundle);
}
