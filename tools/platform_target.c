#include "platform_target.h"

#include <arpa/inet.h>
#include <stdatomic.h>
#include <string.h>

#include <glib.h>
#include <microhttpd.h>

/* Events of a complete stream, and complete events of a truncated one. */
#define EVENT_COUNT 5
#define TRUNCATED_EVENT_COUNT 2
#define BLOCK_BYTES 512

struct platform_target
{
  char *id;
  struct MHD_Daemon *daemon;
  _Atomic int mode;
  atomic_uint interval_ms;
  atomic_uint runs;
  GMutex mutex;
  /* Headers of the last request, by their names in lower case. */
  GHashTable *headers;
  /* Number of runs by request id. */
  GHashTable *runs_by_id;
  /* Header line of the responses, or NULL. */
  char *statement;
  atomic_uint rest_ms;
  platform_target_arrival *arrival;
  void *arrival_context;
  /* What it can take; slots 0: anything. */
  struct platform_target_room room;
  uint32_t running;
  uint32_t waiting;
  GCond slot_is_free;
  /* Times of rejections within the last second (gint64, in microseconds). */
  GArray *rejections;
  gint64 fallen_until_us;
  uint32_t falls;
};

/* A stream that is being sent. */
struct stream
{
  struct platform_target *target;
  uint32_t next_id;
  bool truncated;
};

static enum MHD_Result
store_header (void *context, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
  struct platform_target *target = context;
  (void)kind;
  g_hash_table_replace (target->headers, g_ascii_strdown (name, -1),
                        g_strdup (value));
  return MHD_YES;
}

static ssize_t
send_events (void *context, uint64_t position, char *buffer, size_t limit)
{
  struct stream *stream = context;
  (void)position;
  if (stream->next_id > EVENT_COUNT)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (stream->truncated && stream->next_id > TRUNCATED_EVENT_COUNT + 1)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  g_usleep (1000 * atomic_load (&stream->target->interval_ms));
  bool partial
      = stream->truncated && stream->next_id == TRUNCATED_EVENT_COUNT + 1;
  int bytes = g_snprintf (buffer, limit, "id: %u\ndata: %s", stream->next_id,
                          partial ? "ha" : "half\n\n");
  stream->next_id++;
  return bytes;
}

/* Adds what the target says of itself. */
static void
add_statements (struct platform_target *target, unsigned int status,
                struct MHD_Response *response)
{
  uint32_t rest_ms = atomic_load (&target->rest_ms);
  g_mutex_lock (&target->mutex);
  char **words
      = target->statement ? g_strsplit (target->statement, ": ", 2) : NULL;
  g_mutex_unlock (&target->mutex);
  if (words)
    MHD_add_response_header (response, words[0], words[1]);
  g_strfreev (words);
  if (rest_ms == 0 || status != MHD_HTTP_SERVICE_UNAVAILABLE)
    return;
  char *rest = g_strdup_printf ("%.3f", rest_ms / 1000.0);
  MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, rest);
  g_free (rest);
}

static enum MHD_Result
send_response (struct platform_target *target,
               struct MHD_Connection *connection, unsigned int status,
               struct MHD_Response *response)
{
  const char *id = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                "X-Request-Id");
  MHD_add_response_header (response, "X-Request-Id", id ? id : "");
  MHD_add_response_header (response, "X-Replica-Signature", target->id);
  add_statements (target, status, response);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
respond_with_text (struct platform_target *target,
                   struct MHD_Connection *connection, unsigned int status,
                   const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
  if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    MHD_add_response_header (response, "X-Not-Executed", "1");
  return send_response (target, connection, status, response);
}

static enum MHD_Result
respond_with_stream (struct platform_target *target,
                     struct MHD_Connection *connection, bool truncated)
{
  struct stream *stream = g_new0 (struct stream, 1);
  const char *last_id = MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, "Last-Event-Id");
  stream->target = target;
  stream->next_id
      = last_id ? (uint32_t)g_ascii_strtoull (last_id, NULL, 10) + 1 : 1;
  stream->truncated = truncated;
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, BLOCK_BYTES, send_events, stream, g_free);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  return send_response (target, connection, MHD_HTTP_OK, response);
}

static void
count_run (struct platform_target *target, struct MHD_Connection *connection)
{
  const char *id = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                "X-Request-Id");
  if (!id)
    return;
  g_mutex_lock (&target->mutex);
  guint runs = GPOINTER_TO_UINT (g_hash_table_lookup (target->runs_by_id, id));
  g_hash_table_replace (target->runs_by_id, g_strdup (id),
                        GUINT_TO_POINTER (runs + 1));
  g_mutex_unlock (&target->mutex);
}

/* Counts a rejection; the target falls over if there were too many.  Called
   with the mutex. */
static void
count_rejection (struct platform_target *target)
{
  gint64 now_us = g_get_monotonic_time ();
  const struct platform_target_room *room = &target->room;
  while (target->rejections->len > 0
         && g_array_index (target->rejections, gint64, 0)
                < now_us - G_USEC_PER_SEC)
    g_array_remove_index (target->rejections, 0);
  g_array_append_val (target->rejections, now_us);
  if (room->rejections_per_s == 0
      || target->rejections->len <= room->rejections_per_s)
    return;
  target->falls++;
  target->fallen_until_us = now_us + 1000 * (gint64)room->fall_ms;
  g_array_set_size (target->rejections, 0);
}

/* Takes a slot, after a wait if need be.  Returns false when there is no room
   to wait. */
static bool
enter (struct platform_target *target)
{
  const struct platform_target_room *room = &target->room;
  bool entered = true;
  g_mutex_lock (&target->mutex);
  if (room->slots > 0 && target->running >= room->slots
      && target->waiting >= room->waiting)
    {
      count_rejection (target);
      entered = false;
    }
  else if (room->slots > 0)
    {
      target->waiting++;
      while (target->running >= room->slots)
        g_cond_wait (&target->slot_is_free, &target->mutex);
      target->waiting--;
      target->running++;
    }
  g_mutex_unlock (&target->mutex);
  return entered;
}

/* Works, and gives the slot back. */
static void
leave (struct platform_target *target)
{
  if (target->room.slots == 0)
    return;
  g_usleep (1000 * (gulong)target->room.work_ms);
  g_mutex_lock (&target->mutex);
  target->running--;
  g_cond_signal (&target->slot_is_free);
  g_mutex_unlock (&target->mutex);
}

static bool
has_fallen (struct platform_target *target)
{
  g_mutex_lock (&target->mutex);
  bool is_down = g_get_monotonic_time () < target->fallen_until_us;
  g_mutex_unlock (&target->mutex);
  return is_down;
}

/* Connections are closed at once while the target has fallen over. */
static enum MHD_Result
accept_connection (void *context, const struct sockaddr *address,
                   socklen_t bytes)
{
  (void)address;
  (void)bytes;
  return has_fallen (context) ? MHD_NO : MHD_YES;
}

static void
note_arrival (struct platform_target *target,
              struct MHD_Connection *connection)
{
  const char *id = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                "X-Request-Id");
  if (target->arrival && id)
    target->arrival (target->arrival_context, id);
}

static enum MHD_Result
respond (struct platform_target *target, struct MHD_Connection *connection,
         bool is_stream)
{
  int mode = atomic_load (&target->mode);
  if (has_fallen (target))
    return MHD_NO;
  note_arrival (target, connection);
  if (atomic_load (&target->rest_ms) > 0 || !enter (target))
    mode = PLATFORM_TARGET_FULL;
  else
    leave (target);
  if (mode == PLATFORM_TARGET_FULL)
    return respond_with_text (target, connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                              "");
  atomic_fetch_add (&target->runs, 1);
  count_run (target, connection);
  if (mode == PLATFORM_TARGET_CLOSE)
    return MHD_NO;
  if (mode == PLATFORM_TARGET_FAIL)
    return respond_with_text (target, connection,
                              MHD_HTTP_INTERNAL_SERVER_ERROR, "failed");
  if (is_stream)
    return respond_with_stream (target, connection,
                                mode == PLATFORM_TARGET_TRUNCATE);
  return respond_with_text (target, connection, MHD_HTTP_OK, target->id);
}

static enum MHD_Result
handle_request (void *context, struct MHD_Connection *connection,
                const char *url, const char *method, const char *version,
                const char *upload, size_t *upload_bytes, void **state)
{
  struct platform_target *target = context;
  (void)method;
  (void)version;
  (void)upload;
  if (!*state)
    {
      *state = target;
      return MHD_YES;
    }
  if (*upload_bytes > 0)
    {
      *upload_bytes = 0;
      return MHD_YES;
    }
  g_mutex_lock (&target->mutex);
  g_hash_table_remove_all (target->headers);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, store_header,
                             target);
  g_mutex_unlock (&target->mutex);
  return respond (target, connection, strstr (url, "stream") != NULL);
}

struct platform_target *
platform_target_create (const char *id)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct platform_target *target = g_new0 (struct platform_target, 1);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  target->id = g_strdup (id);
  g_mutex_init (&target->mutex);
  target->headers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_cond_init (&target->slot_is_free);
  target->rejections = g_array_new (FALSE, FALSE, sizeof (gint64));
  target->runs_by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  target->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
      accept_connection, target, handle_request, target, MHD_OPTION_SOCK_ADDR,
      &address, MHD_OPTION_END);
  g_assert_nonnull (target->daemon);
  return target;
}

void
platform_target_destroy (struct platform_target *target)
{
  MHD_stop_daemon (target->daemon);
  g_hash_table_unref (target->headers);
  g_hash_table_unref (target->runs_by_id);
  g_array_unref (target->rejections);
  g_free (target->statement);
  g_cond_clear (&target->slot_is_free);
  g_mutex_clear (&target->mutex);
  g_free (target->id);
  g_free (target);
}

uint16_t
platform_target_port (const struct platform_target *target)
{
  return MHD_get_daemon_info (target->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void
platform_target_set_mode (struct platform_target *target,
                          enum platform_target_mode mode)
{
  atomic_store (&target->mode, (int)mode);
}

void
platform_target_set_event_interval (struct platform_target *target,
                                    uint32_t interval_ms)
{
  atomic_store (&target->interval_ms, interval_ms);
}

void
platform_target_set_statement (struct platform_target *target,
                               const char *line)
{
  g_mutex_lock (&target->mutex);
  g_free (target->statement);
  target->statement = g_strdup (line);
  g_mutex_unlock (&target->mutex);
}

void
platform_target_set_rest (struct platform_target *target, uint32_t rest_ms)
{
  atomic_store (&target->rest_ms, rest_ms);
}

void
platform_target_set_room (struct platform_target *target,
                          const struct platform_target_room *room)
{
  g_mutex_lock (&target->mutex);
  target->room = *room;
  g_mutex_unlock (&target->mutex);
}

uint32_t
platform_target_falls (struct platform_target *target)
{
  g_mutex_lock (&target->mutex);
  uint32_t falls = target->falls;
  g_mutex_unlock (&target->mutex);
  return falls;
}

void
platform_target_set_arrival (struct platform_target *target,
                             platform_target_arrival *arrival, void *context)
{
  target->arrival_context = context;
  target->arrival = arrival;
}

uint32_t
platform_target_runs (struct platform_target *target)
{
  return atomic_load (&target->runs);
}

uint32_t
platform_target_runs_of (struct platform_target *target,
                         const char *request_id)
{
  g_mutex_lock (&target->mutex);
  guint runs = GPOINTER_TO_UINT (
      g_hash_table_lookup (target->runs_by_id, request_id));
  g_mutex_unlock (&target->mutex);
  return runs;
}

char *
platform_target_header (struct platform_target *target, const char *name)
{
  char *key = g_ascii_strdown (name, -1);
  g_mutex_lock (&target->mutex);
  char *value = g_strdup (g_hash_table_lookup (target->headers, key));
  g_mutex_unlock (&target->mutex);
  g_free (key);
  return value;
}
