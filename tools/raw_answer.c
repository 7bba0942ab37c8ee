#include "raw_answer.h"

#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_END "\r\n\r\n"
#define LINE_END "\r\n"

const char *
raw_caller_name (enum raw_caller caller)
{
  static const char *const names[] = { "kept", "closing", "1.0" };
  return names[caller];
}

int
raw_try_connect (const char *address, uint16_t port)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  to.sin_port = htons (port);
  g_assert_cmpint (inet_pton (AF_INET, address, &to.sin_addr), ==, 1);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

int
raw_connect (const char *address, uint16_t port)
{
  int fd = raw_try_connect (address, port);
  g_assert_cmpint (fd, >=, 0);
  return fd;
}

void
raw_send (int fd, const char *text)
{
  size_t length = strlen (text);
  g_assert_cmpint (send (fd, text, length, MSG_NOSIGNAL), ==, length);
}

/* Returns the value of a header in a head, or NULL. */
static const char *
find_header (const char *head, const char *name)
{
  size_t bytes = strlen (name);
  for (const char *line = strstr (head, LINE_END); line;
       line = strstr (line + 2, LINE_END))
    if (g_ascii_strncasecmp (line + 2, name, bytes) == 0
        && line[2 + bytes] == ':')
      return line + 2 + bytes + 1 + strspn (line + 2 + bytes + 1, " ");
  return NULL;
}

/* Decodes the chunks received so far into @p body.  Returns whether the last
   chunk and the end of the trailers are there. */
static bool
decode_chunks (const char *text, size_t bytes, GString *body)
{
  const char *end = text + bytes;
  g_string_truncate (body, 0);
  for (;;)
    {
      const char *line_end = g_strstr_len (text, end - text, LINE_END);
      if (!line_end)
        return false;
      size_t size = (size_t)g_ascii_strtoull (text, NULL, 16);
      const char *data = line_end + 2;
      if (size == 0)
        return g_str_has_prefix (data, LINE_END)
               || g_strstr_len (data, end - data, HEAD_END);
      size_t left = (size_t)(end - data);
      g_string_append_len (body, data, (gssize)MIN (size, left));
      if (left < size + 2)
        return false;
      text = data + size + 2;
    }
}

/* Fills the answer from the bytes received so far.  Returns whether its
   framing is complete without the end of the connection. */
static bool
parse (struct raw_answer *answer, const GString *text, bool *ends_connection)
{
  const char *head_end = strstr (text->str, HEAD_END);
  *ends_connection = false;
  if (!head_end)
    return false;
  g_string_truncate (answer->head, 0);
  g_string_append_len (answer->head, text->str, head_end - text->str);
  const char *space = strchr (answer->head->str, ' ');
  answer->status
      = space ? (uint32_t)g_ascii_strtoull (space + 1, NULL, 10) : 0;
  const char *body = head_end + strlen (HEAD_END);
  size_t bytes = text->len - (size_t)(body - text->str);
  const char *coding = find_header (answer->head->str, "Transfer-Encoding");
  if (coding && g_str_has_prefix (coding, "chunked"))
    return decode_chunks (body, bytes, answer->body);
  g_string_truncate (answer->body, 0);
  g_string_append_len (answer->body, body, (gssize)bytes);
  const char *length = find_header (answer->head->str, "Content-Length");
  *ends_connection = !length;
  return length && bytes >= g_ascii_strtoull (length, NULL, 10);
}

struct raw_answer
raw_answer_read (int fd, uint32_t wait_ms)
{
  char buffer[65536];
  bool ends_connection = false;
  GString *text = g_string_new (NULL);
  struct raw_answer answer = { .end = RAW_ANSWER_OPEN,
                               .head = g_string_new (NULL),
                               .body = g_string_new (NULL) };
  gint64 end_us = g_get_monotonic_time () + wait_ms * G_TIME_SPAN_MILLISECOND;
  for (;;)
    {
      struct pollfd wait = { .fd = fd, .events = POLLIN };
      gint64 left_us = end_us - g_get_monotonic_time ();
      if (left_us <= 0 || poll (&wait, 1, (int)(left_us / 1000) + 1) <= 0)
        break;
      ssize_t got = recv (fd, buffer, sizeof buffer, 0);
      if (got > 0)
        g_string_append_len (text, buffer, got);
      bool is_complete = parse (&answer, text, &ends_connection);
      if (got < 0)
        answer.end = RAW_ANSWER_RESET;
      else if (is_complete || (got == 0 && ends_connection))
        answer.end = RAW_ANSWER_COMPLETE;
      else if (got == 0)
        answer.end = RAW_ANSWER_CUT;
      if (got <= 0 || is_complete)
        break;
    }
  g_string_free (text, TRUE);
  return answer;
}

void
raw_answer_clear (struct raw_answer *answer)
{
  g_string_free (answer->head, TRUE);
  g_string_free (answer->body, TRUE);
}
