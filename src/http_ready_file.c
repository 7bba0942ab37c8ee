#include "http_ready_file.h"

#include <glib.h>

#include "base_log.h"

int
http_ready_file_write (const char *path, uint16_t rpc_port, uint16_t http_port)
{
  if (!path)
    return 0;
  GError *error = NULL;
  char *line = g_strdup_printf ("{\"rpc_port\":%u,\"http_port\":%u}\n",
                                (unsigned)rpc_port, (unsigned)http_port);
  gboolean written = g_file_set_contents (path, line, -1, &error);
  g_free (line);
  if (written)
    return 0;
  base_log (BASE_LOG_ERROR, "ready file not written path=%s error=\"%s\"",
            path, error->message);
  g_error_free (error);
  return -1;
}
