#include "control_evacuations.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* A zone that is evacuated, or was. */
struct zone
{
  char *name;
  uint64_t since_ms;
  uint64_t change;
  bool is_evacuated;
};

struct control_evacuations_set
{
  /* struct zone in the order of names, at most CONTROL_EVACUATIONS_MAX. */
  GPtrArray *zones;
  uint64_t change;
  /* Newest change of a zone that is no longer in the list. */
  uint64_t forgotten_change;
};

static void
free_zone (gpointer data)
{
  struct zone *zone = data;
  g_free (zone->name);
  g_free (zone);
}

struct control_evacuations_set *
control_evacuations_create (void)
{
  struct control_evacuations_set *evacuations
      = g_new0 (struct control_evacuations_set, 1);
  evacuations->zones = g_ptr_array_new_with_free_func (free_zone);
  return evacuations;
}

void
control_evacuations_destroy (struct control_evacuations_set *evacuations)
{
  if (!evacuations)
    return;
  g_ptr_array_unref (evacuations->zones);
  g_free (evacuations);
}

bool
control_evacuations_is_name (const char *zone)
{
  size_t length = strlen (zone);
  if (length == 0 || length > CONTROL_ZONE_NAME_MAX)
    return false;
  for (const char *letter = zone; *letter; letter++)
    if (!g_ascii_isgraph (*letter) || *letter == '/')
      return false;
  return true;
}

/* Finds the index of the name, or the one to insert it at.  Returns the zone,
   or NULL. */
static struct zone *
find_zone (const struct control_evacuations_set *evacuations, const char *name,
           guint *index)
{
  for (*index = 0; *index < evacuations->zones->len; (*index)++)
    {
      struct zone *zone = evacuations->zones->pdata[*index];
      int order = strcmp (zone->name, name);
      if (order >= 0)
        return order == 0 ? zone : NULL;
    }
  return NULL;
}

/* Removes the zone that was taken back first.  Returns false when all are
   evacuated. */
static bool
forget_one (struct control_evacuations_set *evacuations)
{
  guint oldest = evacuations->zones->len;
  uint64_t change = UINT64_MAX;
  for (guint i = 0; i < evacuations->zones->len; i++)
    {
      const struct zone *zone = evacuations->zones->pdata[i];
      if (zone->is_evacuated || zone->change >= change)
        continue;
      oldest = i;
      change = zone->change;
    }
  if (oldest == evacuations->zones->len)
    return false;
  evacuations->forgotten_change = MAX (evacuations->forgotten_change, change);
  g_ptr_array_remove_index (evacuations->zones, oldest);
  return true;
}

static struct zone *
insert_zone (struct control_evacuations_set *evacuations, const char *name)
{
  guint index = 0;
  struct zone *zone = g_new0 (struct zone, 1);
  find_zone (evacuations, name, &index);
  zone->name = g_strdup (name);
  g_ptr_array_insert (evacuations->zones, (gint)index, zone);
  return zone;
}

/* Checks an order for @p zone, which may be NULL.  Returns NULL, or why it is
   not accepted. */
static const char *
check_order (struct control_evacuations_set *evacuations,
             const struct control_evacuation_args *args,
             const struct zone *zone, enum control_status *status)
{
  bool is_evacuated = zone && zone->is_evacuated;
  uint64_t change = zone ? zone->change : evacuations->forgotten_change;
  *status = CONTROL_REFUSED;
  if (!control_evacuations_is_name (args->availability_zone))
    return "the name can't be that of an availability zone";
  *status = CONTROL_CONFLICT;
  if (is_evacuated != (args->evacuate != 0) && change > args->after_change)
    return "another order for the zone was accepted since this one came";
  *status = CONTROL_REFUSED;
  if (!zone && args->evacuate
      && evacuations->zones->len >= CONTROL_EVACUATIONS_MAX
      && !forget_one (evacuations))
    return "too many availability zones are evacuated";
  *status = CONTROL_OK;
  return NULL;
}

/* Applies an accepted order.  One that changes nothing counts as a change too:
   an older counterpart that comes late must not undo it. */
static void
apply_order (struct control_evacuations_set *evacuations,
             const struct control_evacuation_args *args, struct zone *zone,
             uint64_t wall_ms)
{
  evacuations->change++;
  if (!zone && !args->evacuate)
    {
      evacuations->forgotten_change = evacuations->change;
      return;
    }
  if (!zone)
    zone = insert_zone (evacuations, args->availability_zone);
  if (zone->is_evacuated != (args->evacuate != 0))
    zone->since_ms = wall_ms;
  zone->is_evacuated = args->evacuate;
  zone->change = evacuations->change;
}

void
control_evacuations_order (struct control_evacuations_set *evacuations,
                           const struct control_evacuation_args *args,
                           uint64_t wall_ms,
                           struct control_evacuation_result *result)
{
  enum control_status status;
  guint index = 0;
  struct zone *zone = find_zone (evacuations, args->availability_zone, &index);
  const char *text = check_order (evacuations, args, zone, &status);
  if (!text)
    apply_order (evacuations, args, zone, wall_ms);
  result->answer.status = status;
  result->answer.leader_address = strdup ("");
  result->answer.text = strdup (text ? text : "");
  result->change = evacuations->change;
}

uint64_t
control_evacuations_change (const struct control_evacuations_set *evacuations)
{
  return evacuations->change;
}

bool
control_evacuations_has (const struct control_evacuations_set *evacuations,
                         const char *zone)
{
  guint index = 0;
  const struct zone *found = find_zone (evacuations, zone, &index);
  return found && found->is_evacuated;
}

static void
copy_zone (const struct zone *zone, struct control_evacuation *copy)
{
  copy->availability_zone = strdup (zone->name);
  copy->since_ms = zone->since_ms;
  copy->change = zone->change;
}

uint32_t
control_evacuations_copy (const struct control_evacuations_set *evacuations,
                          struct control_evacuation **zones)
{
  uint32_t count = 0;
  *zones = calloc (evacuations->zones->len + 1, sizeof **zones);
  for (guint i = 0; i < evacuations->zones->len; i++)
    {
      const struct zone *zone = evacuations->zones->pdata[i];
      if (zone->is_evacuated)
        copy_zone (zone, &(*zones)[count++]);
    }
  return count;
}

void
control_evacuations_save (const struct control_evacuations_set *evacuations,
                          struct control_evacuations_image *image)
{
  guint count = evacuations->zones->len;
  image->change = evacuations->change;
  image->forgotten_change = evacuations->forgotten_change;
  image->zones.zones_len = count;
  image->zones.zones_val = calloc (count + 1, sizeof *image->zones.zones_val);
  for (guint i = 0; i < count; i++)
    {
      const struct zone *zone = evacuations->zones->pdata[i];
      copy_zone (zone, &image->zones.zones_val[i].evacuation);
      image->zones.zones_val[i].is_evacuated = zone->is_evacuated;
    }
}

void
control_evacuations_load (struct control_evacuations_set *evacuations,
                          const struct control_evacuations_image *image)
{
  evacuations->change = image->change;
  evacuations->forgotten_change = image->forgotten_change;
  for (u_int i = 0; i < image->zones.zones_len; i++)
    {
      const struct control_evacuation_image *from = &image->zones.zones_val[i];
      struct zone *zone = g_new0 (struct zone, 1);
      zone->name = g_strdup (from->evacuation.availability_zone);
      zone->since_ms = from->evacuation.since_ms;
      zone->change = from->evacuation.change;
      zone->is_evacuated = from->is_evacuated;
      g_ptr_array_add (evacuations->zones, zone);
    }
}
