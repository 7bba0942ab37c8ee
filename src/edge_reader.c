#include "edge_reader.h"

#include <inttypes.h>
#include <string.h>

#include "base_event.h"
#include "base_random.h"
#include "control_difference.h"
#include "edge_dialect.h"
#include "edge_sources.h"
#include "edge_transfer.h"
#include "wire_client.h"
#include "wire_control.h"

/* Timeout of a call, in milliseconds: ten round trips between regions. */
#define FETCH_TIMEOUT_MS 600
/* Pause between two reads, as a multiple of the time that applying the first
   one took, and its limit: while documents follow each other quickly, most of
   the processor is left to requests. */
#define PAUSE_FACTOR 4
#define PAUSE_MAX_MS 1000

struct endpoint
{
  char address[16];
  uint16_t port;
};

/* How a call for a piece ended. */
enum fetch_outcome
{
  FETCH_MORE,
  FETCH_COMPLETE,
  FETCH_FAILED
};

struct edge_reader
{
  struct edge *edge;
  void (*wake) (void *context);
  void *wake_context;
  GMutex mutex;
  GCond changed;
  /* Guarded by the mutex: */
  struct edge_sources *sources;
  struct endpoint endpoints[EDGE_SOURCES_MAX];
  struct edge_table *table;
  bool stopping;
  /* Used by the reader's thread only: */
  GBytes *document;
  uint64_t document_version;
  /* The last transfer could not be applied: read the whole document. */
  bool wants_whole;
  struct edge_transfer *transfer;
  uint64_t next_read_ms;
  GThread *thread;
};

/* Logs how a transfer ended, and counts it. */
static void
log_read (const struct edge_reader *reader, struct base_counter *counter,
          const char *outcome, const struct endpoint *endpoint)
{
  const struct edge_transfer *transfer = reader->transfer;
  base_counter_add (counter, 1);
  base_event ("document-read outcome=%s version=%" PRIu64 " held=%" PRIu64
              " difference_to=%" PRIu64
              " from=%s bytes=%u calls=%u took_ms=%" PRIu64,
              outcome, edge_transfer_to_version (transfer),
              reader->document_version, edge_transfer_from_version (transfer),
              endpoint->address, edge_transfer_bytes (transfer)->len,
              (unsigned)edge_transfer_calls (transfer),
              edge_now_ms () - edge_transfer_began_ms (transfer));
}

static enum fetch_outcome
handle_result (struct edge_reader *reader, const struct endpoint *endpoint,
               const struct control_fetch_result *result)
{
  const struct edge_counters *counters = &reader->edge->counters;
  if (result->answer.status == CONTROL_OK)
    {
      base_counter_add (counters->document_bytes, result->piece.piece_len);
      switch (edge_transfer_add (reader->transfer, reader->document_version,
                                 result))
        {
        case EDGE_TRANSFER_MORE:
          return FETCH_MORE;
        case EDGE_TRANSFER_COMPLETE:
          return FETCH_COMPLETE;
        case EDGE_TRANSFER_MISFIT:
          return FETCH_FAILED;
        }
    }
  if (result->answer.status != CONTROL_NOT_FOUND
      || !edge_transfer_is_begun (reader->transfer))
    return FETCH_FAILED;
  log_read (reader, counters->document_reads_restarted, "restarted", endpoint);
  edge_transfer_reset (reader->transfer);
  return FETCH_MORE;
}

/* Requests the next piece. */
static enum fetch_outcome
fetch_piece (struct edge_reader *reader, struct wire_client *client,
             const struct endpoint *endpoint)
{
  struct control_fetch_args args = { 0 };
  struct control_fetch_result result = { 0 };
  args.cluster = (char *)(uintptr_t)reader->edge->options.cluster;
  edge_transfer_fill_call (reader->transfer,
                           reader->wants_whole ? 0 : reader->document_version,
                           edge_now_ms (), &args);
  enum wire_status status = wire_client_call (
      client, CONTROL_FETCH, (xdrproc_t)xdr_control_fetch_args, &args,
      (xdrproc_t)xdr_control_fetch_result, &result, sizeof result,
      FETCH_TIMEOUT_MS);
  enum fetch_outcome outcome = status == WIRE_OK
                                   ? handle_result (reader, endpoint, &result)
                                   : FETCH_FAILED;
  xdr_free ((xdrproc_t)xdr_control_fetch_result, (char *)&result);
  if (outcome == FETCH_FAILED)
    log_read (reader, reader->edge->counters.document_reads_failed,
              status == WIRE_OK ? "refused" : wire_status_name (status),
              endpoint);
  return outcome;
}

static bool
is_stopping (struct edge_reader *reader)
{
  g_mutex_lock (&reader->mutex);
  bool stopping = reader->stopping;
  g_mutex_unlock (&reader->mutex);
  return stopping;
}

/* Reads the rest of a transfer from one member; false when that failed. */
static bool
fetch_transfer (struct edge_reader *reader, const struct endpoint *endpoint)
{
  enum fetch_outcome outcome = FETCH_MORE;
  struct wire_client *client = wire_client_create (
      endpoint->address, endpoint->port, CONTROL_PROGRAM, CONTROL_VERSION);
  if (!edge_transfer_is_begun (reader->transfer))
    edge_transfer_reset (reader->transfer);
  while (outcome == FETCH_MORE && !is_stopping (reader))
    outcome = fetch_piece (reader, client, endpoint);
  wire_client_destroy (client);
  return outcome == FETCH_COMPLETE;
}

/* Parses the document and passes its table to the loop.  A document that can't
   be parsed is held, so that it isn't read again. */
static void
install_document (struct edge_reader *reader, GBytes *document,
                  uint64_t version)
{
  const struct edge_dialect *dialect = reader->edge->options.dialect;
  gsize bytes = 0;
  const char *text = g_bytes_get_data (document, &bytes);
  struct edge_table *table
      = dialect->read_table (dialect, version, text, bytes);
  if (reader->document)
    g_bytes_unref (reader->document);
  reader->document = document;
  reader->document_version = version;
  g_mutex_lock (&reader->mutex);
  edge_sources_set_held (reader->sources, version, edge_now_ms ());
  if (table)
    {
      edge_table_unref (reader->table);
      reader->table = table;
    }
  g_mutex_unlock (&reader->mutex);
  if (table)
    reader->wake (reader->wake_context);
}

/* Applies a complete transfer; false when it doesn't fit the held document. */
static bool
apply_transfer (struct edge_reader *reader, const struct endpoint *endpoint)
{
  const struct edge_counters *counters = &reader->edge->counters;
  struct edge_transfer *transfer = reader->transfer;
  uint64_t version = edge_transfer_to_version (transfer);
  bool is_whole = edge_transfer_from_version (transfer) == 0;
  const GByteArray *bytes = edge_transfer_bytes (transfer);
  GBytes *packed = g_bytes_new (bytes->data, bytes->len);
  GBytes *document
      = control_difference_apply (is_whole ? NULL : reader->document, packed);
  g_bytes_unref (packed);
  log_read (reader,
            document ? counters->documents_read
                     : counters->document_reads_failed,
            document ? "complete" : "not-applicable", endpoint);
  reader->wants_whole = !document;
  edge_transfer_reset (transfer);
  if (document)
    install_document (reader, document, version);
  return document != NULL;
}

/* Reads from one member; false when that failed. */
static bool
read_from (struct edge_reader *reader, const struct endpoint *endpoint)
{
  if (!fetch_transfer (reader, endpoint))
    return false;
  uint64_t began_ms = edge_now_ms ();
  bool applied = apply_transfer (reader, endpoint);
  uint64_t now_ms = edge_now_ms ();
  reader->next_read_ms
      = now_ms + MIN (PAUSE_FACTOR * (now_ms - began_ms), PAUSE_MAX_MS);
  return applied;
}

/* Waits until a member can be read from; -1 when the reader stops.  Called
   with the mutex held. */
static int32_t
wait_for_source (struct edge_reader *reader)
{
  while (!reader->stopping)
    {
      uint64_t due_ms = reader->next_read_ms;
      uint64_t now_ms = edge_now_ms ();
      int32_t source = -1;
      if (now_ms >= due_ms)
        source = edge_sources_choose (reader->sources, now_ms, &due_ms);
      if (source >= 0)
        return source;
      if (due_ms == UINT64_MAX)
        g_cond_wait (&reader->changed, &reader->mutex);
      else
        g_cond_wait_until (&reader->changed, &reader->mutex,
                           g_get_monotonic_time ()
                               + (gint64)(due_ms - now_ms) * 1000);
    }
  return -1;
}

static gpointer
run (gpointer data)
{
  int32_t source;
  struct edge_reader *reader = data;
  g_mutex_lock (&reader->mutex);
  while ((source = wait_for_source (reader)) >= 0)
    {
      struct endpoint endpoint = reader->endpoints[source];
      g_mutex_unlock (&reader->mutex);
      bool done = read_from (reader, &endpoint);
      g_mutex_lock (&reader->mutex);
      if (!done)
        edge_sources_report_failed (reader->sources, (uint32_t)source,
                                    edge_now_ms ());
    }
  g_mutex_unlock (&reader->mutex);
  return NULL;
}

struct edge_reader *
edge_reader_create (struct edge *edge, void (*wake) (void *context),
                    void *context)
{
  struct edge_reader *reader = g_new0 (struct edge_reader, 1);
  reader->edge = edge;
  reader->wake = wake;
  reader->wake_context = context;
  reader->sources = edge_sources_create (base_random_system_seed ());
  reader->transfer = edge_transfer_create ();
  g_mutex_init (&reader->mutex);
  g_cond_init (&reader->changed);
  reader->thread = g_thread_new ("reader", run, reader);
  return reader;
}

void
edge_reader_destroy (struct edge_reader *reader)
{
  g_mutex_lock (&reader->mutex);
  reader->stopping = true;
  g_cond_signal (&reader->changed);
  g_mutex_unlock (&reader->mutex);
  g_thread_join (reader->thread);
  edge_sources_destroy (reader->sources);
  edge_table_unref (reader->table);
  if (reader->document)
    g_bytes_unref (reader->document);
  edge_transfer_destroy (reader->transfer);
  g_mutex_clear (&reader->mutex);
  g_cond_clear (&reader->changed);
  g_free (reader);
}

void
edge_reader_report (struct edge_reader *reader, uint32_t source,
                    const char *address, uint16_t port, bool is_near,
                    uint64_t version)
{
  struct endpoint *endpoint = &reader->endpoints[source];
  g_mutex_lock (&reader->mutex);
  g_strlcpy (endpoint->address, address, sizeof endpoint->address);
  endpoint->port = port;
  if (edge_sources_report (reader->sources, source, is_near, version,
                           edge_now_ms ()))
    g_cond_signal (&reader->changed);
  g_mutex_unlock (&reader->mutex);
}

void
edge_reader_report_lost (struct edge_reader *reader, uint32_t source)
{
  g_mutex_lock (&reader->mutex);
  edge_sources_report_lost (reader->sources, source);
  g_cond_signal (&reader->changed);
  g_mutex_unlock (&reader->mutex);
}

void
edge_reader_forget (struct edge_reader *reader, uint32_t source)
{
  g_mutex_lock (&reader->mutex);
  edge_sources_forget (reader->sources, source);
  g_mutex_unlock (&reader->mutex);
}

struct edge_table *
edge_reader_take_table (struct edge_reader *reader)
{
  g_mutex_lock (&reader->mutex);
  struct edge_table *table = reader->table;
  reader->table = NULL;
  g_mutex_unlock (&reader->mutex);
  return table;
}
