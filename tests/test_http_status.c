/** @file
 *  Tests of the status pages over loopback. */

#include <stdatomic.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "http_status.h"

static bool
read_flag (void *context)
{
  return atomic_load ((atomic_bool *)context);
}

static size_t
collect (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

static long
fetch (uint16_t port, const char *page, GString *body)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, page);
  long code = 0;
  g_string_truncate (body, 0);
  CURL *easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, body);
  g_assert_cmpint (curl_easy_perform (easy), ==, CURLE_OK);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &code);
  curl_easy_cleanup (easy);
  g_free (url);
  return code;
}

static void
test_pages (void)
{
  atomic_bool ready = false;
  GString *body = g_string_new (NULL);
  struct base_metrics *metrics = base_metrics_create ();
  base_counter_add (base_metrics_counter (metrics, "calls_total", NULL), 7);
  struct http_status *status
      = http_status_create ("127.0.0.1", 0, metrics, read_flag, &ready);
  g_assert_nonnull (status);
  uint16_t port = http_status_port (status);
  g_assert_cmpuint (port, >, 0);
  g_assert_cmpint (fetch (port, "/healthz", body), ==, 200);
  g_assert_cmpint (fetch (port, "/readyz", body), ==, 503);
  atomic_store (&ready, true);
  g_assert_cmpint (fetch (port, "/readyz", body), ==, 200);
  g_assert_cmpint (fetch (port, "/metrics", body), ==, 200);
  g_assert_nonnull (strstr (body->str, "calls_total{} 7\n"));
  g_assert_cmpint (fetch (port, "/other", body), ==, 404);
  http_status_destroy (status);
  base_metrics_destroy (metrics);
  g_string_free (body, TRUE);
}

static void
test_bad_address (void)
{
  g_assert_null (http_status_create ("localhost", 0, NULL, read_flag, NULL));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_test_add_func ("/http/status/pages", test_pages);
  g_test_add_func ("/http/status/bad-address", test_bad_address);
  int result = g_test_run ();
  curl_global_cleanup ();
  return result;
}
