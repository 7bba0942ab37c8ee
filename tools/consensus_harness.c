#include "consensus_harness.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "consensus_harness_disk.h"
#include "consensus_harness_oracle.h"

#define ELECTION_TIMEOUT_MS 300
#define HEARTBEAT_INTERVAL_MS 75
#define STEP_MS 5

/* A message in flight. */
struct consensus_harness_packet
{
  uint64_t due_ms;
  struct consensus_wire_message *message;
};

static void
free_packet (gpointer data)
{
  struct consensus_harness_packet *packet = data;
  consensus_message_free (packet->message);
  g_free (packet);
}

static bool
chance (struct consensus_harness *sim, uint32_t per_thousand)
{
  return base_random_below (&sim->random, 1000) < per_thousand;
}

struct consensus_harness *
consensus_harness_create (uint64_t seed, uint32_t initial_members)
{
  return consensus_harness_create_on (NULL, NULL, seed, initial_members);
}

struct consensus_harness *
consensus_harness_create_on (const struct consensus_harness_stores *stores,
                             void *stores_context, uint64_t seed,
                             uint32_t initial_members)
{
  struct consensus_harness *sim = g_new0 (struct consensus_harness, 1);
  sim->stores = stores;
  sim->stores_context = stores_context;
  base_random_seed (&sim->random, seed);
  sim->initial_members = initial_members;
  sim->max_delay_ms = 10;
  sim->network = g_ptr_array_new_with_free_func (free_packet);
  sim->committed_terms = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  sim->committed_digests = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  sim->first_applied_terms = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  /* Entry indexes start at 1; index 0 stands for the empty log. */
  g_array_set_size (sim->committed_terms, 1);
  g_array_set_size (sim->committed_digests, 1);
  g_array_set_size (sim->first_applied_terms, 1);
  sim->leader_incarnations
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (uint64_t id = 1; id <= CONSENSUS_HARNESS_MEMBERS_MAX; id++)
    {
      struct consensus_harness_member *member = &sim->members[id];
      member->id = id;
      member->incarnation = base_random_next (&sim->random) | 1;
      member->exists = id <= initial_members;
      member->reads = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      consensus_harness_disk_init (&member->disk);
    }
  for (uint64_t id = 1; id <= initial_members; id++)
    consensus_harness_start (sim, id);
  return sim;
}

void
consensus_harness_destroy (struct consensus_harness *sim)
{
  for (uint64_t id = 1; id <= CONSENSUS_HARNESS_MEMBERS_MAX; id++)
    {
      consensus_destroy (sim->members[id].consensus);
      consensus_harness_disk_clear (&sim->members[id].disk);
      g_array_unref (sim->members[id].reads);
    }
  g_ptr_array_unref (sim->network);
  g_array_unref (sim->committed_terms);
  g_array_unref (sim->committed_digests);
  g_array_unref (sim->first_applied_terms);
  g_hash_table_unref (sim->leader_incarnations);
  if (sim->trace)
    g_string_free (sim->trace, TRUE);
  g_free (sim);
}

void
consensus_harness_start (struct consensus_harness *sim, uint64_t id)
{
  struct consensus_harness_member *member = &sim->members[id];
  struct consensus_options options = { .member_id = id,
                                       .incarnation = member->incarnation,
                                       .election_ms = ELECTION_TIMEOUT_MS,
                                       .heartbeat_ms = HEARTBEAT_INTERVAL_MS };
  options.seed = base_random_next (&sim->random);
  member->exists = true;
  for (uint64_t i = 1; i <= CONSENSUS_HARNESS_MEMBERS_MAX; i++)
    {
      struct consensus_member other
          = { .id = i, .role = CONSENSUS_VOTER, .port = (uint16_t)i };
      if (sim->members[i].exists)
        consensus_configuration_add (&options.bootstrap, &other);
    }
  member->applied = 0;
  member->log_digest = 0;
  member->paused_until_ms = 0;
  member->consensus = consensus_create (&options);
  if (!sim->stores)
    consensus_harness_disk_load (&member->disk, member->consensus);
  else if (!sim->stores->load (sim, id, member->consensus))
    {
      consensus_harness_crash (sim, id);
      return;
    }
  GBytes *snapshot = consensus_snapshot (member->consensus);
  if (snapshot)
    consensus_harness_load_state (sim, member, snapshot);
  consensus_start (member->consensus, sim->now_ms);
  consensus_harness_trace (sim, "start %" PRIu64, id);
}

void
consensus_harness_crash (struct consensus_harness *sim, uint64_t id)
{
  struct consensus_harness_member *member = &sim->members[id];
  if (sim->stores)
    sim->stores->crash (sim, id, member->consensus);
  else
    consensus_harness_disk_persist_part (&member->disk, member->consensus,
                                         &sim->random);
  consensus_destroy (member->consensus);
  member->consensus = NULL;
  g_array_set_size (member->reads, 0);
  consensus_harness_trace (sim, "crash %" PRIu64, id);
}

void
consensus_harness_wipe (struct consensus_harness *sim, uint64_t id)
{
  struct consensus_harness_member *member = &sim->members[id];
  if (sim->stores)
    sim->stores->wipe (sim, id);
  consensus_harness_disk_clear (&member->disk);
  consensus_harness_disk_init (&member->disk);
  member->incarnation = base_random_next (&sim->random) | 1;
  consensus_harness_trace (sim, "wipe %" PRIu64, id);
}

bool
consensus_harness_is_active (const struct consensus_harness *sim, uint64_t id)
{
  const struct consensus_harness_member *member = &sim->members[id];
  return member->consensus && sim->now_ms >= member->paused_until_ms;
}

void
consensus_harness_tick (struct consensus_harness *sim, uint64_t id)
{
  struct consensus_harness_member *member = &sim->members[id];
  consensus_tick (member->consensus, sim->now_ms);
  consensus_harness_check_leader (sim, member);
}

static struct consensus_wire_message *
copy_message (struct consensus_wire_message *message)
{
  XDR stream;
  u_int bytes
      = (u_int)xdr_sizeof ((xdrproc_t)xdr_consensus_wire_message, message);
  char *data = g_malloc (bytes);
  struct consensus_wire_message *copy
      = g_new0 (struct consensus_wire_message, 1);
  xdrmem_create (&stream, data, bytes, XDR_ENCODE);
  g_assert_true (xdr_consensus_wire_message (&stream, message));
  XDR_DESTROY (&stream);
  xdrmem_create (&stream, data, bytes, XDR_DECODE);
  g_assert_true (xdr_consensus_wire_message (&stream, copy));
  XDR_DESTROY (&stream);
  g_free (data);
  return copy;
}

static void
enqueue_message (struct consensus_harness *sim,
                 struct consensus_wire_message *message)
{
  struct consensus_harness_packet *packet
      = g_new0 (struct consensus_harness_packet, 1);
  packet->message = message;
  packet->due_ms
      = sim->now_ms + base_random_below (&sim->random, sim->max_delay_ms + 1);
  g_ptr_array_add (sim->network, packet);
}

/* Sends messages over the simulated network, which may lose or duplicate
   them. */
static void
send_messages (struct consensus_harness *sim, GPtrArray *messages)
{
  for (guint i = 0; i < messages->len; i++)
    {
      struct consensus_wire_message *message = messages->pdata[i];
      uint64_t from = message->from_member;
      uint64_t to = message->to_member;
      messages->pdata[i] = NULL;
      message->cluster = strdup ("");
      if (to > CONSENSUS_HARNESS_MEMBERS_MAX
          || sim->cut_until_ms[from][to] > sim->now_ms
          || chance (sim, sim->loss_per_thousand))
        {
          consensus_message_free (message);
          continue;
        }
      if (chance (sim, sim->duplicate_per_thousand))
        enqueue_message (sim, copy_message (message));
      enqueue_message (sim, message);
    }
  g_ptr_array_set_size (messages, 0);
}

void
consensus_harness_run_effects (struct consensus_harness *sim, uint64_t id)
{
  struct consensus_harness_member *member = &sim->members[id];
  struct consensus *consensus = member->consensus;
  struct consensus_effects *effects = consensus_effects (consensus);
  const struct consensus_wire_entry *entry;
  consensus_flush (consensus, sim->now_ms);
  send_messages (sim, effects->early_messages);
  bool unsynced = effects->vote_changed || effects->snapshot_installed
                  || effects->persist_from > 0;
  if (unsynced && chance (sim, sim->crash_before_sync_per_thousand))
    {
      consensus_harness_crash (sim, id);
      return;
    }
  bool installed = effects->snapshot_installed;
  if (!sim->stores)
    consensus_harness_disk_persist (&member->disk, consensus, effects);
  else if (!sim->stores->persist (sim, id, consensus))
    {
      consensus_harness_crash (sim, id);
      return;
    }
  consensus_mark_persisted (consensus, sim->now_ms);
  if (installed)
    {
      sim->snapshots_installed++;
      consensus_harness_load_state (sim, member,
                                    consensus_snapshot (consensus));
    }
  send_messages (sim, effects->early_messages);
  send_messages (sim, effects->messages);
  while ((entry = consensus_next_committed (consensus)))
    consensus_harness_apply (sim, member, entry);
  consensus_harness_check_reads (sim, member, effects->reads);
  consensus_effects_clear (consensus);
  consensus_harness_check_leader (sim, member);
}

bool
consensus_harness_deliver (struct consensus_harness *sim)
{
  if (sim->network->len == 0)
    return false;
  guint first_position
      = (guint)base_random_below (&sim->random, sim->network->len);
  for (guint i = 0; i < sim->network->len; i++)
    {
      guint position = (first_position + i) % sim->network->len;
      struct consensus_harness_packet *packet = sim->network->pdata[position];
      uint64_t to = packet->message->to_member;
      bool crashed = !sim->members[to].consensus;
      if (!crashed
          && (packet->due_ms > sim->now_ms
              || !consensus_harness_is_active (sim, to)))
        continue;
      packet = g_ptr_array_steal_index_fast (sim->network, position);
      if (!crashed)
        {
          consensus_step (sim->members[to].consensus, sim->now_ms,
                          packet->message);
          consensus_harness_check_leader (sim, &sim->members[to]);
        }
      free_packet (packet);
      return true;
    }
  return false;
}

void
consensus_harness_propose (struct consensus_harness *sim, uint64_t id)
{
  uint64_t value = base_random_next (&sim->random);
  if (consensus_propose (sim->members[id].consensus, &value, sizeof value) > 0)
    sim->proposals++;
}

void
consensus_harness_read (struct consensus_harness *sim, uint64_t id)
{
  struct consensus_harness_member *member = &sim->members[id];
  uint64_t needed = consensus_harness_committed (sim);
  uint64_t read = consensus_read_begin (member->consensus, sim->now_ms);
  if (read == 0)
    return;
  g_assert_cmpuint (read, ==, member->reads->len + 1);
  g_array_append_val (member->reads, needed);
}

void
consensus_harness_compact (struct consensus_harness *sim, uint64_t id)
{
  struct consensus_harness_member *member = &sim->members[id];
  consensus_harness_run_effects (sim, id);
  struct consensus_harness_state state
      = { member->applied, member->log_digest };
  if (!member->consensus
      || state.applied == consensus_snapshot_index (member->consensus))
    return;
  GBytes *snapshot
      = consensus_compact (member->consensus, &state, sizeof state);
  if (!sim->stores)
    consensus_harness_disk_compact (&member->disk, snapshot, state.applied);
  else if (!sim->stores->compact (sim, id, member->consensus))
    consensus_harness_crash (sim, id);
}

void
consensus_harness_run_without_faults (struct consensus_harness *sim,
                                      uint64_t duration_ms)
{
  uint64_t end_ms = sim->now_ms + duration_ms;
  memset (sim->cut_until_ms, 0, sizeof sim->cut_until_ms);
  sim->loss_per_thousand = 0;
  sim->crash_before_sync_per_thousand = 0;
  for (uint64_t id = 1; id <= CONSENSUS_HARNESS_MEMBERS_MAX; id++)
    {
      sim->members[id].paused_until_ms = 0;
      if (sim->members[id].exists && !sim->members[id].consensus)
        consensus_harness_start (sim, id);
    }
  while (sim->now_ms < end_ms)
    {
      sim->now_ms += STEP_MS;
      for (uint64_t id = 1; id <= CONSENSUS_HARNESS_MEMBERS_MAX; id++)
        if (sim->members[id].consensus)
          {
            consensus_harness_tick (sim, id);
            consensus_harness_run_effects (sim, id);
          }
      while (consensus_harness_deliver (sim))
        ;
    }
}

uint64_t
consensus_harness_committed (const struct consensus_harness *sim)
{
  return sim->committed_terms->len - 1;
}

uint64_t
consensus_harness_leader (const struct consensus_harness *sim)
{
  uint64_t leader = 0;
  uint64_t term = 0;
  for (uint64_t id = 1; id <= CONSENSUS_HARNESS_MEMBERS_MAX; id++)
    {
      const struct consensus *consensus = sim->members[id].consensus;
      if (consensus && consensus_is_leader (consensus)
          && consensus_term (consensus) > term)
        {
          leader = id;
          term = consensus_term (consensus);
        }
    }
  return leader;
}

/* Whether the voters with intact disks other than @p id make a majority, both
   now and once all rejoining members are voters again. */
static bool
has_majority_without (struct consensus_harness *sim,
                      const struct consensus_configuration *members,
                      uint64_t id)
{
  uint32_t voters = 0;
  uint32_t rejoining = 0;
  uint32_t intact_voters = 0;
  uint32_t intact_rejoining = 0;
  for (uint32_t i = 0; i < members->count; i++)
    {
      const struct consensus_member *member = &members->members[i];
      bool intact
          = member->id != id
            && member->incarnation == sim->members[member->id].incarnation;
      bool rejoins = member->role == CONSENSUS_REJOINING;
      bool votes = member->role == CONSENSUS_VOTER;
      voters += votes;
      rejoining += rejoins;
      intact_voters += votes && intact;
      intact_rejoining += rejoins && intact;
    }
  return intact_voters > voters / 2
         && intact_voters + intact_rejoining > (voters + rejoining) / 2;
}

bool
consensus_harness_can_lose (struct consensus_harness *sim, uint64_t id)
{
  if (sim->committed_members.count == 0
      || !has_majority_without (sim, &sim->committed_members, id))
    return false;
  for (uint64_t i = 1; i <= CONSENSUS_HARNESS_MEMBERS_MAX; i++)
    {
      const struct consensus *consensus = sim->members[i].consensus;
      if (sim->members[i].exists && !consensus)
        return false;
      if (consensus && consensus_members (consensus)->count > 0
          && !has_majority_without (sim, consensus_members (consensus), id))
        return false;
    }
  return true;
}
