#include "edge_watcher.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base_event.h"

/* Maximum time for which a member may hold a long-poll call, and the call's
   deadline, in milliseconds. */
#define LONG_POLL_MS 400
#define CALL_TIMEOUT_MS 1200
/* Pause after a failed call, in milliseconds. */
#define RETRY_PAUSE_MS 150

struct edge_watcher
{
  struct edge_watcher_shared *shared;
  uint32_t source;
  char address[16];
  struct wire_client *client;
  /* Last change that was received, within the member's epoch. */
  uint64_t epoch;
  uint64_t change;
  /* Document version that the member last reported. */
  uint64_t member_version;
  /* The part of document version pieces_version received so far. */
  GByteArray *pieces;
  uint64_t pieces_version;
  /* Time of the first call of the read in progress, and its calls so far. */
  uint64_t read_began_ms;
  uint32_t read_calls;
  atomic_bool stopping;
  GThread *thread;
};

void
edge_update_free (struct edge_update *update)
{
  if (update->status == WIRE_OK)
    xdr_free ((xdrproc_t)xdr_control_watch_result, (char *)&update->result);
  if (update->document)
    g_byte_array_unref (update->document);
  g_free (update);
}

/* Returns whether this watcher is the one that fetches the member's document.
   Of the watchers that know of a newer version, only one fetches it. */
static bool
claim_document (struct edge_watcher *watcher)
{
  struct edge_watcher_shared *shared = watcher->shared;
  uint64_t version = watcher->member_version;
  uint64_t fetching = atomic_load (&shared->fetching_version);
  if (version <= atomic_load (&shared->held_version))
    return false;
  while (version > fetching)
    if (atomic_compare_exchange_weak (&shared->fetching_version, &fetching,
                                      version))
      return true;
  return false;
}

/* Returns the newest version that the router has or is fetching. */
static uint64_t
known_version (const struct edge_watcher *watcher)
{
  uint64_t held = atomic_load (&watcher->shared->held_version);
  uint64_t fetching = atomic_load (&watcher->shared->fetching_version);
  return MAX (held, fetching);
}

/* Logs how the read of a document ended, and counts it. */
static void
log_read (const struct edge_watcher *watcher, struct base_counter *counter,
          const char *outcome, uint64_t next_version)
{
  base_counter_add (counter, 1);
  base_event ("document-read outcome=%s version=%" PRIu64 " held=%" PRIu64
              " next=%" PRIu64 " from=%s bytes=%u calls=%u took_ms=%" PRIu64,
              outcome, watcher->pieces_version,
              (uint64_t)atomic_load (&watcher->shared->held_version),
              next_version, watcher->address, watcher->pieces->len,
              (unsigned)watcher->read_calls,
              edge_now_ms () - watcher->read_began_ms);
}

/* Adds a received piece of the document; once the document is complete, the
   update carries it. */
static void
add_piece (struct edge_watcher *watcher, struct edge_update *update)
{
  const struct control_watch_result *result = &update->result;
  const struct edge_counters *counters = watcher->shared->counters;
  if (watcher->pieces_version != result->document_version
      || result->document_offset != watcher->pieces->len)
    {
      if (watcher->pieces->len > 0)
        log_read (watcher, counters->document_reads_restarted, "restarted",
                  result->document_version);
      g_byte_array_set_size (watcher->pieces, 0);
    }
  if (watcher->pieces->len == 0)
    {
      watcher->read_began_ms = edge_now_ms ();
      watcher->read_calls = 0;
    }
  watcher->pieces_version = result->document_version;
  watcher->read_calls++;
  base_counter_add (counters->document_bytes, result->document.document_len);
  if (result->document_offset != watcher->pieces->len)
    return;
  g_byte_array_append (watcher->pieces,
                       (const guint8 *)result->document.document_val,
                       result->document.document_len);
  if (watcher->pieces->len < result->document_bytes)
    return;
  log_read (watcher, counters->documents_read, "complete", 0);
  update->document = watcher->pieces;
  watcher->pieces = g_byte_array_new ();
  watcher->pieces_version = 0;
}

static void
record_answer (struct edge_watcher *watcher, struct edge_update *update,
               bool fetches)
{
  struct edge_watcher_shared *shared = watcher->shared;
  const struct control_watch_result *result = &update->result;
  if (update->status == WIRE_OK && result->document.document_len > 0)
    add_piece (watcher, update);
  if (update->status == WIRE_OK)
    {
      watcher->epoch = result->epoch;
      watcher->change = result->change;
      watcher->member_version = result->document_version;
    }
  else
    watcher->epoch = 0;
  if (update->status != WIRE_OK && fetches)
    log_read (watcher, shared->counters->document_reads_failed,
              wire_status_name (update->status), 0);
  if (update->document)
    atomic_store (&shared->held_version, result->document_version);
  /* Lets another watcher fetch a document that this one has not completed. */
  if (fetches)
    atomic_store (&shared->fetching_version,
                  atomic_load (&shared->held_version));
}

/* Makes one watch call and queues its result. */
static void
watch_once (struct edge_watcher *watcher)
{
  struct edge_watcher_shared *shared = watcher->shared;
  struct control_watch_args args = { 0 };
  struct edge_update *update = g_new0 (struct edge_update, 1);
  args.cluster = shared->cluster;
  args.router = shared->router;
  args.epoch = watcher->epoch;
  args.change = watcher->change;
  args.want_document = claim_document (watcher);
  args.document_version = args.want_document
                              ? atomic_load (&shared->held_version)
                              : known_version (watcher);
  args.piece_version = watcher->pieces_version;
  args.piece_offset = watcher->pieces->len;
  args.wait_ms = LONG_POLL_MS;
  update->source = watcher->source;
  update->status = wire_client_call (
      watcher->client, CONTROL_WATCH, (xdrproc_t)xdr_control_watch_args, &args,
      (xdrproc_t)xdr_control_watch_result, &update->result,
      sizeof update->result, CALL_TIMEOUT_MS);
  record_answer (watcher, update, args.want_document);
  bool failed = update->status != WIRE_OK;
  g_async_queue_push (shared->updates, update);
  shared->wake (shared->wake_context);
  if (failed)
    g_usleep (1000 * RETRY_PAUSE_MS);
}

static gpointer
run (gpointer data)
{
  struct edge_watcher *watcher = data;
  while (!atomic_load (&watcher->stopping))
    watch_once (watcher);
  return NULL;
}

struct edge_watcher *
edge_watcher_create (struct edge_watcher_shared *shared, uint32_t source,
                     const char *address, uint16_t port)
{
  struct edge_watcher *watcher = g_new0 (struct edge_watcher, 1);
  watcher->shared = shared;
  watcher->source = source;
  g_strlcpy (watcher->address, address, sizeof watcher->address);
  watcher->pieces = g_byte_array_new ();
  watcher->client
      = wire_client_create (address, port, CONTROL_PROGRAM, CONTROL_VERSION);
  watcher->thread = g_thread_new ("watch", run, watcher);
  return watcher;
}

void
edge_watcher_stop (struct edge_watcher *watcher)
{
  atomic_store (&watcher->stopping, true);
}

void
edge_watcher_destroy (struct edge_watcher *watcher)
{
  edge_watcher_stop (watcher);
  g_thread_join (watcher->thread);
  wire_client_destroy (watcher->client);
  g_byte_array_unref (watcher->pieces);
  g_free (watcher);
}
