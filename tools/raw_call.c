#include "raw_call.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "raw_answer.h"

#define ANSWER_START "HTTP/1.1 "
#define LENGTH_LINE "\r\nContent-Length: "

/* Reads until @p end_us; true when the server closed the connection. */
static bool
read_all (int fd, GString *text, gint64 end_us)
{
  char buffer[4096];
  for (;;)
    {
      struct pollfd wait = { .fd = fd, .events = POLLIN };
      gint64 left_us = end_us - g_get_monotonic_time ();
      if (left_us <= 0 || poll (&wait, 1, (int)(left_us / 1000) + 1) <= 0)
        return false;
      ssize_t got = recv (fd, buffer, sizeof buffer, 0);
      if (got <= 0)
        return true;
      g_string_append_len (text, buffer, got);
    }
}

/* Counts answers with a Content-Length that follow each other. */
static uint32_t
count_answers (const GString *text)
{
  uint32_t count = 0;
  size_t at = 0;
  while (at < text->len && g_str_has_prefix (text->str + at, ANSWER_START))
    {
      const char *head = text->str + at;
      const char *body = strstr (head, "\r\n\r\n");
      const char *length = strstr (head, LENGTH_LINE);
      count++;
      if (!body || !length || length > body)
        break;
      at = (size_t)(body + 4 - text->str)
           + g_ascii_strtoull (length + strlen (LENGTH_LINE), NULL, 10);
    }
  return count;
}

struct raw_reply
raw_call (const char *address, uint16_t port, const char *request,
          uint32_t wait_ms)
{
  struct raw_reply reply = { 0 };
  GString *text = g_string_new (NULL);
  int fd = raw_connect (address, port);
  raw_send (fd, request);
  reply.closed = read_all (
      fd, text, g_get_monotonic_time () + wait_ms * G_TIME_SPAN_MILLISECOND);
  close (fd);
  reply.answers = count_answers (text);
  if (g_str_has_prefix (text->str, ANSWER_START))
    reply.status = (uint32_t)g_ascii_strtoull (
        text->str + strlen (ANSWER_START), NULL, 10);
  reply.text = g_string_free (text, FALSE);
  return reply;
}
