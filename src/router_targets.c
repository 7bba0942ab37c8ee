#include "router_targets.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base_clock.h"
#include "base_json.h"
#include "cactus_config.h"
#include "gossip.h"

#define LIST_MAX 4096

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static void
read_text (const json_t *document, const char *name, char *text,
           size_t text_bytes, struct base_findings *findings)
{
  const char *value = json_string_value (json_object_get (document, name));
  char *path = g_strdup_printf ("$.%s", name);
  if (!value || *value == '\0')
    base_findings_add (findings, path, "must be a non-empty string");
  else if (strlen (value) >= text_bytes)
    base_findings_add (findings, path, "is longer than %zu bytes",
                       text_bytes - 1);
  else
    g_strlcpy (text, value, text_bytes);
  g_free (path);
}

static uint64_t
read_number (const json_t *document, const char *name, json_int_t minimum,
             json_int_t maximum, struct base_findings *findings)
{
  const json_t *value = json_object_get (document, name);
  json_int_t number = json_integer_value (value);
  char *path = g_strdup_printf ("$.%s", name);
  if (!json_is_integer (value) || number < minimum || number > maximum)
    base_findings_add (findings, path,
                       "must be a whole number from %lld to %lld",
                       (long long)minimum, (long long)maximum);
  g_free (path);
  return number > 0 ? (uint64_t)number : 0;
}

static void
read_record (struct registry_record *record, const json_t *document,
             struct base_findings *findings)
{
  struct in_addr parsed;
  read_text (document, "target", record->target, sizeof record->target,
             findings);
  read_text (document, "service", record->service, sizeof record->service,
             findings);
  read_text (document, "availability_zone", record->availability_zone,
             sizeof record->availability_zone, findings);
  read_text (document, "region", record->region, sizeof record->region,
             findings);
  read_text (document, "address", record->address, sizeof record->address,
             findings);
  if (record->address[0] && inet_pton (AF_INET, record->address, &parsed) != 1)
    base_findings_add (findings, "$.address", "must be an IPv4 address");
  record->port
      = (uint16_t)read_number (document, "port", 1, UINT16_MAX, findings);
  record->incarnation
      = read_number (document, "incarnation", 1, INT64_MAX, findings);
  record->sequence
      = read_number (document, "sequence", 0, INT64_MAX, findings);
  record->slots
      = (uint32_t)read_number (document, "slots", 1, INT32_MAX, findings);
  record->running
      = (uint32_t)read_number (document, "running", 0, INT32_MAX, findings);
  record->queued
      = (uint32_t)read_number (document, "queued", 0, INT32_MAX, findings);
  record->weight
      = (uint32_t)read_number (document, "weight", 1, 1000, findings);
  record->leaving = json_is_true (json_object_get (document, "leaving"));
}

int
router_targets_read (struct registry_record *record, const char *body,
                     size_t bytes, uint64_t received_ms,
                     struct base_findings *findings)
{
  json_error_t error;
  size_t before = base_findings_count (findings);
  memset (record, 0, sizeof *record);
  record->last_report_ms = received_ms;
  json_t *document = base_json_load (body, bytes, 0, &error);
  if (!document)
    base_findings_add (findings, "$", "line %d column %d: %s", error.line,
                       error.column, error.text);
  else
    read_record (record, document, findings);
  json_decref (document);
  return base_findings_count (findings) == before ? 0 : -1;
}

static enum MHD_Result
respond (struct MHD_Connection *connection, unsigned int status, char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", "application/json");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static char *
print_findings (struct base_findings *findings)
{
  char *joined = base_findings_join (findings);
  json_t *object = json_pack (
      "{s:{s:s, s:s, s:s}}", "error", "type", "invalid_request_error", "code",
      "invalid_announcement", "message", g_strchomp (joined));
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  g_free (joined);
  return text;
}

static void
merge_record (struct router *router, const struct registry_record *record,
              struct base_findings *findings)
{
  struct gossip *gossip = atomic_load (&router->gossip);
  enum registry_outcome outcome
      = registry_merge (router->registry, record, now_ms ());
  if (outcome == REGISTRY_INVALID)
    base_findings_add (findings, "$",
                       "a name is empty or a value is out of range");
  else if (outcome == REGISTRY_MERGED && record->leaving && gossip)
    gossip_announce_departure (gossip, record);
}

enum MHD_Result
router_targets_announce (struct router *router,
                         struct MHD_Connection *connection, const char *body,
                         size_t bytes)
{
  enum MHD_Result result;
  struct registry_record record;
  struct base_findings *findings = base_findings_create ();
  if (router_targets_read (&record, body, bytes, now_ms (), findings) == 0)
    merge_record (router, &record, findings);
  if (base_findings_count (findings) > 0)
    result = respond (connection, MHD_HTTP_BAD_REQUEST,
                      print_findings (findings));
  else
    result = respond (connection, MHD_HTTP_OK,
                      strdup ("{\"interval_ms\":" G_STRINGIFY (
                          CACTUS_ANNOUNCE_INTERVAL_MS) "}"));
  base_findings_destroy (findings);
  return result;
}

static json_t *
print_record (const struct registry_record *record, uint64_t now)
{
  uint64_t age
      = now > record->last_report_ms ? now - record->last_report_ms : 0;
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:I, s:I, s:b, s:I, s:I, s:I, s:I, s:I}",
      "target", record->target, "service", record->service,
      "availability_zone", record->availability_zone, "region", record->region,
      "address", record->address, "port", (int)record->port, "incarnation",
      (json_int_t)record->incarnation, "sequence",
      (json_int_t)record->sequence, "leaving", (int)record->leaving, "slots",
      (json_int_t)record->slots, "running", (json_int_t)record->running,
      "queued", (json_int_t)record->queued, "weight",
      (json_int_t)record->weight, "age_ms", (json_int_t)age);
}

enum MHD_Result
router_targets_list (struct registry *registry,
                     struct MHD_Connection *connection)
{
  uint64_t now = now_ms ();
  json_t *list = json_array ();
  struct registry_record *records = g_new (struct registry_record, LIST_MAX);
  size_t limit = MIN (registry_count (registry), LIST_MAX);
  size_t count = registry_slice (registry, 0, records, limit);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, print_record (&records[i], now));
  char *text = json_dumps (list, JSON_COMPACT);
  json_decref (list);
  g_free (records);
  return respond (connection, MHD_HTTP_OK, text);
}
