#include "trial_layout.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Third byte of the address of the first process of each role; the index is
   added to it. */
static const uint32_t role_base[] = { 1, 2, 10, 100 };

static const char *const lonja_zones[] = { "santander", "bilbao", "vigo" };
static const char *const lonja_regions[]
    = { "cantabrico", "cantabrico", "galicia" };
static const char *const krua_khao_zones[] = { "cnx-a", "cnx-b", "bkk-a" };
static const char *const krua_khao_regions[]
    = { "th-north", "th-north", "th-central" };

static void
write_address (char address[TRIAL_ADDRESS_BYTES], uint32_t second,
               enum trial_role role, uint32_t index)
{
  snprintf (address, TRIAL_ADDRESS_BYTES, "127.%" PRIu32 ".%" PRIu32 ".1",
            second & 255, (role_base[role] + index) & 255);
}

void
trial_layout_address (enum trial_role role, uint32_t zone, uint32_t index,
                      char address[TRIAL_ADDRESS_BYTES])
{
  write_address (address, zone + 1, role, index);
}

void
trial_layout_link_address (uint32_t from, enum trial_role role, uint32_t zone,
                           uint32_t index, char address[TRIAL_ADDRESS_BYTES])
{
  write_address (address, (from + 1) * 10 + zone + 1, role, index);
}

char *
trial_layout_address_map (uint32_t zone)
{
  GString *map = g_string_new (NULL);
  for (uint32_t to = 0; to < TRIAL_ZONES; to++)
    {
      if (to == zone)
        continue;
      g_string_append_printf (map, "%s127.%" PRIu32 ".=127.%" PRIu32 ".",
                              map->len ? "," : "", to + 1,
                              (zone + 1) * 10 + to + 1);
    }
  return g_string_free (map, FALSE);
}

static bool
is_lonja (const struct load_mix *mix)
{
  return strcmp (mix->name, "lonja") == 0;
}

const char *
trial_layout_zone_name (const struct load_mix *mix, uint32_t zone)
{
  return is_lonja (mix) ? lonja_zones[zone] : krua_khao_zones[zone];
}

const char *
trial_layout_region_name (const struct load_mix *mix, uint32_t zone)
{
  return is_lonja (mix) ? lonja_regions[zone] : krua_khao_regions[zone];
}

const char *
trial_layout_role_name (enum trial_role role)
{
  static const char *const names[]
      = { "control", "ledger", "router", "target" };
  return names[role];
}
