/** @file
 *  Stateful fuzz test that compares registries and gossip with a model of the
 *  newest records.  Calls are lost, duplicated, delayed and reordered.
 *  Departures must not be forgotten, expired targets must not be picked, and
 *  once the faults end all routers must agree with the model. */

#include <string.h>

#include <glib.h>

#include "cactus_config.h"
#include "gossip_core.h"
#include "pick.h"
#include "test_golden.h"

#define SEED 20261203
#define NODES 5
#define TARGETS 14
#define SERVICES 3
#define EPOCHS 25
#define STEPS 10000
#define DELAYED_CALLS 64
/* Maximum age of a call that the network delivers; less than the time for
   which departures are remembered. */
#define DELAY_MAX_MS 40000
#define LOGGED_STEPS 120

/* A target and its newest record. */
struct reporter
{
  struct registry_record newest;
  /* Whether the newest record was delivered to any router. */
  bool delivered;
};

/* The newest state of one target that a router has shown. */
struct known_state
{
  struct registry_record newest;
  uint64_t departed_incarnation;
};

struct node
{
  struct gossip_peer self;
  struct registry *registry;
  struct registry_reader *reader;
  struct gossip_core *core;
  struct known_state known_state[TARGETS];
};

/* A call that the network stores to deliver it late. */
struct delayed_call
{
  char *bytes;
  u_int count;
  uint64_t sent_ms;
};

struct fuzz
{
  struct base_random random;
  /* Separate random numbers for picks, so that the golden session doesn't
     depend on how targets are chosen. */
  struct base_random pick_random;
  uint64_t now_ms;
  uint32_t step;
  bool faults;
  struct node nodes[NODES];
  struct reporter reporters[TARGETS];
  struct delayed_call delayed[DELAYED_CALLS];
  GString *log;
  uint64_t picks;
  uint64_t delayed_count;
};

static uint32_t
below (struct fuzz *fuzz, uint32_t bound)
{
  return (uint32_t)base_random_below (&fuzz->random, bound);
}

static void log_step (struct fuzz *fuzz, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
log_step (struct fuzz *fuzz, const char *format, ...)
{
  va_list arguments;
  if (fuzz->step >= LOGGED_STEPS)
    return;
  va_start (arguments, format);
  g_string_append_vprintf (fuzz->log, format, arguments);
  va_end (arguments);
}

static void
set_up (struct fuzz *fuzz)
{
  memset (fuzz, 0, sizeof *fuzz);
  base_random_seed (&fuzz->random, SEED);
  base_random_seed (&fuzz->pick_random, SEED + 1);
  fuzz->now_ms = 1000000;
  fuzz->faults = true;
  fuzz->log = g_string_new (NULL);
  for (uint32_t i = 0; i < NODES; i++)
    {
      struct node *node = &fuzz->nodes[i];
      g_snprintf (node->self.host, sizeof node->self.host, "router-%u", i);
      g_strlcpy (node->self.availability_zone, "z1", CACTUS_NAME_BYTES);
      g_strlcpy (node->self.region, "r1", CACTUS_NAME_BYTES);
      node->registry = registry_create (CACTUS_TARGET_LAPSE_MS);
      node->reader = registry_reader_create (node->registry);
      node->core = gossip_core_create (node->registry, "fuzz", &node->self, i);
    }
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      struct registry_record *record = &fuzz->reporters[i].newest;
      g_snprintf (record->target, sizeof record->target, "t%u", i);
      g_snprintf (record->service, sizeof record->service, "s%u",
                  i % SERVICES);
      g_strlcpy (record->availability_zone, "z1", CACTUS_NAME_BYTES);
      g_strlcpy (record->region, "r1", CACTUS_NAME_BYTES);
      g_strlcpy (record->address, "10.0.0.1", sizeof record->address);
      record->port = 9000;
      record->incarnation = 1;
      record->slots = 4;
      record->weight = 100;
    }
}

static void
tear_down (struct fuzz *fuzz)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      gossip_core_destroy (fuzz->nodes[i].core);
      registry_reader_destroy (fuzz->nodes[i].reader);
      registry_destroy (fuzz->nodes[i].registry);
    }
  for (uint32_t i = 0; i < DELAYED_CALLS; i++)
    g_free (fuzz->delayed[i].bytes);
  g_string_free (fuzz->log, TRUE);
}

/* Compares two records by the model's implementation of their order. */
static int
compare (const struct registry_record *left,
         const struct registry_record *right)
{
  if (left->incarnation != right->incarnation)
    return left->incarnation < right->incarnation ? -1 : 1;
  if (left->leaving || right->leaving)
    if (left->leaving != right->leaving)
      return left->leaving ? 1 : -1;
  if (left->sequence != right->sequence)
    return left->sequence < right->sequence ? -1 : 1;
  return 0;
}

/* Checks a router's record of a target against the model and against the
   router's earlier state. */
static void
check_known (struct fuzz *fuzz, struct node *node, uint32_t target)
{
  struct registry_record record;
  struct known_state *known_state = &node->known_state[target];
  const struct registry_record *newest = &fuzz->reporters[target].newest;
  if (!registry_find_target (node->registry, newest->target, &record))
    return;
  g_assert_cmpint (compare (&record, newest), <=, 0);
  g_assert_cmpuint (record.last_report_ms, <=, fuzz->now_ms);
  /* A record is never replaced by an older one, not even after it expired. */
  g_assert_cmpint (compare (&record, &known_state->newest), >=, 0);
  known_state->newest = record;
  if (!record.leaving)
    g_assert_cmpuint (record.incarnation, >,
                      known_state->departed_incarnation);
  else
    known_state->departed_incarnation
        = MAX (known_state->departed_incarnation, record.incarnation);
}

static void
check_node (struct fuzz *fuzz, struct node *node)
{
  for (uint32_t i = 0; i < TARGETS; i++)
    check_known (fuzz, node, i);
}

/* Picks a target at a router, up to 5 s after its last call of
   registry_lapse. */
static void
check_pick (struct fuzz *fuzz, struct node *node)
{
  char service[8];
  const struct registry_target *chosen = NULL;
  g_snprintf (service, sizeof service, "s%u", below (fuzz, SERVICES));
  struct pick_request request
      = { .availability_zone = "z1",
          .region = "r1",
          .slot_percent = 100,
          .now_ms = fuzz->now_ms + below (fuzz, 5000) };
  const struct registry_view *view = registry_read (node->reader, service);
  if (pick_target (PICK_TWO_CHOICES_AFFINITY, view, &request,
                   &fuzz->pick_random, &chosen)
      == PICK_FOUND)
    {
      uint32_t target = (uint32_t)atoi (chosen->record.target + 1);
      fuzz->picks++;
      g_assert_cmpuint (chosen->record.last_report_ms + CACTUS_TARGET_LAPSE_MS,
                        >, request.now_ms);
      g_assert_false (chosen->record.leaving);
      g_assert_cmpuint (chosen->record.incarnation, >,
                        node->known_state[target].departed_incarnation);
    }
  registry_read_end (node->reader);
}

/* Delivers a record to a router directly from its target, and checks the
   outcome against the model. */
static void
deliver_record (struct fuzz *fuzz, uint32_t index,
                const struct registry_record *sent)
{
  struct node *node = &fuzz->nodes[index];
  struct registry_record known;
  struct registry_record record = *sent;
  record.last_report_ms = fuzz->now_ms;
  const struct registry_record *before
      = &node->known_state[atoi (sent->target + 1)].newest;
  bool known_now = registry_find_target (node->registry, sent->target, &known);
  bool merged = registry_merge (node->registry, &record, fuzz->now_ms)
                == REGISTRY_MERGED;
  if (known_now)
    g_assert_cmpint (merged, ==, compare (sent, &known) > 0);
  else
    g_assert_cmpint (merged, ==, compare (sent, before) > 0);
  check_known (fuzz, node, (uint32_t)atoi (sent->target + 1));
  if (merged && record.leaving && below (fuzz, 2) == 0)
    gossip_core_add_departure (node->core, &record);
  log_step (fuzz, "%u router %u receives %s %lu/%lu%s: %s\n", fuzz->step,
            index, sent->target, sent->incarnation, sent->sequence,
            sent->leaving ? " leaving" : "", merged ? "merged" : "stale");
}

/* A target reports its load, its departure, or its restart; sometimes an
   older record of the same incarnation is delivered as well. */
static void
report (struct fuzz *fuzz)
{
  uint32_t target = below (fuzz, TARGETS);
  struct reporter *reporter = &fuzz->reporters[target];
  struct registry_record *newest = &reporter->newest;
  if (fuzz->faults && below (fuzz, 60) == 0 && !newest->leaving)
    newest->leaving = true;
  else if (newest->leaving && below (fuzz, 4) == 0)
    {
      newest->incarnation++;
      newest->sequence = 0;
      newest->leaving = false;
      newest->slots = 1 + below (fuzz, 8);
      reporter->delivered = false;
    }
  newest->sequence++;
  newest->running = below (fuzz, newest->slots + 1);
  if (fuzz->faults && below (fuzz, 8) == 0)
    return;
  reporter->delivered = true;
  deliver_record (fuzz, below (fuzz, NODES), newest);
  if (!fuzz->faults || below (fuzz, 5) != 0)
    return;
  struct registry_record old = *newest;
  old.sequence -= below (fuzz, (uint32_t)MIN (old.sequence, 10));
  old.leaving = old.leaving && below (fuzz, 2) == 0;
  deliver_record (fuzz, below (fuzz, NODES), &old);
}

static void
store_delayed (struct fuzz *fuzz, struct gossip_exchange_args *args)
{
  static char buffer[256 * 1024];
  struct delayed_call *delayed = &fuzz->delayed[below (fuzz, DELAYED_CALLS)];
  XDR stream;
  xdrmem_create (&stream, buffer, sizeof buffer, XDR_ENCODE);
  g_assert_true (xdr_gossip_exchange_args (&stream, args));
  g_free (delayed->bytes);
  delayed->count = xdr_getpos (&stream);
  delayed->bytes = g_memdup2 (buffer, delayed->count);
  delayed->sent_ms = fuzz->now_ms;
  XDR_DESTROY (&stream);
}

/* Delivers a stored call to any router; its response is discarded. */
static void
deliver_delayed (struct fuzz *fuzz)
{
  struct delayed_call *delayed = &fuzz->delayed[below (fuzz, DELAYED_CALLS)];
  struct gossip_exchange_args args = { 0 };
  struct gossip_exchange_result result;
  XDR stream;
  if (!delayed->bytes || fuzz->now_ms > delayed->sent_ms + DELAY_MAX_MS)
    return;
  xdrmem_create (&stream, delayed->bytes, delayed->count, XDR_DECODE);
  g_assert_true (xdr_gossip_exchange_args (&stream, &args));
  struct node *node = &fuzz->nodes[below (fuzz, NODES)];
  gossip_core_handle_request (node->core, &args, fuzz->now_ms, &result);
  check_node (fuzz, node);
  fuzz->delayed_count++;
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
}

/* Makes one call; the request or the response may be lost. */
static bool
call (struct fuzz *fuzz, struct node *from, struct node *to,
      struct gossip_exchange_args *args, struct gossip_exchange_args *repair)
{
  struct gossip_exchange_result result;
  bool repair_due = false;
  if (fuzz->faults && below (fuzz, 3) == 0)
    store_delayed (fuzz, args);
  if (fuzz->faults && below (fuzz, 5) == 0)
    return false;
  gossip_core_handle_request (to->core, args, fuzz->now_ms, &result);
  if (!fuzz->faults || below (fuzz, 5) != 0)
    repair_due = gossip_core_handle_response (
        from->core, &to->self, &result, fuzz->now_ms, fuzz->now_ms, repair);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
  check_node (fuzz, to);
  check_node (fuzz, from);
  return repair_due;
}

static void
exchange (struct fuzz *fuzz, uint32_t from_index, uint32_t to_index)
{
  struct node *from = &fuzz->nodes[from_index];
  struct node *to = &fuzz->nodes[to_index];
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  struct gossip_exchange_args more;
  if (below (fuzz, 2) == 0)
    gossip_core_start_round (from->core);
  gossip_core_make_request (from->core, &to->self, fuzz->now_ms, &args);
  if (call (fuzz, from, to, &args, &repair))
    {
      if (call (fuzz, from, to, &repair, &more))
        xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&more);
      xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&repair);
    }
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
  log_step (fuzz, "%u router %u exchanges with %u: %lu and %lu live\n",
            fuzz->step, from_index, to_index, registry_count (from->registry),
            registry_count (to->registry));
}

/* Sends departures to all other routers in one step; each may miss them. */
static void
send_departures (struct fuzz *fuzz, uint32_t from_index)
{
  struct node *from = &fuzz->nodes[from_index];
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  if (!gossip_core_make_departure_request (from->core, fuzz->now_ms, &args))
    return;
  for (uint32_t i = 0; i < NODES; i++)
    if (i != from_index && call (fuzz, from, &fuzz->nodes[i], &args, &repair))
      xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&repair);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
}

static void
step (struct fuzz *fuzz)
{
  uint32_t node = below (fuzz, NODES);
  switch (below (fuzz, 8))
    {
    case 0:
    case 1:
      report (fuzz);
      break;
    case 2:
    case 3:
      exchange (fuzz, node, (node + 1 + below (fuzz, NODES - 1)) % NODES);
      break;
    case 4:
      fuzz->now_ms += below (fuzz, 200);
      break;
    case 5:
      send_departures (fuzz, node);
      break;
    case 6:
      registry_lapse (fuzz->nodes[node].registry, fuzz->now_ms);
      check_node (fuzz, &fuzz->nodes[node]);
      break;
    default:
      if (fuzz->faults)
        deliver_delayed (fuzz);
      break;
    }
  check_pick (fuzz, &fuzz->nodes[below (fuzz, NODES)]);
  fuzz->step++;
}

/* Ends the faults until every live target has reported and gossip has run
   40 rounds, after which each router must know exactly the live targets of
   the model. */
static void
converge (struct fuzz *fuzz)
{
  fuzz->faults = false;
  for (int round = 0; round < 40; round++)
    {
      for (uint32_t i = 0; i < TARGETS; i++)
        {
          struct registry_record *newest = &fuzz->reporters[i].newest;
          if (newest->leaving && fuzz->reporters[i].delivered)
            continue;
          newest->sequence++;
          fuzz->reporters[i].delivered = true;
          /* Each target reports to one router; the others learn of it by
             gossip alone. */
          deliver_record (fuzz, i % NODES, newest);
        }
      for (uint32_t i = 0; i < NODES; i++)
        {
          gossip_core_start_round (fuzz->nodes[i].core);
          exchange (fuzz, i, (i + 1 + below (fuzz, NODES - 1)) % NODES);
          registry_lapse (fuzz->nodes[i].registry, fuzz->now_ms);
        }
      fuzz->now_ms += 200;
    }
  fuzz->faults = true;
}

static void
check_agreement (struct fuzz *fuzz)
{
  for (uint32_t i = 0; i < NODES; i++)
    for (uint32_t j = 0; j < TARGETS; j++)
      {
        struct registry_record record;
        const struct registry_record *newest = &fuzz->reporters[j].newest;
        bool known = registry_find_target (fuzz->nodes[i].registry,
                                           newest->target, &record);
        bool live = known && !record.leaving;
        g_assert_cmpint (live, ==, !newest->leaving);
        if (live)
          g_assert_cmpuint (record.incarnation, ==, newest->incarnation);
      }
}

static void
test_fuzz (void)
{
  static struct fuzz fuzz;
  set_up (&fuzz);
  for (int epoch = 0; epoch < EPOCHS; epoch++)
    {
      for (int i = 0; i < STEPS; i++)
        step (&fuzz);
      converge (&fuzz);
      check_agreement (&fuzz);
    }
  g_test_message ("%u steps, %lu picks, %lu late calls", fuzz.step, fuzz.picks,
                  fuzz.delayed_count);
  g_assert_cmpuint (fuzz.picks, >, 10000);
  g_assert_cmpuint (fuzz.delayed_count, >, 1000);
  test_golden_check ("registry_session.txt", fuzz.log->str);
  tear_down (&fuzz);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/registry-fuzz/session", test_fuzz);
  return g_test_run ();
}
