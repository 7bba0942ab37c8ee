/** @file
 *  A process's session with control: the thread that sends heartbeats. */

#include "control_session.h"

#include <errno.h>

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_log.h"
#include "control_session_cache.h"

#define SYNC_TIMEOUT_MS 2000
/* Maximum number of calls that one heartbeat makes to fetch the pieces of a
   document. */
#define PIECE_CALLS_MAX 128

struct control_session
{
  struct control_client *client;
  struct control_session_callbacks *callbacks;
  char *cluster;
  char *cache_path;
  struct wire_process process;
  uint64_t peers_digest;
  uint64_t drained_digest;
  /** Whether to request the whole document, after a difference could not be
   *  applied. */
  bool want_whole;
  /** Status of the last heartbeat; only changes are logged. */
  enum control_status last_status;
  /** Active bundle; written only by the session's thread. */
  struct bundle *bundle;
  /** Pieces received so far of the whole document of pieces_version. */
  GByteArray *pieces;
  uint64_t pieces_version;
  /** Whether another piece must be requested at once. */
  bool pieces_missing;
  atomic_uint_least64_t version;
  /** Monotonic time at which the session's lease expires, in milliseconds. */
  atomic_uint_least64_t lease_end_ms;
  GMutex mutex;
  GCond wake;
  /** Newest bundle offered by a peer; guarded by the mutex. */
  struct bundle *offered;
  bool stopping;
  GThread *thread;
};

/* Activates a newer bundle and takes ownership of the reference.  The cache
   is written first, so that a bundle that was active is active again after a
   restart. */
static void
install (struct control_session *session, struct bundle *bundle)
{
  if (bundle_version (bundle) <= atomic_load (&session->version))
    {
      bundle_unref (bundle);
      return;
    }
  if (session->cache_path
      && control_session_cache_write (session->cache_path, bundle) != 0)
    base_log (BASE_LOG_ERROR, "bundle-cache-not-written path=%s error=%s",
              session->cache_path, g_strerror (errno));
  bundle_unref (session->bundle);
  session->bundle = bundle;
  atomic_store (&session->version, bundle_version (bundle));
  base_log (BASE_LOG_NOTICE, "bundle-in-force version=%lu",
            (unsigned long)bundle_version (bundle));
  if (session->callbacks && session->callbacks->bundle)
    session->callbacks->bundle (session->callbacks, bundle);
}

/* Adds a piece of a whole document.  Returns whether it is complete. */
static bool
add_piece (struct control_session *session,
           const struct control_sync_result *result)
{
  if (session->pieces_version != result->new_version
      || result->document_offset != session->pieces->len)
    g_byte_array_set_size (session->pieces, 0);
  session->pieces_version = result->new_version;
  if (result->document_offset == session->pieces->len)
    g_byte_array_append (session->pieces,
                         (const guint8 *)result->document.document_val,
                         result->document.document_len);
  session->pieces_missing = session->pieces->len < result->document_bytes;
  return !session->pieces_missing;
}

static struct bundle *
decode_bundle (struct control_session *session,
               const struct control_sync_result *result, const char *document,
               size_t bytes)
{
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle
      = result->full ? bundle_read (document, bytes, findings)
                     : bundle_apply_difference (session->bundle, document,
                                                bytes, findings);
  session->want_whole = !bundle;
  if (!bundle)
    base_log (BASE_LOG_WARNING,
              "bundle-change-not-applied version=%lu whole=%d finding=\"%s: "
              "%s\"",
              (unsigned long)result->new_version, (int)result->full,
              base_findings_place (findings, 0),
              base_findings_text (findings, 0));
  base_findings_destroy (findings);
  return bundle;
}

static void
receive_bundle (struct control_session *session,
                const struct control_sync_result *result)
{
  if (result->new_version <= atomic_load (&session->version)
      || result->document.document_len == 0)
    return;
  const char *document = result->document.document_val;
  size_t bytes = result->document.document_len;
  if (result->full && result->document_bytes > 0)
    {
      if (!add_piece (session, result))
        return;
      document = (const char *)session->pieces->data;
      bytes = session->pieces->len;
    }
  struct bundle *bundle = decode_bundle (session, result, document, bytes);
  g_byte_array_set_size (session->pieces, 0);
  if (bundle)
    install (session, bundle);
}

static void
receive_peers (struct control_session *session,
               const struct control_sync_result *result)
{
  if (result->peers_digest == session->peers_digest)
    return;
  session->peers_digest = result->peers_digest;
  if (session->callbacks && session->callbacks->peers)
    session->callbacks->peers (session->callbacks, result->peers.peers_val,
                               result->peers.peers_len);
}

static void
receive_drained (struct control_session *session,
                 const struct control_sync_result *result)
{
  if (result->drained_digest == session->drained_digest)
    return;
  session->drained_digest = result->drained_digest;
  if (session->callbacks && session->callbacks->drained)
    session->callbacks->drained (
        session->callbacks, (const char *const *)result->drained.drained_val,
        result->drained.drained_len);
}

static void
log_status_change (struct control_session *session, enum control_status status,
                   const char *text)
{
  if (status == session->last_status)
    return;
  session->last_status = status;
  if (status == CONTROL_OK)
    base_log (BASE_LOG_NOTICE, "control-session-live");
  else
    base_log (BASE_LOG_WARNING, "control-session-lost status=%d text=\"%s\"",
              (int)status, text ? text : "");
}

static void
receive_result (struct control_session *session,
                const struct control_sync_result *result, uint64_t sent_ms)
{
  log_status_change (session, result->answer.status, result->answer.text);
  if (result->answer.status != CONTROL_OK)
    return;
  uint32_t lease_ms
      = result->lease_ms ? result->lease_ms : CACTUS_SESSION_LEASE_MS;
  atomic_store (&session->lease_end_ms, sent_ms + lease_ms);
  receive_bundle (session, result);
  receive_peers (session, result);
  receive_drained (session, result);
}

static void
sync_once (struct control_session *session)
{
  struct control_sync_args args = { 0 };
  struct control_sync_result result;
  args.cluster = session->cluster;
  args.process = session->process;
  args.process.bundle_version
      = session->want_whole ? 0 : atomic_load (&session->version);
  args.peers_digest = session->peers_digest;
  args.drained_digest = session->drained_digest;
  args.piece_version = session->pieces_version;
  args.piece_offset = session->pieces->len;
  session->pieces_missing = false;
  uint64_t sent_ms = base_clock_now_ms (base_clock_system ());
  enum wire_status status = control_client_call (
      session->client, CONTROL_SYNC, (xdrproc_t)xdr_control_sync_args, &args,
      (xdrproc_t)xdr_control_sync_result, &result, sizeof result,
      SYNC_TIMEOUT_MS);
  if (status == WIRE_OK)
    receive_result (session, &result, sent_ms);
  else
    log_status_change (session, CONTROL_UNAVAILABLE,
                       wire_status_name (status));
  xdr_free ((xdrproc_t)xdr_control_sync_result, (char *)&result);
}

/* Sends a heartbeat, and a second one at once when the first brought a newer
   bundle, to report the active version to control. */
static void
sync_and_report (struct control_session *session)
{
  uint64_t version = atomic_load (&session->version);
  uint32_t calls = 0;
  do
    sync_once (session);
  while (session->pieces_missing && ++calls < PIECE_CALLS_MAX);
  if (atomic_load (&session->version) != version)
    sync_once (session);
}

/* Waits until the next heartbeat is due or a peer's bundle is offered.
   Returns false when the session stops. */
static bool
wait_next (struct control_session *session, struct bundle **offered)
{
  gint64 deadline_us
      = g_get_monotonic_time () + CACTUS_SYNC_INTERVAL_MS * 1000L;
  g_mutex_lock (&session->mutex);
  while (!session->stopping && !session->offered)
    if (!g_cond_wait_until (&session->wake, &session->mutex, deadline_us))
      break;
  *offered = session->offered;
  session->offered = NULL;
  bool continues = !session->stopping;
  g_mutex_unlock (&session->mutex);
  return continues;
}

static gpointer
run (gpointer data)
{
  struct control_session *session = data;
  struct bundle *offered = NULL;
  if (session->cache_path)
    offered = control_session_cache_read (session->cache_path);
  do
    {
      if (offered)
        install (session, offered);
      sync_and_report (session);
    }
  while (wait_next (session, &offered));
  bundle_unref (offered);
  return NULL;
}

static void
copy_process (struct wire_process *copy, const struct wire_process *process)
{
  *copy = *process;
  copy->host = g_strdup (process->host ? process->host : "");
  copy->availability_zone = g_strdup (
      process->availability_zone ? process->availability_zone : "");
  copy->region = g_strdup (process->region ? process->region : "");
  copy->address = g_strdup (process->address ? process->address : "");
}

struct control_session *
control_session_create (struct control_client *client, const char *cluster,
                        const struct wire_process *process,
                        const char *cache_path,
                        struct control_session_callbacks *callbacks)
{
  struct control_session *session = g_new0 (struct control_session, 1);
  session->client = client;
  session->callbacks = callbacks;
  session->cluster = g_strdup (cluster);
  session->cache_path = g_strdup (cache_path);
  session->pieces = g_byte_array_new ();
  session->last_status = CONTROL_UNAVAILABLE;
  copy_process (&session->process, process);
  g_mutex_init (&session->mutex);
  g_cond_init (&session->wake);
  session->thread = g_thread_new ("control-session", run, session);
  return session;
}

void
control_session_destroy (struct control_session *session)
{
  if (!session)
    return;
  g_mutex_lock (&session->mutex);
  session->stopping = true;
  g_cond_signal (&session->wake);
  g_mutex_unlock (&session->mutex);
  g_thread_join (session->thread);
  bundle_unref (session->bundle);
  bundle_unref (session->offered);
  g_byte_array_unref (session->pieces);
  g_free (session->process.host);
  g_free (session->process.availability_zone);
  g_free (session->process.region);
  g_free (session->process.address);
  g_free (session->cluster);
  g_free (session->cache_path);
  g_mutex_clear (&session->mutex);
  g_cond_clear (&session->wake);
  g_free (session);
}

void
control_session_offer (struct control_session *session, struct bundle *bundle)
{
  uint64_t version = bundle_version (bundle);
  if (version <= atomic_load (&session->version))
    return;
  g_mutex_lock (&session->mutex);
  if (!session->offered || bundle_version (session->offered) < version)
    {
      bundle_unref (session->offered);
      session->offered = bundle_ref (bundle);
      g_cond_signal (&session->wake);
    }
  g_mutex_unlock (&session->mutex);
}

uint64_t
control_session_version (struct control_session *session)
{
  return atomic_load (&session->version);
}

bool
control_session_live (struct control_session *session)
{
  return base_clock_now_ms (base_clock_system ())
         < atomic_load (&session->lease_end_ms);
}
