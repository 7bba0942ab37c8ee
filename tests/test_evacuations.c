/** @file
 *  Tests of evacuations of availability zones: the replicated set, the
 *  router's list, and what builds without them read.  Random histories of
 *  orders, copies that come late, members that are behind, restart or are
 * lost, and routers that start or are cut off, against a model. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_random.h"
#include "control_evacuations.h"
#include "control_state.h"
#include "control_watch_codec.h"
#include "edge_evacuations.h"

#define SEEDS 200
#define STEPS 1500
#define STEP_MS 20
#define MEMBERS 5
#define ROUTERS 6
#define ZONES 4
#define CALLS_MAX 64
#define CHANGES_MAX 4096
/* Time in which a member repeats an order that crossed another, and until it
   forgets it, in steps. */
#define ORDER_STEPS 125
/* Longest time of a call that a member repeats, in steps. */
#define REPEAT_STEPS 4
/* The stated bound: time from an acknowledgement until the order is in force
   at each router in touch, in steps. */
#define IN_FORCE_STEPS (5000 / STEP_MS)
/* Time without a message of the leader after which a member isn't current. */
#define CONTACT_STEPS 30
/* A router asks one member after the other, at this interval. */
#define WATCH_STEPS 4
/* Entries in a message of the leader. */
#define ENTRIES_MAX 64
/* Members that may be cut off at a time. */
#define CUT_MAX 2

static const char *const zone_names[ZONES]
    = { "north", "south", "east", "west" };

/* An order on its way to the log; its copies come again. */
struct call
{
  bool is_open;
  uint32_t zone;
  bool evacuate;
  uint64_t after_change;
  uint32_t came_step;
  uint32_t due_step;
};

struct member
{
  struct control_state *state;
  uint32_t applied;
  /* When the leader's last message came, and what was committed then; 0: none
     since the start. */
  uint32_t contact_step;
  uint32_t contact_commit;
  uint32_t cut_until;
};

struct router
{
  struct edge_evacuations *evacuations;
  uint32_t started_step;
  uint32_t cut_until;
  uint32_t touched_step;
  /* Newest change acknowledged when it started. */
  uint64_t change_at_start;
  bool was_known;
  uint64_t version;
};

/* Bit set of the evacuated zones after each change. */
struct world
{
  struct base_random random;
  uint32_t step;
  /* Encoded commands (GBytes). */
  GPtrArray *log;
  struct control_state *reference;
  uint32_t sets[CHANGES_MAX];
  uint32_t change_step[CHANGES_MAX];
  uint64_t change;
  /* Step of the newest accepted order of each zone, by what it wants. */
  uint32_t accepted_step[ZONES][2];
  struct call calls[CALLS_MAX];
  struct member members[MEMBERS];
  struct router routers[ROUTERS];
  uint32_t conflicts;
  uint32_t late_copies;
};

static uint32_t
draw (struct world *world, uint32_t below)
{
  return (uint32_t)base_random_below (&world->random, below);
}

static bool
has (const struct control_state *state, uint32_t zone)
{
  return control_evacuations_has (
      control_state_evacuations ((struct control_state *)state),
      zone_names[zone]);
}

static uint32_t
set_of (const struct control_state *state)
{
  uint32_t set = 0;
  for (uint32_t i = 0; i < ZONES; i++)
    set |= (uint32_t)has (state, i) << i;
  return set;
}

static uint64_t
change_of (struct control_state *state)
{
  return control_evacuations_change (control_state_evacuations (state));
}

static GBytes *
encode_order (const struct call *call, uint64_t wall_ms)
{
  char cluster[] = "c";
  uint32_t bytes = 0;
  struct control_command command = { .wall_ms = wall_ms };
  command.body.kind = CONTROL_COMMAND_EVACUATION;
  command.body.control_command_body_u.evacuation
      = (struct control_evacuation_args){
          .cluster = cluster,
          .availability_zone = (char *)(uintptr_t)zone_names[call->zone],
          .evacuate = call->evacuate,
          .after_change = call->after_change
        };
  char *data = control_command_encode (&command, &bytes);
  return g_bytes_new_take (data, bytes);
}

static void
apply_bytes (struct control_state *state, GBytes *command,
             struct control_outcome *outcome)
{
  gsize bytes = 0;
  const char *data = g_bytes_get_data (command, &bytes);
  g_assert_true (
      control_state_apply_bytes (state, data, (uint32_t)bytes, outcome));
}

/* Notes an accepted order; an old copy must not change a zone for which a
   counterpart was accepted since it came. */
static void
check_accepted (struct world *world, const struct call *call, bool was)
{
  bool is_late = world->step > call->came_step + ORDER_STEPS + REPEAT_STEPS;
  bool was_crossed
      = world->accepted_step[call->zone][!call->evacuate] > call->came_step;
  g_assert_false (is_late && was_crossed && was != call->evacuate);
  g_assert_cmpint (has (world->reference, call->zone), ==, call->evacuate);
  world->change = change_of (world->reference);
  g_assert_cmpuint (world->change, <, CHANGES_MAX);
  world->sets[world->change] = set_of (world->reference);
  world->change_step[world->change] = world->step;
  world->accepted_step[call->zone][call->evacuate] = world->step;
}

/* Commits an order and applies it to the reference. */
static void
commit (struct world *world, struct call *call)
{
  struct control_outcome outcome;
  bool was = has (world->reference, call->zone);
  uint32_t before = set_of (world->reference);
  GBytes *command = encode_order (call, (uint64_t)world->step * STEP_MS);
  g_ptr_array_add (world->log, command);
  apply_bytes (world->reference, command, &outcome);
  g_assert_cmpint (outcome.kind, ==, CONTROL_COMMAND_EVACUATION);
  const struct control_evacuation_result *result = &outcome.result.evacuation;
  if (result->answer.status == CONTROL_OK)
    check_accepted (world, call, was);
  else
    {
      g_assert_cmpint (result->answer.status, ==, CONTROL_CONFLICT);
      g_assert_cmpuint (set_of (world->reference), ==, before);
      world->conflicts++;
    }
  bool is_late = world->step > call->came_step + ORDER_STEPS;
  world->late_copies += is_late;
  bool repeats = result->answer.status == CONTROL_CONFLICT && !is_late;
  if (repeats)
    call->after_change = result->change;
  /* An answer may be lost, and the call or its copy come again much later. */
  else if (draw (world, 3) > 0)
    call->is_open = false;
  call->due_step
      = world->step + 1 + draw (world, repeats ? REPEAT_STEPS : 400);
  control_outcome_clear (&outcome);
}

/* An order comes to a member, which may be behind. */
static void
order (struct world *world)
{
  struct member *member = &world->members[draw (world, MEMBERS)];
  for (uint32_t i = 0; i < CALLS_MAX; i++)
    {
      struct call *call = &world->calls[i];
      if (call->is_open)
        continue;
      *call = (struct call){ .is_open = true,
                             .zone = draw (world, ZONES),
                             .evacuate = draw (world, 2) > 0,
                             .after_change = change_of (member->state),
                             .came_step = world->step,
                             .due_step = world->step + 1 + draw (world, 6) };
      if (draw (world, 6) == 0)
        call->due_step += draw (world, 3 * ORDER_STEPS);
      return;
    }
}

static void
reset_state (struct member *member, const struct control_state *from)
{
  uint32_t bytes = 0;
  struct control_state *state = control_state_create ();
  if (from)
    {
      char *data = control_state_save ((struct control_state *)from, &bytes);
      g_assert_cmpint (control_state_load (state, data, bytes), ==, 0);
      g_free (data);
    }
  control_state_destroy (member->state);
  member->state = state;
}

/* Cuts a member off from the leader, unless too many are. */
static void
cut_member (struct world *world, struct member *member, uint32_t steps)
{
  uint32_t cut = 0;
  for (uint32_t i = 0; i < MEMBERS; i++)
    cut += world->step < world->members[i].cut_until;
  if (cut < CUT_MAX)
    member->cut_until = world->step + draw (world, steps);
}

/* A member ends: its snapshot and log stay, or its disk is lost and it gets
   the snapshot of another one. */
static void
restart_member (struct world *world, uint32_t index)
{
  struct member *member = &world->members[index];
  uint32_t kind = draw (world, 3);
  if (kind == 0)
    reset_state (member, member->state);
  else if (kind == 1)
    {
      reset_state (member, NULL);
      member->applied = 0;
    }
  else
    {
      const struct member *other = &world->members[draw (world, MEMBERS)];
      reset_state (member, other->state);
      member->applied = other->applied;
    }
  member->contact_step = 0;
  cut_member (world, member, 50);
}

/* A message of the leader brings a member some entries. */
static void
run_member (struct world *world, struct member *member)
{
  if (world->step < member->cut_until || draw (world, 4) > 0)
    return;
  member->contact_step = world->step;
  member->contact_commit = world->log->len;
  uint32_t count = draw (world, ENTRIES_MAX);
  while (count-- > 0 && member->applied < world->log->len)
    {
      struct control_outcome outcome;
      apply_bytes (member->state, world->log->pdata[member->applied++],
                   &outcome);
      control_outcome_clear (&outcome);
    }
}

static bool
is_current (const struct world *world, const struct member *member)
{
  return member->contact_step > 0
         && world->step <= member->contact_step + CONTACT_STEPS
         && member->applied >= member->contact_commit;
}

static void
start_router (struct world *world, struct router *router)
{
  edge_evacuations_destroy (router->evacuations);
  *router = (struct router){ .evacuations = edge_evacuations_create (),
                             .started_step = world->step,
                             .touched_step = world->step };
  router->change_at_start = world->change;
}

/* The newest change that was accepted by a step. */
static uint64_t
change_by (const struct world *world, uint32_t step)
{
  uint64_t change = world->change;
  while (change > 0 && world->change_step[change] > step)
    change--;
  return change;
}

static void
check_router (struct world *world, struct router *router)
{
  uint64_t version = edge_evacuations_version (router->evacuations);
  g_assert_cmpuint (version, >=, router->version);
  router->version = version;
  for (uint32_t i = 0; i < ZONES; i++)
    g_assert_cmpint (edge_evacuations_has (router->evacuations, zone_names[i]),
                     ==, (world->sets[version] >> i) & 1);
  g_assert_cmpuint (edge_evacuations_count (router->evacuations), ==,
                    (uint32_t)__builtin_popcount (world->sets[version]));
  uint64_t now_ms = (uint64_t)world->step * STEP_MS;
  bool is_known = edge_evacuations_is_known (router->evacuations, now_ms);
  /* Before its first request: what was accepted before it started. */
  if (is_known && !router->was_known
      && now_ms < (uint64_t)router->started_step * STEP_MS
                      + EDGE_EVACUATIONS_WAIT_MS)
    g_assert_cmpuint (
        version, >=,
        change_by (world, router->started_step > CONTACT_STEPS
                              ? router->started_step - CONTACT_STEPS
                              : 0));
  router->was_known = router->was_known || is_known;
  bool is_in_touch = world->step >= router->touched_step + IN_FORCE_STEPS;
  if (is_in_touch && world->step > IN_FORCE_STEPS)
    g_assert_cmpuint (version, >=,
                      change_by (world, world->step - IN_FORCE_STEPS));
}

/* A router gets the answer of a member, which may have been on its way. */
static void
run_router (struct world *world, struct router *router)
{
  struct control_evacuations list = { 0 };
  check_router (world, router);
  if (world->step < router->cut_until)
    {
      router->touched_step = world->step;
      return;
    }
  if (world->step % WATCH_STEPS > 0)
    return;
  struct member *member = &world->members[world->step / WATCH_STEPS % MEMBERS];
  const struct control_evacuations_set *set
      = control_state_evacuations (member->state);
  list.is_current = is_current (world, member);
  if (change_of (member->state)
      > edge_evacuations_version (router->evacuations))
    {
      list.list_version = change_of (member->state);
      list.zones.zones_len
          = control_evacuations_copy (set, &list.zones.zones_val);
    }
  uint64_t former = router->version;
  bool changed = edge_evacuations_apply (router->evacuations, &list,
                                         (uint64_t)world->step * STEP_MS);
  g_assert_cmpint (changed, ==,
                   edge_evacuations_version (router->evacuations) != former);
  /* A list that was overtaken changes nothing. */
  g_assert_false (edge_evacuations_apply (router->evacuations, &list,
                                          (uint64_t)world->step * STEP_MS));
  check_router (world, router);
  xdr_free ((xdrproc_t)xdr_control_evacuations, (char *)&list);
}

static void
run_step (struct world *world)
{
  if (draw (world, 12) == 0)
    order (world);
  for (uint32_t i = 0; i < CALLS_MAX; i++)
    if (world->calls[i].is_open && world->step >= world->calls[i].due_step)
      commit (world, &world->calls[i]);
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      if (draw (world, 300) == 0)
        restart_member (world, i);
      if (draw (world, 300) == 0)
        cut_member (world, &world->members[i], 100);
      run_member (world, &world->members[i]);
    }
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      struct router *router = &world->routers[i];
      if (draw (world, 300) == 0)
        start_router (world, router);
      if (draw (world, 400) == 0)
        router->cut_until = world->step + draw (world, 400);
      run_router (world, router);
    }
}

/* All members that have applied everything hold the same bytes. */
static void
check_end (struct world *world)
{
  uint32_t bytes = 0;
  char *expected = control_state_save (world->reference, &bytes);
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      struct member *member = &world->members[i];
      uint32_t length = 0;
      member->cut_until = 0;
      while (member->applied < world->log->len)
        run_member (world, member);
      char *data = control_state_save (member->state, &length);
      g_assert_cmpmem (data, length, expected, bytes);
      g_free (data);
    }
  g_free (expected);
}

static void
test_histories (void)
{
  uint32_t changes = 0;
  uint32_t conflicts = 0;
  uint32_t late_copies = 0;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = g_new0 (struct world, 1);
      base_random_seed (&world->random, seed);
      world->log
          = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
      world->reference = control_state_create ();
      for (uint32_t i = 0; i < MEMBERS; i++)
        reset_state (&world->members[i], NULL);
      for (uint32_t i = 0; i < ROUTERS; i++)
        start_router (world, &world->routers[i]);
      for (world->step = 1; world->step <= STEPS; world->step++)
        run_step (world);
      check_end (world);
      changes += (uint32_t)world->change;
      conflicts += world->conflicts;
      late_copies += world->late_copies;
      for (uint32_t i = 0; i < MEMBERS; i++)
        control_state_destroy (world->members[i].state);
      for (uint32_t i = 0; i < ROUTERS; i++)
        edge_evacuations_destroy (world->routers[i].evacuations);
      control_state_destroy (world->reference);
      g_ptr_array_unref (world->log);
      g_free (world);
    }
  g_test_message ("%u changes, %u conflicts, %u late copies", changes,
                  conflicts, late_copies);
  g_assert_cmpuint (conflicts, >, SEEDS);
  g_assert_cmpuint (late_copies, >, SEEDS);
}

static enum control_status
send_order (struct control_evacuations_set *set, const char *zone,
            bool evacuate, uint64_t after_change)
{
  char cluster[] = "c";
  struct control_evacuation_result result = { 0 };
  const struct control_evacuation_args args
      = { cluster, (char *)(uintptr_t)zone, evacuate, after_change };
  control_evacuations_order (set, &args, 1, &result);
  enum control_status status = result.answer.status;
  xdr_free ((xdrproc_t)xdr_control_evacuation_result, (char *)&result);
  return status;
}

static void
test_names (void)
{
  static const char *const bad[]
      = { "", "a/b", "a b", "a\n", "z\xc3\xbc", "\x7f" };
  char *longest = g_strnfill (CONTROL_ZONE_NAME_MAX, 'z');
  char *too_long = g_strnfill (CONTROL_ZONE_NAME_MAX + 1, 'z');
  struct control_evacuations_set *set = control_evacuations_create ();
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    g_assert_cmpint (send_order (set, bad[i], true, 0), ==, CONTROL_REFUSED);
  g_assert_cmpint (send_order (set, too_long, true, 0), ==, CONTROL_REFUSED);
  g_assert_cmpuint (control_evacuations_change (set), ==, 0);
  g_assert_cmpint (send_order (set, longest, true, 0), ==, CONTROL_OK);
  g_assert_true (control_evacuations_has (set, longest));
  control_evacuations_destroy (set);
  g_free (longest);
  g_free (too_long);
}

/* Sent again, taken back twice, crossed by a counterpart that comes late. */
static void
test_orders (void)
{
  struct control_evacuations_set *set = control_evacuations_create ();
  g_assert_cmpint (send_order (set, "a", false, 0), ==, CONTROL_OK);
  g_assert_cmpint (send_order (set, "a", true, 0), ==, CONTROL_CONFLICT);
  g_assert_cmpint (send_order (set, "a", true, 1), ==, CONTROL_OK);
  g_assert_cmpint (send_order (set, "a", true, 0), ==, CONTROL_OK);
  g_assert_cmpint (send_order (set, "a", false, 2), ==, CONTROL_CONFLICT);
  g_assert_true (control_evacuations_has (set, "a"));
  g_assert_cmpint (send_order (set, "a", false, 3), ==, CONTROL_OK);
  g_assert_cmpint (send_order (set, "a", false, 0), ==, CONTROL_OK);
  g_assert_false (control_evacuations_has (set, "a"));
  g_assert_cmpuint (control_evacuations_change (set), ==, 5);
  control_evacuations_destroy (set);
}

/* The set is bounded; zones that were taken back make room, and late copies of
   orders for them still change nothing. */
static void
test_bound (void)
{
  char name[16];
  struct control_evacuations_set *set = control_evacuations_create ();
  for (uint32_t i = 0; i < CONTROL_EVACUATIONS_MAX; i++)
    {
      g_snprintf (name, sizeof name, "z%u", i);
      g_assert_cmpint (send_order (set, name, true, UINT64_MAX), ==,
                       CONTROL_OK);
    }
  g_assert_cmpint (send_order (set, "more", true, UINT64_MAX), ==,
                   CONTROL_REFUSED);
  g_assert_cmpint (send_order (set, "z7", true, 0), ==, CONTROL_OK);
  g_assert_cmpint (send_order (set, "z7", false, UINT64_MAX), ==, CONTROL_OK);
  uint64_t change = control_evacuations_change (set);
  g_assert_cmpint (send_order (set, "more", true, UINT64_MAX), ==, CONTROL_OK);
  g_assert_cmpint (send_order (set, "more", false, UINT64_MAX), ==,
                   CONTROL_OK);
  g_assert_cmpint (send_order (set, "z7", true, change - 1), ==,
                   CONTROL_CONFLICT);
  g_assert_cmpint (send_order (set, "z7", true, change), ==, CONTROL_OK);
  control_evacuations_destroy (set);
}

/* Reads a snapshot as builds without evacuations do; returns the bytes that
   they read. */
static u_int
read_as_before (const char *data, uint32_t bytes)
{
  struct control_state_image image = { 0 };
  struct control_reports_image reports = { 0 };
  struct control_routers_image routers = { 0 };
  XDR stream;
  xdrmem_create (&stream, (char *)data, bytes, XDR_DECODE);
  g_assert_true (xdr_control_state_image (&stream, &image));
  g_assert_true (xdr_control_reports_image (&stream, &reports));
  g_assert_true (xdr_control_routers_image (&stream, &routers));
  u_int read = xdr_getpos (&stream);
  XDR_DESTROY (&stream);
  xdr_free ((xdrproc_t)xdr_control_state_image, (char *)&image);
  xdr_free ((xdrproc_t)xdr_control_reports_image, (char *)&reports);
  xdr_free ((xdrproc_t)xdr_control_routers_image, (char *)&routers);
  return read;
}

/* Snapshots end where those of earlier builds do until there was an order;
   then these read them as far as before. */
static void
test_snapshots (void)
{
  uint32_t former_bytes = 0;
  uint32_t bytes = 0;
  uint32_t again_bytes = 0;
  struct control_outcome outcome;
  const struct call call = { .zone = 1, .evacuate = true };
  struct control_state *state = control_state_create ();
  char *former = control_state_save (state, &former_bytes);
  g_assert_cmpuint (read_as_before (former, former_bytes), ==, former_bytes);
  GBytes *command = encode_order (&call, 0);
  apply_bytes (state, command, &outcome);
  control_outcome_clear (&outcome);
  char *data = control_state_save (state, &bytes);
  g_assert_cmpuint (read_as_before (data, bytes), ==, former_bytes);
  g_assert_cmpmem (data, former_bytes, former, former_bytes);
  struct control_state *loaded = control_state_create ();
  g_assert_cmpint (control_state_load (loaded, data, bytes), ==, 0);
  g_assert_true (has (loaded, 1));
  char *again = control_state_save (loaded, &again_bytes);
  g_assert_cmpmem (again, again_bytes, data, bytes);
  struct control_state *old = control_state_create ();
  g_assert_cmpint (control_state_load (old, former, former_bytes), ==, 0);
  g_assert_cmpuint (change_of (old), ==, 0);
  for (uint32_t cut = former_bytes + 1; cut < bytes; cut++)
    {
      struct control_state *broken = control_state_create ();
      g_assert_cmpint (control_state_load (broken, data, cut), ==, -1);
      control_state_destroy (broken);
    }
  control_state_destroy (state);
  control_state_destroy (loaded);
  control_state_destroy (old);
  g_bytes_unref (command);
  g_free (former);
  g_free (data);
  g_free (again);
}

static char *
encode (xdrproc_t codec, void *value, u_int *bytes)
{
  XDR stream;
  char *data = g_malloc0 (4096);
  xdrmem_create (&stream, data, 4096, XDR_ENCODE);
  g_assert_true (codec (&stream, value));
  *bytes = xdr_getpos (&stream);
  XDR_DESTROY (&stream);
  return data;
}

static void
decode (xdrproc_t codec, const char *data, u_int bytes, void *value)
{
  XDR stream;
  xdrmem_create (&stream, (char *)data, bytes, XDR_DECODE);
  g_assert_true (codec (&stream, value));
  XDR_DESTROY (&stream);
}

/* Watch calls between builds with and without evacuations. */
static void
test_watch_call (void)
{
  char text[] = "text";
  u_int bytes = 0;
  u_int former_bytes = 0;
  struct control_watch_call call = { .has_evacuations = true };
  struct control_watch_call read = { .has_evacuations = true };
  struct control_watch_args args = { 0 };
  call.args.cluster = call.args.router = text;
  call.args.self.name = call.args.self.address = text;
  call.args.self.availability_zone = text;
  call.evacuations.from_member = 7;
  call.evacuations.in_force = 5;
  char *data = encode ((xdrproc_t)xdr_control_watch_call, &call, &bytes);
  char *former
      = encode ((xdrproc_t)xdr_control_watch_args, &call.args, &former_bytes);
  g_assert_cmpuint (bytes, ==, former_bytes + 16);
  g_assert_cmpmem (data, former_bytes, former, former_bytes);
  decode ((xdrproc_t)xdr_control_watch_args, data, bytes, &args);
  g_assert_cmpstr (args.self.name, ==, text);
  xdr_free ((xdrproc_t)xdr_control_watch_args, (char *)&args);
  decode ((xdrproc_t)xdr_control_watch_call, former, former_bytes, &read);
  g_assert_false (read.has_evacuations);
  xdr_free ((xdrproc_t)xdr_control_watch_call, (char *)&read);
  decode ((xdrproc_t)xdr_control_watch_call, data, bytes, &read);
  g_assert_true (read.has_evacuations);
  g_assert_cmpuint (read.evacuations.from_member, ==, 7);
  g_assert_cmpuint (read.evacuations.in_force, ==, 5);
  xdr_free ((xdrproc_t)xdr_control_watch_call, (char *)&read);
  g_free (data);
  g_free (former);
}

static void
test_watch_answer (void)
{
  char text[] = "text";
  u_int bytes = 0;
  u_int former_bytes = 0;
  struct control_evacuation zone = { text, 11, 12 };
  struct control_watch_answer answer = { 0 };
  struct control_watch_answer read = { 0 };
  struct control_watch_result result = { 0 };
  answer.result.answer.leader_address = answer.result.answer.text = text;
  answer.result.availability_zone = text;
  char *former
      = encode ((xdrproc_t)xdr_control_watch_answer, &answer, &former_bytes);
  decode ((xdrproc_t)xdr_control_watch_answer, former, former_bytes, &read);
  g_assert_false (read.has_evacuations);
  xdr_free ((xdrproc_t)xdr_control_watch_answer, (char *)&read);
  answer.has_evacuations = true;
  answer.evacuations = (struct control_evacuations){ TRUE, 12, { 1, &zone } };
  char *data = encode ((xdrproc_t)xdr_control_watch_answer, &answer, &bytes);
  g_assert_cmpmem (data, former_bytes, former, former_bytes);
  decode ((xdrproc_t)xdr_control_watch_result, data, bytes, &result);
  g_assert_cmpstr (result.availability_zone, ==, text);
  xdr_free ((xdrproc_t)xdr_control_watch_result, (char *)&result);
  for (u_int cut = former_bytes; cut <= bytes; cut += BYTES_PER_XDR_UNIT)
    {
      decode ((xdrproc_t)xdr_control_watch_answer, data, cut, &read);
      g_assert_cmpint (read.has_evacuations, ==, cut == bytes);
      g_assert_cmpuint (read.evacuations.zones.zones_len, ==, cut == bytes);
      xdr_free ((xdrproc_t)xdr_control_watch_answer, (char *)&read);
    }
  g_free (data);
  g_free (former);
}

/* A router that starts waits for a member that is up to date, or one that
   knows nothing of evacuations, but not for ever. */
static void
test_start (void)
{
  const struct control_evacuations behind = { 0 };
  const struct control_evacuations current = { .is_current = TRUE };
  struct edge_evacuations *router = edge_evacuations_create ();
  g_assert_false (edge_evacuations_is_known (router, UINT64_MAX / 2));
  edge_evacuations_apply (router, &behind, 100);
  g_assert_false (edge_evacuations_is_known (router, 200));
  g_assert_true (
      edge_evacuations_is_known (router, 100 + EDGE_EVACUATIONS_WAIT_MS));
  edge_evacuations_apply (router, &current, 300);
  g_assert_true (edge_evacuations_is_known (router, 300));
  edge_evacuations_destroy (router);
  router = edge_evacuations_create ();
  edge_evacuations_apply (router, NULL, 100);
  g_assert_true (edge_evacuations_is_known (router, 100));
  edge_evacuations_destroy (router);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/evacuations/names", test_names);
  g_test_add_func ("/evacuations/orders", test_orders);
  g_test_add_func ("/evacuations/bound", test_bound);
  g_test_add_func ("/evacuations/snapshots", test_snapshots);
  g_test_add_func ("/evacuations/watch-call", test_watch_call);
  g_test_add_func ("/evacuations/watch-answer", test_watch_answer);
  g_test_add_func ("/evacuations/start", test_start);
  g_test_add_func ("/evacuations/histories", test_histories);
  return g_test_run ();
}
