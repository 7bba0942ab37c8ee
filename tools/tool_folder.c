#include "tool_folder.h"

#include <glib.h>
#include <glib/gstdio.h>

void
tool_folder_empty (const char *folder)
{
  const char *name;
  GDir *listing = g_dir_open (folder, 0, NULL);
  while (listing && (name = g_dir_read_name (listing)))
    {
      char *path = g_build_filename (folder, name, NULL);
      if (g_file_test (path, G_FILE_TEST_IS_DIR)
          && !g_file_test (path, G_FILE_TEST_IS_SYMLINK))
        tool_folder_empty (path);
      g_remove (path);
      g_free (path);
    }
  if (listing)
    g_dir_close (listing);
}

void
tool_folder_remove (const char *folder)
{
  tool_folder_empty (folder);
  g_rmdir (folder);
}
