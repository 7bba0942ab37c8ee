/** @file
 *  Makes a process find its disk full: linked into a program, these
 *  definitions take the place of the C library's, also for shared libraries.
 *  They look at the file PLACE.full, where PLACE is the program's argument
 *  after "--data-dir", or else its first argument.  While that file exists,
 *  its text says what finds no room in regular files and folders:
 *  "" or "half": writes, new files and renames; with "half" a write that finds
 *  room for half of its bytes comes before each one that fails;
 *  "names": new files and renames only;
 *  "sync": syncs only, as when room is taken after the write.
 *  Standard output and error have room. */

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#define PATH_BYTES 4096
#define ARGUMENTS_BYTES 16384
#define OPTION "--data-dir"

enum kind
{
  HAS_ROOM,
  FULL,
  FULL_HALF,
  FULL_NAMES,
  FULL_SYNC
};

/* Finds the argument after the option, or else the first one. */
static const char *
find_place (const char *line, size_t bytes)
{
  const char *place = "";
  size_t number = 0;
  bool is_next = false;
  for (size_t at = 0; at < bytes; at += strlen (line + at) + 1, number++)
    {
      if (is_next || number == 1)
        place = line + at;
      if (is_next)
        break;
      is_next = strcmp (line + at, OPTION) == 0;
    }
  return place;
}

/* Path of the file; empty when the program has no argument. */
static const char *
file_path (void)
{
  static char path[PATH_BYTES + 8];
  char line[ARGUMENTS_BYTES] = "";
  if (*path)
    return path;
  FILE *file = fopen ("/proc/self/cmdline", "r");
  size_t bytes = file ? fread (line, 1, sizeof line - 1, file) : 0;
  if (file)
    fclose (file);
  const char *place = find_place (line, bytes);
  if (*place)
    snprintf (path, sizeof path, "%.*s.full", PATH_BYTES, place);
  return path;
}

/* Keeps errno. */
static enum kind
read_kind (void)
{
  static const char *const names[] = { "half", "names", "sync" };
  static const enum kind kinds[] = { FULL_HALF, FULL_NAMES, FULL_SYNC };
  char text[16] = "";
  enum kind kind = HAS_ROOM;
  int saved = errno;
  int fd = (int)syscall (SYS_openat, AT_FDCWD, file_path (),
                         O_RDONLY | O_CLOEXEC, 0);
  if (fd >= 0)
    {
      kind = FULL;
      ssize_t bytes = read (fd, text, sizeof text - 1);
      for (size_t i = 0; bytes > 0 && i < sizeof names / sizeof *names; i++)
        if (strcmp (text, names[i]) == 0)
          kind = kinds[i];
      syscall (SYS_close, fd);
    }
  errno = saved;
  return kind;
}

static int
fail (void)
{
  errno = ENOSPC;
  return -1;
}

static bool
is_on_disk (int fd)
{
  struct stat status;
  int saved = errno;
  bool on_disk = fd > STDERR_FILENO && fstat (fd, &status) == 0
                 && (S_ISREG (status.st_mode) || S_ISDIR (status.st_mode));
  errno = saved;
  return on_disk;
}

ssize_t
write (int fd, const void *data, size_t bytes)
{
  static int half_fd = -1;
  enum kind kind = is_on_disk (fd) ? read_kind () : HAS_ROOM;
  if (kind != FULL && kind != FULL_HALF)
    return syscall (SYS_write, fd, data, bytes);
  if (kind == FULL_HALF && half_fd != fd && bytes > 1)
    {
      half_fd = fd;
      return syscall (SYS_write, fd, data, bytes / 2);
    }
  half_fd = -1;
  return fail ();
}

int
open (const char *path, int flags, ...)
{
  struct stat status;
  va_list list;
  mode_t mode = 0;
  if (flags & O_CREAT)
    {
      va_start (list, flags);
      mode = va_arg (list, mode_t);
      va_end (list);
      int saved = errno;
      enum kind kind = stat (path, &status) == 0 ? HAS_ROOM : read_kind ();
      errno = saved;
      if (kind != HAS_ROOM && kind != FULL_SYNC)
        return fail ();
    }
  return (int)syscall (SYS_openat, AT_FDCWD, path, flags, mode);
}

int
rename (const char *from, const char *to)
{
  enum kind kind = read_kind ();
  if (kind != HAS_ROOM && kind != FULL_SYNC)
    return fail ();
  return (int)syscall (SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0);
}

int
fdatasync (int fd)
{
  if (is_on_disk (fd) && read_kind () == FULL_SYNC)
    return fail ();
  return (int)syscall (SYS_fdatasync, fd);
}

int
fsync (int fd)
{
  if (is_on_disk (fd) && read_kind () == FULL_SYNC)
    return fail ();
  return (int)syscall (SYS_fsync, fd);
}
