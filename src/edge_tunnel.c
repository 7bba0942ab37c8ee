#include "edge_tunnel.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base_settings.h"

#define TARGET_HEADER "Cactus-Target"

char *
edge_tunnel_header (const struct edge_target *target)
{
  return g_strdup_printf (TARGET_HEADER ": %s %" PRIu64, target->record.name,
                          (uint64_t)target->record.born_ms);
}

char *
edge_tunnel_request (const struct edge_target *target)
{
  char *header = edge_tunnel_header (target);
  char *request
      = g_strdup_printf ("CONNECT %s:%u HTTP/1.1\r\nHost: %s:%u\r\n%s\r\n\r\n",
                         target->record.address, target->record.port,
                         target->record.address, target->record.port, header);
  g_free (header);
  return request;
}

/* Parses "NAME BORN_MS". */
static bool
parse_target (const char *value, struct edge_tunnel_ask *ask)
{
  const char *space = strrchr (value, ' ');
  if (!space || space == value
      || (size_t)(space - value) >= sizeof ask->target)
    return false;
  memcpy (ask->target, value, (size_t)(space - value));
  ask->target[space - value] = '\0';
  return g_ascii_string_to_unsigned (space + 1, 10, 0, G_MAXUINT64,
                                     &ask->born_ms, NULL);
}

bool
edge_tunnel_parse (const char *head, struct edge_tunnel_ask *ask)
{
  bool has_target = false;
  memset (ask, 0, sizeof *ask);
  char **lines = g_strsplit (head, "\r\n", -1);
  char **words = g_strsplit (lines[0] ? lines[0] : "", " ", -1);
  bool valid
      = g_strv_length (words) == 3 && strcmp (words[0], "CONNECT") == 0
        && base_endpoint_split (words[1], ask->address, &ask->port) == 0;
  for (char **line = lines; valid && *line; line++)
    if (g_ascii_strncasecmp (*line, TARGET_HEADER ":", sizeof TARGET_HEADER)
        == 0)
      has_target
          = parse_target (g_strstrip (*line + sizeof TARGET_HEADER), ask);
  g_strfreev (words);
  g_strfreev (lines);
  return valid && has_target;
}

enum edge_path_result
edge_tunnel_result (long status)
{
  switch (status)
    {
    case EDGE_TUNNEL_OPEN:
      return EDGE_PATH_REACHED;
    case EDGE_TUNNEL_TARGET_REFUSED:
      return EDGE_PATH_REFUSED;
    case EDGE_TUNNEL_NO_TARGET:
    case EDGE_TUNNEL_TARGET_RESTS:
    case EDGE_TUNNEL_TARGET_SILENT:
      return EDGE_PATH_UNREACHABLE;
    case EDGE_TUNNEL_FULL:
      return EDGE_PATH_BUSY_PEER;
    default:
      return EDGE_PATH_NO_PEER;
    }
}
