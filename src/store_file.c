#include "store_file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include <glib.h>

bool
store_file_is_full (int error)
{
  return error == ENOSPC || error == EDQUOT;
}

int
store_file_write_all (int fd, const void *data, size_t bytes)
{
  const char *at = data;
  while (bytes > 0)
    {
      ssize_t written = write (fd, at, bytes);
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        return -1;
      at += written;
      bytes -= (size_t)written;
    }
  return 0;
}

int
store_file_sync_folder (const char *folder)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0)
    return -1;
  int status = fsync (fd);
  close (fd);
  return status;
}

int
store_file_replace (const char *folder, const char *name, const void *head,
                    size_t head_bytes, const void *data, size_t data_bytes)
{
  int status = -1;
  char *path = g_build_filename (folder, name, NULL);
  char *temporary = g_strconcat (path, ".new", NULL);
  int fd = open (temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0)
    goto done;
  if (store_file_write_all (fd, head, head_bytes) != 0
      || store_file_write_all (fd, data, data_bytes) != 0 || fsync (fd) != 0)
    goto done;
  if (rename (temporary, path) != 0 || store_file_sync_folder (folder) != 0)
    goto done;
  status = 0;
done:;
  int error = errno;
  if (fd >= 0)
    close (fd);
  if (status != 0)
    unlink (temporary);
  g_free (temporary);
  g_free (path);
  errno = error;
  return status;
}
