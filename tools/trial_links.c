#include "trial_links.h"

#include <stdio.h>
#include <string.h>

#include "link_relay.h"
#include "trial_layout.h"

/* One-way delays that the deployments specify: between regions, and between
   the zones of a region. */
#define REGION_DELAY_MS 30
#define ZONE_DELAY_MS 1
/* Bandwidth between regions: 30 Mbit/s in each direction. */
#define REGION_BYTES_PER_S (30 * 1000 * 1000 / 8)

struct trial_links
{
  /* Link from the first zone to the second; NULL from a zone to itself. */
  struct link_relay *links[TRIAL_ZONES][TRIAL_ZONES];
};

static struct link_relay *
make_link (const struct load_mix *mix, uint32_t from, uint32_t to)
{
  struct link_relay *link = link_relay_create ();
  const char *region = trial_layout_region_name (mix, from);
  bool same = strcmp (region, trial_layout_region_name (mix, to)) == 0;
  link_relay_set_delay (link, same ? ZONE_DELAY_MS : REGION_DELAY_MS);
  link_relay_set_bandwidth (link, same ? 0 : REGION_BYTES_PER_S);
  return link;
}

struct trial_links *
trial_links_create (const struct load_mix *mix)
{
  struct trial_links *links = g_new0 (struct trial_links, 1);
  for (uint32_t from = 0; from < TRIAL_ZONES; from++)
    for (uint32_t to = 0; to < TRIAL_ZONES; to++)
      if (from != to)
        links->links[from][to] = make_link (mix, from, to);
  return links;
}

void
trial_links_destroy (struct trial_links *links)
{
  for (uint32_t from = 0; from < TRIAL_ZONES; from++)
    for (uint32_t to = 0; to < TRIAL_ZONES; to++)
      link_relay_destroy (links->links[from][to]);
  g_free (links);
}

void
trial_links_add (struct trial_links *links, enum trial_role role,
                 uint32_t zone, uint32_t index, uint16_t port)
{
  char address[TRIAL_ADDRESS_BYTES];
  char listen_address[TRIAL_ADDRESS_BYTES];
  trial_layout_address (role, zone, index, address);
  for (uint32_t from = 0; from < TRIAL_ZONES; from++)
    {
      if (from == zone)
        continue;
      trial_layout_link_address (from, role, zone, index, listen_address);
      if (link_relay_add_listener (links->links[from][zone], listen_address,
                                   port, address, port)
          == 0)
        fprintf (stderr,
                 "link relay can't listen on %s:%u; processes can't connect "
                 "through this address\n",
                 listen_address, port);
    }
}

void
trial_links_cut (struct trial_links *links, uint32_t zone, bool cut)
{
  for (uint32_t other = 0; other < TRIAL_ZONES; other++)
    {
      if (other == zone)
        continue;
      link_relay_set_cut (links->links[zone][other], cut);
      link_relay_set_cut (links->links[other][zone], cut);
    }
}
