#include "control_liveness.h"

#include <glib.h>

#include "base_hash.h"

/* Last heartbeat of a process. */
struct heartbeat
{
  uint64_t incarnation;
  uint64_t renewed_ms;
  uint64_t bundle_version;
};

struct control_liveness
{
  uint32_t lease_ms;
  /* Time at which this member became the leader, in ms. */
  uint64_t leader_since_ms;
  /* struct heartbeat by the hash of kind and name. */
  GHashTable *table;
};

struct control_liveness *
control_liveness_create (uint32_t lease_ms)
{
  struct control_liveness *liveness = g_new0 (struct control_liveness, 1);
  liveness->lease_ms = lease_ms;
  liveness->table
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return liveness;
}

void
control_liveness_destroy (struct control_liveness *liveness)
{
  if (!liveness)
    return;
  g_hash_table_unref (liveness->table);
  g_free (liveness);
}

void
control_liveness_reset (struct control_liveness *liveness, uint64_t now_ms)
{
  g_hash_table_remove_all (liveness->table);
  liveness->leader_since_ms = now_ms;
}

static uint64_t
key_of (const struct wire_process *process)
{
  return base_hash_string (process->host) + process->kind;
}

static struct heartbeat *
find_heartbeat (const struct control_liveness *liveness,
                const struct wire_process *process)
{
  uint64_t key = key_of (process);
  struct heartbeat *heartbeat = g_hash_table_lookup (liveness->table, &key);
  return heartbeat && heartbeat->incarnation == process->incarnation
             ? heartbeat
             : NULL;
}

void
control_liveness_renew (struct control_liveness *liveness,
                        const struct wire_process *process, uint64_t now_ms)
{
  struct heartbeat *heartbeat = find_heartbeat (liveness, process);
  if (!heartbeat)
    {
      uint64_t key = key_of (process);
      heartbeat = g_new0 (struct heartbeat, 1);
      heartbeat->incarnation = process->incarnation;
      g_hash_table_replace (liveness->table, g_memdup2 (&key, sizeof key),
                            heartbeat);
    }
  heartbeat->renewed_ms = now_ms;
  heartbeat->bundle_version = process->bundle_version;
}

bool
control_liveness_expired (const struct control_liveness *liveness,
                          const struct wire_process *process, uint64_t now_ms)
{
  const struct heartbeat *heartbeat = find_heartbeat (liveness, process);
  uint64_t renewed_ms
      = heartbeat ? heartbeat->renewed_ms : liveness->leader_since_ms;
  return now_ms
         >= MAX (renewed_ms, liveness->leader_since_ms) + liveness->lease_ms;
}

uint64_t
control_liveness_bundle_version (const struct control_liveness *liveness,
                                 const struct wire_process *process)
{
  const struct heartbeat *heartbeat = find_heartbeat (liveness, process);
  return heartbeat ? heartbeat->bundle_version : 0;
}
