/** @file
 *  Fetches a JSON page from a daemon's HTTP port. */

#include "ctl_http.h"

#include <curl/curl.h>
#include <glib.h>

#include "base_json.h"

#define PAGE_BYTES_MAX (64u * 1024 * 1024)

/* Write callback of libcurl; aborts the transfer at PAGE_BYTES_MAX. */
static size_t
append_data (char *data, size_t size, size_t count, void *context)
{
  GString *page = context;
  if (page->len + size * count > PAGE_BYTES_MAX)
    return 0;
  g_string_append_len (page, data, (gssize)(size * count));
  return size * count;
}

json_t *
ctl_http_get_json (const char *address, uint16_t port, const char *path,
                   uint32_t timeout_ms)
{
  json_t *document = NULL;
  GString *page = g_string_new (NULL);
  char *url = g_strdup_printf ("http://%s:%u%s", address, port, path);
  CURL *curl = curl_easy_init ();
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (curl, CURLOPT_FAILONERROR, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_data);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, page);
  if (curl_easy_perform (curl) == CURLE_OK)
    document = base_json_load (page->str, page->len, 0, NULL);
  curl_easy_cleanup (curl);
  g_free (url);
  g_string_free (page, TRUE);
  return document;
}
