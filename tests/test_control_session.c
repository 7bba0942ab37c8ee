/** @file
 *  Tests of the session with control: differences and whole documents,
 *  versions that never go back, the cache, peers, the lease. */

#include <glib.h>
#include <glib/gstdio.h>

#include "base_findings.h"
#include "cactus_config.h"
#include "control_session.h"
#include "test_control_fake.h"

#define TIMEOUT_US (30 * G_TIME_SPAN_SECOND)

/* Answers of the fake to the next heartbeats, and records of the calls. */
struct script
{
  GMutex mutex;
  /** Newest bundle of the fake. */
  struct bundle *newest;
  /** Difference to send, whatever version the caller has; NULL when there is
   *  none. */
  char *difference;
  uint64_t difference_version;
  uint64_t peers_digest;
  uint64_t drained_digest;
  enum control_status status;
  uint32_t lease_ms;
  /** Bundle version that the last caller reported. */
  uint64_t reported_version;
  /** Number of answers with a whole document or a piece of one. */
  uint32_t whole_answers;
  /** Size of the pieces that documents are sent in, in bytes; 0 to send them
   *  whole. */
  u_int piece_bytes;
};

/* Callbacks that record what the session passed to them. */
struct recorder
{
  struct control_session_callbacks base;
  GMutex mutex;
  uint64_t version;
  uint32_t bundles;
  uint32_t peers;
  /** Number of changes of the drained targets, and number of those targets. */
  uint32_t drain_changes;
  uint32_t drained;
  /** Whether a bundle was not newer than the one before. */
  bool went_back;
};

static struct bundle *
make_bundle (uint64_t version, uint32_t weight)
{
  struct base_findings *findings = base_findings_create ();
  char *text = g_strdup_printf (
      "{\"version\":%lu,\"operators\":{\"ana\":{\"public_key\":\"%064d\"}},"
      "\"accounts\":{\"mar\":{\"keys\":[],\"weight\":%u}}}",
      (unsigned long)version, 7, weight);
  struct bundle *bundle = bundle_read (text, strlen (text), findings);
  g_assert_nonnull (bundle);
  g_free (text);
  base_findings_destroy (findings);
  return bundle;
}

static void
set_document (struct control_sync_result *result, const char *text)
{
  result->document.document_val = (char *)text;
  result->document.document_len = (u_int)strlen (text);
}

/* Cuts the document to the requested piece. */
static void
cut_piece (const struct script *script, const struct control_sync_args *args,
           struct control_sync_result *result)
{
  u_int offset = args->piece_version == result->new_version
                         && args->piece_offset < result->document.document_len
                     ? args->piece_offset
                     : 0;
  result->document_bytes = result->document.document_len;
  result->document_offset = offset;
  result->document.document_val += offset;
  result->document.document_len
      = MIN (result->document_bytes - offset, script->piece_bytes);
}

/* Sends the script's difference, or the newest document to a caller that does
   not have it. */
static void
fill_bundle (struct script *script, const struct control_sync_args *args,
             struct control_sync_result *result)
{
  script->reported_version = args->process.bundle_version;
  if (script->difference)
    {
      result->new_version = script->difference_version;
      set_document (result, script->difference);
    }
  else if (script->newest)
    {
      result->new_version = bundle_version (script->newest);
      if (args->process.bundle_version != result->new_version)
        {
          result->full = true;
          script->whole_answers++;
          set_document (result, bundle_canonical (script->newest, NULL));
          if (script->piece_bytes > 0)
            cut_piece (script, args, result);
        }
    }
}

static void
answer_sync (struct control_fake *fake, struct wire_call *call)
{
  static char empty[] = "";
  static char name[] = "peer";
  char *drained = name;
  struct script *script = fake->context;
  struct control_sync_args args = { 0 };
  struct control_sync_result result = { 0 };
  struct wire_process peer = { .kind = WIRE_PROCESS_LEDGER,
                               .host = name,
                               .availability_zone = name,
                               .region = name,
                               .address = name };
  g_assert_true (
      wire_call_args (call, (xdrproc_t)xdr_control_sync_args, &args));
  g_mutex_lock (&script->mutex);
  result.answer.status = script->status;
  result.answer.leader_address = empty;
  result.answer.text = empty;
  result.lease_ms = script->lease_ms;
  fill_bundle (script, &args, &result);
  result.peers_digest = script->peers_digest;
  if (args.peers_digest != script->peers_digest)
    {
      result.peers.peers_val = &peer;
      result.peers.peers_len = 1;
    }
  result.drained_digest = script->drained_digest;
  if (args.drained_digest != script->drained_digest
      && script->drained_digest != 0)
    {
      result.drained.drained_val = &drained;
      result.drained.drained_len = 1;
    }
  wire_call_reply (call, (xdrproc_t)xdr_control_sync_result, &result);
  g_mutex_unlock (&script->mutex);
  xdr_free ((xdrproc_t)xdr_control_sync_args, (char *)&args);
}

static void
record_bundle (struct control_session_callbacks *base, struct bundle *bundle)
{
  struct recorder *recorder = (struct recorder *)base;
  g_mutex_lock (&recorder->mutex);
  recorder->went_back |= bundle_version (bundle) <= recorder->version;
  recorder->version = bundle_version (bundle);
  recorder->bundles++;
  g_mutex_unlock (&recorder->mutex);
}

static void
record_peers (struct control_session_callbacks *base,
              const struct wire_process *peers, uint32_t count)
{
  struct recorder *recorder = (struct recorder *)base;
  g_mutex_lock (&recorder->mutex);
  recorder->peers += count;
  if (count > 0)
    g_assert_cmpstr (peers[0].host, ==, "peer");
  g_mutex_unlock (&recorder->mutex);
}

static void
record_drained (struct control_session_callbacks *base,
                const char *const *targets, uint32_t count)
{
  struct recorder *recorder = (struct recorder *)base;
  g_mutex_lock (&recorder->mutex);
  recorder->drain_changes++;
  recorder->drained = count;
  if (count > 0)
    g_assert_cmpstr (targets[0], ==, "peer");
  g_mutex_unlock (&recorder->mutex);
}

/* A session with the fake. */
struct fixture
{
  struct control_fake fake;
  struct script script;
  struct recorder recorder;
  struct control_client *client;
  struct control_session *session;
  char *folder;
  char *cache;
};

static void
open_session (struct fixture *fixture)
{
  const struct wire_process process = { .kind = WIRE_PROCESS_ROUTER };
  memset (&fixture->recorder, 0, sizeof fixture->recorder);
  fixture->recorder.base.bundle = record_bundle;
  fixture->recorder.base.peers = record_peers;
  fixture->recorder.base.drained = record_drained;
  fixture->session
      = control_session_create (fixture->client, "test", &process,
                                fixture->cache, &fixture->recorder.base);
}

static void
start (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->script.lease_ms = 60000;
  control_fake_start (&fixture->fake, answer_sync, &fixture->script);
  char *endpoint = control_fake_endpoint (&fixture->fake);
  const char *const endpoints[] = { endpoint, NULL };
  fixture->client = control_client_create (endpoints);
  fixture->folder = g_dir_make_tmp ("cactus-session-XXXXXX", NULL);
  fixture->cache = g_build_filename (fixture->folder, "bundle", NULL);
  open_session (fixture);
  g_free (endpoint);
}

static void
stop (struct fixture *fixture)
{
  control_session_destroy (fixture->session);
  control_client_destroy (fixture->client);
  control_fake_stop (&fixture->fake);
  bundle_unref (fixture->script.newest);
  g_free (fixture->script.difference);
  g_remove (fixture->cache);
  g_rmdir (fixture->folder);
  g_free (fixture->cache);
  g_free (fixture->folder);
  g_assert_false (fixture->recorder.went_back);
}

static void
set_newest (struct fixture *fixture, uint64_t version)
{
  g_mutex_lock (&fixture->script.mutex);
  bundle_unref (fixture->script.newest);
  fixture->script.newest = make_bundle (version, 1);
  g_mutex_unlock (&fixture->script.mutex);
}

static void
wait_version (struct fixture *fixture, uint64_t version)
{
  gint64 until = g_get_monotonic_time () + TIMEOUT_US;
  while (control_session_version (fixture->session) != version)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, until);
      g_usleep (1000);
    }
}

/* Waits until @p count more heartbeats were answered. */
static void
wait_calls (struct fixture *fixture, unsigned int count)
{
  unsigned int target = atomic_load (&fixture->fake.calls) + count;
  gint64 until = g_get_monotonic_time () + TIMEOUT_US;
  while (atomic_load (&fixture->fake.calls) < target)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, until);
      g_usleep (1000);
    }
}

static void
test_whole_and_stale (void)
{
  struct fixture fixture;
  start (&fixture);
  set_newest (&fixture, 3);
  wait_version (&fixture, 3);
  /* A member with an older state must not bring version 2 back. */
  set_newest (&fixture, 2);
  wait_calls (&fixture, 3);
  g_assert_cmpuint (control_session_version (fixture.session), ==, 3);
  set_newest (&fixture, 4);
  wait_version (&fixture, 4);
  g_assert_true (control_session_live (fixture.session));
  stop (&fixture);
}

/* A document is assembled from pieces; one that a newer version replaces
   before it is complete is dropped. */
static void
test_pieces (void)
{
  struct fixture fixture;
  start (&fixture);
  g_mutex_lock (&fixture.script.mutex);
  fixture.script.piece_bytes = 7;
  g_mutex_unlock (&fixture.script.mutex);
  set_newest (&fixture, 3);
  wait_calls (&fixture, 3);
  set_newest (&fixture, 4);
  wait_version (&fixture, 4);
  g_mutex_lock (&fixture.script.mutex);
  g_assert_cmpuint (fixture.script.whole_answers, >, 10);
  g_mutex_unlock (&fixture.script.mutex);
  stop (&fixture);
}

static void
test_restart (void)
{
  struct fixture fixture;
  start (&fixture);
  set_newest (&fixture, 5);
  wait_version (&fixture, 5);
  control_session_destroy (fixture.session);
  /* After the restart only a member with an older state answers. */
  set_newest (&fixture, 4);
  open_session (&fixture);
  wait_version (&fixture, 5);
  wait_calls (&fixture, 3);
  g_assert_cmpuint (control_session_version (fixture.session), ==, 5);
  g_assert_cmpuint (fixture.recorder.bundles, ==, 1);
  stop (&fixture);
}

/* A damaged cache is not used: a flipped bit could change any setting. */
static void
test_damaged_cache (void)
{
  struct fixture fixture;
  char *text = NULL;
  gsize bytes;
  start (&fixture);
  set_newest (&fixture, 5);
  wait_version (&fixture, 5);
  control_session_destroy (fixture.session);
  g_assert_true (g_file_get_contents (fixture.cache, &text, &bytes, NULL));
  char *weight = strstr (text, "\"weight\":1");
  weight[strlen ("\"weight\":")] = '2';
  g_assert_true (
      g_file_set_contents (fixture.cache, text, (gssize)bytes, NULL));
  g_mutex_lock (&fixture.script.mutex);
  fixture.script.status = CONTROL_UNAVAILABLE;
  g_mutex_unlock (&fixture.script.mutex);
  open_session (&fixture);
  wait_calls (&fixture, 2);
  g_assert_cmpuint (control_session_version (fixture.session), ==, 0);
  g_free (text);
  stop (&fixture);
}

static void
set_difference (struct fixture *fixture, char *difference, uint64_t version)
{
  g_mutex_lock (&fixture->script.mutex);
  g_free (fixture->script.difference);
  fixture->script.difference = difference;
  fixture->script.difference_version = version;
  g_mutex_unlock (&fixture->script.mutex);
}

static void
test_changes (void)
{
  struct fixture fixture;
  struct bundle *first = make_bundle (1, 1);
  struct bundle *second = make_bundle (2, 9);
  start (&fixture);
  set_newest (&fixture, 1);
  wait_version (&fixture, 1);
  set_difference (&fixture, bundle_difference (first, second), 2);
  wait_version (&fixture, 2);
  g_assert_cmpuint (fixture.script.whole_answers, ==, 1);
  /* A difference from a version other than the active one can't be applied:
     the session requests the whole document by reporting version 0. */
  struct bundle *third = make_bundle (3, 9);
  struct bundle *fourth = make_bundle (4, 8);
  set_difference (&fixture, bundle_difference (third, fourth), 4);
  wait_calls (&fixture, 3);
  g_assert_cmpuint (fixture.script.reported_version, ==, 0);
  g_assert_cmpuint (control_session_version (fixture.session), ==, 2);
  set_difference (&fixture, NULL, 0);
  set_newest (&fixture, 4);
  wait_version (&fixture, 4);
  stop (&fixture);
  bundle_unref (first);
  bundle_unref (second);
  bundle_unref (third);
  bundle_unref (fourth);
}

static void
test_offer (void)
{
  struct fixture fixture;
  struct bundle *newer = make_bundle (8, 1);
  struct bundle *older = make_bundle (7, 1);
  start (&fixture);
  set_newest (&fixture, 6);
  wait_version (&fixture, 6);
  control_session_offer (fixture.session, newer);
  wait_version (&fixture, 8);
  control_session_offer (fixture.session, older);
  wait_calls (&fixture, 2);
  g_assert_cmpuint (control_session_version (fixture.session), ==, 8);
  stop (&fixture);
  bundle_unref (newer);
  bundle_unref (older);
}

static void
test_peers_and_lease (void)
{
  struct fixture fixture;
  start (&fixture);
  g_mutex_lock (&fixture.script.mutex);
  fixture.script.peers_digest = 77;
  fixture.script.lease_ms = 1;
  g_mutex_unlock (&fixture.script.mutex);
  wait_calls (&fixture, 4);
  g_mutex_lock (&fixture.recorder.mutex);
  g_assert_cmpuint (fixture.recorder.peers, ==, 1);
  g_mutex_unlock (&fixture.recorder.mutex);
  /* The lease starts when the heartbeat is sent. */
  g_mutex_lock (&fixture.script.mutex);
  fixture.script.status = CONTROL_FENCED;
  g_mutex_unlock (&fixture.script.mutex);
  wait_calls (&fixture, 2);
  g_usleep (10000);
  g_assert_false (control_session_live (fixture.session));
  stop (&fixture);
}

static void
set_drained (struct fixture *fixture, uint64_t digest)
{
  g_mutex_lock (&fixture->script.mutex);
  fixture->script.drained_digest = digest;
  g_mutex_unlock (&fixture->script.mutex);
}

static void
check_drained (struct fixture *fixture, uint32_t changes, uint32_t count)
{
  g_mutex_lock (&fixture->recorder.mutex);
  g_assert_cmpuint (fixture->recorder.drain_changes, ==, changes);
  g_assert_cmpuint (fixture->recorder.drained, ==, count);
  g_mutex_unlock (&fixture->recorder.mutex);
}

/* Each change of the drained targets is passed on once, also the change to an
   empty set. */
static void
test_drained (void)
{
  struct fixture fixture;
  start (&fixture);
  set_drained (&fixture, 5);
  wait_calls (&fixture, 3);
  check_drained (&fixture, 1, 1);
  set_drained (&fixture, 0);
  wait_calls (&fixture, 3);
  check_drained (&fixture, 2, 0);
  stop (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-session/whole-and-stale", test_whole_and_stale);
  g_test_add_func ("/control-session/pieces", test_pieces);
  g_test_add_func ("/control-session/restart", test_restart);
  g_test_add_func ("/control-session/damaged-cache", test_damaged_cache);
  g_test_add_func ("/control-session/changes", test_changes);
  g_test_add_func ("/control-session/offer", test_offer);
  g_test_add_func ("/control-session/peers-and-lease", test_peers_and_lease);
  g_test_add_func ("/control-session/drained", test_drained);
  return g_test_run ();
}
