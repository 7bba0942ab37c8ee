/** @file
 *  Reads the services and classes sections. */

#include "bundle_reader.h"

#include <string.h>

#include "bundle_path.h"

#define TARGET_LIMIT_MAX 100000
#define OUTPUT_TOKENS_DEFAULT 4096
#define OUTPUT_TOKENS_MAX 1000000
#define BODY_BYTES_MAX (8u * 1024 * 1024)
#define CALL_TOKENS_DEFAULT 1
#define CALL_TOKENS_MAX 1000000
#define CALL_TIMEOUT_DEFAULT_MS 5000
#define CALL_TIMEOUT_MAX_MS 600000

#define PRIORITY_MAX 100
#define QUEUE_DEFAULT_MS 2000
#define QUEUE_MAX_MS 3600000
#define TOTAL_DEFAULT_MS 60000
#define TOTAL_MAX_MS 86400000
#define QUEUE_LIMIT_DEFAULT 200
#define QUEUE_LIMIT_MAX 100000
#define PERCENT_MAX 100

static void
read_non_idempotent (struct bundle_reader *reader, json_t *value,
                     struct bundle_service_data *service)
{
  json_t *array
      = bundle_reader_strings (reader, value, "non_idempotent", false);
  size_t count = json_array_size (array);
  GPtrArray *patterns = g_ptr_array_new ();
  size_t mark = bundle_reader_enter (reader, "non_idempotent");
  for (size_t i = 0; i < count; i++)
    {
      const char *text = json_string_value (json_array_get (array, i));
      if (!text)
        continue;
      char *pattern = bundle_path_parse_pattern (text);
      size_t inner = bundle_reader_enter_index (reader, i);
      if (pattern)
        g_ptr_array_add (patterns, pattern);
      else
        bundle_reader_add_finding (reader,
                                   "must be \"METHOD /path\"; the method may "
                                   "be *");
      bundle_reader_leave (reader, inner);
    }
  bundle_reader_leave (reader, mark);
  g_ptr_array_add (patterns, NULL);
  service->non_idempotent = (char **)g_ptr_array_free (patterns, FALSE);
}

static void
read_plain (struct bundle_reader *reader, json_t *value,
            struct bundle_service_data *data)
{
  static const char *const known[] = { "kind",
                                       "non_idempotent",
                                       "call_tokens",
                                       "target_limit",
                                       "call_timeout_ms",
                                       "max_body_bytes",
                                       NULL };
  bundle_reader_check_members (reader, value, known);
  data->service.kind = BUNDLE_SERVICE_PLAIN;
  data->service.call_tokens = (uint32_t)bundle_reader_number (
      reader, value, "call_tokens", 0, CALL_TOKENS_MAX, CALL_TOKENS_DEFAULT);
  data->service.call_timeout_ms = (uint32_t)bundle_reader_number (
      reader, value, "call_timeout_ms", 1, CALL_TIMEOUT_MAX_MS,
      CALL_TIMEOUT_DEFAULT_MS);
  read_non_idempotent (reader, value, data);
}

static void
read_model (struct bundle_reader *reader, json_t *value,
            struct bundle_service_data *data)
{
  static const char *const known[]
      = { "kind", "max_output_tokens", "max_body_bytes", "target_limit",
          NULL };
  bundle_reader_check_members (reader, value, known);
  data->service.kind = BUNDLE_SERVICE_MODEL;
  data->service.max_output_tokens = (uint32_t)bundle_reader_number (
      reader, value, "max_output_tokens", 1, OUTPUT_TOKENS_MAX,
      OUTPUT_TOKENS_DEFAULT);
}

static void
read_kind (struct bundle_reader *reader, json_t *value,
           struct bundle_service_data *data)
{
  const char *kind = bundle_reader_string (reader, value, "kind");
  if (kind && strcmp (kind, "model") == 0)
    read_model (reader, value, data);
  else if (kind && strcmp (kind, "plain") == 0)
    read_plain (reader, value, data);
  else if (kind)
    {
      size_t mark = bundle_reader_enter (reader, "kind");
      bundle_reader_add_finding (reader, "must be \"model\" or \"plain\"");
      bundle_reader_leave (reader, mark);
    }
}

static void
read_service (struct bundle_reader *reader, const char *name, json_t *value)
{
  bundle_reader_check_name (reader, name);
  if (!json_is_object (value))
    {
      bundle_reader_add_finding (reader, "must be an object");
      return;
    }
  struct bundle_service_data *data = g_new0 (struct bundle_service_data, 1);
  data->rules = g_ptr_array_new ();
  data->service.name = g_string_chunk_insert (reader->bundle->names, name);
  data->service.target_limit = (uint32_t)bundle_reader_number (
      reader, value, "target_limit", 0, TARGET_LIMIT_MAX, 0);
  data->service.max_body_bytes = (uint32_t)bundle_reader_number (
      reader, value, "max_body_bytes", 1, BODY_BYTES_MAX, CACTUS_BODY_BYTES);
  read_kind (reader, value, data);
  g_ptr_array_add (reader->bundle->services, data);
}

void
bundle_read_services (struct bundle_reader *reader, json_t *section)
{
  size_t count;
  const char **names = bundle_reader_sorted_names (section, &count);
  for (size_t i = 0; i < count; i++)
    {
      size_t mark = bundle_reader_enter (reader, names[i]);
      read_service (reader, names[i], json_object_get (section, names[i]));
      bundle_reader_leave (reader, mark);
    }
  g_free (names);
}

static uint32_t
class_number (struct bundle_reader *reader, json_t *value, const char *member,
              uint32_t minimum, uint32_t maximum, uint32_t fallback)
{
  return (uint32_t)bundle_reader_number (reader, value, member, minimum,
                                         maximum, fallback);
}

static void
check_deadlines (struct bundle_reader *reader,
                 const struct bundle_class *class)
{
  if (class->first_token_ms > class->total_ms)
    {
      size_t mark = bundle_reader_enter (reader, "first_token_ms");
      bundle_reader_add_finding (reader, "must not exceed total_ms (%u)",
                                 class->total_ms);
      bundle_reader_leave (reader, mark);
    }
}

static void
read_class (struct bundle_reader *reader, const char *name, json_t *value)
{
  static const char *const known[]
      = { "priority",    "queue_ms",     "first_token_ms", "total_ms",
          "queue_limit", "slot_percent", "ageing_ms",      NULL };
  bundle_reader_check_name (reader, name);
  if (!bundle_reader_check_members (reader, value, known))
    return;
  struct bundle_class *class = g_new0 (struct bundle_class, 1);
  class->name = g_string_chunk_insert (reader->bundle->names, name);
  class->priority
      = class_number (reader, value, "priority", 0, PRIORITY_MAX, 0);
  class->queue_ms = class_number (reader, value, "queue_ms", 0, QUEUE_MAX_MS,
                                  QUEUE_DEFAULT_MS);
  class->first_token_ms
      = class_number (reader, value, "first_token_ms", 0, TOTAL_MAX_MS, 0);
  class->total_ms = class_number (reader, value, "total_ms", 1, TOTAL_MAX_MS,
                                  TOTAL_DEFAULT_MS);
  class->queue_limit = class_number (reader, value, "queue_limit", 0,
                                     QUEUE_LIMIT_MAX, QUEUE_LIMIT_DEFAULT);
  class->slot_percent = class_number (reader, value, "slot_percent", 1,
                                      PERCENT_MAX, PERCENT_MAX);
  class->ageing_ms
      = class_number (reader, value, "ageing_ms", 0, TOTAL_MAX_MS, 0);
  check_deadlines (reader, class);
  g_ptr_array_add (reader->bundle->classes, class);
}

void
bundle_read_classes (struct bundle_reader *reader, json_t *section)
{
  size_t count;
  const char **names = bundle_reader_sorted_names (section, &count);
  for (size_t i = 0; i < count; i++)
    {
      size_t mark = bundle_reader_enter (reader, names[i]);
      read_class (reader, names[i], json_object_get (section, names[i]));
      bundle_reader_leave (reader, mark);
    }
  g_free (names);
}
