#include "consensus_log.h"

#include <stdlib.h>
#include <string.h>

/* A configuration and the index of its entry. */
struct indexed_configuration
{
  uint64_t index;
  struct consensus_configuration configuration;
};

struct consensus_log
{
  /* Index and term of the last entry that the snapshot covers; 0 without a
     snapshot. */
  uint64_t base_index;
  uint64_t base_term;
  GBytes *snapshot;
  /* struct consensus_wire_entry; the first has index base_index + 1. */
  GArray *entries;
  /* struct indexed_configuration, oldest first; the first is the one that
     applies at base_index. */
  GArray *configurations;
};

static struct indexed_configuration *
configuration_at (const struct consensus_log *log, guint position)
{
  return &g_array_index (log->configurations, struct indexed_configuration,
                         position);
}

static struct consensus_wire_entry *
entry_at (const struct consensus_log *log, uint64_t index)
{
  return &g_array_index (log->entries, struct consensus_wire_entry,
                         index - log->base_index - 1);
}

struct consensus_log *
consensus_log_create (void)
{
  struct consensus_log *log = g_new0 (struct consensus_log, 1);
  struct indexed_configuration none = { 0 };
  log->entries
      = g_array_new (FALSE, FALSE, sizeof (struct consensus_wire_entry));
  log->configurations
      = g_array_new (FALSE, FALSE, sizeof (struct indexed_configuration));
  g_array_append_val (log->configurations, none);
  return log;
}

void
consensus_log_destroy (struct consensus_log *log)
{
  consensus_log_truncate (log, log->base_index + 1);
  g_array_unref (log->entries);
  g_array_unref (log->configurations);
  g_clear_pointer (&log->snapshot, g_bytes_unref);
  g_free (log);
}

uint64_t
consensus_log_last (const struct consensus_log *log)
{
  return log->base_index + log->entries->len;
}

uint64_t
consensus_log_base (const struct consensus_log *log)
{
  return log->base_index;
}

bool
consensus_log_has_term (const struct consensus_log *log, uint64_t index)
{
  return index >= log->base_index && index <= consensus_log_last (log);
}

uint64_t
consensus_log_term (const struct consensus_log *log, uint64_t index)
{
  if (!consensus_log_has_term (log, index))
    return 0;
  return index == log->base_index ? log->base_term
                                  : entry_at (log, index)->term;
}

const struct consensus_wire_entry *
consensus_log_entry (const struct consensus_log *log, uint64_t index)
{
  if (index <= log->base_index || index > consensus_log_last (log))
    return NULL;
  return entry_at (log, index);
}

void
consensus_log_append (struct consensus_log *log,
                      const struct consensus_wire_entry *entry)
{
  g_array_append_val (log->entries, *entry);
  if (entry->kind != CONSENSUS_ENTRY_CONFIGURATION)
    return;
  struct indexed_configuration latest = { .index = entry->index };
  if (consensus_configuration_decode (
          &latest.configuration, entry->data.data_val, entry->data.data_len)
      == 0)
    g_array_append_val (log->configurations, latest);
}

void
consensus_log_truncate (struct consensus_log *log, uint64_t index)
{
  while (consensus_log_last (log) >= index && log->entries->len > 0)
    {
      free (entry_at (log, consensus_log_last (log))->data.data_val);
      g_array_set_size (log->entries, log->entries->len - 1);
    }
  while (log->configurations->len > 1
         && configuration_at (log, log->configurations->len - 1)->index
                >= index)
    g_array_set_size (log->configurations, log->configurations->len - 1);
}

void
consensus_log_compact (struct consensus_log *log, uint64_t index,
                       GBytes *snapshot)
{
  uint64_t term = consensus_log_term (log, index);
  guint count = (guint)(index - log->base_index);
  for (guint i = 0; i < count; i++)
    free (g_array_index (log->entries, struct consensus_wire_entry, i)
              .data.data_val);
  g_array_remove_range (log->entries, 0, count);
  while (log->configurations->len > 1
         && configuration_at (log, 1)->index <= index)
    g_array_remove_index (log->configurations, 0);
  log->base_index = index;
  log->base_term = term;
  g_clear_pointer (&log->snapshot, g_bytes_unref);
  log->snapshot = g_bytes_ref (snapshot);
}

bool
consensus_log_install (struct consensus_log *log, GBytes *snapshot)
{
  struct consensus_wire_snapshot wire = { 0 };
  struct indexed_configuration latest = { 0 };
  XDR stream;
  gsize bytes = 0;
  const char *data = g_bytes_get_data (snapshot, &bytes);
  xdrmem_create (&stream, (char *)data, (u_int)bytes, XDR_DECODE);
  bool valid = xdr_consensus_wire_snapshot (&stream, &wire)
               && consensus_configuration_from_wire (&latest.configuration,
                                                     &wire.configuration)
                      == 0;
  XDR_DESTROY (&stream);
  if (valid)
    {
      consensus_log_truncate (log, log->base_index + 1);
      latest.index = wire.configuration_index;
      g_array_set_size (log->configurations, 0);
      g_array_append_val (log->configurations, latest);
      log->base_index = wire.log_index;
      log->base_term = wire.log_term;
      g_clear_pointer (&log->snapshot, g_bytes_unref);
      log->snapshot = g_bytes_ref (snapshot);
    }
  xdr_free ((xdrproc_t)xdr_consensus_wire_snapshot, (char *)&wire);
  return valid;
}

GBytes *
consensus_log_snapshot (const struct consensus_log *log)
{
  return log->snapshot;
}

const struct consensus_configuration *
consensus_log_configuration (const struct consensus_log *log)
{
  return &configuration_at (log, log->configurations->len - 1)->configuration;
}

uint64_t
consensus_log_configuration_index (const struct consensus_log *log)
{
  return configuration_at (log, log->configurations->len - 1)->index;
}

const struct consensus_configuration *
consensus_log_configuration_at (const struct consensus_log *log,
                                uint64_t index, uint64_t *configured_at)
{
  guint position = log->configurations->len - 1;
  while (position > 0 && configuration_at (log, position)->index > index)
    position--;
  *configured_at = configuration_at (log, position)->index;
  return &configuration_at (log, position)->configuration;
}
