#include "edge_sources.h"

#include <glib.h>

#include "edge_targets.h"

/* Time for which a router waits for a member of its region to hold a version
   that a member elsewhere holds already, in milliseconds: several times what
   replication between regions takes. */
#define FAR_GRACE_MS 500
/* Time for which a member is not read from after a failed read, in
   milliseconds. */
#define AVOID_MS 500

struct source
{
  bool is_known;
  bool is_near;
  bool is_lost;
  uint64_t version;
  uint64_t avoid_until_ms;
};

struct edge_sources
{
  struct source sources[EDGE_SOURCES_MAX];
  uint64_t rotation;
  uint64_t held_version;
  /* Time since which a member has held a newer version than the router. */
  uint64_t behind_since_ms;
};

/* How a member may be read from; a lower rank comes first. */
enum rank
{
  RANK_NEAR,
  RANK_FAR,
  RANK_LOST
};

struct edge_sources *
edge_sources_create (uint64_t rotation)
{
  struct edge_sources *sources = g_new0 (struct edge_sources, 1);
  sources->rotation = rotation % EDGE_SOURCES_MAX;
  return sources;
}

void
edge_sources_destroy (struct edge_sources *sources)
{
  g_free (sources);
}

static bool
is_behind (const struct edge_sources *sources)
{
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    if (sources->sources[i].version > sources->held_version)
      return true;
  return false;
}

bool
edge_sources_report (struct edge_sources *sources, uint32_t source,
                     bool is_near, uint64_t version, uint64_t now_ms)
{
  struct source *reported = &sources->sources[source];
  if (version > sources->held_version && !is_behind (sources))
    sources->behind_since_ms = now_ms;
  reported->is_known = true;
  reported->is_near = is_near;
  reported->is_lost = false;
  reported->version = version;
  return version > sources->held_version;
}

void
edge_sources_report_lost (struct edge_sources *sources, uint32_t source)
{
  sources->sources[source].is_lost = true;
}

void
edge_sources_forget (struct edge_sources *sources, uint32_t source)
{
  sources->sources[source] = (struct source){ 0 };
}

void
edge_sources_report_failed (struct edge_sources *sources, uint32_t source,
                            uint64_t now_ms)
{
  sources->sources[source].avoid_until_ms = now_ms + AVOID_MS;
}

void
edge_sources_set_held (struct edge_sources *sources, uint64_t version,
                       uint64_t now_ms)
{
  sources->held_version = version;
  sources->behind_since_ms = now_ms;
}

/* Returns whether members of the region are known and none of them can be read
   from, so that waiting for them is of no use. */
static bool
has_lost_region (const struct edge_sources *sources, uint64_t now_ms)
{
  bool is_known = false;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    {
      const struct source *source = &sources->sources[i];
      if (!source->is_known || !source->is_near)
        continue;
      is_known = true;
      if (!source->is_lost && now_ms >= source->avoid_until_ms)
        return false;
    }
  return is_known;
}

static enum rank
rank_of (const struct source *source)
{
  if (source->is_lost)
    return RANK_LOST;
  return source->is_near ? RANK_NEAR : RANK_FAR;
}

/* Returns whether @p source is to be read before @p best, or NULL. */
static bool
comes_before (const struct source *source, const struct source *best)
{
  if (!best || rank_of (source) != rank_of (best))
    return !best || rank_of (source) < rank_of (best);
  return source->version > best->version;
}

int32_t
edge_sources_choose (const struct edge_sources *sources, uint64_t now_ms,
                     uint64_t *due_ms)
{
  int32_t chosen = -1;
  const struct source *best = NULL;
  uint64_t far_due_ms = has_lost_region (sources, now_ms)
                            ? now_ms
                            : sources->behind_since_ms + FAR_GRACE_MS;
  *due_ms = UINT64_MAX;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    {
      uint32_t index = (uint32_t)((i + sources->rotation) % EDGE_SOURCES_MAX);
      const struct source *source = &sources->sources[index];
      if (source->version <= sources->held_version)
        continue;
      uint64_t ready_ms = source->avoid_until_ms;
      if (rank_of (source) != RANK_NEAR)
        ready_ms = MAX (ready_ms, far_due_ms);
      if (now_ms < ready_ms)
        *due_ms = MIN (*due_ms, ready_ms);
      else if (comes_before (source, best))
        {
          best = source;
          chosen = (int32_t)index;
        }
    }
  return chosen;
}
