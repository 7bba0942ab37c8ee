#include "platform_fuzz.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "platform_announcement.h"
#include "platform_config.h"
#include "platform_dialect.h"

static void
require (bool holds)
{
  if (!holds)
    abort ();
}

static void
feed_config (const char *data, size_t bytes)
{
  struct base_findings *findings = base_findings_create ();
  struct platform_config *config
      = platform_config_read (data, bytes, findings);
  require ((config != NULL) == (base_findings_count (findings) == 0));
  if (config)
    require (platform_config_table (config) != NULL);
  platform_config_destroy (config);
  base_findings_destroy (findings);
}

static void
feed_announcement (const char *data, size_t bytes)
{
  struct control_target target;
  struct base_findings *findings = base_findings_create ();
  bool valid
      = platform_announcement_read ("i-1", data, bytes, &target, findings);
  require (valid == (base_findings_count (findings) == 0));
  if (valid)
    require (strcmp (target.name, "i-1") == 0 && target.port > 0
             && target.port <= UINT16_MAX);
  xdr_free ((xdrproc_t)xdr_control_target, (char *)&target);
  base_findings_destroy (findings);
}

/* Calls @p read_header with the name and value of each line "Name: value". */
static void
parse_lines (const char *data, size_t bytes,
             void (*read_header) (void *context, const char *name,
                                  const char *value),
             void *context)
{
  char *text = g_strndup (data, bytes);
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line; line++)
    {
      char *colon = strchr (*line, ':');
      if (!colon)
        continue;
      *colon = '\0';
      read_header (context, *line, g_strstrip (colon + 1));
    }
  g_strfreev (lines);
  g_free (text);
}

static void
read_request_line (void *context, const char *name, const char *value)
{
  const struct edge_dialect *dialect = platform_dialect ();
  dialect->read_request_header (dialect, context, name, value);
}

static void
feed_request_headers (const char *data, size_t bytes)
{
  struct edge_request_head head = { .last_event_id = EDGE_NO_EVENT };
  head.lines = g_ptr_array_new_with_free_func (g_free);
  parse_lines (data, bytes, read_request_line, &head);
  require (memchr (head.request_id, '\0', sizeof head.request_id) != NULL);
  require (head.part_count <= PLACE_PARTS_MAX);
  require (head.last_event_id >= EDGE_NO_EVENT);
  g_ptr_array_unref (head.lines);
  g_free (head.host);
  g_free (head.key);
}

static void
read_response_line (void *context, const char *name, const char *value)
{
  const struct edge_dialect *dialect = platform_dialect ();
  dialect->read_response_header (dialect, context, "abc", name, value);
}

static void
feed_response_headers (const char *data, size_t bytes)
{
  struct edge_target_response response = { .status = 200 };
  response.lines = g_ptr_array_new_with_free_func (g_free);
  parse_lines (data, bytes, read_response_line, &response);
  g_ptr_array_unref (response.lines);
}

void
platform_fuzz_feed (enum platform_fuzz_reader reader, const char *data,
                    size_t bytes)
{
  switch (reader)
    {
    case PLATFORM_FUZZ_CONFIG:
      feed_config (data, bytes);
      break;
    case PLATFORM_FUZZ_ANNOUNCEMENT:
      feed_announcement (data, bytes);
      break;
    case PLATFORM_FUZZ_REQUEST_HEADERS:
      feed_request_headers (data, bytes);
      break;
    case PLATFORM_FUZZ_RESPONSE_HEADERS:
    case PLATFORM_FUZZ_READER_COUNT:
    default:
      feed_response_headers (data, bytes);
      break;
    }
}
