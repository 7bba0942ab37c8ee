#include "control_processes.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"

/* Number of superseded incarnations kept per process. */
#define SUPERSEDED_MAX 16
/* Time after which a process whose session expired is removed, in
   milliseconds. */
#define LAPSED_RETENTION_MS (UINT64_C (7) * 24 * 60 * 60 * 1000)

/* A process with its previous incarnations; the public part comes first. */
struct entry
{
  struct control_process current;
  /* Incarnations (uint64_t), oldest first. */
  GArray *superseded;
};

struct control_processes
{
  /* struct entry, in order of kind and name. */
  GPtrArray *entries;
  /* Cached digest of the live processes; 0 when it must be recomputed. */
  uint64_t digest;
};

static void
free_strings (struct wire_process *process)
{
  xdr_free ((xdrproc_t)xdr_wire_process, (char *)process);
}

static void
copy_process (struct wire_process *copy, const struct wire_process *process)
{
  *copy = *process;
  copy->host = strdup (process->host);
  copy->availability_zone = strdup (process->availability_zone);
  copy->region = strdup (process->region);
  copy->address = strdup (process->address);
}

static void
free_entry (gpointer data)
{
  struct entry *entry = data;
  free_strings (&entry->current.process);
  g_array_unref (entry->superseded);
  g_free (entry);
}

struct control_processes *
control_processes_create (void)
{
  struct control_processes *processes = g_new0 (struct control_processes, 1);
  processes->entries = g_ptr_array_new_with_free_func (free_entry);
  return processes;
}

void
control_processes_destroy (struct control_processes *processes)
{
  g_ptr_array_unref (processes->entries);
  g_free (processes);
}

/* Returns the index of the first entry that is not before (kind, host). */
static guint
lower_bound (const struct control_processes *processes,
             enum wire_process_kind kind, const char *host)
{
  guint low = 0;
  guint high = processes->entries->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const struct entry *entry = processes->entries->pdata[middle];
      const struct wire_process *process = &entry->current.process;
      bool is_before
          = process->kind < kind
            || (process->kind == kind && strcmp (process->host, host) < 0);
      if (is_before)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct entry *
find_entry (const struct control_processes *processes,
            enum wire_process_kind kind, const char *host)
{
  guint index = lower_bound (processes, kind, host);
  if (index >= processes->entries->len)
    return NULL;
  struct entry *entry = processes->entries->pdata[index];
  return entry->current.process.kind == kind
                 && strcmp (entry->current.process.host, host) == 0
             ? entry
             : NULL;
}

static struct entry *
add_entry (struct control_processes *processes,
           const struct wire_process *process)
{
  struct entry *entry = g_new0 (struct entry, 1);
  entry->superseded = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  copy_process (&entry->current.process, process);
  g_ptr_array_insert (
      processes->entries,
      (gint)lower_bound (processes, process->kind, process->host), entry);
  return entry;
}

const struct control_process *
control_processes_find (const struct control_processes *processes,
                        enum wire_process_kind kind, const char *host)
{
  const struct entry *entry = find_entry (processes, kind, host);
  return entry ? &entry->current : NULL;
}

bool
control_processes_superseded (const struct control_processes *processes,
                              const struct wire_process *process)
{
  const struct entry *entry
      = find_entry (processes, process->kind, process->host);
  for (guint i = 0; entry && i < entry->superseded->len; i++)
    if (g_array_index (entry->superseded, uint64_t, i) == process->incarnation)
      return true;
  return false;
}

static void
remove_old (struct control_processes *processes, uint64_t now_ms)
{
  for (guint i = processes->entries->len; i-- > 0;)
    {
      const struct entry *entry = processes->entries->pdata[i];
      if (entry->current.lapsed
          && now_ms >= entry->current.lapsed_at_ms + LAPSED_RETENTION_MS)
        g_ptr_array_remove_index (processes->entries, i);
    }
}

static void
supersede (struct entry *entry, uint64_t incarnation)
{
  g_array_append_val (entry->superseded, incarnation);
  if (entry->superseded->len > SUPERSEDED_MAX)
    g_array_remove_index (entry->superseded, 0);
}

bool
control_processes_register (struct control_processes *processes,
                            const struct wire_process *process,
                            uint64_t now_ms, uint64_t *previous)
{
  *previous = 0;
  if (control_processes_superseded (processes, process))
    return false;
  remove_old (processes, now_ms);
  struct entry *entry = find_entry (processes, process->kind, process->host);
  if (!entry)
    entry = add_entry (processes, process);
  if (entry->current.process.incarnation != process->incarnation)
    {
      *previous = entry->current.process.incarnation;
      supersede (entry, *previous);
    }
  struct wire_process copy;
  copy_process (&copy, process);
  free_strings (&entry->current.process);
  entry->current.process = copy;
  entry->current.lapsed = false;
  processes->digest = 0;
  return true;
}

bool
control_processes_lapse (struct control_processes *processes,
                         const struct wire_process *process, uint64_t now_ms)
{
  struct entry *entry = find_entry (processes, process->kind, process->host);
  if (!entry || entry->current.lapsed
      || entry->current.process.incarnation != process->incarnation)
    return false;
  entry->current.lapsed = true;
  entry->current.lapsed_at_ms = now_ms;
  processes->digest = 0;
  return true;
}

static uint64_t
mix (uint64_t digest, uint64_t value)
{
  uint64_t pair[2] = { digest, value };
  return base_hash64 (pair, sizeof pair);
}

uint64_t
control_processes_digest (struct control_processes *processes)
{
  if (processes->digest != 0)
    return processes->digest;
  uint64_t digest = 1;
  for (guint i = 0; i < processes->entries->len; i++)
    {
      const struct entry *entry = processes->entries->pdata[i];
      const struct wire_process *process = &entry->current.process;
      if (entry->current.lapsed)
        continue;
      digest = mix (digest, process->kind);
      digest = mix (digest, base_hash_string (process->host));
      digest = mix (digest, base_hash_string (process->availability_zone));
      digest = mix (digest, base_hash_string (process->region));
      digest = mix (digest, base_hash_string (process->address));
      digest = mix (digest, process->rpc_port);
      digest = mix (digest, process->http_port);
      digest = mix (digest, process->incarnation);
    }
  processes->digest = digest | 1;
  return processes->digest;
}

uint32_t
control_processes_live (struct control_processes *processes,
                        struct wire_process **copies)
{
  uint32_t count = 0;
  *copies = calloc (processes->entries->len + 1, sizeof (struct wire_process));
  for (guint i = 0; i < processes->entries->len && count < WIRE_PEERS_MAX; i++)
    {
      const struct entry *entry = processes->entries->pdata[i];
      if (!entry->current.lapsed)
        copy_process (&(*copies)[count++], &entry->current.process);
    }
  return count;
}

void
control_processes_visit (struct control_processes *processes,
                         void (*visit) (void *context,
                                        struct control_process *process),
                         void *context)
{
  for (guint i = 0; i < processes->entries->len; i++)
    {
      struct entry *entry = processes->entries->pdata[i];
      visit (context, &entry->current);
    }
}

void
control_processes_save (struct control_processes *processes,
                        struct control_state_image *image)
{
  guint count = processes->entries->len;
  image->processes.processes_len = count;
  image->processes.processes_val
      = calloc (count + 1, sizeof (struct control_process_image));
  for (guint i = 0; i < count; i++)
    {
      const struct entry *entry = processes->entries->pdata[i];
      struct control_process_image *to = &image->processes.processes_val[i];
      guint superseded = entry->superseded->len;
      copy_process (&to->process, &entry->current.process);
      to->lapsed = entry->current.lapsed;
      to->lapsed_at_ms = entry->current.lapsed_at_ms;
      to->superseded.superseded_len = superseded;
      to->superseded.superseded_val
          = calloc (superseded + 1, sizeof (u_quad_t));
      for (guint j = 0; j < superseded; j++)
        to->superseded.superseded_val[j]
            = g_array_index (entry->superseded, uint64_t, j);
    }
}

void
control_processes_load (struct control_processes *processes,
                        const struct control_state_image *image)
{
  for (u_int i = 0; i < image->processes.processes_len; i++)
    {
      const struct control_process_image *from
          = &image->processes.processes_val[i];
      struct entry *entry = add_entry (processes, &from->process);
      entry->current.lapsed = from->lapsed;
      entry->current.lapsed_at_ms = from->lapsed_at_ms;
      for (u_int j = 0; j < from->superseded.superseded_len; j++)
        supersede (entry, from->superseded.superseded_val[j]);
    }
}
