#include "edge_pressure.h"

#include <glib.h>

/* Intervals over which bytes are summed up, in milliseconds, and their number
   in the window. */
#define BIN_MS 100
#define BINS 10
/* Share of the link above which the router closes: bursts of three times the
   mean then fill the link. */
#define CLOSE_SHARE 0.3
/* Share below which the router opens again, and the shortest time for which it
   stays closed, in milliseconds: load balancers take a router out after two
   readiness checks a second apart, and callers need time to reconnect. */
#define OPEN_SHARE 0.15
#define CLOSED_MIN_MS 5000
#define BYTES_PER_S_PER_MBPS 125000.0

struct bin
{
  uint64_t index;
  uint64_t bytes[2];
};

struct edge_pressure
{
  double bytes_per_window;
  struct bin bins[BINS];
  bool is_closed;
  uint64_t closed_ms;
};

struct edge_pressure *
edge_pressure_create (double link_mbps)
{
  struct edge_pressure *pressure = g_new0 (struct edge_pressure, 1);
  pressure->bytes_per_window
      = link_mbps * BYTES_PER_S_PER_MBPS * BINS * BIN_MS / 1000.0;
  return pressure;
}

void
edge_pressure_destroy (struct edge_pressure *pressure)
{
  g_free (pressure);
}

void
edge_pressure_note (struct edge_pressure *pressure,
                    enum edge_pressure_direction direction, uint64_t bytes,
                    uint64_t now_ms)
{
  uint64_t index = now_ms / BIN_MS;
  struct bin *bin = &pressure->bins[index % BINS];
  if (bin->index != index)
    *bin = (struct bin){ .index = index };
  bin->bytes[direction] += bytes;
}

double
edge_pressure_share (const struct edge_pressure *pressure, uint64_t now_ms)
{
  uint64_t index = now_ms / BIN_MS;
  uint64_t in = 0;
  uint64_t out = 0;
  if (pressure->bytes_per_window <= 0)
    return 0.0;
  for (uint32_t i = 0; i < BINS; i++)
    {
      const struct bin *bin = &pressure->bins[i];
      if (bin->index + BINS <= index)
        continue;
      in += bin->bytes[EDGE_PRESSURE_IN];
      out += bin->bytes[EDGE_PRESSURE_OUT];
    }
  return (double)MAX (in, out) / pressure->bytes_per_window;
}

bool
edge_pressure_update (struct edge_pressure *pressure, uint64_t now_ms)
{
  double share = edge_pressure_share (pressure, now_ms);
  bool was_closed = pressure->is_closed;
  if (!was_closed && share > CLOSE_SHARE)
    {
      pressure->is_closed = true;
      pressure->closed_ms = now_ms;
    }
  else if (was_closed && share < OPEN_SHARE
           && now_ms >= pressure->closed_ms + CLOSED_MIN_MS)
    pressure->is_closed = false;
  return pressure->is_closed != was_closed;
}

bool
edge_pressure_is_open (const struct edge_pressure *pressure)
{
  return !pressure->is_closed;
}
