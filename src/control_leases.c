#include "control_leases.h"

#include <glib.h>

#include "base_hash.h"

/* What a heartbeat told. */
struct lease
{
  uint64_t incarnation;
  uint64_t renewed_ms;
  uint64_t bundle_version;
};

struct control_leases
{
  uint32_t lease_ms;
  uint64_t since_ms;
  /* struct lease by the hash of kind and name. */
  GHashTable *table;
};

struct control_leases *
control_leases_create (uint32_t lease_ms)
{
  struct control_leases *leases = g_new0 (struct control_leases, 1);
  leases->lease_ms = lease_ms;
  leases->table
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return leases;
}

void
control_leases_destroy (struct control_leases *leases)
{
  if (!leases)
    return;
  g_hash_table_unref (leases->table);
  g_free (leases);
}

void
control_leases_reset (struct control_leases *leases, uint64_t now_ms)
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
find_lease (const struct control_leases *leases,
            const struct wire_process *process)
{
  uint64_t key = key_of (process);
  struct lease *lease = g_hash_table_lookup (leases->table, &key);
  return lease && lease->incarnation == process->incarnation ? lease : NULL;
}

void
control_leases_renew (struct control_leases *leases,
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
control_leases_expired (const struct control_leases *leases,
                        const struct wire_process *process, uint64_t now_ms)
{
  const struct lease *lease = find_lease (leases, process);
  uint64_t renewed_ms = lease ? lease->renewed_ms : leases->since_ms;
  return now_ms >= MAX (renewed_ms, leases->since_ms) + leases->lease_ms;
}

uint64_t
control_leases_version (const struct control_leases *leases,
                        const struct wire_process *process)
{
  const struct lease *lease = find_lease (leases, process);
  return lease ? lease->bundle_version : 0;
}
