#include "ledger_reconcile.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "escrow_reconcile.h"
#include "wire_client.h"
#include "wire_ledger.h"

/* Maximum number of keys in one call. */
#define CALL_KEYS_MAX 512u
/* Interval of calls to one ledger, in ms. */
#define CALL_INTERVAL_MS 200
/* Interval after a call that failed, in ms. */
#define RETRY_INTERVAL_MS 1000
/* Deadline of a call, in ms. */
#define CALL_TIMEOUT_MS 2000

/* State of the calls to a peer. */
enum peer_state
{
  PEER_IDLE,
  /* A call was started; the thread has not sent keys, or has no answer yet. */
  PEER_SENT,
  /* The call has ended; the server's thread has not read result and status
     yet. */
  PEER_ANSWERED
};

/* Another ledger and the thread that calls it. */
struct peer
{
  struct ledger_reconcile *reconcile;
  char *name;
  char *address;
  uint16_t port;
  GMutex mutex;
  GCond condition;
  enum peer_state state;
  bool stopping;
  /* The ledger is on the list of live processes. */
  bool listed;
  GThread *thread;
  /* Position in the billed keys up to which the peer has answered. */
  uint64_t answered_position;
  /* Position in the billed keys up to which keys were sent. */
  uint64_t sent_position;
  /* Monotonic time of the last call, in ms. */
  uint64_t last_call_ms;
  uint64_t interval_ms;
  struct ledger_settled keys[CALL_KEYS_MAX];
  uint32_t count;
  struct ledger_reconcile_result result;
  enum wire_status status;
};

/* A call from another ledger that waits for the round's sync. */
struct pending_call
{
  struct wire_call *call;
  struct ledger_reconcile_result result;
};

struct ledger_reconcile
{
  char *cluster;
  /* Name of this ledger. */
  char *own_name;
  void (*wake) (void *context);
  void *context;
  /* Guards the list of peers. */
  GMutex mutex;
  /* Elements: struct peer. */
  GPtrArray *peers;
  /* Elements: struct pending_call. */
  GArray *pending;
};

static void
call_peer (struct peer *peer, struct wire_client *client)
{
  struct ledger_reconcile_args args = { .cluster = peer->reconcile->cluster,
                                        .ledger = peer->reconcile->own_name };
  args.settled.settled_len = peer->count;
  args.settled.settled_val = peer->keys;
  peer->status = wire_client_call (
      client, LEDGER_RECONCILE, (xdrproc_t)xdr_ledger_reconcile_args, &args,
      (xdrproc_t)xdr_ledger_reconcile_result, &peer->result,
      sizeof peer->result, CALL_TIMEOUT_MS);
}

static gpointer
run_peer (gpointer data)
{
  struct peer *peer = data;
  struct wire_client *client = wire_client_create (
      peer->address, peer->port, LEDGER_PROGRAM, LEDGER_VERSION);
  g_mutex_lock (&peer->mutex);
  while (!peer->stopping)
    {
      if (peer->state != PEER_SENT)
        {
          g_cond_wait (&peer->condition, &peer->mutex);
          continue;
        }
      g_mutex_unlock (&peer->mutex);
      call_peer (peer, client);
      g_mutex_lock (&peer->mutex);
      peer->state = PEER_ANSWERED;
      peer->reconcile->wake (peer->reconcile->context);
    }
  g_mutex_unlock (&peer->mutex);
  wire_client_destroy (client);
  return NULL;
}

static void
free_peer (gpointer data)
{
  struct peer *peer = data;
  g_mutex_lock (&peer->mutex);
  peer->stopping = true;
  g_cond_signal (&peer->condition);
  g_mutex_unlock (&peer->mutex);
  g_thread_join (peer->thread);
  if (peer->state == PEER_ANSWERED)
    xdr_free ((xdrproc_t)xdr_ledger_reconcile_result, (char *)&peer->result);
  g_mutex_clear (&peer->mutex);
  g_cond_clear (&peer->condition);
  g_free (peer->name);
  g_free (peer->address);
  g_free (peer);
}

struct ledger_reconcile *
ledger_reconcile_create (const char *cluster, const char *own,
                         void (*wake) (void *context), void *context)
{
  struct ledger_reconcile *reconcile = g_new0 (struct ledger_reconcile, 1);
  reconcile->cluster = g_strdup (cluster);
  reconcile->own_name = g_strdup (own);
  reconcile->wake = wake;
  reconcile->context = context;
  reconcile->peers = g_ptr_array_new_with_free_func (free_peer);
  reconcile->pending
      = g_array_new (FALSE, FALSE, sizeof (struct pending_call));
  g_mutex_init (&reconcile->mutex);
  return reconcile;
}

static void
free_pending (struct ledger_reconcile *reconcile)
{
  for (guint i = 0; i < reconcile->pending->len; i++)
    {
      struct pending_call *pending
          = &g_array_index (reconcile->pending, struct pending_call, i);
      xdr_free ((xdrproc_t)xdr_ledger_reconcile_result,
                (char *)&pending->result);
    }
  g_array_set_size (reconcile->pending, 0);
}

void
ledger_reconcile_destroy (struct ledger_reconcile *reconcile)
{
  if (!reconcile)
    return;
  g_ptr_array_unref (reconcile->peers);
  free_pending (reconcile);
  g_array_unref (reconcile->pending);
  g_mutex_clear (&reconcile->mutex);
  g_free (reconcile->cluster);
  g_free (reconcile->own_name);
  g_free (reconcile);
}

static struct peer *
find_peer (const struct ledger_reconcile *reconcile,
           const struct wire_process *process)
{
  for (guint i = 0; i < reconcile->peers->len; i++)
    {
      struct peer *peer = reconcile->peers->pdata[i];
      if (strcmp (peer->name, process->host) == 0
          && strcmp (peer->address, process->address) == 0
          && peer->port == process->rpc_port)
        return peer;
    }
  return NULL;
}

static void
add_peer (struct ledger_reconcile *reconcile,
          const struct wire_process *process)
{
  struct peer *peer = g_new0 (struct peer, 1);
  peer->reconcile = reconcile;
  peer->name = g_strdup (process->host);
  peer->address = g_strdup (process->address);
  peer->port = (uint16_t)process->rpc_port;
  peer->interval_ms = CALL_INTERVAL_MS;
  peer->listed = true;
  g_mutex_init (&peer->mutex);
  g_cond_init (&peer->condition);
  peer->thread = g_thread_new ("reconcile", run_peer, peer);
  g_ptr_array_add (reconcile->peers, peer);
}

/* The session of a ledger that is no longer listed has expired, or its address
   has changed.  The peer is kept, so that its calls continue at the same
   position when the ledger returns. */
void
ledger_reconcile_set_peers (struct ledger_reconcile *reconcile,
                            const struct wire_process *peers, uint32_t count)
{
  g_mutex_lock (&reconcile->mutex);
  for (guint i = 0; i < reconcile->peers->len; i++)
    ((struct peer *)reconcile->peers->pdata[i])->listed = false;
  for (uint32_t i = 0; i < count; i++)
    {
      if (peers[i].kind != WIRE_PROCESS_LEDGER
          || strcmp (peers[i].host, reconcile->own_name) == 0)
        continue;
      struct peer *peer = find_peer (reconcile, &peers[i]);
      if (peer)
        peer->listed = true;
      else
        add_peer (reconcile, &peers[i]);
    }
  g_mutex_unlock (&reconcile->mutex);
}

void
ledger_reconcile_restart (struct ledger_reconcile *reconcile)
{
  g_mutex_lock (&reconcile->mutex);
  for (guint i = 0; i < reconcile->peers->len; i++)
    {
      struct peer *peer = reconcile->peers->pdata[i];
      g_mutex_lock (&peer->mutex);
      peer->answered_position = 0;
      peer->sent_position = 0;
      g_mutex_unlock (&peer->mutex);
    }
  g_mutex_unlock (&reconcile->mutex);
}

/* Sends newly billed keys to a peer if no call to it is in progress and the
   interval has passed. */
static void
send_bills_to (struct peer *peer, const struct escrow_ledger *ledger,
               uint64_t now_ms)
{
  g_mutex_lock (&peer->mutex);
  if (peer->listed && peer->state == PEER_IDLE
      && now_ms >= peer->last_call_ms + peer->interval_ms)
    {
      peer->last_call_ms = now_ms;
      peer->count = escrow_reconcile_list_bills (
          ledger, peer->answered_position, peer->keys, CALL_KEYS_MAX,
          &peer->sent_position);
      if (peer->count > 0)
        {
          peer->state = PEER_SENT;
          g_cond_signal (&peer->condition);
        }
    }
  g_mutex_unlock (&peer->mutex);
}

void
ledger_reconcile_send_bills (struct ledger_reconcile *reconcile,
                             const struct escrow_ledger *ledger,
                             uint64_t now_ms)
{
  g_mutex_lock (&reconcile->mutex);
  for (guint i = 0; i < reconcile->peers->len; i++)
    send_bills_to (reconcile->peers->pdata[i], ledger, now_ms);
  g_mutex_unlock (&reconcile->mutex);
}

/* Applies the verdicts of an answered call; after a failed call the same keys
   are sent again. */
static void
apply_verdicts (struct peer *peer, struct escrow_ledger *ledger,
                uint64_t now_ms)
{
  const struct ledger_reconcile_result *result = &peer->result;
  bool answered = peer->status == WIRE_OK && result->status == LEDGER_OK
                  && result->verdicts.verdicts_len == peer->count;
  peer->interval_ms = answered ? CALL_INTERVAL_MS : RETRY_INTERVAL_MS;
  if (!answered)
    return;
  for (uint32_t i = 0; i < peer->count; i++)
    escrow_reconcile_apply_verdict (ledger, &peer->keys[i],
                                    &result->verdicts.verdicts_val[i], now_ms);
  peer->answered_position = peer->sent_position;
}

void
ledger_reconcile_apply_verdicts (struct ledger_reconcile *reconcile,
                                 struct escrow_ledger *ledger, uint64_t now_ms)
{
  g_mutex_lock (&reconcile->mutex);
  for (guint i = 0; i < reconcile->peers->len; i++)
    {
      struct peer *peer = reconcile->peers->pdata[i];
      g_mutex_lock (&peer->mutex);
      if (peer->state == PEER_ANSWERED)
        {
          apply_verdicts (peer, ledger, now_ms);
          xdr_free ((xdrproc_t)xdr_ledger_reconcile_result,
                    (char *)&peer->result);
          peer->state = PEER_IDLE;
        }
      g_mutex_unlock (&peer->mutex);
    }
  g_mutex_unlock (&reconcile->mutex);
}

/* Compares each key of the call with the bills here and fills in its verdict.
 */
static void
compare_keys (const struct ledger_reconcile *reconcile,
              const struct ledger_reconcile_args *args,
              struct escrow_ledger *ledger, uint64_t now_ms,
              struct ledger_reconcile_result *result)
{
  u_int count = args->settled.settled_len;
  result->verdicts.verdicts_val
      = calloc (count + 1, sizeof (struct ledger_verdict));
  g_assert (result->verdicts.verdicts_val);
  result->verdicts.verdicts_len = count;
  for (u_int i = 0; i < count; i++)
    result->verdicts.verdicts_val[i]
        = escrow_reconcile_receive (ledger, reconcile->own_name, args->ledger,
                                    &args->settled.settled_val[i], now_ms);
}

void
ledger_reconcile_handle_call (struct ledger_reconcile *reconcile,
                              struct wire_call *call,
                              struct escrow_ledger *ledger, uint64_t now_ms)
{
  struct ledger_reconcile_args args = { 0 };
  struct pending_call pending = { .call = call };
  if (!wire_call_args (call, (xdrproc_t)xdr_ledger_reconcile_args, &args))
    {
      wire_call_fail (call);
      return;
    }
  if (strcmp (args.cluster, reconcile->cluster) != 0)
    pending.result.status = LEDGER_BAD_REQUEST;
  else if (!ledger)
    pending.result.status = LEDGER_UNAVAILABLE;
  else
    compare_keys (reconcile, &args, ledger, now_ms, &pending.result);
  g_array_append_val (reconcile->pending, pending);
  xdr_free ((xdrproc_t)xdr_ledger_reconcile_args, (char *)&args);
}

void
ledger_reconcile_reply (struct ledger_reconcile *reconcile, bool committed)
{
  for (guint i = 0; i < reconcile->pending->len; i++)
    {
      struct pending_call *pending
          = &g_array_index (reconcile->pending, struct pending_call, i);
      if (committed)
        wire_call_reply (pending->call, (xdrproc_t)xdr_ledger_reconcile_result,
                         &pending->result);
      else
        wire_call_fail (pending->call);
    }
  free_pending (reconcile);
}
