/** @file
 *  Makes a process find its disk full: linked into a program, this definition
 *  of write() takes the place of the C library's, also for shared libraries.
 *  While the file SETTINGS.full exists, where SETTINGS is the program's first
 *  argument, writes to regular files fail for lack of room; when it is not
 *  empty, a write that finds room for half of its bytes comes first.  Standard
 *  output and error have room. */

#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#define PATH_BYTES 4096

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
    snprintf (path, sizeof path, "%s.full", line + program);
  return path;
}

static bool
is_regular_file (int fd)
{
  struct stat status;
  return fd > STDERR_FILENO && fstat (fd, &status) == 0
         && S_ISREG (status.st_mode);
}

ssize_t
write (int fd, const void *data, size_t bytes)
{
  static int half_fd = -1;
  struct stat full;
  int saved = errno;
  if (!is_regular_file (fd) || stat (file_path (), &full) != 0)
    {
      errno = saved;
      return syscall (SYS_write, fd, data, bytes);
    }
  if (full.st_size > 0 && half_fd != fd && bytes > 1)
    {
      half_fd = fd;
      return syscall (SYS_write, fd, data, bytes / 2);
    }
  half_fd = -1;
  errno = ENOSPC;
  return -1;
}
