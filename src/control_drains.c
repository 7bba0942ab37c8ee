#include "control_drains.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"

struct control_drains
{
  /* Names in ascending order. */
  GPtrArray *names;
};

struct control_drains *
control_drains_create (void)
{
  struct control_drains *drains = g_new0 (struct control_drains, 1);
  drains->names = g_ptr_array_new_with_free_func (g_free);
  return drains;
}

void
control_drains_destroy (struct control_drains *drains)
{
  g_ptr_array_unref (drains->names);
  g_free (drains);
}

/* Finds the index of the name, or the one to insert it at.  Returns whether
   it is in the set. */
static bool
find_index (const struct control_drains *drains, const char *target,
            guint *index)
{
  for (*index = 0; *index < drains->names->len; (*index)++)
    {
      int order = strcmp (drains->names->pdata[*index], target);
      if (order >= 0)
        return order == 0;
    }
  return false;
}

void
control_drains_set (struct control_drains *drains, const char *target,
                    bool drain, struct control_answer *answer)
{
  guint index = 0;
  bool known = find_index (drains, target, &index);
  bool full = drain && !known && drains->names->len >= WIRE_PEERS_MAX;
  answer->status = full ? CONTROL_REFUSED : CONTROL_OK;
  answer->leader_address = strdup ("");
  answer->text = strdup (full ? "too many targets are drained" : "");
  if (full)
    return;
  if (drain && !known)
    g_ptr_array_insert (drains->names, (gint)index, g_strdup (target));
  else if (!drain && known)
    g_ptr_array_remove_index (drains->names, index);
}

uint64_t
control_drains_digest (const struct control_drains *drains)
{
  uint64_t pair[2] = { 0, 0 };
  for (guint i = 0; i < drains->names->len; i++)
    {
      pair[1] = base_hash_string (drains->names->pdata[i]);
      pair[0] = base_hash64 (pair, sizeof pair) | 1;
    }
  return pair[0];
}

uint32_t
control_drains_copy (const struct control_drains *drains, wire_name **names)
{
  *names = calloc (drains->names->len + 1, sizeof (wire_name));
  for (guint i = 0; i < drains->names->len; i++)
    (*names)[i] = strdup (drains->names->pdata[i]);
  return drains->names->len;
}

void
control_drains_load (struct control_drains *drains, const wire_name *names,
                     uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (drains->names, g_strdup (names[i]));
}
