#include "target_faults.h"

#include <jansson.h>

/* Value of a member: true counts as UINT32_MAX, anything else that is not a
   number from 0 as 0. */
static uint32_t
read_number (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);
  if (json_is_true (value))
    return UINT32_MAX;
  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return 0;
  return (uint32_t)MIN (json_integer_value (value), UINT32_MAX);
}

static char *
find_unknown (json_t *object)
{
  static const char *const known[]
      = { "refuse",   "reset_after_tokens", "delay_ms", "stall_after_tokens",
          "nonsense", "drop_answer",        NULL };
  const char *name;
  json_t *value;
  json_object_foreach (object, name, value)
  {
    if (!g_strv_contains (known, name))
      return g_strdup_printf ("$.%s: unknown fault", name);
  }
  return NULL;
}

char *
target_faults_read (struct target_faults *faults, const char *document,
                    size_t bytes)
{
  json_error_t error;
  json_t *object = json_loadb (document, bytes, 0, &error);
  if (!object)
    return g_strdup_printf ("line %d: %s", error.line, error.text);
  char *problem = json_is_object (object)
                      ? find_unknown (object)
                      : g_strdup ("$: must be a JSON object");
  if (!problem)
    {
      atomic_store (&faults->refuse, read_number (object, "refuse"));
      atomic_store (&faults->reset_after_tokens,
                    read_number (object, "reset_after_tokens"));
      atomic_store (&faults->delay_ms, read_number (object, "delay_ms"));
      atomic_store (&faults->stall_after_tokens,
                    read_number (object, "stall_after_tokens"));
      atomic_store (&faults->nonsense,
                    json_is_true (json_object_get (object, "nonsense")));
      atomic_store (&faults->drop_answer,
                    json_is_true (json_object_get (object, "drop_answer")));
    }
  json_decref (object);
  return problem;
}

bool
target_faults_take_refusal (struct target_faults *faults)
{
  uint32_t left = atomic_load (&faults->refuse);
  while (left > 0)
    {
      uint32_t next = left == UINT32_MAX ? left : left - 1;
      if (atomic_compare_exchange_weak (&faults->refuse, &left, next))
        return true;
    }
  return false;
}
