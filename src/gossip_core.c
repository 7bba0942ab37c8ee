#include "gossip_core.h"

#include <string.h>

#include <glib.h>

#include "base_hash.h"
#include "base_random.h"
#include "gossip_codec.h"
#include "gossip_message.h"

/* Number of rounds in which a change is pushed. */
#define PUSH_ROUNDS 3
/* Number of records outside of the recent changes that each exchange
   compares. */
#define SLICE_RECORDS 8
/* Maximum number of targets of this zone that are shared with another zone,
   divided equally among the services; at least one of each service is
   shared. */
#define EXPORTED_TARGETS_PER_ZONE 14

struct gossip_core
{
  struct registry *registry;
  struct registry_reader *reader;
  uint64_t cluster_hash;
  struct gossip_peer self;
  GMutex mutex;
  struct base_random random;
  /* The registry's change number at the start of each of the last rounds,
     oldest first. */
  uint64_t round_changes[PUSH_ROUNDS];
  /* Departures to be sent to all routers of the zone (struct
     registry_record). */
  GArray *departures;
  /* Names of the services whose targets other regions may use; NULL for all
     services. */
  GHashTable *cross_region;
  /* Buffer for records copied from the registry. */
  struct registry_record *buffer;
};

struct gossip_core *
gossip_core_create (struct registry *registry, const char *cluster,
                    const struct gossip_peer *self, uint64_t seed)
{
  struct gossip_core *core = g_new0 (struct gossip_core, 1);
  core->registry = registry;
  core->reader = registry_reader_create (registry);
  registry_set_local_zone (registry, self->availability_zone);
  core->cluster_hash = base_hash_string (cluster);
  core->self = *self;
  g_mutex_init (&core->mutex);
  base_random_seed (&core->random, seed);
  core->departures
      = g_array_new (FALSE, FALSE, sizeof (struct registry_record));
  core->buffer = g_new (struct registry_record, GOSSIP_RECORDS_MAX);
  return core;
}

void
gossip_core_destroy (struct gossip_core *core)
{
  if (!core)
    return;
  if (core->cross_region)
    g_hash_table_destroy (core->cross_region);
  g_mutex_clear (&core->mutex);
  registry_reader_destroy (core->reader);
  g_array_free (core->departures, TRUE);
  g_free (core->buffer);
  g_free (core);
}

void
gossip_core_set_cross_region (struct gossip_core *core,
                              const char *const *services, size_t count)
{
  g_mutex_lock (&core->mutex);
  if (core->cross_region)
    g_hash_table_destroy (core->cross_region);
  core->cross_region
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (core->cross_region, g_strdup (services[i]));
  g_mutex_unlock (&core->mutex);
}

void
gossip_core_start_round (struct gossip_core *core)
{
  g_mutex_lock (&core->mutex);
  for (int i = 0; i + 1 < PUSH_ROUNDS; i++)
    core->round_changes[i] = core->round_changes[i + 1];
  core->round_changes[PUSH_ROUNDS - 1]
      = registry_change_number (core->registry);
  g_mutex_unlock (&core->mutex);
}

/* Rendezvous weight of a target for the routers of @p availability_zone. */
static uint64_t
export_weight (const char *target, const char *availability_zone)
{
  uint64_t parts[2]
      = { base_hash_string (target), base_hash_string (availability_zone) };
  return base_hash64 (parts, sizeof parts);
}

/* Whether the target is among the targets with the highest weights of its
   service, which are shared with another zone. */
static bool
is_exported (const struct gossip_core *core, const char *availability_zone,
             const struct registry_record *record)
{
  uint64_t weight = export_weight (record->target, availability_zone);
  uint32_t higher = 0;
  const struct registry_view *view
      = registry_read (core->reader, record->service);
  for (size_t i = 0; view && i < view->count; i++)
    {
      const struct registry_record *other = &view->targets[i].record;
      if (strcmp (other->availability_zone, core->self.availability_zone) == 0)
        higher += export_weight (other->target, availability_zone) > weight;
    }
  registry_read_end (core->reader);
  size_t services = registry_service_count (core->registry);
  return higher < MAX (EXPORTED_TARGETS_PER_ZONE / MAX (services, 1), 1);
}

/* Whether a record may be sent to a router of this zone and region: in the
   same zone any record; to another zone departures and a few targets of our
   own zone; to another region only those of services that it may use. */
static bool
may_share (const struct gossip_core *core, const char *availability_zone,
           const char *region, const struct registry_record *record)
{
  if (strcmp (availability_zone, core->self.availability_zone) == 0)
    return true;
  if (strcmp (record->availability_zone, core->self.availability_zone) != 0)
    return false;
  if (strcmp (region, core->self.region) != 0 && core->cross_region
      && !g_hash_table_contains (core->cross_region, record->service))
    return false;
  return record->leaving || is_exported (core, availability_zone, record);
}

static void
fill_sender (const struct gossip_core *core, struct gossip_exchange_args *args)
{
  memset (args, 0, sizeof *args);
  args->cluster_hash = core->cluster_hash;
  args->host = g_strdup (core->self.host);
  args->availability_zone = g_strdup (core->self.availability_zone);
  args->region = g_strdup (core->self.region);
}

/* Adds a changed record; a departure is added as a whole record, since a load
   can't express it. */
static void
add_change (struct gossip_message *message,
            const struct registry_record *record)
{
  if (record->leaving)
    gossip_message_add_record (message, record);
  else
    gossip_message_add_load (message, record);
}

/* Adds the records that changed in the last rounds, except the identities in
   @p excluded (which may be NULL). */
static void
add_recent_changes (struct gossip_core *core, struct gossip_message *message,
                    const char *availability_zone, const char *region,
                    GHashTable *excluded)
{
  uint64_t after = core->round_changes[0];
  size_t count = registry_changes (core->registry, &after, core->buffer,
                                   GOSSIP_RECORDS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      uint64_t identity = registry_identity (&core->buffer[i]);
      if (excluded && g_hash_table_contains (excluded, &identity))
        continue;
      if (may_share (core, availability_zone, region, &core->buffer[i]))
        add_change (message, &core->buffer[i]);
    }
}

/* Adds the loads of a random slice of records, for the peer to compare. */
static void
add_slice (struct gossip_core *core, struct gossip_message *message,
           const char *availability_zone, const char *region)
{
  size_t start = base_random_next (&core->random) >> 16;
  size_t count
      = registry_slice (core->registry, start, core->buffer, SLICE_RECORDS);
  for (size_t i = 0; i < count; i++)
    if (may_share (core, availability_zone, region, &core->buffer[i]))
      gossip_message_add_load (message, &core->buffer[i]);
}

void
gossip_core_make_request (struct gossip_core *core,
                          const struct gossip_peer *peer, uint64_t now_ms,
                          struct gossip_exchange_args *args)
{
  struct gossip_message message;
  gossip_message_init (&message, now_ms);
  g_mutex_lock (&core->mutex);
  fill_sender (core, args);
  add_recent_changes (core, &message, peer->availability_zone, peer->region,
                      NULL);
  add_slice (core, &message, peer->availability_zone, peer->region);
  g_mutex_unlock (&core->mutex);
  gossip_message_to_args (&message, args);
}

void
gossip_core_add_departure (struct gossip_core *core,
                           const struct registry_record *record)
{
  g_mutex_lock (&core->mutex);
  g_array_append_val (core->departures, *record);
  g_mutex_unlock (&core->mutex);
}

bool
gossip_core_make_departure_request (struct gossip_core *core, uint64_t now_ms,
                                    struct gossip_exchange_args *args)
{
  struct gossip_message message;
  g_mutex_lock (&core->mutex);
  bool any = core->departures->len > 0;
  if (any)
    {
      gossip_message_init (&message, now_ms);
      fill_sender (core, args);
      args->repair = TRUE;
      for (guint i = 0; i < core->departures->len; i++)
        gossip_message_add_record (
            &message,
            &g_array_index (core->departures, struct registry_record, i));
      g_array_set_size (core->departures, 0);
      gossip_message_to_args (&message, args);
    }
  g_mutex_unlock (&core->mutex);
  return any;
}

/* Merges whole records; adds our record to the answer where the one received
   is older and has another identity. */
static void
merge_records (struct gossip_core *core, struct gossip_message *answer,
               const struct gossip_target *targets, u_int count,
               uint64_t now_ms)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof core->buffer[0]);
  for (u_int i = 0; i < count; i++)
    {
      struct registry_record record;
      if (gossip_target_to_record (&targets[i], now_ms, &record))
        g_array_append_val (records, record);
    }
  enum registry_outcome *outcomes
      = g_malloc0_n (records->len + 1, sizeof *outcomes);
  registry_merge_all (core->registry, (void *)records->data, records->len,
                      now_ms, outcomes);
  for (guint i = 0; i < records->len; i++)
    {
      const struct registry_record *record
          = &g_array_index (records, struct registry_record, i);
      struct registry_record ours;
      if (outcomes[i] == REGISTRY_STALE
          && registry_find_target (core->registry, record->target, &ours)
          && registry_identity (&ours) != registry_identity (record))
        gossip_message_add_record (answer, &ours);
    }
  g_free (outcomes);
  g_array_free (records, TRUE);
}

/* Merges loads of known identities, adds our load to the answer where the one
   received is older, and requests the records of unknown identities. */
static void
merge_loads (struct gossip_core *core, struct gossip_message *answer,
             const struct gossip_load *loads, u_int count, uint64_t now_ms)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof core->buffer[0]);
  for (u_int i = 0; i < count; i++)
    {
      struct registry_record record;
      if (!registry_find (core->registry, loads[i].identity, &record))
        gossip_message_request_record (answer, loads[i].identity);
      else if (loads[i].sequence > record.sequence)
        {
          gossip_load_to_record (&loads[i], now_ms, &record);
          g_array_append_val (records, record);
        }
      else if (loads[i].sequence < record.sequence)
        gossip_message_add_load (answer, &record);
    }
  registry_merge_all (core->registry, (void *)records->data, records->len,
                      now_ms, NULL);
  g_array_free (records, TRUE);
}

/* Adds the whole records that the peer requested. */
static void
add_wanted_records (struct gossip_core *core, struct gossip_message *message,
                    const u_quad_t *identities, u_int count,
                    const char *availability_zone, const char *region)
{
  for (u_int i = 0; i < count; i++)
    {
      struct registry_record record;
      if (registry_find (core->registry, identities[i], &record)
          && may_share (core, availability_zone, region, &record))
        gossip_message_add_record (message, &record);
    }
}

/* Identities of the loads in a request. */
static GHashTable *
identities_in (const struct gossip_exchange_args *args)
{
  GHashTable *identities = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (u_int i = 0; i < args->loads.loads_len; i++)
    g_hash_table_add (identities, &args->loads.loads_val[i].identity);
  return identities;
}

void
gossip_core_handle_request (struct gossip_core *core,
                            const struct gossip_exchange_args *args,
                            uint64_t now_ms,
                            struct gossip_exchange_result *result)
{
  struct gossip_message message;
  memset (result, 0, sizeof *result);
  if (args->cluster_hash != core->cluster_hash)
    return;
  gossip_message_init (&message, now_ms);
  g_mutex_lock (&core->mutex);
  if (!args->repair)
    {
      GHashTable *identities = identities_in (args);
      add_recent_changes (core, &message, args->availability_zone,
                          args->region, identities);
      g_hash_table_destroy (identities);
    }
  merge_records (core, &message, args->records.records_val,
                 args->records.records_len, now_ms);
  merge_loads (core, &message, args->loads.loads_val, args->loads.loads_len,
               now_ms);
  add_wanted_records (core, &message, args->wanted.wanted_val,
                      args->wanted.wanted_len, args->availability_zone,
                      args->region);
  g_mutex_unlock (&core->mutex);
  gossip_message_to_result (&message, result);
  result->accepted = TRUE;
}

bool
gossip_core_handle_response (struct gossip_core *core,
                             const struct gossip_peer *peer,
                             const struct gossip_exchange_result *result,
                             uint64_t sent_ms, uint64_t now_ms,
                             struct gossip_exchange_args *repair)
{
  struct gossip_message message;
  if (!result->accepted)
    return false;
  gossip_message_init (&message, now_ms);
  g_mutex_lock (&core->mutex);
  merge_records (core, &message, result->records.records_val,
                 result->records.records_len, sent_ms);
  merge_loads (core, &message, result->loads.loads_val,
               result->loads.loads_len, sent_ms);
  /* Loads that are newer here than in the response wait for the next
     exchange. */
  g_array_set_size (message.loads, 0);
  add_wanted_records (core, &message, result->wanted.wanted_val,
                      result->wanted.wanted_len, peer->availability_zone,
                      peer->region);
  bool due = !gossip_message_is_empty (&message);
  if (due)
    fill_sender (core, repair);
  g_mutex_unlock (&core->mutex);
  if (!due)
    {
      gossip_message_clear (&message);
      return false;
    }
  repair->repair = TRUE;
  gossip_message_to_args (&message, repair);
  return true;
}
