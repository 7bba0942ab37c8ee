#include "base_log.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 2048

static char log_program[64] = "cactus";
static char log_host[128] = "-";
static atomic_int log_fd = STDERR_FILENO;
static atomic_int log_limit = BASE_LOG_INFO;

void
base_log_open (const char *program, const char *host)
{
  snprintf (log_program, sizeof log_program, "%s", program);
  snprintf (log_host, sizeof log_host, "%s", host ? host : "-");
}

void
base_log_set_fd (int fd)
{
  atomic_store (&log_fd, fd);
}

void
base_log_set_level (enum base_log_level level)
{
  atomic_store (&log_limit, (int)level);
}

static size_t
write_prefix (char *line, size_t bytes, enum base_log_level level)
{
  struct timespec now;
  struct tm utc;
  char timestamp[32];
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  int length
      = snprintf (line, bytes, "<%d>%s.%03ldZ %s[%s]: ", (int)level, timestamp,
                  now.tv_nsec / 1000000, log_program, log_host);
  return (size_t)length < bytes ? (size_t)length : bytes - 1;
}

void
base_log (enum base_log_level level, const char *format, ...)
{
  char line[LINE_BYTES];
  if ((int)level > atomic_load (&log_limit))
    return;
  size_t used = write_prefix (line, sizeof line - 1, level);
  va_list arguments;
  va_start (arguments, format);
  int length
      = vsnprintf (line + used, sizeof line - 1 - used, format, arguments);
  va_end (arguments);
  if (length > 0)
    used += (size_t)length;
  if (used > sizeof line - 2)
    used = sizeof line - 2;
  line[used++] = '\n';
  ssize_t written = write (atomic_load (&log_fd), line, used);
  (void)written;
}
