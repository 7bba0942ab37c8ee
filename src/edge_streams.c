#include "edge_streams.h"

#include <stdlib.h>

#include <glib.h>

#include "control_streams.h"

/* Time after which an answer that no request fetched is forgotten, in
   milliseconds. */
#define ASK_KEEP_MS 2000
/* Notes that wait for one member at most; the oldest are dropped. */
#define NOTES_MAX 4096u
/* Shortest time between two calls with notes to one member, in milliseconds
   for each member that exists: a router's calls a second don't grow with the
   number of members.  The notes of a router that dies meanwhile are lost. */
#define NOTES_INTERVAL_MS 20
/* Time after which members that know nothing of a stream are asked again, in
   milliseconds: its caller may have been faster than the note. */
#define REPEAT_MS 60

/* A control member, and what waits for it or was sent to it. */
struct member
{
  bool exists;
  bool is_reachable;
  bool is_calling;
  /* Of struct control_stream, and of uint64_t. */
  GArray *notes;
  GArray *asked;
  /* Time of the last call with notes, in milliseconds; 0 when the next one is
     due at once. */
  uint64_t called_ms;
  GArray *sent_notes;
  GArray *sent_asked;
};

/* A question to the members. */
struct ask
{
  uint64_t stream;
  uint64_t asked_ms;
  /* Members that have not answered, one bit each. */
  uint32_t waiting;
  uint64_t build;
  /* The members are not asked again. */
  bool is_final;
};

struct edge_streams
{
  /* Streams that this router began or was asked to continue. */
  struct control_streams *known;
  struct member members[EDGE_SOURCES_MAX];
  /* Member at which the choice of members for the next note begins. */
  uint32_t next_member;
  /* struct ask by stream. */
  GHashTable *asks;
};

struct edge_streams *
edge_streams_create (void)
{
  struct edge_streams *streams = g_new0 (struct edge_streams, 1);
  streams->known = control_streams_create ();
  streams->asks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    {
      struct member *member = &streams->members[i];
      member->notes
          = g_array_new (FALSE, FALSE, sizeof (struct control_stream));
      member->sent_notes
          = g_array_new (FALSE, FALSE, sizeof (struct control_stream));
      member->asked = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      member->sent_asked = g_array_new (FALSE, FALSE, sizeof (uint64_t));
    }
  return streams;
}

void
edge_streams_destroy (struct edge_streams *streams)
{
  if (!streams)
    return;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    {
      struct member *member = &streams->members[i];
      g_array_unref (member->notes);
      g_array_unref (member->sent_notes);
      g_array_unref (member->asked);
      g_array_unref (member->sent_asked);
    }
  g_hash_table_unref (streams->asks);
  control_streams_destroy (streams->known);
  g_free (streams);
}

static bool
is_usable (const struct member *member)
{
  return member->exists && member->is_reachable;
}

static void
add_note (struct member *member, const struct control_stream *note)
{
  if (member->notes->len >= NOTES_MAX)
    g_array_remove_index (member->notes, 0);
  g_array_append_val (member->notes, *note);
}

/* Queues a note for up to @p copies members, other than @p except, that
   respond or don't.  Returns how many copies are left. */
static uint32_t
queue_note (struct edge_streams *streams, const struct control_stream *note,
            uint32_t copies, uint32_t except, bool is_reachable)
{
  uint32_t first = streams->next_member;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX && copies > 0; i++)
    {
      uint32_t index = (first + i) % EDGE_SOURCES_MAX;
      struct member *member = &streams->members[index];
      if (index == except || !member->exists
          || member->is_reachable != is_reachable)
        continue;
      add_note (member, note);
      streams->next_member = index + 1;
      copies--;
    }
  return copies;
}

/* Queues a note for @p copies members, other than @p except.  Those that don't
   respond get it once they do. */
static void
send_note (struct edge_streams *streams, const struct control_stream *note,
           uint32_t copies, uint32_t except)
{
  uint32_t left = queue_note (streams, note, copies, except, true);
  queue_note (streams, note, left, except, false);
}

static uint32_t
count_members (const struct edge_streams *streams)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    count += streams->members[i].exists;
  return count;
}

/* Returns the number of members that share a member with every majority. */
static uint32_t
majority (const struct edge_streams *streams)
{
  return count_members (streams) / 2 + 1;
}

bool
edge_streams_has_majority (const struct edge_streams *streams)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    count += is_usable (&streams->members[i]);
  return count >= majority (streams);
}

/* A member no longer gets what waits for it: notes go to another one, and
   questions count as answered. */
static void
give_up_member (struct edge_streams *streams, uint32_t index)
{
  struct member *member = &streams->members[index];
  GArray *notes = member->notes;
  member->notes = g_array_new (FALSE, FALSE, sizeof (struct control_stream));
  for (guint i = 0; i < notes->len; i++)
    send_note (streams, &g_array_index (notes, struct control_stream, i), 1,
               index);
  g_array_unref (notes);
  for (guint i = 0; i < member->asked->len; i++)
    {
      struct ask *ask = g_hash_table_lookup (
          streams->asks, &g_array_index (member->asked, uint64_t, i));
      if (ask)
        ask->waiting &= ~(UINT32_C (1) << index);
    }
  g_array_set_size (member->asked, 0);
}

void
edge_streams_set_member (struct edge_streams *streams, uint32_t member,
                         bool exists)
{
  streams->members[member].exists = exists;
  if (!exists)
    give_up_member (streams, member);
}

void
edge_streams_set_reachable (struct edge_streams *streams, uint32_t member,
                            bool is_reachable)
{
  bool was_reachable = streams->members[member].is_reachable;
  streams->members[member].is_reachable = is_reachable;
  if (was_reachable && !is_reachable)
    give_up_member (streams, member);
}

void
edge_streams_begin (struct edge_streams *streams, uint64_t stream,
                    uint64_t build, uint64_t now_ms)
{
  const struct control_stream note = { stream, build };
  control_streams_note (streams->known, stream, build, now_ms);
  send_note (streams, &note, majority (streams), EDGE_SOURCES_MAX);
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer context)
{
  const struct ask *ask = value;
  (void)key;
  return *(const uint64_t *)context >= ask->asked_ms + ASK_KEEP_MS;
}

/* Queues the question for all members that respond. */
static void
send_ask (struct edge_streams *streams, struct ask *ask)
{
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    if (is_usable (&streams->members[i]))
      {
        ask->waiting |= UINT32_C (1) << i;
        g_array_append_val (streams->members[i].asked, ask->stream);
      }
}

static struct ask *
ask_members (struct edge_streams *streams, uint64_t stream, uint64_t now_ms)
{
  struct ask *ask = g_new0 (struct ask, 1);
  g_hash_table_foreach_remove (streams->asks, is_forgotten, &now_ms);
  ask->stream = stream;
  ask->asked_ms = now_ms;
  send_ask (streams, ask);
  ask->is_final = ask->waiting == 0;
  g_hash_table_insert (streams->asks, &ask->stream, ask);
  return ask;
}

/* Returns whether the members' answers decide the question, or its time is
   over.  Asks them again once if they know nothing. */
static bool
is_decided (struct edge_streams *streams, struct ask *ask, uint64_t now_ms)
{
  if (ask->build || now_ms >= ask->asked_ms + EDGE_STREAMS_ASK_MS)
    return true;
  if (ask->waiting == 0 && !ask->is_final
      && now_ms >= ask->asked_ms + REPEAT_MS)
    {
      send_ask (streams, ask);
      ask->is_final = true;
    }
  return ask->waiting == 0 && ask->is_final;
}

void
edge_streams_flush (struct edge_streams *streams)
{
  for (uint32_t i = 0; i < EDGE_SOURCES_MAX; i++)
    streams->members[i].called_ms = 0;
}

enum edge_streams_answer
edge_streams_find (struct edge_streams *streams, uint64_t stream,
                   uint64_t now_ms, uint64_t *build)
{
  *build = control_streams_find (streams->known, stream, now_ms);
  if (*build)
    return EDGE_STREAMS_KNOWN;
  struct ask *ask = g_hash_table_lookup (streams->asks, &stream);
  if (!ask)
    ask = ask_members (streams, stream, now_ms);
  if (!is_decided (streams, ask, now_ms))
    return EDGE_STREAMS_ASKED;
  *build = ask->build;
  g_hash_table_remove (streams->asks, &stream);
  if (*build)
    control_streams_note (streams->known, stream, *build, now_ms);
  return *build ? EDGE_STREAMS_KNOWN : EDGE_STREAMS_UNKNOWN;
}

/* Moves up to CONTROL_STREAMS_MAX elements of @p from to @p to, which is
   emptied first. */
static void
move_elements (GArray *from, GArray *to)
{
  guint count = MIN (from->len, CONTROL_STREAMS_MAX);
  g_array_set_size (to, 0);
  if (count == 0)
    return;
  g_array_append_vals (to, from->data, count);
  g_array_remove_range (from, 0, count);
}

bool
edge_streams_fill_call (struct edge_streams *streams, uint32_t index,
                        uint64_t now_ms, struct control_streams_args *args)
{
  struct member *member = &streams->members[index];
  uint64_t interval_ms = (uint64_t)NOTES_INTERVAL_MS * count_members (streams);
  bool is_due
      = member->notes->len > 0 && now_ms >= member->called_ms + interval_ms;
  if (!is_usable (member) || member->is_calling
      || (!is_due && member->asked->len == 0))
    return false;
  member->is_calling = true;
  if (member->notes->len > 0)
    member->called_ms = now_ms;
  move_elements (member->notes, member->sent_notes);
  move_elements (member->asked, member->sent_asked);
  guint notes = member->sent_notes->len;
  guint asked = member->sent_asked->len;
  args->begun.begun_len = notes;
  args->begun.begun_val = calloc (notes + 1, sizeof *args->begun.begun_val);
  for (guint i = 0; i < notes; i++)
    args->begun.begun_val[i]
        = g_array_index (member->sent_notes, struct control_stream, i);
  args->asked.asked_len = asked;
  args->asked.asked_val = calloc (asked + 1, sizeof *args->asked.asked_val);
  for (guint i = 0; i < asked; i++)
    args->asked.asked_val[i] = g_array_index (member->sent_asked, uint64_t, i);
  return true;
}

/* Records a member's answer to one question.  Returns whether that decides
   it. */
static bool
apply_answer (struct edge_streams *streams, uint32_t index, uint64_t stream,
              uint64_t build)
{
  struct ask *ask = g_hash_table_lookup (streams->asks, &stream);
  if (!ask)
    return false;
  ask->waiting &= ~(UINT32_C (1) << index);
  if (build)
    ask->build = build;
  return ask->build || ask->waiting == 0;
}

bool
edge_streams_handle_result (struct edge_streams *streams, uint32_t index,
                            const struct control_streams_result *result)
{
  struct member *member = &streams->members[index];
  bool has_answers = false;
  member->is_calling = false;
  for (guint i = 0; i < member->sent_asked->len; i++)
    {
      uint64_t build = result && i < result->builds.builds_len
                           ? result->builds.builds_val[i]
                           : 0;
      has_answers |= apply_answer (
          streams, index, g_array_index (member->sent_asked, uint64_t, i),
          build);
    }
  for (guint i = 0; !result && i < member->sent_notes->len; i++)
    send_note (streams,
               &g_array_index (member->sent_notes, struct control_stream, i),
               1, index);
  g_array_set_size (member->sent_asked, 0);
  g_array_set_size (member->sent_notes, 0);
  return has_answers;
}
