#include "base_event.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "base_event_limit.h"

/* Size of the buffer; lines that don't fit are dropped. */
#define BUFFER_BYTES (128u * 1024)
/* Fill level at which the buffer is written without waiting for a flush. */
#define WRITE_BYTES (16u * 1024)
/* Longest line; longer ones are truncated. */
#define LINE_BYTES 1024

static GMutex mutex;
static char event_host[64] = "-";
static char buffer[BUFFER_BYTES];
static size_t buffer_used;
static uint64_t dropped;
static struct base_event_limit *limit;
/* Value of dropped in the last log-lines-dropped line. */
static uint64_t dropped_reported;

void
base_event_open (const char *host)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  g_strlcpy (event_host, host, sizeof event_host);
  if (!limit)
    limit = base_event_limit_create ();
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Writes as much of the buffer as standard output accepts.  The mutex is
   held. */
static void
write_lines (void)
{
  ssize_t written = write (STDOUT_FILENO, buffer, buffer_used);
  if (written <= 0)
    return;
  buffer_used -= (size_t)written;
  memmove (buffer, buffer + written, buffer_used);
}

static size_t
print_prefix (char *line)
{
  struct timespec now;
  struct tm utc;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  size_t length = strftime (line, LINE_BYTES, "%Y-%m-%dT%H:%M:%S", &utc);
  length
      += (size_t)snprintf (line + length, LINE_BYTES - length, ".%03ldZ %s ",
                           now.tv_nsec / 1000000, event_host);
  return length;
}

/* Adds a line to the buffer, or counts it as dropped when there is no space.
   The mutex is held. */
static void
add_line (const char *line, size_t bytes)
{
  if (buffer_used + bytes > BUFFER_BYTES)
    write_lines ();
  if (buffer_used + bytes > BUFFER_BYTES)
    {
      dropped++;
      return;
    }
  memcpy (buffer + buffer_used, line, bytes);
  buffer_used += bytes;
}

/* Whether the rate limit of the event allows a line. */
static bool
is_within_limit (const char *format)
{
  bool wanted = true;
  g_mutex_lock (&mutex);
  if (limit)
    wanted = base_event_limit_allow (limit, format, time (NULL));
  g_mutex_unlock (&mutex);
  return wanted;
}

/* Logs how many lines of an event the rate limit suppressed.  The mutex is
   held. */
static void
add_left_out_line (void *context, const char *event, uint64_t lines)
{
  char line[LINE_BYTES];
  size_t bytes = print_prefix (line);
  (void)context;
  bytes += (size_t)snprintf (line + bytes, sizeof line - bytes,
                             "log-lines-left-out event=%s lines=%lu\n", event,
                             (unsigned long)lines);
  add_line (line, bytes);
}

void
base_event (const char *format, ...)
{
  char line[LINE_BYTES];
  va_list arguments;
  if (!is_within_limit (format))
    return;
  size_t bytes = print_prefix (line);
  va_start (arguments, format);
  int length
      = vsnprintf (line + bytes, sizeof line - 1 - bytes, format, arguments);
  va_end (arguments);
  bytes = MIN (bytes + (size_t)MAX (length, 0), sizeof line - 2);
  line[bytes++] = '\n';
  g_mutex_lock (&mutex);
  add_line (line, bytes);
  if (buffer_used >= WRITE_BYTES)
    write_lines ();
  g_mutex_unlock (&mutex);
}

void
base_event_flush (void)
{
  char line[LINE_BYTES];
  g_mutex_lock (&mutex);
  if (limit)
    base_event_limit_report (limit, time (NULL), add_left_out_line, NULL);
  if (dropped > dropped_reported)
    {
      size_t bytes = print_prefix (line);
      int length
          = snprintf (line + bytes, sizeof line - bytes,
                      "log-lines-dropped total=%lu\n", (unsigned long)dropped);
      dropped_reported = dropped;
      add_line (line, bytes + (size_t)length);
    }
  if (buffer_used > 0)
    write_lines ();
  g_mutex_unlock (&mutex);
}

uint64_t
base_event_dropped (void)
{
  g_mutex_lock (&mutex);
  uint64_t count = dropped;
  g_mutex_unlock (&mutex);
  return count;
}
