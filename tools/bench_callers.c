#include "bench_callers.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "base_clock.h"

#define POLL_TIMEOUT_MS 1
#define COMPLETION_TIMEOUT_US 10000000u
#define US_PER_SECOND 1000000u
#define STREAM_BUFFER_BYTES 1024L

/* State of the thread that runs a series. */
struct caller_loop
{
  struct bench_series *series;
  CURLM *multi;
  struct curl_slist *headers;
  GQueue idle;
  uint64_t started;
  uint64_t ended;
};

static uint64_t
now_us (void)
{
  return base_clock_now_us (base_clock_system ());
}

static size_t
discard_body (char *data, size_t size, size_t count, void *context)
{
  (void)data;
  (void)context;
  return size * count;
}

static struct curl_slist *
make_headers (const char *api_key)
{
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  char *bearer = g_strdup_printf ("Authorization: Bearer %s", api_key);
  list = curl_slist_append (list, bearer);
  g_free (bearer);
  return list;
}

static CURL *
make_handle (uint16_t port, const char *path, const char *body,
             struct curl_slist *headers)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  CURL *easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_body);
  g_free (url);
  return easy;
}

/* The scheduled start of a call is kept as the private pointer of its curl
   handle. */
static void
start_call (struct caller_loop *loop, uint64_t due_us)
{
  const struct bench_series *series = loop->series;
  CURL *easy = g_queue_pop_head (&loop->idle);
  if (!easy)
    easy = make_handle (series->port, series->path, series->body,
                        loop->headers);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, (void *)(uintptr_t)due_us);
  curl_multi_add_handle (loop->multi, easy);
  loop->started++;
}

static void
end_call (struct caller_loop *loop, CURL *easy, CURLcode code)
{
  struct bench_series *series = loop->series;
  void *due = NULL;
  long status = 0;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &due);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  uint64_t latency = now_us () - (uint64_t)(uintptr_t)due;
  loop->ended++;
  if (code == CURLE_OK && status == 200)
    series->latency_us[series->succeeded_calls++] = (uint32_t)latency;
  else
    series->failed_calls++;
  curl_multi_remove_handle (loop->multi, easy);
  g_queue_push_head (&loop->idle, easy);
}

static void
collect_ended_calls (struct caller_loop *loop)
{
  int remaining;
  CURLMsg *message;
  while ((message = curl_multi_info_read (loop->multi, &remaining)))
    if (message->msg == CURLMSG_DONE)
      end_call (loop, message->easy_handle, message->data.result);
}

static int
compare_latency (const void *left, const void *right)
{
  uint32_t first = *(const uint32_t *)left;
  uint32_t second = *(const uint32_t *)right;
  return (first > second) - (first < second);
}

static gpointer
run_series (gpointer data)
{
  struct bench_series *series = data;
  struct caller_loop loop = { .series = series };
  int running;
  uint64_t total = (uint64_t)series->rate * series->duration_ms / 1000;
  series->latency_us = g_new0 (uint32_t, total);
  loop.multi = curl_multi_init ();
  loop.headers = make_headers (series->api_key);
  uint64_t begin_us = now_us ();
  uint64_t limit_us = begin_us + (uint64_t)series->duration_ms * 1000
                      + COMPLETION_TIMEOUT_US;
  while (loop.ended < total && now_us () < limit_us)
    {
      uint64_t due_us = begin_us + loop.started * US_PER_SECOND / series->rate;
      while (loop.started < total && due_us <= now_us ())
        {
          start_call (&loop, due_us);
          due_us = begin_us + loop.started * US_PER_SECOND / series->rate;
        }
      curl_multi_perform (loop.multi, &running);
      collect_ended_calls (&loop);
      curl_multi_poll (loop.multi, NULL, 0, POLL_TIMEOUT_MS, NULL);
    }
  series->failed_calls = total - series->succeeded_calls;
  qsort (series->latency_us, series->succeeded_calls,
         sizeof *series->latency_us, compare_latency);
  g_queue_clear_full (&loop.idle, curl_easy_cleanup);
  curl_multi_cleanup (loop.multi);
  curl_slist_free_all (loop.headers);
  return NULL;
}

void
bench_series_run (struct bench_series *first, struct bench_series *second)
{
  GThread *thread
      = second ? g_thread_new ("series", run_series, second) : NULL;
  run_series (first);
  if (thread)
    g_thread_join (thread);
}

uint32_t
bench_series_quantile (const struct bench_series *series, double share)
{
  if (series->succeeded_calls == 0)
    return 0;
  uint64_t index = (uint64_t)(share * (double)(series->succeeded_calls - 1));
  return series->latency_us[index];
}

void
bench_series_clear (struct bench_series *series)
{
  g_free (series->latency_us);
  series->latency_us = NULL;
}

struct bench_streams
{
  CURLM *multi;
  struct curl_slist *headers;
  CURL **handles;
  uint32_t count;
  uint32_t open_count;
  uint64_t bytes;
  uint64_t line_feeds;
  uint64_t refused;
};

/* Context of one stream, the private pointer of its curl handle. */
struct stream_slot
{
  struct bench_streams *streams;
  CURL *easy;
  bool is_open;
};

static size_t
receive_stream (char *data, size_t size, size_t count, void *context)
{
  struct stream_slot *slot = context;
  long status = 0;
  curl_easy_getinfo (slot->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status != 200)
    return size * count;
  for (size_t i = 0; i < size * count; i++)
    slot->streams->line_feeds += data[i] == '\n';
  if (!slot->is_open)
    slot->streams->open_count++;
  slot->is_open = true;
  slot->streams->bytes += size * count;
  return size * count;
}

/* Retries a stream that got a response with a status other than 200. */
static void
retry_stream (struct bench_streams *streams, CURL *easy, CURLcode code)
{
  long status = 0;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  if (code != CURLE_OK || status == 200)
    g_error ("a stream ended before the benchmark closed it: %s",
             curl_easy_strerror (code));
  streams->refused++;
  curl_multi_remove_handle (streams->multi, easy);
  curl_multi_add_handle (streams->multi, easy);
}

static void
process_streams (struct bench_streams *streams)
{
  int running;
  int remaining;
  CURLMsg *message;
  curl_multi_perform (streams->multi, &running);
  while ((message = curl_multi_info_read (streams->multi, &remaining)))
    if (message->msg == CURLMSG_DONE)
      retry_stream (streams, message->easy_handle, message->data.result);
  curl_multi_poll (streams->multi, NULL, 0, POLL_TIMEOUT_MS, NULL);
}

struct bench_streams *
bench_streams_open (uint16_t port, const char *path, const char *body,
                    const char *api_key, uint32_t count)
{
  struct bench_streams *streams = g_new0 (struct bench_streams, 1);
  streams->multi = curl_multi_init ();
  streams->headers = make_headers (api_key);
  streams->handles = g_new0 (CURL *, count);
  streams->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      struct stream_slot *slot = g_new0 (struct stream_slot, 1);
      CURL *easy = make_handle (port, path, body, streams->headers);
      slot->streams = streams;
      slot->easy = easy;
      curl_easy_setopt (easy, CURLOPT_PRIVATE, slot);
      curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, receive_stream);
      curl_easy_setopt (easy, CURLOPT_WRITEDATA, slot);
      curl_easy_setopt (easy, CURLOPT_BUFFERSIZE, STREAM_BUFFER_BYTES);
      curl_multi_add_handle (streams->multi, easy);
      streams->handles[i] = easy;
      process_streams (streams);
    }
  while (streams->open_count < count)
    process_streams (streams);
  return streams;
}

uint64_t
bench_streams_read (struct bench_streams *streams, uint32_t duration_ms)
{
  uint64_t before = streams->bytes;
  uint64_t until_us = now_us () + (uint64_t)duration_ms * 1000;
  while (now_us () < until_us)
    process_streams (streams);
  return streams->bytes - before;
}

/* Each event ends with two line feeds. */
uint64_t
bench_streams_events (const struct bench_streams *streams)
{
  return streams->line_feeds / 2;
}

uint64_t
bench_streams_refused (const struct bench_streams *streams)
{
  return streams->refused;
}

void
bench_streams_close (struct bench_streams *streams)
{
  for (uint32_t i = 0; i < streams->count; i++)
    {
      void *slot = NULL;
      curl_easy_getinfo (streams->handles[i], CURLINFO_PRIVATE, &slot);
      curl_multi_remove_handle (streams->multi, streams->handles[i]);
      curl_easy_cleanup (streams->handles[i]);
      g_free (slot);
    }
  curl_multi_cleanup (streams->multi);
  curl_slist_free_all (streams->headers);
  g_free (streams->handles);
  g_free (streams);
}

uint64_t
bench_process_cpu_us (int process_id)
{
  char *text = NULL;
  unsigned long long user = 0;
  unsigned long long system = 0;
  char *path = g_strdup_printf ("/proc/%d/stat", process_id);
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      char **fields = g_strsplit (strrchr (text, ')') + 2, " ", -1);
      user = strtoull (fields[11], NULL, 10);
      system = strtoull (fields[12], NULL, 10);
      g_strfreev (fields);
    }
  g_free (text);
  g_free (path);
  return (user + system) * US_PER_SECOND
         / (unsigned long long)sysconf (_SC_CLK_TCK);
}

uint64_t
bench_process_memory_bytes (int process_id)
{
  char *text = NULL;
  unsigned long long pages = 0;
  char *path = g_strdup_printf ("/proc/%d/statm", process_id);
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      char **fields = g_strsplit (text, " ", -1);
      pages = strtoull (fields[1], NULL, 10);
      g_strfreev (fields);
    }
  g_free (text);
  g_free (path);
  return pages * (unsigned long long)sysconf (_SC_PAGESIZE);
}
