/** @file
 *  Cuts a process off from chosen ports without its knowledge: linked into a
 *  program, these definitions of connect(), send() and recv() take the place
 * of the C library's, also for shared libraries.  What is cut is read from the
 *  file SETTINGS.cut, where SETTINGS is the program's first argument:
 *
 *      NEW OPEN PORT...
 *
 *  NEW is what becomes of new connections to the ports: "pass", "refuse" or
 *  "hang".  OPEN is what becomes of open ones: "live", "reset" or "silent".
 *  Without the file nothing is cut. */

#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define PORTS_MAX 256
#define WORD_BYTES 16
#define TEXT_BYTES 4096
#define PATH_BYTES 4096
/* Interval at which the file is read again. */
#define READ_INTERVAL_NS 5000000
#define NS_PER_S 1000000000LL
#define BLACKHOLE_CONNECTIONS 4

/* The contents of the file. */
struct cut
{
  char new_mode[WORD_BYTES];
  char open_mode[WORD_BYTES];
  uint16_t ports[PORTS_MAX];
  uint32_t count;
};

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static struct cut current;
static long long read_at_ns;

static long long
now_ns (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * NS_PER_S + now.tv_nsec;
}

/* Stores the path of the file; empty when the program has no argument. */
static const char *
file_path (void)
{
  static char path[PATH_BYTES + 8];
  char line[PATH_BYTES] = "";
  if (*path)
    return path;
  FILE *file = fopen ("/proc/self/cmdline", "r");
  size_t bytes = file ? fread (line, 1, sizeof line - 1, file) : 0;
  if (file)
    fclose (file);
  size_t program = strnlen (line, bytes) + 1;
  if (program < bytes)
    snprintf (path, sizeof path, "%s.cut", line + program);
  return path;
}

static void
read_file (struct cut *cut)
{
  char text[TEXT_BYTES] = "";
  char *rest = NULL;
  FILE *file = fopen (file_path (), "r");
  memset (cut, 0, sizeof *cut);
  if (!file)
    return;
  size_t bytes = fread (text, 1, sizeof text - 1, file);
  text[bytes] = '\0';
  fclose (file);
  char *word = strtok_r (text, " \n", &rest);
  if (word)
    snprintf (cut->new_mode, sizeof cut->new_mode, "%s", word);
  word = strtok_r (NULL, " \n", &rest);
  if (word)
    snprintf (cut->open_mode, sizeof cut->open_mode, "%s", word);
  while ((word = strtok_r (NULL, " \n", &rest)) && cut->count < PORTS_MAX)
    cut->ports[cut->count++] = (uint16_t)strtoul (word, NULL, 10);
}

/* Copies to @p mode what becomes of connections to the port; empty when
   nothing does. */
static void
find_mode (uint16_t port, bool is_new, char mode[WORD_BYTES])
{
  int saved = errno;
  *mode = '\0';
  pthread_mutex_lock (&mutex);
  long long now = now_ns ();
  if (now >= read_at_ns + READ_INTERVAL_NS)
    {
      read_at_ns = now;
      read_file (&current);
    }
  for (uint32_t i = 0; i < current.count; i++)
    if (current.ports[i] == port)
      memcpy (mode, is_new ? current.new_mode : current.open_mode, WORD_BYTES);
  pthread_mutex_unlock (&mutex);
  errno = saved;
}

static uint16_t
peer_port (int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t bytes = sizeof address;
  int saved = errno;
  if (getpeername (fd, (struct sockaddr *)&address, &bytes) != 0
      || address.sin_family != AF_INET)
    address.sin_port = 0;
  errno = saved;
  return ntohs (address.sin_port);
}

/* Returns the address of a listener whose queue is full, so that connections
   to it hang. */
static struct sockaddr_in
blackhole (void)
{
  static struct sockaddr_in address;
  socklen_t bytes = sizeof address;
  pthread_mutex_lock (&mutex);
  if (address.sin_port == 0)
    {
      int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      (void)bind (listener, (struct sockaddr *)&address, sizeof address);
      listen (listener, 0);
      getsockname (listener, (struct sockaddr *)&address, &bytes);
      for (int i = 0; i < BLACKHOLE_CONNECTIONS; i++)
        {
          int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                           0);
          syscall (SYS_connect, fd, &address, sizeof address);
        }
    }
  pthread_mutex_unlock (&mutex);
  return address;
}

int
connect (int fd, const struct sockaddr *address, socklen_t bytes)
{
  char mode[WORD_BYTES] = "";
  if (address->sa_family == AF_INET)
    find_mode (ntohs (((const struct sockaddr_in *)address)->sin_port), true,
               mode);
  if (strcmp (mode, "refuse") == 0)
    {
      errno = ECONNREFUSED;
      return -1;
    }
  if (strcmp (mode, "hang") == 0)
    {
      struct sockaddr_in hole = blackhole ();
      return (int)syscall (SYS_connect, fd, &hole, sizeof hole);
    }
  return (int)syscall (SYS_connect, fd, address, bytes);
}

ssize_t
send (int fd, const void *data, size_t bytes, int flags)
{
  char mode[WORD_BYTES];
  find_mode (peer_port (fd), false, mode);
  if (strcmp (mode, "reset") == 0)
    {
      errno = ECONNRESET;
      return -1;
    }
  if (strcmp (mode, "silent") == 0)
    return (ssize_t)bytes;
  return syscall (SYS_sendto, fd, data, bytes, flags, NULL, 0);
}

ssize_t
recv (int fd, void *data, size_t bytes, int flags)
{
  char mode[WORD_BYTES];
  find_mode (peer_port (fd), false, mode);
  if (strcmp (mode, "reset") == 0)
    {
      errno = ECONNRESET;
      return -1;
    }
  if (strcmp (mode, "silent") == 0)
    {
      /* What has arrived is discarded, or the socket would stay readable. */
      ssize_t got = syscall (SYS_recvfrom, fd, data, bytes, flags, NULL, NULL);
      if (got <= 0)
        return got;
      errno = EAGAIN;
      return -1;
    }
  return syscall (SYS_recvfrom, fd, data, bytes, flags, NULL, NULL);
}
