#include "edge_tunnel.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base_settings.h"

#define TARGET_HEADER "Cactus-Target"
#define DEADLINE_HEADER "Cactus-Deadline-Ms"

char *
edge_tunnel_header (const struct edge_target *target)
{
  return g_strdup_printf (TARGET_HEADER ": %s %" PRIu64, target->record.name,
                          (uint64_t)target->record.born_ms);
}

char *
edge_tunnel_deadline_header (uint32_t deadline_ms)
{
  return g_strdup_printf (DEADLINE_HEADER ": %" PRIu32, deadline_ms);
}

char *
edge_tunnel_request (const struct edge_target *target)
{
  char *header = edge_tunnel_header (target);
  char *deadline = edge_tunnel_deadline_header (EDGE_TUNNEL_WAIT_MS);
  char *request = g_strdup_printf (
      "CONNECT %s:%u HTTP/1.1\r\nHost: %s:%u\r\n%s\r\n%s\r\n\r\n",
      target->record.address, target->record.port, target->record.address,
      target->record.port, header, deadline);
  g_free (deadline);
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

/* Returns the value of the line if it has this header, or NULL. */
static char *
find_value (char *line, const char *name)
{
  size_t bytes = strlen (name);
  return g_ascii_strncasecmp (line, name, bytes) == 0 && line[bytes] == ':'
             ? g_strstrip (line + bytes + 1)
             : NULL;
}

static void
parse_line (char *line, struct edge_tunnel_ask *ask, bool *has_target)
{
  guint64 number = 0;
  char *value = find_value (line, TARGET_HEADER);
  if (value)
    *has_target = parse_target (value, ask);
  value = find_value (line, DEADLINE_HEADER);
  if (value
      && g_ascii_string_to_unsigned (value, 10, 0, G_MAXUINT32, &number, NULL))
    ask->deadline_ms = (uint32_t)number;
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
    parse_line (*line, ask, &has_target);
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
