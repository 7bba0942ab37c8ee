/** @file
 *  Stateful fuzzing of pool, ledgers and routers.  Messages are lost,
 *  duplicated, delayed and reordered; ledgers crash, hang, lose their disk and
 *  lose the connection to control; top-ups are repeated.  Simple counters are
 *  the oracle, and are checked after every step. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"
#include "base_random.h"
#include "escrow_ledger.h"
#include "escrow_pool.h"

#define LEDGERS 3
#define ROUTERS 3
#define BUDGETS 4
#define KEYS 40
#define MESSAGES_MAX 24
#define ENDED_MAX 64
#define LEASE_MS 10000
#define STEPS_A_SEED 30000
#define SEEDS 8

/* A reservation as its router knows it. */
struct held
{
  uint64_t id;
  uint32_t ledger;
  uint64_t disk;
  uint64_t incarnation;
  uint64_t key;
  uint64_t budget;
  uint64_t tokens;
  /* Whether the router received the ledger's LEDGER_OK. */
  bool granted;
  uint32_t router;
};

/* A ledger and its disk: a snapshot and the journal records since then. */
struct node
{
  struct escrow_ledger *ledger;
  GByteArray *journal;
  GByteArray *saved;
  GPtrArray *records;
  /* Incarnation; a ledger with an empty disk gets a new one. */
  uint64_t disk;
  /* Whether the ledger hangs. */
  bool frozen;
  /* Whether the ledger and control can't reach each other. */
  bool cut;
  /* Acknowledged settlements: key to tokens + 1. */
  GHashTable *acknowledged;
  /* Bills of the statement, without write-offs: key to tokens + 1. */
  GHashTable *billed;
  /* Written-off reservations: reference to key. */
  GHashTable *written_off;
};

/* A message in flight between a ledger and control. */
struct message
{
  uint32_t ledger;
  uint64_t disk;
  bool to_control;
  GByteArray *bytes;
};

struct world
{
  struct base_random random;
  struct escrow_pool *pool;
  struct node nodes[LEDGERS];
  uint64_t router_incarnations[ROUTERS];
  uint64_t next_incarnation;
  uint64_t next_id;
  GArray *held;
  /* Reservations whose end was acknowledged. */
  GArray *ended;
  GPtrArray *messages;
  uint64_t now_ms;
  uint32_t top_ups;
  uint64_t topped_up[BUDGETS];
  /* Tokens of all acknowledged bills, with those of ledgers that lost their
     disk since. */
  uint64_t acknowledged[BUDGETS];
  uint64_t seed;
  uint64_t step;
};

static char cluster[] = "c";
static const char *const ledger_names[LEDGERS] = { "a", "b", "c" };
static const char *const router_names[ROUTERS] = { "x", "y", "z" };
static const char *const budget_names[BUDGETS] = { "p", "q", "r", "s" };

static uint64_t
below (struct world *world, uint64_t bound)
{
  return base_random_below (&world->random, bound);
}

static uint64_t
budget_id (uint64_t number)
{
  return base_budget_id ("lonja", budget_names[number]);
}

static void
check (const struct world *world, bool condition, const char *what)
{
  if (condition)
    return;
  g_printerr ("seed %" G_GUINT64_FORMAT " step %" G_GUINT64_FORMAT ": %s\n",
              world->seed, world->step, what);
  g_assert_not_reached ();
}

static void
note_bill (struct world *world, struct node *node, uint64_t key,
           uint64_t tokens)
{
  check (world, !g_hash_table_contains (node->billed, &key),
         "a key was billed twice at one ledger");
  g_hash_table_insert (node->billed, g_memdup2 (&key, sizeof key),
                       GSIZE_TO_POINTER (tokens + 1));
}

/* Adds the bills of one journal record to the statement. */
static void
note_bills (struct world *world, struct node *node, const uint8_t *data,
            size_t bytes)
{
  struct escrow_reader reader = { data, bytes, 0, false };
  struct escrow_entry entry;
  while (reader.offset < bytes && escrow_entry_get (&entry, &reader) == 0)
    {
      uint64_t key;
      memcpy (&key, entry.key, sizeof key);
      if (entry.kind == ESCROW_ENTRY_SETTLE)
        note_bill (world, node, key, entry.tokens);
      else if (entry.kind == ESCROW_ENTRY_WRITE_OFF)
        g_hash_table_insert (node->written_off,
                             g_memdup2 (&entry.ref, sizeof entry.ref),
                             GSIZE_TO_POINTER (key));
      else if (entry.kind == ESCROW_ENTRY_LOWER && entry.flag)
        {
          key = GPOINTER_TO_SIZE (
              g_hash_table_lookup (node->written_off, &entry.ref));
          note_bill (world, node, key, entry.tokens);
        }
    }
}

/* Writes the ledger's new journal entries to its disk. */
static void
sync_node (struct world *world, struct node *node)
{
  if (node->journal->len == 0)
    return;
  note_bills (world, node, node->journal->data, node->journal->len);
  g_ptr_array_add (node->records,
                   g_bytes_new (node->journal->data, node->journal->len));
  g_byte_array_set_size (node->journal, 0);
}

static void
open_node (struct world *world, struct node *node)
{
  node->ledger = escrow_ledger_create ();
  if (node->saved->len > 0)
    check (
        world,
        escrow_ledger_load (node->ledger, node->saved->data, node->saved->len)
            == 0,
        "a snapshot can't be loaded");
  for (guint i = 0; i < node->records->len; i++)
    {
      gsize bytes;
      const void *data = g_bytes_get_data (node->records->pdata[i], &bytes);
      check (world, escrow_ledger_replay (node->ledger, data, bytes) == 0,
             "a record can't be replayed");
    }
  escrow_ledger_set_journal (node->ledger, node->journal);
  escrow_ledger_set_connected (node->ledger, true);
  escrow_ledger_renew_sessions (node->ledger, world->now_ms);
}

static void
new_disk (struct world *world, struct node *node)
{
  g_byte_array_set_size (node->saved, 0);
  g_byte_array_set_size (node->journal, 0);
  g_ptr_array_set_size (node->records, 0);
  g_hash_table_remove_all (node->acknowledged);
  g_hash_table_remove_all (node->billed);
  g_hash_table_remove_all (node->written_off);
  node->disk = ++world->next_incarnation;
}

static void
free_message (gpointer data)
{
  struct message *message = data;
  g_byte_array_unref (message->bytes);
  g_free (message);
}

static struct world *
make_world (uint64_t seed)
{
  struct world *world = g_new0 (struct world, 1);
  world->seed = seed;
  base_random_seed (&world->random, seed);
  world->pool = escrow_pool_create (seed % 4);
  world->now_ms = 1000000;
  world->held = g_array_new (FALSE, FALSE, sizeof (struct held));
  world->ended = g_array_new (FALSE, FALSE, sizeof (struct held));
  world->messages = g_ptr_array_new_with_free_func (free_message);
  for (int i = 0; i < LEDGERS; i++)
    {
      struct node *node = &world->nodes[i];
      node->journal = g_byte_array_new ();
      node->saved = g_byte_array_new ();
      node->records
          = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
      node->acknowledged
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
      node->written_off = g_hash_table_new_full (
          escrow_ref_hash, escrow_ref_equal, g_free, NULL);
      node->billed
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
      new_disk (world, node);
      open_node (world, node);
    }
  for (int i = 0; i < ROUTERS; i++)
    world->router_incarnations[i] = ++world->next_incarnation;
  return world;
}

static void
free_world (struct world *world)
{
  for (int i = 0; i < LEDGERS; i++)
    {
      struct node *node = &world->nodes[i];
      escrow_ledger_destroy (node->ledger);
      g_byte_array_unref (node->journal);
      g_byte_array_unref (node->saved);
      g_ptr_array_unref (node->records);
      g_hash_table_unref (node->acknowledged);
      g_hash_table_unref (node->billed);
      g_hash_table_unref (node->written_off);
    }
  escrow_pool_destroy (world->pool);
  g_array_unref (world->held);
  g_array_unref (world->ended);
  g_ptr_array_unref (world->messages);
  g_free (world);
}

/* Sends an operation of a router, sometimes twice.  Returns false when the
   request or the answer is lost. */
static bool
call (struct world *world, uint32_t ledger, uint32_t router,
      uint64_t incarnation, const struct ledger_op *op,
      struct ledger_op_result *result)
{
  struct node *node = &world->nodes[ledger];
  memset (result, 0, sizeof *result);
  if (node->frozen || below (world, 20) == 0)
    return false;
  uint64_t doubled = below (world, 10) == 0;
  for (uint64_t i = 0; i <= doubled; i++)
    {
      escrow_ledger_open_session (node->ledger, router_names[router],
                                  incarnation, world->now_ms);
      escrow_ledger_op (node->ledger, incarnation, op, world->now_ms, result);
    }
  sync_node (world, node);
  return below (world, 20) != 0;
}

static struct ledger_op
reserve_op (const struct held *held)
{
  struct ledger_op op = { .kind = LEDGER_RESERVE };
  struct ledger_reserve *reserve = &op.ledger_op_u.reserve;
  reserve->reservation_id = held->id;
  reserve->account_id = base_account_id ("lonja");
  reserve->budget_id = budget_id (held->budget);
  memcpy (reserve->key, &held->key, sizeof held->key);
  reserve->tokens = held->tokens;
  reserve->key_from_caller = held->key <= KEYS;
  return op;
}

static void
step_reserve (struct world *world)
{
  uint32_t router = (uint32_t)below (world, ROUTERS);
  struct ledger_op_result result;
  struct held held = { .id = ++world->next_id };
  held.ledger = (uint32_t)below (world, LEDGERS);
  held.disk = world->nodes[held.ledger].disk;
  held.router = router;
  held.incarnation = world->router_incarnations[router];
  /* Half of the requests use one of KEYS shared keys of a caller. */
  held.key = below (world, 2) ? below (world, KEYS) + 1 : held.id + 1000;
  held.budget = held.key % BUDGETS;
  held.tokens = below (world, 400) + 1;
  struct ledger_op op = reserve_op (&held);
  bool answered
      = call (world, held.ledger, router, held.incarnation, &op, &result);
  held.granted = answered && result.status == LEDGER_OK;
  if (held.granted || !answered)
    g_array_append_val (world->held, held);
}

/* A duplicate of a reservation must not be applied after the reservation
   ended. */
static void
step_late_reserve (struct world *world)
{
  struct ledger_op_result result;
  if (world->ended->len == 0)
    return;
  guint index = (guint)below (world, world->ended->len);
  const struct held *held = &g_array_index (world->ended, struct held, index);
  if (world->nodes[held->ledger].disk != held->disk)
    return;
  struct ledger_op op = reserve_op (held);
  bool answered = call (world, held->ledger, held->router, held->incarnation,
                        &op, &result);
  check (world, !answered || result.status != LEDGER_OK,
         "a reservation that ended was applied again");
}

static void
note_ended (struct world *world, const struct held *held)
{
  if (world->ended->len >= ENDED_MAX)
    g_array_remove_index (world->ended, 0);
  g_array_append_vals (world->ended, held, 1);
}

/* Records an acknowledged settlement, which must stay in the statement. */
static void
note_settled (struct world *world, const struct held *held, uint64_t tokens)
{
  struct node *node = &world->nodes[held->ledger];
  if (!g_hash_table_insert (node->acknowledged,
                            g_memdup2 (&held->key, sizeof held->key),
                            GSIZE_TO_POINTER (tokens + 1)))
    return;
  world->acknowledged[held->budget] += tokens;
  check (world,
         world->acknowledged[held->budget] <= world->topped_up[held->budget],
         "more was billed than topped up");
}

/* Settles, releases or extends a reservation of a router, also long after it
   ended. */
static void
step_held (struct world *world)
{
  if (world->held->len == 0)
    return;
  guint index = (guint)below (world, world->held->len);
  struct held *held = &g_array_index (world->held, struct held, index);
  struct node *node = &world->nodes[held->ledger];
  struct ledger_op op = { .kind = LEDGER_EXTEND };
  struct ledger_op_result result;
  uint64_t tokens = below (world, held->tokens * 2);
  uint64_t choice = below (world, 10);
  op.ledger_op_u.settle.reservation_id = held->id;
  op.ledger_op_u.settle.used_tokens = tokens;
  if (!held->granted || choice == 0)
    op.kind = LEDGER_RELEASE;
  else if (choice < 8)
    op.kind = LEDGER_SETTLE;
  if (node->disk != held->disk)
    {
      g_array_remove_index_fast (world->held, index);
      return;
    }
  bool answered = call (world, held->ledger, held->router, held->incarnation,
                        &op, &result);
  if (answered && op.kind == LEDGER_SETTLE && result.status == LEDGER_OK)
    {
      check (world, result.tokens <= held->tokens,
             "billed more than was reserved");
      note_settled (world, held, result.tokens);
    }
  if (answered && op.kind != LEDGER_EXTEND)
    note_ended (world, held);
  if (answered && op.kind != LEDGER_EXTEND && below (world, 8) != 0)
    g_array_remove_index_fast (world->held, index);
}

static void
post (struct world *world, uint32_t ledger, bool to_control, xdrproc_t codec,
      void *data)
{
  struct message *message = g_new0 (struct message, 1);
  XDR stream;
  u_int bytes = (u_int)xdr_sizeof (codec, data);
  message->ledger = ledger;
  message->disk = world->nodes[ledger].disk;
  message->to_control = to_control;
  message->bytes = g_byte_array_sized_new (bytes);
  g_byte_array_set_size (message->bytes, bytes);
  xdrmem_create (&stream, (char *)message->bytes->data, bytes, XDR_ENCODE);
  g_assert_true (codec (&stream, data));
  XDR_DESTROY (&stream);
  g_ptr_array_add (world->messages, message);
  if (world->messages->len > MESSAGES_MAX)
    g_ptr_array_remove_index (world->messages, 0);
}

static void
decode (const struct message *message, xdrproc_t codec, void *data)
{
  XDR stream;
  xdrmem_create (&stream, (char *)message->bytes->data, message->bytes->len,
                 XDR_DECODE);
  g_assert_true (codec (&stream, data));
  XDR_DESTROY (&stream);
}

static void
step_report (struct world *world)
{
  uint32_t number = (uint32_t)below (world, LEDGERS);
  struct node *node = &world->nodes[number];
  struct control_ledger_args args = { 0 };
  if (node->frozen)
    return;
  args.cluster = strdup (cluster);
  args.ledger = strdup (ledger_names[number]);
  args.incarnation = node->disk;
  escrow_ledger_report (node->ledger, world->now_ms, 100, &args);
  post (world, number, true, (xdrproc_t)xdr_control_ledger_args, &args);
  xdr_free ((xdrproc_t)xdr_control_ledger_args, (char *)&args);
}

static void
deliver_to_control (struct world *world, const struct message *message)
{
  struct control_ledger_args args = { 0 };
  struct control_ledger_result result;
  decode (message, (xdrproc_t)xdr_control_ledger_args, &args);
  escrow_pool_exchange (world->pool, &args, world->now_ms, &result);
  if (result.answer.status == CONTROL_OK
      && message->disk == world->nodes[message->ledger].disk)
    post (world, message->ledger, false, (xdrproc_t)xdr_control_ledger_result,
          &result);
  xdr_free ((xdrproc_t)xdr_control_ledger_args, (char *)&args);
  xdr_free ((xdrproc_t)xdr_control_ledger_result, (char *)&result);
}

static void
deliver_to_ledger (struct world *world, const struct message *message)
{
  struct node *node = &world->nodes[message->ledger];
  struct control_ledger_result result = { 0 };
  decode (message, (xdrproc_t)xdr_control_ledger_result, &result);
  escrow_ledger_handle_answer (node->ledger, &result, world->now_ms);
  sync_node (world, node);
  xdr_free ((xdrproc_t)xdr_control_ledger_result, (char *)&result);
}

/* Delivers a random message, sometimes keeping a copy of it.  Messages of a
   ledger that hangs or can't reach control wait. */
static void
step_deliver (struct world *world)
{
  if (world->messages->len == 0)
    return;
  guint index = (guint)below (world, world->messages->len);
  struct message *message = world->messages->pdata[index];
  struct node *node = &world->nodes[message->ledger];
  if (node->cut || node->frozen)
    return;
  if (message->to_control)
    deliver_to_control (world, message);
  else if (message->disk == node->disk)
    deliver_to_ledger (world, message);
  if (below (world, 4) != 0)
    g_ptr_array_remove (world->messages, message);
}

static void
step_top_up (struct world *world)
{
  char id[32];
  struct control_top_up_result result;
  bool again = world->top_ups > 0 && below (world, 3) == 0;
  uint32_t number
      = again ? (uint32_t)below (world, world->top_ups) + 1 : ++world->top_ups;
  uint64_t budget = number % BUDGETS;
  uint64_t tokens = 500 + number * 37 % 4000;
  g_snprintf (id, sizeof id, "t%u", number);
  struct control_top_up_args args = { .cluster = cluster,
                                      .top_up_id = id,
                                      .operator_name = cluster,
                                      .account = (char *)"lonja",
                                      .budget = (char *)budget_names[budget],
                                      .tokens = tokens };
  escrow_pool_top_up (world->pool, &args, world->now_ms, &result);
  check (world, result.answer.status == CONTROL_OK, "a top-up was refused");
  if (!again)
    world->topped_up[budget] += tokens;
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
}

/* Restarts a ledger from its disk; the state must be the same as before, since
   every change was synced. */
static void
step_crash (struct world *world)
{
  struct node *node = &world->nodes[below (world, LEDGERS)];
  GByteArray *before = g_byte_array_new ();
  GByteArray *after = g_byte_array_new ();
  escrow_ledger_save (node->ledger, before);
  escrow_ledger_destroy (node->ledger);
  open_node (world, node);
  escrow_ledger_save (node->ledger, after);
  check (world,
         before->len == after->len
             && memcmp (before->data, after->data, before->len) == 0,
         "the state after a crash differs from the one before");
  g_byte_array_unref (before);
  g_byte_array_unref (after);
  node->frozen = false;
}

static void
step_snapshot (struct world *world)
{
  struct node *node = &world->nodes[below (world, LEDGERS)];
  g_byte_array_set_size (node->saved, 0);
  g_ptr_array_set_size (node->records, 0);
  escrow_ledger_save (node->ledger, node->saved);
}

static void
step_lose_disk (struct world *world)
{
  struct node *node = &world->nodes[below (world, LEDGERS)];
  escrow_ledger_destroy (node->ledger);
  new_disk (world, node);
  open_node (world, node);
}

/* Restarts control from a snapshot. */
static void
step_restart_control (struct world *world)
{
  size_t used;
  GByteArray *bytes = g_byte_array_new ();
  escrow_pool_save (world->pool, bytes);
  escrow_pool_destroy (world->pool);
  world->pool = escrow_pool_create (world->seed % 4);
  check (world,
         escrow_pool_load (world->pool, bytes->data, bytes->len, &used) == 0
             && used == bytes->len,
         "the pool can't be loaded");
  g_byte_array_unref (bytes);
}

static void
step_faults (struct world *world)
{
  struct node *node = &world->nodes[below (world, LEDGERS)];
  uint64_t choice = below (world, 100);
  if (choice < 30)
    node->cut = !node->cut;
  else if (choice < 40)
    node->frozen = !node->frozen;
  else if (choice < 60)
    step_crash (world);
  else if (choice < 75)
    step_snapshot (world);
  else if (choice < 77)
    step_lose_disk (world);
  else if (choice < 79)
    step_restart_control (world);
  else if (choice < 85)
    world->router_incarnations[below (world, ROUTERS)]
        = ++world->next_incarnation;
  else
    world->now_ms += below (world, LEASE_MS * 3 / 2);
}

static void
step_lapse (struct world *world)
{
  struct node *node = &world->nodes[below (world, LEDGERS)];
  if (node->frozen)
    return;
  escrow_ledger_expire_sessions (node->ledger, LEASE_MS, world->now_ms);
  sync_node (world, node);
}

/* Checks a budget: at control, unallocated and granted tokens add up to the
   top-ups, and each ledger's totals agree with control's.  A ledger may have
   received fewer grants, since some are in flight, and sent more returns. */
static void
check_budget (struct world *world, uint64_t number)
{
  struct control_budget_result shown;
  uint64_t id = budget_id (number);
  uint64_t total = 0;
  escrow_pool_budget (world->pool, id, &shown);
  if (shown.answer.status == CONTROL_OK)
    {
      total = shown.unallocated_tokens;
      check (world, shown.topped_up_tokens == world->topped_up[number],
             "topped-up tokens differ from the sum of the top-ups");
    }
  for (u_int i = 0; i < shown.shares.shares_len; i++)
    {
      const struct control_share *share = &shown.shares.shares_val[i];
      total += share->granted_tokens - share->returned_tokens;
      for (int j = 0; j < LEDGERS; j++)
        {
          struct ledger_budget_result held;
          if (world->nodes[j].disk != share->incarnation)
            continue;
          escrow_ledger_budget (world->nodes[j].ledger, id, &held);
          uint64_t used = held.free_tokens + held.reserved_tokens
                          + held.spent_tokens + held.written_off_tokens;
          check (world, held.granted_tokens <= share->granted_tokens,
                 "a ledger holds more than was granted");
          check (world, held.returned_tokens >= share->returned_tokens,
                 "control took back more than was returned");
          check (world, used + held.returned_tokens == held.granted_tokens,
                 "a ledger's tokens don't add up");
          check (world, held.free_tokens <= held.granted_tokens,
                 "a ledger spent more than it holds");
        }
    }
  check (world, total == world->topped_up[number],
         "tokens were created or lost");
  xdr_free ((xdrproc_t)xdr_control_budget_result, (char *)&shown);
}

static void
check_statement (struct world *world, struct node *node)
{
  GHashTableIter iter;
  gpointer key, value;
  struct base_findings *findings = base_findings_create ();
  escrow_ledger_audit (node->ledger, findings);
  check (world, base_findings_count (findings) == 0,
         "a ledger's audit found a fault");
  base_findings_destroy (findings);
  g_hash_table_iter_init (&iter, node->acknowledged);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      gpointer billed = g_hash_table_lookup (node->billed, key);
      check (world, billed == value,
             "an acknowledged bill differs from the statement");
    }
}

static void
take_step (struct world *world)
{
  uint64_t choice = below (world, 1000);
  world->now_ms += below (world, 20);
  if (choice < 330)
    step_reserve (world);
  else if (choice < 620)
    step_held (world);
  else if (choice < 640)
    step_late_reserve (world);
  else if (choice < 750)
    step_report (world);
  else if (choice < 950)
    step_deliver (world);
  else if (choice < 960)
    step_top_up (world);
  else if (choice < 980)
    step_lapse (world);
  else
    step_faults (world);
}

static void
test_fuzz (gconstpointer data)
{
  struct world *world = make_world (GPOINTER_TO_SIZE (data));
  uint64_t spent = 0;
  for (world->step = 1; world->step <= STEPS_A_SEED; world->step++)
    {
      take_step (world);
      for (uint64_t i = 0; i < BUDGETS; i++)
        check_budget (world, i);
      check_statement (world, &world->nodes[world->step % LEDGERS]);
    }
  struct base_findings *findings = base_findings_create ();
  escrow_pool_audit (world->pool, findings);
  check (world, base_findings_count (findings) == 0,
         "the pool's audit found a fault");
  base_findings_destroy (findings);
  for (int i = 0; i < LEDGERS; i++)
    spent += g_hash_table_size (world->nodes[i].billed);
  check (world, spent > 20, "the run made no more than 20 bills");
  free_world (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (gsize seed = 1; seed <= SEEDS; seed++)
    {
      char *path = g_strdup_printf ("/escrow_fuzz/seed-%d", (int)seed);
      g_test_add_data_func (path, GSIZE_TO_POINTER (seed), test_fuzz);
      g_free (path);
    }
  return g_test_run ();
}
