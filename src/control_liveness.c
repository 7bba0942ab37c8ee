#include "control_liveness.h"

#include <glib.h>

#include "base_hash.h"

/* What a heartbeat told. */
struct lease
{
  uint64_t incarnation;
  uint64_t renewed_ms;
  uint64_t bundle_version;
};

struct control_liveness
{
  uint32_t lease_ms;
  uint64_t since_ms;
  /* struct lease by the hash of kind and name. */
  GHashTable *table;
};

struct control_liveness *
control_liveness_create (uint32_t lease_ms)
{
  struct control_liveness *leases = g_new0 (struct control_liveness, 1);
  leases->lease_ms = lease_ms;
  leases->table
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return leases;
}

void
control_liveness_destroy (struct control_liveness *leases)
{
  if (!leases)
    return;
  g_hash_table_unref (leases->table);
  g_free (leases);
}

void
control_liveness_reset (struct control_liveness *leases, uint64_t now_ms)
{
  g_hash_table_remove_all (leases->table);
  leases->since_ms = now_ms;
}

static uint64_t
key_of (const struct wire_process *process)
{
  return base_hash_string (process->host) + process->kind;
}

static struct lease *
find_lease (const struct control_liveness *leases,
            const struct wire_process *process)
{
  uint64_t key = key_of (process);
  struct lease *lease = g_hash_table_lookup (leases->table, &key);
  return lease && lease->incarnation == process->incarnation ? lease : NULL;
}

void
control_liveness_renew (struct control_liveness *leases,
                        const struct wire_process *process, uint64_t now_ms)
{
  struct lease *lease = find_lease (leases, process);
  if (!lease)
    {
      uint64_t key = key_of (process);
      lease = g_new0 (struct lease, 1);
      lease->incarnation = process->incarnation;
      g_hash_table_replace (leases->table, g_memdup2 (&key, sizeof key),
                            lease);
    }
  lease->renewed_ms = now_ms;
  lease->bundle_version = process->bundle_version;
}

bool
control_liveness_expired (const struct control_liveness *leases,
                          const struct wire_process *process, uint64_t now_ms)
{
  const struct lease *lease = find_lease (leases, process);
  uint64_t renewed_ms = lease ? lease->renewed_ms : leases->since_ms;
  return now_ms >= MAX (renewed_ms, leases->since_ms) + leases->lease_ms;
}

uint64_t
control_liveness_bundle_version (const struct control_liveness *leases,
                                 const struct wire_process *process)
{
  const struct lease *lease = find_lease (leases, process);
  return lease ? lease->bundle_version : 0;
}
