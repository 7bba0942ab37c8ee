/** @file
 *  Tests of control's client against a fake control behind relays: leader
 *  changes, lost answers, members that are mute or refuse connections. */

#include <glib.h>

#include "control_client.h"
#include "link_relay.h"
#include "test_control_fake.h"

#define MEMBERS 3
#define TIMEOUT_MS 30000
/* Timeout of a call that waits for one member only, in milliseconds. */
#define SHORT_TIMEOUT_MS 400
/* Calls that are made at once. */
#define IDLE_CALLS 6
/* Timeout of a router's call for tokens. */
#define LEASE_TIMEOUT_MS 1500

/* Three members, each a relay to the same fake control. */
struct cluster
{
  struct control_fake fake;
  struct link_relay *relays[MEMBERS];
  char *endpoints[MEMBERS + 1];
  uint16_t ports[MEMBERS];
  struct control_client *client;
};

static void
start (struct cluster *cluster,
       void (*answer) (struct control_fake *, struct wire_call *))
{
  control_fake_start (&cluster->fake, answer, cluster);
  uint16_t port = wire_server_port (cluster->fake.server);
  for (int i = 0; i < MEMBERS; i++)
    {
      cluster->relays[i] = link_relay_create ();
      cluster->ports[i] = link_relay_add_listener (
          cluster->relays[i], "127.0.0.1", 0, "127.0.0.1", port);
      cluster->endpoints[i]
          = g_strdup_printf ("127.0.0.1:%u", cluster->ports[i]);
    }
  cluster->endpoints[MEMBERS] = NULL;
  cluster->client
      = control_client_create ((const char *const *)cluster->endpoints);
}

static void
stop (struct cluster *cluster)
{
  control_client_destroy (cluster->client);
  for (int i = 0; i < MEMBERS; i++)
    {
      link_relay_destroy (cluster->relays[i]);
      g_free (cluster->endpoints[i]);
    }
  control_fake_stop (&cluster->fake);
}

static void
set_faults (struct cluster *cluster, int member, bool refuse, bool mute)
{
  link_relay_set_refuse (cluster->relays[member], refuse);
  link_relay_set_mute (cluster->relays[member], mute);
}

static enum wire_status
top_up (struct cluster *cluster, struct control_top_up_result *result,
        uint32_t timeout_ms)
{
  char cluster_name[] = "test";
  char id[] = "id-1";
  char empty[] = "";
  struct control_top_up_args args
      = { cluster_name, id, empty, empty, empty, 7 };
  return control_client_call (cluster->client, CONTROL_TOP_UP,
                              (xdrproc_t)xdr_control_top_up_args, &args,
                              (xdrproc_t)xdr_control_top_up_result, result,
                              sizeof *result, timeout_ms);
}

static void
free_result (struct control_top_up_result *result)
{
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)result);
}

static void
reply (struct wire_call *call, enum control_status status,
       uint16_t leader_port)
{
  char address[] = "127.0.0.1";
  char empty[] = "";
  struct control_top_up_result result = { 0 };
  result.answer.status = status;
  result.answer.leader_address = leader_port ? address : empty;
  result.answer.leader_port = leader_port;
  result.answer.text = empty;
  result.topped_up_tokens = 7;
  wire_call_reply (call, (xdrproc_t)xdr_control_top_up_result, &result);
}

static void
answer_ok (struct control_fake *fake, struct wire_call *call)
{
  (void)fake;
  reply (call, CONTROL_OK, 0);
}

/* Answers the first call as a follower that names the third member as the
   leader, and later calls as the leader. */
static void
answer_redirect (struct control_fake *fake, struct wire_call *call)
{
  const struct cluster *cluster = fake->context;
  if (atomic_load (&fake->calls) == 1)
    reply (call, CONTROL_NOT_LEADER, cluster->ports[2]);
  else
    reply (call, CONTROL_OK, 0);
}

static void
test_redirect (void)
{
  struct cluster cluster;
  struct control_top_up_result result;
  start (&cluster, answer_redirect);
  for (int i = 0; i < 3; i++)
    {
      g_assert_cmpint (top_up (&cluster, &result, TIMEOUT_MS), ==, WIRE_OK);
      g_assert_cmpuint (result.topped_up_tokens, ==, 7);
      free_result (&result);
    }
  /* Only the first call reached a follower; the client keeps the leader. */
  g_assert_cmpuint (atomic_load (&cluster.fake.calls), ==, 4);
  g_assert_cmpuint (link_relay_forwarded_bytes (cluster.relays[1]), ==, 0);
  stop (&cluster);
}

/* A leader that is not among the endpoints is learned from a follower. */
static void
test_unknown_leader (void)
{
  struct cluster cluster;
  struct control_top_up_result result;
  start (&cluster, answer_redirect);
  control_client_destroy (cluster.client);
  const char *const only_first[] = { cluster.endpoints[0], NULL };
  cluster.client = control_client_create (only_first);
  g_assert_cmpint (top_up (&cluster, &result, TIMEOUT_MS), ==, WIRE_OK);
  free_result (&result);
  g_assert_cmpuint (link_relay_forwarded_bytes (cluster.relays[2]), >, 0);
  stop (&cluster);
}

static void
test_dead_member (void)
{
  struct cluster cluster;
  struct control_top_up_result result;
  start (&cluster, answer_ok);
  set_faults (&cluster, 0, true, false);
  set_faults (&cluster, 1, true, false);
  g_assert_cmpint (top_up (&cluster, &result, TIMEOUT_MS), ==, WIRE_OK);
  free_result (&result);
  stop (&cluster);
}

/* The first member's answer is lost: the client sends the call to the next
   member, so the fake receives it twice under the same id. */
static void
test_lost_answer (void)
{
  struct cluster cluster;
  struct control_top_up_result result;
  start (&cluster, answer_ok);
  set_faults (&cluster, 0, false, true);
  g_assert_cmpint (top_up (&cluster, &result, TIMEOUT_MS), ==, WIRE_OK);
  free_result (&result);
  g_assert_cmpuint (atomic_load (&cluster.fake.calls), ==, 2);
  stop (&cluster);
}

/* Every answer is lost: the call ends with WIRE_LOST, since it may have been
   applied. */
static void
test_all_lost (void)
{
  struct cluster cluster;
  struct control_top_up_result result;
  start (&cluster, answer_ok);
  for (int i = 0; i < MEMBERS; i++)
    set_faults (&cluster, i, false, true);
  g_assert_cmpint (top_up (&cluster, &result, 300), ==, WIRE_LOST);
  free_result (&result);
  stop (&cluster);
}

static void
answer_unavailable (struct control_fake *fake, struct wire_call *call)
{
  (void)fake;
  reply (call, CONTROL_UNAVAILABLE, 0);
}

static void
answer_not_leader (struct control_fake *fake, struct wire_call *call)
{
  (void)fake;
  reply (call, CONTROL_NOT_LEADER, 0);
}

static void
expect_status (void (*answer) (struct control_fake *, struct wire_call *),
               enum wire_status expected)
{
  struct cluster cluster;
  struct control_top_up_result result;
  start (&cluster, answer);
  g_assert_cmpint (top_up (&cluster, &result, 300), ==, expected);
  free_result (&result);
  stop (&cluster);
}

/* CONTROL_UNAVAILABLE means that the call may still be applied later; if only
   followers answered, it was certainly not applied. */
static void
test_no_leader (void)
{
  expect_status (answer_unavailable, WIRE_LOST);
  expect_status (answer_not_leader, WIRE_UNSENT);
}

static void
answer_refused (struct control_fake *fake, struct wire_call *call)
{
  (void)fake;
  reply (call, CONTROL_REFUSED, 0);
}

/* A refusal is a final answer: the call is not sent again. */
static void
test_refusal (void)
{
  struct cluster cluster;
  struct control_top_up_result result;
  start (&cluster, answer_refused);
  g_assert_cmpint (top_up (&cluster, &result, TIMEOUT_MS), ==, WIRE_OK);
  g_assert_cmpint (result.answer.status, ==, CONTROL_REFUSED);
  free_result (&result);
  g_assert_cmpuint (atomic_load (&cluster.fake.calls), ==, 1);
  stop (&cluster);
}

static gpointer
call_many (gpointer data)
{
  struct control_top_up_result result;
  for (int i = 0; i < 50; i++)
    {
      g_assert_cmpint (top_up (data, &result, TIMEOUT_MS), ==, WIRE_OK);
      free_result (&result);
    }
  return NULL;
}

/* Threads share a client while members refuse connections in turn. */
static void
test_threads (void)
{
  struct cluster cluster;
  GThread *threads[6];
  start (&cluster, answer_ok);
  for (int i = 0; i < 6; i++)
    threads[i] = g_thread_new ("caller", call_many, &cluster);
  for (int i = 0; i < 30; i++)
    {
      set_faults (&cluster, i % MEMBERS, true, false);
      g_usleep (2000);
      set_faults (&cluster, i % MEMBERS, false, false);
    }
  for (int i = 0; i < 6; i++)
    g_thread_join (threads[i]);
  g_assert_cmpuint (atomic_load (&cluster.fake.calls), >=, 300);
  stop (&cluster);
}

/* Answers once IDLE_CALLS calls wait, so that each has a connection of its
   own. */
static void
answer_together (struct control_fake *fake, struct wire_call *call)
{
  static struct wire_call *waiting[IDLE_CALLS];
  static uint32_t count;
  if (atomic_load (&fake->calls) > IDLE_CALLS)
    {
      reply (call, CONTROL_OK, 0);
      return;
    }
  waiting[count++] = call;
  if (count == IDLE_CALLS)
    for (; count > 0; count--)
      reply (waiting[count - 1], CONTROL_OK, 0);
}

static gpointer
call_briefly (gpointer data)
{
  struct control_top_up_result result;
  enum wire_status status = top_up (data, &result, SHORT_TIMEOUT_MS);
  free_result (&result);
  return GINT_TO_POINTER (status);
}

/* Makes IDLE_CALLS calls at once; returns how many bring no answer. */
static uint32_t
count_lost (struct cluster *cluster)
{
  GThread *threads[IDLE_CALLS];
  uint32_t lost = 0;
  for (int i = 0; i < IDLE_CALLS; i++)
    threads[i] = g_thread_new ("caller", call_briefly, cluster);
  for (int i = 0; i < IDLE_CALLS; i++)
    lost += GPOINTER_TO_INT (g_thread_join (threads[i])) != WIRE_OK;
  return lost;
}

/* Guards against idle connections that went silent together and each cost a
   call its time: after the first call the others are closed. */
static void
test_silent_idle_connections (void)
{
  struct cluster cluster;
  struct base_random random;
  base_random_seed (&random, 1);
  start (&cluster, answer_together);
  const char *const leader[] = { cluster.endpoints[0], NULL };
  control_client_destroy (cluster.client);
  cluster.client = control_client_create (leader);
  g_assert_cmpuint (count_lost (&cluster), ==, 0);
  link_relay_silence (cluster.relays[0], LINK_BOTH, 100, &random);
  g_assert_cmpint (GPOINTER_TO_INT (call_briefly (&cluster)), !=, WIRE_OK);
  g_assert_cmpuint (count_lost (&cluster), ==, 0);
  stop (&cluster);
}

/* Has the first call go to all members. */
static void
answer_third (struct control_fake *fake, struct wire_call *call)
{
  bool is_early = atomic_load (&fake->calls) < MEMBERS;
  reply (call, is_early ? CONTROL_UNAVAILABLE : CONTROL_OK, 0);
}

/* Guards against connections to several members that went silent together and
   each cost the same call an attempt: after the first attempt the others are
   closed. */
static void
test_silent_members (void)
{
  struct cluster cluster;
  struct base_random random;
  struct control_top_up_result result;
  base_random_seed (&random, 1);
  start (&cluster, answer_third);
  g_assert_cmpint (top_up (&cluster, &result, TIMEOUT_MS), ==, WIRE_OK);
  free_result (&result);
  for (int i = 0; i < MEMBERS; i++)
    link_relay_silence (cluster.relays[i], LINK_BOTH, 100, &random);
  gint64 begun_us = g_get_monotonic_time ();
  enum wire_status status = top_up (&cluster, &result, LEASE_TIMEOUT_MS);
  free_result (&result);
  g_test_message ("status %s after %d ms", wire_status_name (status),
                  (int)((g_get_monotonic_time () - begun_us) / 1000));
  g_assert_cmpint (status, ==, WIRE_OK);
  stop (&cluster);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-client/redirect", test_redirect);
  g_test_add_func ("/control-client/unknown-leader", test_unknown_leader);
  g_test_add_func ("/control-client/dead-member", test_dead_member);
  g_test_add_func ("/control-client/lost-answer", test_lost_answer);
  g_test_add_func ("/control-client/all-lost", test_all_lost);
  g_test_add_func ("/control-client/no-leader", test_no_leader);
  g_test_add_func ("/control-client/refusal", test_refusal);
  g_test_add_func ("/control-client/threads", test_threads);
  g_test_add_func ("/control-client/silent-members", test_silent_members);
  g_test_add_func ("/control-client/silent-idle-connections",
                   test_silent_idle_connections);
  return g_test_run ();
}
