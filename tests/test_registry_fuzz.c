/** @file
 *  Stateful fuzz of registries and gossip against a map of the newest records:
 *  calls are lost, doubled, late and out of order; departures are never
 *  forgotten, nothing lapsed is picked, and when the faults end all routers
 *  agree with the map. */

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
#define LATE_CALLS 64
/* Oldest call that the network delivers; under the time for which departures
   are remembered. */
#define LATE_MAX_MS 40000
#define LOGGED_STEPS 120

/* A target and the newest it said, by the order of records. */
struct speaker
{
  struct registry_record newest;
  /* Whether any router was told of the newest. */
  bool told;
};

/* What one router was seen to know of one target. */
struct seen
{
  struct registry_record newest;
  uint64_t left_incarnation;
};

struct node
{
  struct gossip_peer self;
  struct registry *registry;
  struct registry_reader *reader;
  struct gossip_core *core;
  struct seen seen[TARGETS];
};

/* A call kept by the network for later. */
struct late_call
{
  char *bytes;
  u_int count;
  uint64_t sent_ms;
};

struct fuzz
{
  struct base_random random;
  /* Picks draw from a source of their own, so that the session's text doesn't
     depend on how a target is chosen. */
  struct base_random pick_random;
  uint64_t now_ms;
  uint32_t step;
  bool faults;
  struct node nodes[NODES];
  struct speaker speakers[TARGETS];
  struct late_call late[LATE_CALLS];
  GString *log;
  uint64_t picks;
  uint64_t delivered_late;
};

static uint32_t
below (struct fuzz *fuzz, uint32_t bound)
{
  return (uint32_t)base_random_below (&fuzz->random, bound);
}

static void note (struct fuzz *fuzz, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
note (struct fuzz *fuzz, const char *format, ...)
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
      struct registry_record *record = &fuzz->speakers[i].newest;
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
  for (uint32_t i = 0; i < LATE_CALLS; i++)
    g_free (fuzz->late[i].bytes);
  g_string_free (fuzz->log, TRUE);
}

/* The oracle's order of records, by plain rules. */
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

/* Checks what a router knows of a target against the oracle and against what
   it knew before. */
static void
check_known (struct fuzz *fuzz, struct node *node, uint32_t target)
{
  struct registry_record record;
  struct seen *seen = &node->seen[target];
  const struct registry_record *newest = &fuzz->speakers[target].newest;
  if (!registry_find_target (node->registry, newest->target, &record))
    return;
  g_assert_cmpint (compare (&record, newest), <=, 0);
  g_assert_cmpuint (record.last_report_ms, <=, fuzz->now_ms);
  /* Nothing goes back, not even after a lapse. */
  g_assert_cmpint (compare (&record, &seen->newest), >=, 0);
  seen->newest = record;
  if (!record.leaving)
    g_assert_cmpuint (record.incarnation, >, seen->left_incarnation);
  else
    seen->left_incarnation = MAX (seen->left_incarnation, record.incarnation);
}

static void
check_node (struct fuzz *fuzz, struct node *node)
{
  for (uint32_t i = 0; i < TARGETS; i++)
    check_known (fuzz, node, i);
}

/* Picks at a router, at times long after its last housekeeping. */
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
                        node->seen[target].left_incarnation);
    }
  registry_read_end (node->reader);
}

/* Gives a record to a router as its target's own word, and checks the outcome
   by the plain rules. */
static void
tell (struct fuzz *fuzz, uint32_t index, const struct registry_record *said)
{
  struct node *node = &fuzz->nodes[index];
  struct registry_record known;
  struct registry_record record = *said;
  record.last_report_ms = fuzz->now_ms;
  const struct registry_record *before
      = &node->seen[atoi (said->target + 1)].newest;
  bool known_now = registry_find_target (node->registry, said->target, &known);
  bool taken = registry_merge (node->registry, &record, fuzz->now_ms)
               == REGISTRY_MERGED;
  if (known_now)
    g_assert_cmpint (taken, ==, compare (said, &known) > 0);
  else
    g_assert_cmpint (taken, ==, compare (said, before) > 0);
  check_known (fuzz, node, (uint32_t)atoi (said->target + 1));
  if (taken && record.leaving && below (fuzz, 2) == 0)
    gossip_core_depart (node->core, &record);
  note (fuzz, "%u router %u hears %s %lu/%lu%s: %s\n", fuzz->step, index,
        said->target, said->incarnation, said->sequence,
        said->leaving ? " leaving" : "", taken ? "taken" : "stale");
}

/* A target speaks: again, of leaving, or after a restart; sometimes an older
   word of its life comes late. */
static void
speak (struct fuzz *fuzz)
{
  uint32_t target = below (fuzz, TARGETS);
  struct speaker *speaker = &fuzz->speakers[target];
  struct registry_record *newest = &speaker->newest;
  if (fuzz->faults && below (fuzz, 60) == 0 && !newest->leaving)
    newest->leaving = true;
  else if (newest->leaving && below (fuzz, 4) == 0)
    {
      newest->incarnation++;
      newest->sequence = 0;
      newest->leaving = false;
      newest->slots = 1 + below (fuzz, 8);
      speaker->told = false;
    }
  newest->sequence++;
  newest->running = below (fuzz, newest->slots + 1);
  if (fuzz->faults && below (fuzz, 8) == 0)
    return;
  speaker->told = true;
  tell (fuzz, below (fuzz, NODES), newest);
  if (!fuzz->faults || below (fuzz, 5) != 0)
    return;
  struct registry_record old = *newest;
  old.sequence -= below (fuzz, (uint32_t)MIN (old.sequence, 10));
  old.leaving = old.leaving && below (fuzz, 2) == 0;
  tell (fuzz, below (fuzz, NODES), &old);
}

static void
keep_late (struct fuzz *fuzz, struct gossip_exchange_args *args)
{
  static char buffer[256 * 1024];
  struct late_call *late = &fuzz->late[below (fuzz, LATE_CALLS)];
  XDR stream;
  xdrmem_create (&stream, buffer, sizeof buffer, XDR_ENCODE);
  g_assert_true (xdr_gossip_exchange_args (&stream, args));
  g_free (late->bytes);
  late->count = xdr_getpos (&stream);
  late->bytes = g_memdup2 (buffer, late->count);
  late->sent_ms = fuzz->now_ms;
  XDR_DESTROY (&stream);
}

/* Delivers an old call anew to any router; nobody waits for its answer. */
static void
deliver_late (struct fuzz *fuzz)
{
  struct late_call *late = &fuzz->late[below (fuzz, LATE_CALLS)];
  struct gossip_exchange_args args = { 0 };
  struct gossip_exchange_result result;
  XDR stream;
  if (!late->bytes || fuzz->now_ms > late->sent_ms + LATE_MAX_MS)
    return;
  xdrmem_create (&stream, late->bytes, late->count, XDR_DECODE);
  g_assert_true (xdr_gossip_exchange_args (&stream, &args));
  struct node *node = &fuzz->nodes[below (fuzz, NODES)];
  gossip_core_answer (node->core, &args, fuzz->now_ms, &result);
  check_node (fuzz, node);
  fuzz->delivered_late++;
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
}

/* One call; either way of it may be lost. */
static bool
call (struct fuzz *fuzz, struct node *from, struct node *to,
      struct gossip_exchange_args *args, struct gossip_exchange_args *repair)
{
  struct gossip_exchange_result result;
  bool due = false;
  if (fuzz->faults && below (fuzz, 3) == 0)
    keep_late (fuzz, args);
  if (fuzz->faults && below (fuzz, 5) == 0)
    return false;
  gossip_core_answer (to->core, args, fuzz->now_ms, &result);
  if (!fuzz->faults || below (fuzz, 5) != 0)
    due = gossip_core_take (from->core, &to->self, &result, fuzz->now_ms,
                            fuzz->now_ms, repair);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
  check_node (fuzz, to);
  check_node (fuzz, from);
  return due;
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
    gossip_core_round (from->core);
  gossip_core_offer (from->core, &to->self, fuzz->now_ms, &args);
  if (call (fuzz, from, to, &args, &repair))
    {
      if (call (fuzz, from, to, &repair, &more))
        xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&more);
      xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&repair);
    }
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
  note (fuzz, "%u router %u exchanges with %u: %lu and %lu live\n", fuzz->step,
        from_index, to_index, registry_count (from->registry),
        registry_count (to->registry));
}

/* Tells departures at once; each router hears it or not. */
static void
tell_departures (struct fuzz *fuzz, uint32_t from_index)
{
  struct node *from = &fuzz->nodes[from_index];
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  if (!gossip_core_departures (from->core, fuzz->now_ms, &args))
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
      speak (fuzz);
      break;
    case 2:
    case 3:
      exchange (fuzz, node, (node + 1 + below (fuzz, NODES - 1)) % NODES);
      break;
    case 4:
      fuzz->now_ms += below (fuzz, 200);
      break;
    case 5:
      tell_departures (fuzz, node);
      break;
    case 6:
      registry_lapse (fuzz->nodes[node].registry, fuzz->now_ms);
      check_node (fuzz, &fuzz->nodes[node]);
      break;
    default:
      if (fuzz->faults)
        deliver_late (fuzz);
      break;
    }
  check_pick (fuzz, &fuzz->nodes[below (fuzz, NODES)]);
  fuzz->step++;
}

/* Without faults each live target speaks, rounds go round, and every router
   ends with just the live targets of the oracle. */
static void
converge (struct fuzz *fuzz)
{
  fuzz->faults = false;
  for (int round = 0; round < 40; round++)
    {
      for (uint32_t i = 0; i < TARGETS; i++)
        {
          struct registry_record *newest = &fuzz->speakers[i].newest;
          if (newest->leaving && fuzz->speakers[i].told)
            continue;
          newest->sequence++;
          fuzz->speakers[i].told = true;
          /* Each speaks to one router; the others know it by gossip alone. */
          tell (fuzz, i % NODES, newest);
        }
      for (uint32_t i = 0; i < NODES; i++)
        {
          gossip_core_round (fuzz->nodes[i].core);
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
        const struct registry_record *newest = &fuzz->speakers[j].newest;
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
                  fuzz.delivered_late);
  g_assert_cmpuint (fuzz.picks, >, 10000);
  g_assert_cmpuint (fuzz.delivered_late, >, 1000);
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
