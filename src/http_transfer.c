#include "http_transfer.h"

/* Maximum size of a response's trailer fields. */
#define TRAILER_MAX_BYTES 16384u

void
http_transfer_configure (CURL *easy, const char *url,
                         const struct http_transfer_limits *limits, bool reuse)
{
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)limits->connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)limits->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, reuse ? 0L : 1L);
}

void
http_transfer_set_callbacks (CURL *easy, void *context,
                             curl_write_callback on_header,
                             curl_write_callback on_body, long buffer_bytes)
{
  curl_easy_setopt (easy, CURLOPT_PRIVATE, context);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, context);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, context);
  curl_easy_setopt (easy, CURLOPT_BUFFERSIZE, buffer_bytes);
}

bool
http_transfer_is_body_unsent (CURL *easy, uint64_t body_bytes)
{
  curl_off_t sent_bytes = 0;
  curl_easy_getinfo (easy, CURLINFO_SIZE_UPLOAD_T, &sent_bytes);
  return (uint64_t)sent_bytes < body_bytes;
}

bool
http_trailer_add (uint32_t *trailer_bytes, size_t line_bytes)
{
  if (line_bytes > TRAILER_MAX_BYTES - *trailer_bytes)
    return false;
  *trailer_bytes += (uint32_t)line_bytes;
  return true;
}
