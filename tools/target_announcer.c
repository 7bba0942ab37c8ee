#include "target_announcer.h"

#include <stdlib.h>

#include <curl/curl.h>
#include <jansson.h>

#include "base_address_map.h"
#include "base_clock.h"
#include "base_settings.h"
#include "cactus_config.h"

/* Timeout of one announcement to one router. */
#define ANNOUNCE_TIMEOUT_MS 1000L

struct target_announcer
{
  struct target_identity identity;
  const char *const *routers;
  struct target_engine *engine;
  /* Start of the target, in milliseconds of wall-clock time. */
  uint64_t incarnation;
  uint64_t sequence;
  bool leaving;
  bool stopping;
  GMutex mutex;
  GCond wake;
  GThread *thread;
};

static char *
print_announcement (struct target_announcer *announcer, bool leaving)
{
  const struct target_identity *identity = &announcer->identity;
  uint32_t running = 0;
  uint32_t queued = 0;
  if (announcer->engine)
    target_engine_counts (announcer->engine, &running, &queued);
  json_t *object = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:I, s:I, s:b, s:i, s:i, s:i, s:i}",
      "target", identity->target, "service", identity->service,
      "availability_zone", identity->availability_zone, "region",
      identity->region, "address", identity->address, "port",
      (int)identity->port, "incarnation", (json_int_t)announcer->incarnation,
      "sequence", (json_int_t)++announcer->sequence, "leaving", leaving,
      "slots", (int)identity->slots, "running", (int)running, "queued",
      (int)queued, "weight", (int)identity->weight);
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

static size_t
ignore_answer (char *data, size_t size, size_t count, void *context)
{
  (void)data;
  (void)context;
  return size * count;
}

static void
announce (const char *router, const char *text)
{
  char address[16];
  char mapped[16];
  uint16_t port;
  base_endpoint_split (router, address, &port);
  base_address_map_apply (address, mapped);
  char *url = g_strdup_printf ("http://%s:%u/targets/announce", mapped,
                               (unsigned)port);
  CURL *easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, text);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, ANNOUNCE_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, ignore_answer);
  curl_easy_perform (easy);
  curl_easy_cleanup (easy);
  g_free (url);
}

static gpointer
run_announcer (gpointer data)
{
  struct target_announcer *announcer = data;
  g_mutex_lock (&announcer->mutex);
  while (!announcer->stopping)
    {
      char *text = print_announcement (announcer, announcer->leaving);
      bool leaving = announcer->leaving;
      g_mutex_unlock (&announcer->mutex);
      for (const char *const *router = announcer->routers; *router; router++)
        announce (*router, text);
      free (text);
      g_mutex_lock (&announcer->mutex);
      gint64 until = g_get_monotonic_time ()
                     + CACTUS_ANNOUNCE_INTERVAL_MS * G_TIME_SPAN_MILLISECOND;
      while (!announcer->stopping && announcer->leaving == leaving)
        if (!g_cond_wait_until (&announcer->wake, &announcer->mutex, until))
          break;
    }
  g_mutex_unlock (&announcer->mutex);
  return NULL;
}

struct target_announcer *
target_announcer_create (const struct target_identity *identity,
                         const char *const *routers,
                         struct target_engine *engine)
{
  struct target_announcer *announcer = g_new0 (struct target_announcer, 1);
  announcer->identity = *identity;
  announcer->routers = routers;
  announcer->engine = engine;
  announcer->incarnation = base_clock_wall_ms (base_clock_system ());
  g_mutex_init (&announcer->mutex);
  g_cond_init (&announcer->wake);
  announcer->thread = g_thread_new ("announcer", run_announcer, announcer);
  return announcer;
}

void
target_announcer_set_leaving (struct target_announcer *announcer)
{
  g_mutex_lock (&announcer->mutex);
  announcer->leaving = true;
  g_cond_signal (&announcer->wake);
  g_mutex_unlock (&announcer->mutex);
}

void
target_announcer_destroy (struct target_announcer *announcer)
{
  if (!announcer)
    return;
  g_mutex_lock (&announcer->mutex);
  announcer->stopping = true;
  g_cond_signal (&announcer->wake);
  g_mutex_unlock (&announcer->mutex);
  g_thread_join (announcer->thread);
  g_mutex_clear (&announcer->mutex);
  g_cond_clear (&announcer->wake);
  g_free (announcer);
}
