#include "platform_outsiders.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#define QUIET_MS 1000
/* Socket buffer of a caller that never reads, in bytes. */
#define SMALL_BUFFER_BYTES 4096
#define READ_BYTES 4096
#define STATUS_LINE_BYTES 12

/* One connection. */
struct outsider
{
  int fd;
  /* What it sends, and how much of that was taken. */
  GString *text;
  size_t sent_bytes;
  uint32_t status;
  bool is_closed;
};

struct platform_outsiders
{
  const struct platform_outsiders_kind *kind;
  struct outsider *list;
  struct pollfd *polled;
  uint32_t count;
};

static void
append_chunks (GString *text, const struct platform_outsiders_kind *kind)
{
  char *data = g_strnfill (kind->chunk_bytes, 'x');
  for (size_t bytes = 0; bytes < kind->sent_bytes; bytes += kind->chunk_bytes)
    g_string_append_printf (text, "%zx\r\n%s\r\n", kind->chunk_bytes, data);
  g_free (data);
}

static void
append_body (GString *text, const struct platform_outsiders_kind *kind,
             bool is_whole)
{
  size_t bytes = is_whole ? kind->announced_bytes : kind->sent_bytes;
  char *data = g_strnfill (bytes, 'x');
  g_string_append_len (text, data, (gssize)bytes);
  g_free (data);
}

static GString *
make_text (const struct platform_outsiders_kind *kind, uint32_t number)
{
  GString *text = g_string_new (NULL);
  bool is_whole = kind->whole_each > 0 && number % kind->whole_each == 0;
  g_string_append_printf (text,
                          "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                          "X-Request-Id: outside-%u\r\n"
                          "X-Deadline-Ms: 60000\r\nX-Token-Count: 0,0\r\n",
                          kind->method, kind->path, number);
  if (kind->has_partial_head)
    return text;
  if (kind->announced_bytes > 0)
    {
      g_string_append_printf (text, "Content-Length: %zu\r\n\r\n",
                              kind->announced_bytes);
      append_body (text, kind, is_whole);
    }
  else if (kind->chunk_bytes > 0)
    {
      g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
      append_chunks (text, kind);
    }
  else
    g_string_append (text, "\r\n");
  return text;
}

static void
connect_outsider (struct outsider *outsider,
                  const struct platform_outsiders_kind *kind,
                  const char *address, uint16_t port)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  int small = SMALL_BUFFER_BYTES;
  inet_pton (AF_INET, address, &to.sin_addr);
  outsider->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (outsider->fd, >=, 0);
  if (kind->never_reads)
    setsockopt (outsider->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  fcntl (outsider->fd, F_SETFL, O_NONBLOCK);
  if (connect (outsider->fd, (struct sockaddr *)&to, sizeof to) != 0)
    g_assert_cmpint (errno, ==, EINPROGRESS);
}

/* Sends at most one turn.  Returns whether bytes were taken. */
static bool
send_turn (struct outsider *outsider,
           const struct platform_outsiders_kind *kind)
{
  size_t left = outsider->text->len - outsider->sent_bytes;
  size_t turn = kind->turn_bytes > 0 ? kind->turn_bytes : left;
  ssize_t sent
      = send (outsider->fd, outsider->text->str + outsider->sent_bytes,
              MIN (left, turn), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0)
    outsider->sent_bytes += (size_t)sent;
  else if (sent < 0 && errno != EAGAIN && errno != ENOTCONN)
    outsider->is_closed = true;
  if (outsider->sent_bytes == outsider->text->len && left > 0)
    {
      /* Crowds are large, and the text isn't needed any more. */
      g_string_truncate (outsider->text, 0);
      outsider->sent_bytes = 0;
    }
  return sent > 0;
}

/* Reads what came; notes the first status, and the end. */
static void
read_answer (struct outsider *outsider)
{
  char data[READ_BYTES];
  ssize_t bytes = recv (outsider->fd, data, sizeof data - 1, MSG_DONTWAIT);
  if (bytes == 0 || (bytes < 0 && errno != EAGAIN))
    outsider->is_closed = true;
  if (bytes <= STATUS_LINE_BYTES || outsider->status != 0)
    return;
  data[bytes] = '\0';
  if (g_str_has_prefix (data, "HTTP/1.1 "))
    outsider->status
        = (uint32_t)g_ascii_strtoull (data + strlen ("HTTP/1.1 "), NULL, 10);
}

/* Serves the connections that are ready.  Returns whether bytes were taken. */
static bool
run_turn (struct platform_outsiders *outsiders)
{
  bool has_sent = false;
  for (uint32_t i = 0; i < outsiders->count; i++)
    {
      struct outsider *outsider = &outsiders->list[i];
      short events = outsiders->polled[i].revents;
      if (!outsider->is_closed && (events & POLLOUT)
          && outsider->text->len > 0)
        has_sent |= send_turn (outsider, outsiders->kind);
      if (!outsider->is_closed && (events & (POLLIN | POLLERR | POLLHUP))
          && !outsiders->kind->never_reads)
        read_answer (outsider);
    }
  return has_sent;
}

static void
send_all (struct platform_outsiders *outsiders)
{
  gint64 moved_us = g_get_monotonic_time ();
  while (g_get_monotonic_time ()
         < moved_us + QUIET_MS * G_TIME_SPAN_MILLISECOND)
    {
      for (uint32_t i = 0; i < outsiders->count; i++)
        {
          struct outsider *outsider = &outsiders->list[i];
          short events = outsiders->kind->never_reads ? 0 : POLLIN;
          outsiders->polled[i].fd = outsider->is_closed ? -1 : outsider->fd;
          outsiders->polled[i].events
              = (short)(events | (outsider->text->len > 0 ? POLLOUT : 0));
        }
      if (poll (outsiders->polled, outsiders->count, 100) > 0
          && run_turn (outsiders))
        moved_us = g_get_monotonic_time ();
    }
}

struct platform_outsiders *
platform_outsiders_create (const struct platform_outsiders_kind *kind,
                           const char *address, uint16_t port, uint32_t count)
{
  struct platform_outsiders *outsiders = g_new0 (struct platform_outsiders, 1);
  outsiders->kind = kind;
  outsiders->count = count;
  outsiders->list = g_new0 (struct outsider, count);
  outsiders->polled = g_new0 (struct pollfd, count);
  for (uint32_t i = 0; i < count; i++)
    {
      outsiders->list[i].text = make_text (kind, i);
      connect_outsider (&outsiders->list[i], kind, address, port);
    }
  send_all (outsiders);
  return outsiders;
}

void
platform_outsiders_close (struct platform_outsiders *outsiders)
{
  for (uint32_t i = 0; i < outsiders->count; i++)
    {
      if (outsiders->list[i].fd >= 0)
        close (outsiders->list[i].fd);
      outsiders->list[i].fd = -1;
    }
}

void
platform_outsiders_destroy (struct platform_outsiders *outsiders)
{
  platform_outsiders_close (outsiders);
  for (uint32_t i = 0; i < outsiders->count; i++)
    g_string_free (outsiders->list[i].text, TRUE);
  g_free (outsiders->list);
  g_free (outsiders->polled);
  g_free (outsiders);
}

uint32_t
platform_outsiders_open (const struct platform_outsiders *outsiders)
{
  uint32_t open = 0;
  for (uint32_t i = 0; i < outsiders->count; i++)
    open += !outsiders->list[i].is_closed;
  return open;
}

uint32_t
platform_outsiders_answers (const struct platform_outsiders *outsiders,
                            uint32_t status)
{
  uint32_t answers = 0;
  for (uint32_t i = 0; i < outsiders->count; i++)
    answers += outsiders->list[i].status == status;
  return answers;
}

static uint64_t
read_peak (pid_t id)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)id);
  char *text = NULL;
  uint64_t peak_kib = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      const char *line = strstr (text, "VmHWM:");
      peak_kib
          = line ? g_ascii_strtoull (line + strlen ("VmHWM:"), NULL, 10) : 0;
    }
  g_free (text);
  g_free (path);
  return peak_kib * 1024;
}

/* Adds the receive queues of the connections that a port took. */
static uint64_t
read_unread (const char *address, uint16_t port)
{
  char *text = NULL;
  char own[32];
  uint64_t unread = 0;
  struct in_addr binary = { 0 };
  inet_pton (AF_INET, address, &binary);
  g_snprintf (own, sizeof own, "%08X:%04X", (unsigned)binary.s_addr,
              (unsigned)port);
  if (!g_file_get_contents ("/proc/net/tcp", &text, NULL, NULL))
    return 0;
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line; line++)
    {
      /* "N: LOCAL REMOTE STATE TX:RX ..."; state 0A listens. */
      char **words = g_strsplit_set (g_strstrip (*line), " ", -1);
      if (g_strv_length (words) > 4 && strcmp (words[1], own) == 0
          && strcmp (words[3], "0A") != 0 && strchr (words[4], ':'))
        unread += g_ascii_strtoull (strchr (words[4], ':') + 1, NULL, 16);
      g_strfreev (words);
    }
  g_strfreev (lines);
  g_free (text);
  return unread;
}

static uint32_t
count_descriptors (pid_t id)
{
  char *path = g_strdup_printf ("/proc/%d/fd", (int)id);
  GDir *folder = g_dir_open (path, 0, NULL);
  uint32_t count = 0;
  while (folder && g_dir_read_name (folder))
    count++;
  if (folder)
    g_dir_close (folder);
  g_free (path);
  return count;
}

struct platform_outsiders_use
platform_outsiders_read_use (pid_t id, const char *address, uint16_t port)
{
  struct platform_outsiders_use use
      = { read_peak (id), read_unread (address, port),
          count_descriptors (id) };
  return use;
}
