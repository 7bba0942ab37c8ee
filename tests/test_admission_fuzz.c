/** @file
 *  Stateful fuzz test that compares the admission queue with a model of
 *  plain arrays: no request is lost, limits hold, each pop returns the
 *  request that the model expects, and every request is popped within a
 *  bounded number of pops. */

#include <string.h>

#include <glib.h>

#include "admission.h"
#include "base_random.h"
#include "test_golden.h"

#define SEED 20261203
#define SERVICES 2
#define CLASSES 3
/* Number of accounts; larger than the number of idle flows that a class
   keeps. */
#define ACCOUNTS 120
#define ENTRIES 300
#define EPOCHS 25
#define STEPS 10000
#define LOGGED_STEPS 120
#define VIRTUAL_UNIT 1000000

static const uint32_t priorities[CLASSES] = { 0, 1, 3 };
static const uint32_t ageings_ms[CLASSES] = { 0, 1000, 2000 };
static const uint32_t limits[CLASSES] = { 40, 30, 20 };

/* A request and the model's state of it. */
struct request
{
  struct admission_entry entry;
  bool queued;
  uint32_t service;
  uint32_t class_index;
  uint32_t account;
  /* Number in the order of arrival. */
  uint64_t order;
  /* Virtual start time when popped, and the time when the class was served
     before that. */
  uint64_t start;
  uint64_t previous_turn_ms;
};

/* Model of one class of one service. */
struct class_model
{
  uint64_t turn_ms;
  uint64_t virtual_time;
  uint64_t finish[ACCOUNTS];
  /* Virtual start times, valid only for accounts that have requests. */
  uint64_t start[ACCOUNTS];
};

struct fuzz
{
  struct base_random random;
  struct admission *admission;
  uint64_t now_ms;
  uint64_t order_count;
  uint32_t step;
  uint64_t popped;
  uint64_t refused;
  struct request requests[ENTRIES];
  struct class_model classes[SERVICES][CLASSES];
  GString *log;
};

static uint32_t
weight_of (uint32_t account)
{
  return 1 + account * 37 % 1000;
}

static uint32_t
below (struct fuzz *fuzz, uint32_t bound)
{
  return (uint32_t)base_random_below (&fuzz->random, bound);
}

/* Counts queued requests; a negative argument matches any value. */
static uint32_t
queued_count (const struct fuzz *fuzz, int service, int class_index,
              int account)
{
  uint32_t count = 0;
  for (int i = 0; i < ENTRIES; i++)
    {
      const struct request *request = &fuzz->requests[i];
      count += request->queued
               && (service < 0 || request->service == (uint32_t)service)
               && (class_index < 0
                   || request->class_index == (uint32_t)class_index)
               && (account < 0 || request->account == (uint32_t)account);
    }
  return count;
}

static struct request *
request_of (struct admission_entry *entry)
{
  return (struct request *)entry;
}

static struct class_model *
model_of (struct fuzz *fuzz, const struct request *request)
{
  return &fuzz->classes[request->service][request->class_index];
}

static struct request *
free_request (struct fuzz *fuzz)
{
  for (int i = 0; i < ENTRIES; i++)
    if (!fuzz->requests[i].queued)
      return &fuzz->requests[i];
  return NULL;
}

static void
init_request (struct fuzz *fuzz, struct request *request, uint32_t class_index,
              uint32_t queue_ms)
{
  memset (request, 0, sizeof *request);
  request->service = below (fuzz, SERVICES);
  request->class_index = class_index;
  /* Half of the requests come from a few accounts. */
  request->account
      = below (fuzz, below (fuzz, 2) == 0 ? ACCOUNTS / 20 : ACCOUNTS);
  request->entry.service_hash = 100 + request->service;
  request->entry.account_id = 7 + request->account;
  request->entry.account_weight = weight_of (request->account);
  request->entry.class_hash = 50 + class_index;
  request->entry.priority = priorities[class_index];
  request->entry.ageing_ms = ageings_ms[class_index];
  request->entry.queue_limit = limits[class_index];
  request->entry.queue_ms = queue_ms;
}

/* Applies a push to the model. */
static void
model_push (struct fuzz *fuzz, struct request *request)
{
  struct class_model *model = model_of (fuzz, request);
  int service = (int)request->service;
  int class_index = (int)request->class_index;
  uint32_t account = request->account;
  if (queued_count (fuzz, service, class_index, -1) == 0)
    model->turn_ms = fuzz->now_ms;
  if (queued_count (fuzz, service, class_index, (int)account) == 0)
    model->start[account] = MAX (model->virtual_time, model->finish[account]);
  request->order = ++fuzz->order_count;
  request->queued = true;
}

static void
push (struct fuzz *fuzz, struct request *request)
{
  uint32_t retry_after_ms = 0;
  int service = (int)request->service;
  uint32_t in_class
      = queued_count (fuzz, service, (int)request->class_index, -1);
  enum admission_outcome outcome = admission_push (
      fuzz->admission, &request->entry, fuzz->now_ms, &retry_after_ms);
  g_assert_cmpint (outcome == ADMISSION_FULL, ==,
                   in_class >= limits[request->class_index]);
  if (outcome == ADMISSION_QUEUED)
    {
      model_push (fuzz, request);
      return;
    }
  fuzz->refused++;
  g_assert_cmpuint (retry_after_ms, >=, 1000);
  /* A request is always queued when none waits before it. */
  g_assert_cmpuint (queued_count (fuzz, service, -1, -1), >, 0);
}

/* Draws in statements of their own: the order in which arguments are evaluated
   differs between architectures, and the golden file holds one order. */
static void
push_random (struct fuzz *fuzz, struct request *request)
{
  uint32_t queue_ms = 100 + below (fuzz, 20000);
  uint32_t class_index = below (fuzz, CLASSES);
  init_request (fuzz, request, class_index, queue_ms);
  push (fuzz, request);
}

static int64_t
rank_of (const struct fuzz *fuzz, const struct class_model *model,
         uint32_t class_index)
{
  int64_t rank = priorities[class_index];
  if (ageings_ms[class_index] > 0)
    rank -= (int64_t)((fuzz->now_ms - model->turn_ms)
                      / ageings_ms[class_index]);
  return rank;
}

/* Returns the index of the class that is served next, or -1. */
static int
model_class (const struct fuzz *fuzz, uint32_t service, uint32_t skipped)
{
  int best = -1;
  for (uint32_t i = 0; i < CLASSES; i++)
    {
      const struct class_model *model = &fuzz->classes[service][i];
      if (i == skipped || queued_count (fuzz, (int)service, (int)i, -1) == 0)
        continue;
      if (best < 0)
        {
          best = (int)i;
          continue;
        }
      const struct class_model *other = &fuzz->classes[service][best];
      int64_t rank = rank_of (fuzz, model, i);
      int64_t best_rank = rank_of (fuzz, other, (uint32_t)best);
      if (rank < best_rank
          || (rank == best_rank && model->turn_ms < other->turn_ms))
        best = (int)i;
    }
  return best;
}

/* Returns the request that the model expects to be popped next, or NULL. */
static struct request *
model_next (struct fuzz *fuzz, uint32_t service, uint32_t skipped)
{
  struct request *next = NULL;
  int class_index = model_class (fuzz, service, skipped);
  if (class_index < 0)
    return NULL;
  const uint64_t *start = fuzz->classes[service][class_index].start;
  for (int i = 0; i < ENTRIES; i++)
    {
      struct request *request = &fuzz->requests[i];
      if (!request->queued || request->service != service
          || request->class_index != (uint32_t)class_index)
        continue;
      if (!next || start[request->account] < start[next->account]
          || (start[request->account] == start[next->account]
              && (request->account < next->account
                  || (request->account == next->account
                      && request->order < next->order))))
        next = request;
    }
  return next;
}

static void
model_pop (struct fuzz *fuzz, struct request *request)
{
  struct class_model *model = model_of (fuzz, request);
  uint32_t account = request->account;
  request->start = model->start[account];
  request->previous_turn_ms = model->turn_ms;
  request->queued = false;
  model->turn_ms = fuzz->now_ms;
  model->virtual_time = request->start;
  model->finish[account] = request->start + VIRTUAL_UNIT / weight_of (account);
  model->start[account] = model->finish[account];
}

static void
model_unpop (struct fuzz *fuzz, struct request *request)
{
  struct class_model *model = model_of (fuzz, request);
  model->finish[request->account] = request->start;
  model->start[request->account] = request->start;
  model->turn_ms = MIN (model->turn_ms, request->previous_turn_ms);
  request->queued = true;
}

/* Pops a request while skipping a class (CLASSES skips none).  Returns NULL
   when there is none. */
static struct request *
pop (struct fuzz *fuzz, uint32_t service, uint32_t skipped)
{
  struct request *expected = model_next (fuzz, service, skipped);
  uint32_t class_hash = 50 + skipped;
  struct admission_entry *entry
      = admission_pop_except (fuzz->admission, 100 + service, fuzz->now_ms,
                              &class_hash, skipped < CLASSES);
  g_assert_true (request_of (entry) == expected);
  if (!expected)
    return NULL;
  g_assert_false (entry->queued);
  model_pop (fuzz, expected);
  fuzz->popped++;
  return expected;
}

static void
pop_some (struct fuzz *fuzz)
{
  uint32_t service = below (fuzz, SERVICES);
  uint32_t skipped = below (fuzz, CLASSES + 3);
  struct request *request = pop (fuzz, service, MIN (skipped, CLASSES));
  if (!request)
    return;
  if (below (fuzz, 3) == 0)
    {
      admission_unpop (fuzz->admission, &request->entry);
      model_unpop (fuzz, request);
      return;
    }
  if (fuzz->step < LOGGED_STEPS)
    g_string_append_printf (fuzz->log,
                            "%u at %lu service %u: class %u "
                            "account %u request %lu\n",
                            fuzz->step, fuzz->now_ms, service,
                            request->class_index, request->account,
                            request->order);
  admission_served (fuzz->admission, 100 + service, fuzz->now_ms);
}

/* Removes a request, as when its caller disconnects.  A request that is not
   queued is left as it is. */
static void
remove_one (struct fuzz *fuzz)
{
  struct request *request = &fuzz->requests[below (fuzz, ENTRIES)];
  admission_remove (fuzz->admission, &request->entry);
  request->queued = false;
}

static void
expire (struct fuzz *fuzz)
{
  struct admission_entry *entry;
  uint64_t last_ms = 0;
  while ((entry = admission_expire (fuzz->admission, fuzz->now_ms)))
    {
      struct request *request = request_of (entry);
      uint64_t expires_ms = entry->enqueued_ms + entry->queue_ms;
      g_assert_true (request->queued);
      g_assert_cmpuint (expires_ms, <=, fuzz->now_ms);
      g_assert_cmpuint (expires_ms, >=, last_ms);
      last_ms = expires_ms;
      request->queued = false;
    }
  for (int i = 0; i < ENTRIES; i++)
    if (fuzz->requests[i].queued)
      g_assert_cmpuint (fuzz->requests[i].entry.enqueued_ms
                            + fuzz->requests[i].entry.queue_ms,
                        >, fuzz->now_ms);
}

static void
step (struct fuzz *fuzz)
{
  struct request *request = free_request (fuzz);
  switch (below (fuzz, 10))
    {
    case 0:
    case 1:
    case 2:
    case 3:
      if (!request)
        break;
      push_random (fuzz, request);
      break;
    case 4:
    case 5:
    case 6:
      pop_some (fuzz);
      break;
    case 7:
      fuzz->now_ms += below (fuzz, 300);
      break;
    case 8:
      expire (fuzz);
      break;
    default:
      remove_one (fuzz);
      break;
    }
  g_assert_cmpuint (admission_count (fuzz->admission), ==,
                    queued_count (fuzz, -1, -1, -1));
  fuzz->step++;
}

/* Under a continuous stream of urgent requests, every other queued request
   is popped within the number of pops that follows from priorities and
   ageing. */
static void
check_bounded_turns (struct fuzz *fuzz)
{
  const uint32_t pause_ms = 50;
  uint32_t bound = 0;
  for (uint32_t i = 1; i < CLASSES; i++)
    {
      uint32_t turns_each = priorities[i] * ageings_ms[i] / pause_ms + CLASSES;
      bound += queued_count (fuzz, 0, (int)i, -1) * turns_each;
    }
  uint64_t last_order = fuzz->order_count;
  for (uint32_t turn = 0; turn < bound; turn++)
    {
      struct request *request = free_request (fuzz);
      init_request (fuzz, request, 0, UINT32_MAX);
      request->service = 0;
      request->entry.service_hash = 100;
      push (fuzz, request);
      pop (fuzz, 0, CLASSES);
      admission_served (fuzz->admission, 100, fuzz->now_ms);
      fuzz->now_ms += pause_ms;
    }
  for (int i = 0; i < ENTRIES; i++)
    if (fuzz->requests[i].queued && fuzz->requests[i].service == 0)
      g_assert_true (fuzz->requests[i].class_index == 0
                     || fuzz->requests[i].order > last_order);
}

static void
drain (struct fuzz *fuzz)
{
  for (uint32_t i = 0; i < SERVICES; i++)
    while (pop (fuzz, i, CLASSES))
      ;
  g_assert_cmpuint (admission_count (fuzz->admission), ==, 0);
}

static void
test_fuzz (void)
{
  static struct fuzz fuzz;
  base_random_seed (&fuzz.random, SEED);
  fuzz.admission = admission_create ();
  fuzz.log = g_string_new (NULL);
  fuzz.now_ms = 1000;
  for (int epoch = 0; epoch < EPOCHS; epoch++)
    {
      for (int i = 0; i < STEPS; i++)
        step (&fuzz);
      check_bounded_turns (&fuzz);
      drain (&fuzz);
    }
  g_test_message ("%u steps, %lu popped, %lu refused", fuzz.step, fuzz.popped,
                  fuzz.refused);
  g_assert_cmpuint (fuzz.popped, >, 40000);
  test_golden_check ("admission_session.txt", fuzz.log->str);
  g_string_free (fuzz.log, TRUE);
  admission_destroy (fuzz.admission);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admission-fuzz/session", test_fuzz);
  return g_test_run ();
}
