/** @file
 *  Tests of the session with control: changes and whole documents, versions
 *  that never go back, the cache, peers, the lease. */

#include <glib.h>
#include <glib/gstdio.h>

#include "base_findings.h"
#include "cactus_config.h"
#include "control_session.h"
#include "test_control_fake.h"

#define PATIENCE_US (30 * G_TIME_SPAN_SECOND)

/* What the fake answers to the next heartbeats, and what it saw. */
struct script
{
  GMutex mutex;
  /** Newest version that the fake knows. */
  struct bundle *newest;
  /** Sent as the change whatever the caller has, where not NULL. */
  char *change;
  uint64_t change_version;
  uint64_t peers_digest;
  uint64_t drained_digest;
  enum control_status status;
  uint32_t lease_ms;
  /** Version that the last caller reported. */
  uint64_t reported_version;
  uint32_t whole_answers;
  /* Size of the pieces in which documents are given; 0: whole. */
  u_int piece_bytes;
};

/* A user that notes what it was told. */
struct user
{
  struct control_session_callbacks base;
  GMutex mutex;
  uint64_t version;
  uint32_t bundles;
  uint32_t peers;
  /** Times that the drained targets changed, and how many there are. */
  uint32_t drain_changes;
  uint32_t drained;
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

/* Cuts the document to the piece that is asked for. */
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

/* Gives the whole newest document to whoever does not have it. */
static void
fill_bundle (struct script *script, const struct control_sync_args *args,
             struct control_sync_result *result)
{
  script->reported_version = args->process.bundle_version;
  if (script->change)
    {
      result->new_version = script->change_version;
      set_document (result, script->change);
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
take_bundle (struct control_session_callbacks *base, struct bundle *bundle)
{
  struct user *user = (struct user *)base;
  g_mutex_lock (&user->mutex);
  user->went_back |= bundle_version (bundle) <= user->version;
  user->version = bundle_version (bundle);
  user->bundles++;
  g_mutex_unlock (&user->mutex);
}

static void
take_peers (struct control_session_callbacks *base,
            const struct wire_process *peers, uint32_t count)
{
  struct user *user = (struct user *)base;
  g_mutex_lock (&user->mutex);
  user->peers += count;
  if (count > 0)
    g_assert_cmpstr (peers[0].host, ==, "peer");
  g_mutex_unlock (&user->mutex);
}

static void
take_drained (struct control_session_callbacks *base,
              const char *const *targets, uint32_t count)
{
  struct user *user = (struct user *)base;
  g_mutex_lock (&user->mutex);
  user->drain_changes++;
  user->drained = count;
  if (count > 0)
    g_assert_cmpstr (targets[0], ==, "peer");
  g_mutex_unlock (&user->mutex);
}

/* One process's session with the fake. */
struct setting
{
  struct control_fake fake;
  struct script script;
  struct user user;
  struct control_client *client;
  struct control_session *session;
  char *folder;
  char *cache;
};

static void
open_session (struct setting *setting)
{
  const struct wire_process process = { .kind = WIRE_PROCESS_ROUTER };
  memset (&setting->user, 0, sizeof setting->user);
  setting->user.base.bundle = take_bundle;
  setting->user.base.peers = take_peers;
  setting->user.base.drained = take_drained;
  setting->session = control_session_create (
      setting->client, "test", &process, setting->cache, &setting->user.base);
}

static void
start (struct setting *setting)
{
  memset (setting, 0, sizeof *setting);
  setting->script.lease_ms = 60000;
  control_fake_start (&setting->fake, answer_sync, &setting->script);
  char *endpoint = control_fake_endpoint (&setting->fake);
  const char *const endpoints[] = { endpoint, NULL };
  setting->client = control_client_create (endpoints);
  setting->folder = g_dir_make_tmp ("cactus-session-XXXXXX", NULL);
  setting->cache = g_build_filename (setting->folder, "bundle", NULL);
  open_session (setting);
  g_free (endpoint);
}

static void
stop (struct setting *setting)
{
  control_session_destroy (setting->session);
  control_client_destroy (setting->client);
  control_fake_stop (&setting->fake);
  bundle_unref (setting->script.newest);
  g_free (setting->script.change);
  g_remove (setting->cache);
  g_rmdir (setting->folder);
  g_free (setting->cache);
  g_free (setting->folder);
  g_assert_false (setting->user.went_back);
}

static void
set_newest (struct setting *setting, uint64_t version)
{
  g_mutex_lock (&setting->script.mutex);
  bundle_unref (setting->script.newest);
  setting->script.newest = make_bundle (version, 1);
  g_mutex_unlock (&setting->script.mutex);
}

static void
wait_version (struct setting *setting, uint64_t version)
{
  gint64 until = g_get_monotonic_time () + PATIENCE_US;
  while (control_session_version (setting->session) != version)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, until);
      g_usleep (1000);
    }
}

/* Waits until @p count more heartbeats were answered. */
static void
wait_calls (struct setting *setting, unsigned int count)
{
  unsigned int target = atomic_load (&setting->fake.calls) + count;
  gint64 until = g_get_monotonic_time () + PATIENCE_US;
  while (atomic_load (&setting->fake.calls) < target)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, until);
      g_usleep (1000);
    }
}

static void
test_whole_and_stale (void)
{
  struct setting setting;
  start (&setting);
  set_newest (&setting, 3);
  wait_version (&setting, 3);
  /* A member that is behind must not bring version 2 back. */
  set_newest (&setting, 2);
  wait_calls (&setting, 3);
  g_assert_cmpuint (control_session_version (setting.session), ==, 3);
  set_newest (&setting, 4);
  wait_version (&setting, 4);
  g_assert_true (control_session_live (setting.session));
  stop (&setting);
}

/* A document in pieces is put together, and one that a newer version
   overtakes is left for that. */
static void
test_pieces (void)
{
  struct setting setting;
  start (&setting);
  g_mutex_lock (&setting.script.mutex);
  setting.script.piece_bytes = 7;
  g_mutex_unlock (&setting.script.mutex);
  set_newest (&setting, 3);
  wait_calls (&setting, 3);
  set_newest (&setting, 4);
  wait_version (&setting, 4);
  g_mutex_lock (&setting.script.mutex);
  g_assert_cmpuint (setting.script.whole_answers, >, 10);
  g_mutex_unlock (&setting.script.mutex);
  stop (&setting);
}

static void
test_restart (void)
{
  struct setting setting;
  start (&setting);
  set_newest (&setting, 5);
  wait_version (&setting, 5);
  control_session_destroy (setting.session);
  /* After the restart only a member that is behind answers. */
  set_newest (&setting, 4);
  open_session (&setting);
  wait_version (&setting, 5);
  wait_calls (&setting, 3);
  g_assert_cmpuint (control_session_version (setting.session), ==, 5);
  g_assert_cmpuint (setting.user.bundles, ==, 1);
  stop (&setting);
}

/* A damaged cache is not taken: a flipped bit could be any configuration. */
static void
test_damaged_cache (void)
{
  struct setting setting;
  char *text = NULL;
  gsize bytes;
  start (&setting);
  set_newest (&setting, 5);
  wait_version (&setting, 5);
  control_session_destroy (setting.session);
  g_assert_true (g_file_get_contents (setting.cache, &text, &bytes, NULL));
  char *weight = strstr (text, "\"weight\":1");
  weight[strlen ("\"weight\":")] = '2';
  g_assert_true (
      g_file_set_contents (setting.cache, text, (gssize)bytes, NULL));
  g_mutex_lock (&setting.script.mutex);
  setting.script.status = CONTROL_UNAVAILABLE;
  g_mutex_unlock (&setting.script.mutex);
  open_session (&setting);
  wait_calls (&setting, 2);
  g_assert_cmpuint (control_session_version (setting.session), ==, 0);
  g_free (text);
  stop (&setting);
}

static void
set_change (struct setting *setting, char *change, uint64_t version)
{
  g_mutex_lock (&setting->script.mutex);
  g_free (setting->script.change);
  setting->script.change = change;
  setting->script.change_version = version;
  g_mutex_unlock (&setting->script.mutex);
}

static void
test_changes (void)
{
  struct setting setting;
  struct bundle *first = make_bundle (1, 1);
  struct bundle *second = make_bundle (2, 9);
  start (&setting);
  set_newest (&setting, 1);
  wait_version (&setting, 1);
  set_change (&setting, bundle_difference (first, second), 2);
  wait_version (&setting, 2);
  g_assert_cmpuint (setting.script.whole_answers, ==, 1);
  /* A change from a version that is not ours: the whole is asked for. */
  struct bundle *third = make_bundle (3, 9);
  struct bundle *fourth = make_bundle (4, 8);
  set_change (&setting, bundle_difference (third, fourth), 4);
  wait_calls (&setting, 3);
  g_assert_cmpuint (setting.script.reported_version, ==, 0);
  g_assert_cmpuint (control_session_version (setting.session), ==, 2);
  set_change (&setting, NULL, 0);
  set_newest (&setting, 4);
  wait_version (&setting, 4);
  stop (&setting);
  bundle_unref (first);
  bundle_unref (second);
  bundle_unref (third);
  bundle_unref (fourth);
}

static void
test_offer (void)
{
  struct setting setting;
  struct bundle *newer = make_bundle (8, 1);
  struct bundle *older = make_bundle (7, 1);
  start (&setting);
  set_newest (&setting, 6);
  wait_version (&setting, 6);
  control_session_offer (setting.session, newer);
  wait_version (&setting, 8);
  control_session_offer (setting.session, older);
  wait_calls (&setting, 2);
  g_assert_cmpuint (control_session_version (setting.session), ==, 8);
  stop (&setting);
  bundle_unref (newer);
  bundle_unref (older);
}

static void
test_peers_and_lease (void)
{
  struct setting setting;
  start (&setting);
  g_mutex_lock (&setting.script.mutex);
  setting.script.peers_digest = 77;
  setting.script.lease_ms = 1;
  g_mutex_unlock (&setting.script.mutex);
  wait_calls (&setting, 4);
  g_mutex_lock (&setting.user.mutex);
  g_assert_cmpuint (setting.user.peers, ==, 1);
  g_mutex_unlock (&setting.user.mutex);
  /* The lease counts from the time the heartbeat was sent. */
  g_mutex_lock (&setting.script.mutex);
  setting.script.status = CONTROL_FENCED;
  g_mutex_unlock (&setting.script.mutex);
  wait_calls (&setting, 2);
  g_usleep (10000);
  g_assert_false (control_session_live (setting.session));
  stop (&setting);
}

static void
set_drained (struct setting *setting, uint64_t digest)
{
  g_mutex_lock (&setting->script.mutex);
  setting->script.drained_digest = digest;
  g_mutex_unlock (&setting->script.mutex);
}

static void
check_drained (struct setting *setting, uint32_t changes, uint32_t count)
{
  g_mutex_lock (&setting->user.mutex);
  g_assert_cmpuint (setting->user.drain_changes, ==, changes);
  g_assert_cmpuint (setting->user.drained, ==, count);
  g_mutex_unlock (&setting->user.mutex);
}

/* Each change of the drained targets is told once, also that none is left. */
static void
test_drained (void)
{
  struct setting setting;
  start (&setting);
  set_drained (&setting, 5);
  wait_calls (&setting, 3);
  check_drained (&setting, 1, 1);
  set_drained (&setting, 0);
  wait_calls (&setting, 3);
  check_drained (&setting, 2, 0);
  stop (&setting);
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
