#include "control_peers.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "cactus_config.h"
#include "base_clock.h"
#include "base_log.h"
#include "consensus.h"
#include "wire_client.h"

/* Limits of the queue to one member: messages, and bytes of entries and
   snapshot pieces. */
#define QUEUE_MESSAGES_MAX 512
#define QUEUE_BYTES_MAX (32u * 1024 * 1024)

/* Queue and sending thread of one member. */
struct sender
{
  struct control_peers *peers;
  uint64_t member_id;
  char address[16];
  uint16_t port;
  GMutex mutex;
  GCond wake;
  /* Queued messages (struct consensus_wire_message). */
  GQueue queue;
  uint64_t queued_bytes;
  bool stopping;
  /* Whether the last connection was given up since it brought no answers. */
  bool is_silent;
  GThread *thread;
};

struct control_peers
{
  char *cluster;
  GPtrArray *senders;
  atomic_uint_least64_t dropped;
  atomic_uint_least64_t silent_connections;
};

static uint64_t
message_bytes (const struct consensus_wire_message *message)
{
  uint64_t bytes = message->snapshot_piece.snapshot_piece_len;
  for (u_int i = 0; i < message->entries.entries_len; i++)
    bytes += message->entries.entries_val[i].data.data_len;
  return bytes;
}

/* Waits until the sender is woken; false when @p due_ms has passed. */
static bool
wait_wake (struct sender *sender, uint64_t due_ms)
{
  if (due_ms == UINT64_MAX)
    {
      g_cond_wait (&sender->wake, &sender->mutex);
      return true;
    }
  uint64_t now = base_clock_now_ms (base_clock_system ());
  gint64 wait_us = due_ms > now ? (gint64)(due_ms - now) * 1000 : 0;
  return g_cond_wait_until (&sender->wake, &sender->mutex,
                            g_get_monotonic_time () + wait_us);
}

/* Waits for the next message until @p due_ms.  Returns NULL when there is none
   by then or the sender stops. */
static struct consensus_wire_message *
wait_message (struct sender *sender, uint64_t due_ms)
{
  struct consensus_wire_message *message = NULL;
  bool in_time = true;
  g_mutex_lock (&sender->mutex);
  while (in_time && !sender->stopping && g_queue_is_empty (&sender->queue))
    in_time = wait_wake (sender, due_ms);
  if (!sender->stopping && !g_queue_is_empty (&sender->queue))
    {
      message = g_queue_pop_head (&sender->queue);
      sender->queued_bytes -= message_bytes (message);
    }
  g_mutex_unlock (&sender->mutex);
  return message;
}

static void
drop_queue (struct sender *sender)
{
  struct consensus_wire_message *message;
  g_mutex_lock (&sender->mutex);
  while ((message = g_queue_pop_head (&sender->queue)))
    {
      atomic_fetch_add (&sender->peers->dropped, 1);
      consensus_message_free (message);
    }
  sender->queued_bytes = 0;
  g_mutex_unlock (&sender->mutex);
}

static void
log_posts (const struct sender *sender, const struct wire_posts *posts)
{
  base_log (BASE_LOG_NOTICE,
            "member-posts address=%s:%u unanswered=%d silent_ms=%" PRIu64
            " open_calls=%" PRIu32,
            sender->address, (unsigned)sender->port, (int)sender->is_silent,
            posts->silent_ms, posts->open_calls);
}

/* Gives up a connection that takes messages and brings no answers: only a new
   one can tell whether the member is there.  Its messages are lost; consensus
   sends again what is needed. */
static void
check_connection (struct sender *sender, struct wire_client *client)
{
  struct wire_posts posts;
  wire_client_check_posts (client, &posts);
  if (posts.is_dropped)
    atomic_fetch_add (&sender->peers->silent_connections, 1);
  bool is_silent
      = posts.is_dropped || (sender->is_silent && posts.replies == 0);
  if (is_silent == sender->is_silent)
    return;
  sender->is_silent = is_silent;
  log_posts (sender, &posts);
}

static void
send_message (struct sender *sender, struct wire_client *client,
              struct consensus_wire_message *message)
{
  message->cluster = strdup (sender->peers->cluster);
  /* The call is posted without waiting for its reply: on a link with a delay
     of 30 ms, one call at a time would be too slow even for the heartbeats.
     Later messages make up for a lost one. */
  enum wire_status status = wire_client_post (
      client, CONSENSUS_STEP, (xdrproc_t)xdr_consensus_wire_message, message,
      CACTUS_CALL_TIMEOUT_MS);
  consensus_message_free (message);
  /* Messages queued behind a lost one are out of date. */
  if (status != WIRE_OK)
    drop_queue (sender);
}

static bool
is_stopping (struct sender *sender)
{
  g_mutex_lock (&sender->mutex);
  bool stopping = sender->stopping;
  g_mutex_unlock (&sender->mutex);
  return stopping;
}

static gpointer
send_messages (gpointer data)
{
  struct sender *sender = data;
  struct wire_client *client = wire_client_create (
      sender->address, sender->port, CONSENSUS_PROGRAM, CONSENSUS_VERSION);
  while (!is_stopping (sender))
    {
      struct consensus_wire_message *message
          = wait_message (sender, wire_client_reply_due_ms (client));
      check_connection (sender, client);
      if (message)
        send_message (sender, client, message);
    }
  wire_client_destroy (client);
  return NULL;
}

static void
free_sender (gpointer data)
{
  struct sender *sender = data;
  g_mutex_lock (&sender->mutex);
  sender->stopping = true;
  g_cond_signal (&sender->wake);
  g_mutex_unlock (&sender->mutex);
  g_thread_join (sender->thread);
  drop_queue (sender);
  g_mutex_clear (&sender->mutex);
  g_cond_clear (&sender->wake);
  g_free (sender);
}

struct control_peers *
control_peers_create (const char *cluster)
{
  struct control_peers *peers = g_new0 (struct control_peers, 1);
  peers->cluster = g_strdup (cluster);
  peers->senders = g_ptr_array_new_with_free_func (free_sender);
  return peers;
}

void
control_peers_destroy (struct control_peers *peers)
{
  if (!peers)
    return;
  g_ptr_array_unref (peers->senders);
  g_free (peers->cluster);
  g_free (peers);
}

static void
add_sender (struct control_peers *peers, const struct consensus_member *member)
{
  struct sender *sender = g_new0 (struct sender, 1);
  sender->peers = peers;
  sender->member_id = member->id;
  sender->port = member->port;
  g_strlcpy (sender->address, member->address, sizeof sender->address);
  g_mutex_init (&sender->mutex);
  g_cond_init (&sender->wake);
  g_queue_init (&sender->queue);
  sender->thread = g_thread_new ("peer", send_messages, sender);
  g_ptr_array_add (peers->senders, sender);
}

static struct sender *
find_sender (const struct control_peers *peers, uint64_t member_id)
{
  for (guint i = 0; i < peers->senders->len; i++)
    {
      struct sender *sender = peers->senders->pdata[i];
      if (sender->member_id == member_id)
        return sender;
    }
  return NULL;
}

/* Returns whether the sender's member is still listed at the same address. */
static bool
is_current (const struct sender *sender,
            const struct consensus_configuration *members)
{
  for (uint32_t i = 0; i < members->count; i++)
    {
      const struct consensus_member *member = &members->members[i];
      if (member->id == sender->member_id)
        return member->port == sender->port
               && strcmp (member->address, sender->address) == 0;
    }
  return false;
}

void
control_peers_update (struct control_peers *peers,
                      const struct consensus_configuration *members,
                      uint64_t self)
{
  for (guint i = peers->senders->len; i-- > 0;)
    if (!is_current (peers->senders->pdata[i], members))
      g_ptr_array_remove_index (peers->senders, i);
  for (uint32_t i = 0; i < members->count; i++)
    {
      const struct consensus_member *member = &members->members[i];
      if (member->id != self && !find_sender (peers, member->id))
        add_sender (peers, member);
    }
}

void
control_peers_send (struct control_peers *peers,
                    struct consensus_wire_message *message)
{
  struct sender *sender = find_sender (peers, message->to_member);
  uint64_t bytes = message_bytes (message);
  bool queued = false;
  if (sender)
    {
      g_mutex_lock (&sender->mutex);
      queued = sender->queue.length < QUEUE_MESSAGES_MAX
               && sender->queued_bytes + bytes <= QUEUE_BYTES_MAX;
      if (queued)
        {
          g_queue_push_tail (&sender->queue, message);
          sender->queued_bytes += bytes;
          g_cond_signal (&sender->wake);
        }
      g_mutex_unlock (&sender->mutex);
    }
  if (queued)
    return;
  atomic_fetch_add (&peers->dropped, 1);
  consensus_message_free (message);
}

uint64_t
control_peers_dropped (struct control_peers *peers)
{
  return atomic_load (&peers->dropped);
}

uint64_t
control_peers_silent_connections (struct control_peers *peers)
{
  return atomic_load (&peers->silent_connections);
}
