/** @file
 *  Finds control's leader among the members and sends calls to it.  Calls to
 *  control are idempotent under their ids, so a call whose answer was lost is
 *  sent again to the next member. */

#include "control_client.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_settings.h"
#include "cactus_config.h"

/* Shortest wait for an answer that says something of the connection, in
   milliseconds: several of the longest round trips. */
#define SILENT_MS 300
/* Idle connections kept per member. */
#define IDLE_CONNECTIONS_MAX 8
/* Shortest and longest pause between two rounds over all members. */
#define BACKOFF_MIN_MS 20
#define BACKOFF_MAX_MS 160
/* Maximum number of members that a client keeps; later ones are ignored. */
#define MEMBERS_MAX (2 * CONTROL_MEMBERS_MAX)

/** Outcome of one attempt at one member. */
enum attempt_outcome
{
  /** The answer is final. */
  ATTEMPT_FINAL,
  /** The member did not apply the call. */
  ATTEMPT_UNAPPLIED,
  /** The member may have applied the call. */
  ATTEMPT_LOST,
  /** The member doesn't know the procedure or can't decode the arguments. */
  ATTEMPT_REFUSED
};

/** The arguments of control_client_call. */
struct control_call
{
  uint32_t procedure;
  xdrproc_t args_codec;
  void *args;
  xdrproc_t result_codec;
  void *result;
  size_t result_bytes;
};

/** One member and its idle connections. */
struct control_endpoint
{
  char address[16];
  uint16_t port;
  /** Idle connections (struct wire_client). */
  GPtrArray *idle;
};

struct control_client
{
  GMutex mutex;
  /** Members (struct control_endpoint); leaders named by other members are
   *  added. */
  GPtrArray *members;
  /** Index of the member to call next, modulo their number. */
  guint leader;
};

static void
free_member (gpointer data)
{
  struct control_endpoint *member = data;
  g_ptr_array_unref (member->idle);
  g_free (member);
}

static void
free_connection (gpointer data)
{
  wire_client_destroy (data);
}

static void
add_member (struct control_client *client, const char *address, uint16_t port)
{
  struct control_endpoint *member = g_new0 (struct control_endpoint, 1);
  g_strlcpy (member->address, address, sizeof member->address);
  member->port = port;
  member->idle = g_ptr_array_new_with_free_func (free_connection);
  g_ptr_array_add (client->members, member);
}

struct control_client *
control_client_create (const char *const *endpoints)
{
  char address[16];
  uint16_t port;
  struct control_client *client = g_new0 (struct control_client, 1);
  g_mutex_init (&client->mutex);
  client->members = g_ptr_array_new_with_free_func (free_member);
  for (; endpoints && *endpoints; endpoints++)
    if (base_endpoint_split (*endpoints, address, &port) == 0)
      add_member (client, address, port);
  return client;
}

void
control_client_destroy (struct control_client *client)
{
  if (!client)
    return;
  g_ptr_array_unref (client->members);
  g_mutex_clear (&client->mutex);
  g_free (client);
}

/* Returns a connection to the member for exclusive use, until it is passed to
   release_connection. */
static struct wire_client *
acquire_connection (struct control_client *client,
                    struct control_endpoint *member)
{
  struct wire_client *connection = NULL;
  g_mutex_lock (&client->mutex);
  if (member->idle->len > 0)
    connection = g_ptr_array_steal_index (member->idle, member->idle->len - 1);
  g_mutex_unlock (&client->mutex);
  if (connection)
    return connection;
  return wire_client_create (member->address, member->port, CONTROL_PROGRAM,
                             CONTROL_VERSION);
}

static void
release_connection (struct control_client *client,
                    struct control_endpoint *member,
                    struct wire_client *connection)
{
  g_mutex_lock (&client->mutex);
  if (member->idle->len < IDLE_CONNECTIONS_MAX)
    {
      g_ptr_array_add (member->idle, connection);
      connection = NULL;
    }
  g_mutex_unlock (&client->mutex);
  wire_client_destroy (connection);
}

/* Closes the idle connections to all members after a call on one of them
   brought no answer: they may be as silent as that one, and each would cost
   another attempt its time. */
static void
drop_idle_connections (struct control_client *client)
{
  GPtrArray *dropped = g_ptr_array_new_with_free_func (free_connection);
  g_mutex_lock (&client->mutex);
  for (guint i = 0; i < client->members->len; i++)
    {
      const struct control_endpoint *member = client->members->pdata[i];
      while (member->idle->len > 0)
        g_ptr_array_add (dropped,
                         g_ptr_array_steal_index_fast (member->idle, 0));
    }
  g_mutex_unlock (&client->mutex);
  g_ptr_array_unref (dropped);
}

/* Returns the member to call next, or NULL when there is none. */
static struct control_endpoint *
choose_member (struct control_client *client, guint *index)
{
  struct control_endpoint *member = NULL;
  g_mutex_lock (&client->mutex);
  if (client->members->len > 0)
    {
      *index = client->leader % client->members->len;
      member = client->members->pdata[*index];
    }
  g_mutex_unlock (&client->mutex);
  return member;
}

static guint
count_members (struct control_client *client)
{
  g_mutex_lock (&client->mutex);
  guint count = client->members->len;
  g_mutex_unlock (&client->mutex);
  return count;
}

/* Advances from member @p index to the next one, unless another thread did so
   already. */
static void
advance_leader (struct control_client *client, guint index)
{
  g_mutex_lock (&client->mutex);
  if (client->leader % client->members->len == index)
    client->leader = index + 1;
  g_mutex_unlock (&client->mutex);
}

static bool
find_member (struct control_client *client, const char *address, uint32_t port,
             guint *index)
{
  for (guint i = 0; i < client->members->len; i++)
    {
      const struct control_endpoint *member = client->members->pdata[i];
      if (member->port == port && strcmp (member->address, address) == 0)
        {
          *index = i;
          return true;
        }
    }
  return false;
}

void
control_client_add (struct control_client *client, const char *address,
                    uint16_t port)
{
  guint index;
  g_mutex_lock (&client->mutex);
  if (!find_member (client, address, port, &index)
      && client->members->len < MEMBERS_MAX)
    add_member (client, address, port);
  g_mutex_unlock (&client->mutex);
}

/* Makes the leader that a member named the next one to call.  Returns whether
   it is another member. */
static bool
follow_leader (struct control_client *client, guint from,
               const struct control_answer *answer)
{
  guint index = from;
  const char *address = answer->leader_address;
  if (!address || !*address || answer->leader_port == 0
      || answer->leader_port > UINT16_MAX)
    return false;
  g_mutex_lock (&client->mutex);
  bool found = find_member (client, address, answer->leader_port, &index);
  if (!found && client->members->len < MEMBERS_MAX)
    {
      add_member (client, address, (uint16_t)answer->leader_port);
      index = client->members->len - 1;
    }
  if (index != from)
    client->leader = index;
  g_mutex_unlock (&client->mutex);
  return index != from;
}

static enum attempt_outcome
outcome_of (enum wire_status status, const struct control_answer *answer)
{
  if (status == WIRE_UNSENT)
    return ATTEMPT_UNAPPLIED;
  if (status == WIRE_REFUSED)
    return ATTEMPT_REFUSED;
  if (status == WIRE_LOST || answer->status == CONTROL_UNAVAILABLE)
    return ATTEMPT_LOST;
  if (answer->status == CONTROL_NOT_LEADER)
    return ATTEMPT_UNAPPLIED;
  return ATTEMPT_FINAL;
}

/* Makes one attempt at one member.  Sets @p redirected when that member named
   another one as the leader. */
static enum attempt_outcome
attempt (struct control_client *client, const struct control_call *call,
         uint32_t timeout_ms, bool *redirected)
{
  guint index = 0;
  struct control_endpoint *member = choose_member (client, &index);
  *redirected = false;
  if (!member)
    return ATTEMPT_UNAPPLIED;
  struct wire_client *connection = acquire_connection (client, member);
  enum wire_status status = wire_client_call (
      connection, call->procedure, call->args_codec, call->args,
      call->result_codec, call->result, call->result_bytes, timeout_ms);
  if (status == WIRE_LOST && timeout_ms >= SILENT_MS)
    drop_idle_connections (client);
  release_connection (client, member, connection);
  const struct control_answer *answer = call->result;
  enum attempt_outcome outcome = outcome_of (status, answer);
  if (outcome == ATTEMPT_FINAL)
    return outcome;
  if (status == WIRE_OK && answer->status == CONTROL_NOT_LEADER)
    *redirected = follow_leader (client, index, answer);
  if (!*redirected)
    advance_leader (client, index);
  xdr_free (call->result_codec, call->result);
  memset (call->result, 0, call->result_bytes);
  return outcome;
}

/* Pauses before the next round over all members, at most until the deadline.
   Returns the next pause. */
static uint64_t
back_off (uint64_t backoff_ms, uint64_t deadline_ms)
{
  uint64_t now_ms = base_clock_now_ms (base_clock_system ());
  uint64_t left_ms = deadline_ms > now_ms ? deadline_ms - now_ms : 0;
  g_usleep (1000 * MIN (backoff_ms, left_ms));
  return MIN (2 * backoff_ms, BACKOFF_MAX_MS);
}

static enum wire_status
combine_status (bool lost, bool refused)
{
  if (lost)
    return WIRE_LOST;
  return refused ? WIRE_REFUSED : WIRE_UNSENT;
}

static enum wire_status
call_members (struct control_client *client, const struct control_call *call,
              uint64_t deadline_ms)
{
  struct base_clock *clock = base_clock_system ();
  uint64_t backoff_ms = BACKOFF_MIN_MS;
  uint64_t now_ms = base_clock_now_ms (clock);
  guint tried = 0;
  bool lost = false;
  bool refused = false;
  while (now_ms < deadline_ms)
    {
      bool redirected;
      uint64_t left_ms = MIN (deadline_ms - now_ms, CACTUS_CALL_TIMEOUT_MS);
      enum attempt_outcome outcome
          = attempt (client, call, (uint32_t)left_ms, &redirected);
      if (outcome == ATTEMPT_FINAL)
        return WIRE_OK;
      lost = lost || outcome == ATTEMPT_LOST;
      refused = refused || outcome == ATTEMPT_REFUSED;
      if (++tried >= count_members (client))
        {
          backoff_ms = back_off (backoff_ms, deadline_ms);
          tried = 0;
        }
      now_ms = base_clock_now_ms (clock);
    }
  return combine_status (lost, refused);
}

enum wire_status
control_client_call (struct control_client *client, uint32_t procedure,
                     xdrproc_t args_codec, void *args, xdrproc_t result_codec,
                     void *result, size_t result_bytes, uint32_t timeout_ms)
{
  struct control_call call
      = { procedure, args_codec, args, result_codec, result, result_bytes };
  uint64_t deadline_ms = base_clock_now_ms (base_clock_system ()) + timeout_ms;
  memset (result, 0, result_bytes);
  return call_members (client, &call, deadline_ms);
}
