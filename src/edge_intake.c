#include "edge_intake.h"

#define MIB (1024u * 1024u)
/* Share of a process's memory that callers may use, in percent; the rest is
   for the routing table, transfers to targets and the log. */
#define CALLERS_PERCENT 50u
/* Share of that which only ordinary requests use, in percent. */
#define KEPT_PERCENT 25u
/* Descriptors that are not for connections, and share of the others that is
   for callers, in percent; each open request needs one to its target. */
#define OTHER_DESCRIPTORS 200u
#define CALLERS_DESCRIPTORS_PERCENT 60u
#define CONNECTIONS_MAX 3000u
#define CONNECTIONS_MIN 16u
#define STILL_MS 1000u
#define STILL_MAX_MS 30000u
/* Part of that time for connections and ordinary bodies. */
#define ORDINARY_DIVISOR 10u
/* Bytes that count as movement of a body. */
#define MOVEMENT_BYTES 4096u

struct edge_intake
{
  struct edge_intake_limits limits;
  /* Connections (struct edge_intake_entry). */
  GQueue entries;
  /* Bytes of all connections, bodies and answers. */
  uint64_t bytes;
  /* Connections that were told to go. */
  uint32_t going;
};

struct edge_intake_limits
edge_intake_limits_for (uint32_t memory_mb, uint32_t descriptors)
{
  struct edge_intake_limits limits
      = { .still_ms = STILL_MS, .still_max_ms = STILL_MAX_MS };
  uint32_t connections = descriptors > OTHER_DESCRIPTORS
                             ? (descriptors - OTHER_DESCRIPTORS)
                                   * CALLERS_DESCRIPTORS_PERCENT / 100
                             : 0;
  limits.bytes_max = (uint64_t)memory_mb * MIB * CALLERS_PERCENT / 100;
  limits.kept_bytes = limits.bytes_max * KEPT_PERCENT / 100;
  limits.connections_max
      = CLAMP (connections, CONNECTIONS_MIN, CONNECTIONS_MAX);
  return limits;
}

struct edge_intake *
edge_intake_create (const struct edge_intake_limits *limits)
{
  struct edge_intake *intake = g_new0 (struct edge_intake, 1);
  intake->limits = *limits;
  g_queue_init (&intake->entries);
  return intake;
}

void
edge_intake_destroy (struct edge_intake *intake)
{
  g_free (intake);
}

void
edge_intake_open (struct edge_intake *intake, struct edge_intake_entry *entry,
                  uint64_t now_ms)
{
  *entry = (struct edge_intake_entry){ .state = EDGE_INTAKE_IDLE,
                                       .connection_bytes
                                       = EDGE_INTAKE_CONNECTION_BYTES,
                                       .moved_ms = now_ms };
  entry->link.data = entry;
  g_queue_push_tail_link (&intake->entries, &entry->link);
  intake->bytes += EDGE_INTAKE_CONNECTION_BYTES;
}

static void
release (struct edge_intake *intake, struct edge_intake_entry *entry)
{
  intake->bytes
      -= entry->body_bytes + entry->answer_bytes + entry->unread_bytes;
  entry->unread_bytes = 0;
  entry->body_bytes = 0;
  entry->answer_bytes = 0;
}

void
edge_intake_close (struct edge_intake *intake, struct edge_intake_entry *entry)
{
  release (intake, entry);
  intake->bytes -= entry->connection_bytes;
  intake->going -= entry->state == EDGE_INTAKE_GOING;
  g_queue_unlink (&intake->entries, &entry->link);
}

void
edge_intake_set_state (struct edge_intake *intake,
                       struct edge_intake_entry *entry,
                       enum edge_intake_state state, uint64_t now_ms)
{
  if (state == EDGE_INTAKE_IDLE || state == EDGE_INTAKE_GOING)
    release (intake, entry);
  if (state == EDGE_INTAKE_GOING && entry->state != EDGE_INTAKE_GOING)
    {
      intake->bytes -= entry->connection_bytes;
      entry->connection_bytes = 0;
      intake->going++;
    }
  if (entry->state == EDGE_INTAKE_GOING)
    return;
  entry->state = state;
  entry->moved_ms = now_ms;
  entry->unmarked_bytes = 0;
}

void
edge_intake_note_received (struct edge_intake_entry *entry, uint64_t bytes,
                           uint64_t now_ms)
{
  entry->unmarked_bytes += bytes;
  if (entry->unmarked_bytes < MOVEMENT_BYTES)
    return;
  entry->unmarked_bytes = 0;
  entry->moved_ms = now_ms;
}

bool
edge_intake_is_over (const struct edge_intake *intake)
{
  return intake->bytes > intake->limits.bytes_max
         || edge_intake_connections (intake) > intake->limits.connections_max;
}

/* Returns whether a body or an answer of @p bytes, which are already in the
   account, is within its room. */
static bool
is_within (const struct edge_intake *intake, uint64_t total, uint64_t bytes)
{
  uint64_t kept
      = bytes > EDGE_INTAKE_ORDINARY_BYTES ? intake->limits.kept_bytes : 0;
  return total + kept <= intake->limits.bytes_max;
}

bool
edge_intake_body_fits (const struct edge_intake *intake,
                       const struct edge_intake_entry *entry, uint64_t bytes)
{
  return is_within (intake, intake->bytes - entry->body_bytes + bytes, bytes);
}

void
edge_intake_set_body (struct edge_intake *intake,
                      struct edge_intake_entry *entry, uint64_t bytes)
{
  intake->bytes += bytes - entry->body_bytes;
  entry->body_bytes = bytes;
}

bool
edge_intake_set_answer (struct edge_intake *intake,
                        struct edge_intake_entry *entry, uint64_t bytes)
{
  intake->bytes += bytes - entry->answer_bytes;
  entry->answer_bytes = bytes;
  return bytes <= EDGE_INTAKE_ORDINARY_BYTES
         || is_within (intake, intake->bytes, bytes);
}

static uint64_t
still_ms (const struct edge_intake_entry *entry, uint64_t now_ms)
{
  return now_ms > entry->moved_ms ? now_ms - entry->moved_ms : 0;
}

void
edge_intake_set_unread (struct edge_intake *intake,
                        struct edge_intake_entry *entry, uint64_t bytes)
{
  intake->bytes += bytes - entry->unread_bytes;
  entry->unread_bytes = bytes;
}

void
edge_intake_visit_held (const struct edge_intake *intake, uint64_t now_ms,
                        void (*visit) (void *context,
                                       struct edge_intake_entry *entry),
                        void *context)
{
  for (const GList *link = intake->entries.head; link; link = link->next)
    {
      struct edge_intake_entry *entry = link->data;
      if (entry->state == EDGE_INTAKE_HELD
          && still_ms (entry, now_ms) >= intake->limits.still_ms)
        visit (context, entry);
    }
}

/* A connection without a request may always have to go: where it does, the
   caller has lost nothing and can connect again. */
static bool
may_have_to_go (const struct edge_intake_entry *entry, uint64_t min_still_ms,
                uint64_t now_ms)
{
  return entry->state == EDGE_INTAKE_IDLE
         || (entry->state == EDGE_INTAKE_READING
             && still_ms (entry, now_ms) >= min_still_ms);
}

static struct edge_intake_entry *
find_heaviest (const struct edge_intake *intake,
               const struct edge_intake_entry *asking, uint64_t min_still_ms,
               uint64_t now_ms)
{
  struct edge_intake_entry *victim = NULL;
  uint64_t most = 0;
  for (const GList *link = intake->entries.head; link; link = link->next)
    {
      struct edge_intake_entry *entry = link->data;
      uint64_t weight = (entry->connection_bytes + entry->body_bytes)
                        * (still_ms (entry, now_ms) + 1);
      if (entry == asking || weight <= most
          || !may_have_to_go (entry, min_still_ms, now_ms))
        continue;
      victim = entry;
      most = weight;
    }
  return victim;
}

struct edge_intake_entry *
edge_intake_find_victim (const struct edge_intake *intake,
                         const struct edge_intake_entry *asking,
                         bool is_ordinary, uint64_t now_ms)
{
  struct edge_intake_entry *victim
      = find_heaviest (intake, asking, intake->limits.still_ms, now_ms);
  if (victim || !is_ordinary)
    return victim;
  return find_heaviest (intake, asking,
                        intake->limits.still_ms / ORDINARY_DIVISOR, now_ms);
}

struct edge_intake_entry *
edge_intake_find_still (const struct edge_intake *intake, uint64_t now_ms)
{
  for (const GList *link = intake->entries.head; link; link = link->next)
    {
      struct edge_intake_entry *entry = link->data;
      if (entry->state == EDGE_INTAKE_READING
          && still_ms (entry, now_ms) >= intake->limits.still_max_ms)
        return entry;
    }
  return NULL;
}

uint64_t
edge_intake_body_max (const struct edge_intake *intake)
{
  uint64_t room = intake->limits.bytes_max - intake->limits.kept_bytes;
  return room - MIN (room, EDGE_INTAKE_CONNECTION_BYTES);
}

uint64_t
edge_intake_bytes (const struct edge_intake *intake)
{
  return intake->bytes;
}

uint32_t
edge_intake_connections (const struct edge_intake *intake)
{
  return intake->entries.length - intake->going;
}

bool
edge_intake_is_tight (const struct edge_intake *intake)
{
  return intake->bytes > intake->limits.bytes_max / 4 * 3
         || edge_intake_connections (intake)
                > intake->limits.connections_max / 4 * 3;
}
