#include "log_timeline.h"

#include <string.h>

#include "log_line.h"

/* Time before the first line of the request from which lines are kept, in ms:
   for events of a router's connections, and for changes of a target's
   state. */
#define LINK_EVENTS_BEFORE_MS 10000
#define TARGET_EVENTS_BEFORE_MS 5000
/* Write-offs are kept for a longer time before the request, because the tokens
   that they took are not returned. */
#define WRITE_OFFS_BEFORE_MS 600000
#define MS_PER_S 1000

struct log_timeline
{
  char *request_id;
  /* Sets of names: the routers that handled the request, its client account,
     and the targets it was sent to. */
  GHashTable *hosts;
  GHashTable *accounts;
  GHashTable *targets;
  /* Times of the first and last line of the request. */
  int64_t first_ms;
  int64_t last_ms;
  /* Lines to print (struct log_line). */
  GPtrArray *lines;
  /* Latest "lease" line of the account at a router of the request, up to the
     last line of the request; or NULL. */
  struct log_line *lease;
  /* The "request-over" line, an element of lines; or NULL. */
  const struct log_line *end;
};

/* Events about a router's connections to control and its configuration. */
static const char *const link_events[]
    = { "started",          "stopping",          "stopped",
        "member-lost",      "member-regained",   "table-in-force",
        "lease-unanswered", "settings-reloaded", "log-lines-dropped" };

static void
free_line (gpointer data)
{
  log_line_clear (data);
  g_free (data);
}

struct log_timeline *
log_timeline_create (const char *request_id)
{
  struct log_timeline *timeline = g_new0 (struct log_timeline, 1);
  timeline->request_id = g_strdup (request_id);
  timeline->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  timeline->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  timeline->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  timeline->lines = g_ptr_array_new_with_free_func (free_line);
  return timeline;
}

void
log_timeline_destroy (struct log_timeline *timeline)
{
  if (!timeline)
    return;
  g_free (timeline->request_id);
  g_hash_table_unref (timeline->hosts);
  g_hash_table_unref (timeline->accounts);
  g_hash_table_unref (timeline->targets);
  g_ptr_array_unref (timeline->lines);
  if (timeline->lease)
    free_line (timeline->lease);
  g_free (timeline);
}

bool
log_timeline_is_found (const struct log_timeline *timeline)
{
  return g_hash_table_size (timeline->hosts) > 0;
}

static void
add_value (GHashTable *set, char *value)
{
  if (value && strcmp (value, "-") != 0)
    g_hash_table_add (set, value);
  else
    g_free (value);
}

void
log_timeline_scan (struct log_timeline *timeline, const char *text)
{
  struct log_line line;
  if (!strstr (text, timeline->request_id) || !log_line_parse (text, &line))
    return;
  if (log_line_has_field (&line, "id", timeline->request_id))
    {
      bool is_first = !log_timeline_is_found (timeline);
      timeline->first_ms
          = is_first ? line.time_ms : MIN (timeline->first_ms, line.time_ms);
      timeline->last_ms
          = is_first ? line.time_ms : MAX (timeline->last_ms, line.time_ms);
      g_hash_table_add (timeline->hosts, g_strdup (line.host));
      add_value (timeline->accounts, log_line_field (&line, "account"));
      add_value (timeline->targets, log_line_field (&line, "target"));
    }
  log_line_clear (&line);
}

static bool
has_value_in (GHashTable *set, const struct log_line *line, const char *key)
{
  char *value = log_line_field (line, key);
  bool found = value && g_hash_table_contains (set, value);
  g_free (value);
  return found;
}

static bool
is_link_event (const char *event)
{
  for (size_t i = 0; i < G_N_ELEMENTS (link_events); i++)
    if (strcmp (event, link_events[i]) == 0)
      return true;
  return false;
}

/* Whether the same write-off was added before: each control member logs it
   when it applies the entry, and once more when it replays the log after a
   restart. */
static bool
is_duplicate (const struct log_timeline *timeline, const struct log_line *line)
{
  for (guint i = 0; i < timeline->lines->len; i++)
    {
      const struct log_line *kept = timeline->lines->pdata[i];
      if (strcmp (kept->event, "lease-reclaimed") == 0
          && strcmp (kept->fields, line->fields) == 0)
        return true;
    }
  return false;
}

/* Whether the line may explain the outcome of the request. */
static bool
is_relevant (const struct log_timeline *timeline, const struct log_line *line)
{
  int64_t before_ms = timeline->first_ms - line->time_ms;
  if (log_line_has_field (line, "id", timeline->request_id))
    return true;
  if (line->time_ms > timeline->last_ms)
    return false;
  if (strcmp (line->event, "lease-reclaimed") == 0)
    return before_ms <= WRITE_OFFS_BEFORE_MS
           && has_value_in (timeline->accounts, line, "account")
           && !is_duplicate (timeline, line);
  if (g_str_has_prefix (line->event, "target-"))
    return before_ms <= TARGET_EVENTS_BEFORE_MS
           && g_hash_table_contains (timeline->hosts, line->host)
           && has_value_in (timeline->targets, line, "target");
  return before_ms <= LINK_EVENTS_BEFORE_MS && is_link_event (line->event)
         && g_hash_table_contains (timeline->hosts, line->host);
}

static bool
is_newer_lease (const struct log_timeline *timeline,
                const struct log_line *line)
{
  return strcmp (line->event, "lease") == 0
         && line->time_ms <= timeline->last_ms
         && g_hash_table_contains (timeline->hosts, line->host)
         && has_value_in (timeline->accounts, line, "account")
         && (!timeline->lease || line->time_ms >= timeline->lease->time_ms);
}

void
log_timeline_collect (struct log_timeline *timeline, const char *text)
{
  struct log_line *line = g_new0 (struct log_line, 1);
  if (!log_line_parse (text, line))
    {
      g_free (line);
      return;
    }
  if (is_relevant (timeline, line))
    {
      g_ptr_array_add (timeline->lines, line);
      if (strcmp (line->event, "request-over") == 0)
        timeline->end = line;
    }
  else if (is_newer_lease (timeline, line))
    {
      if (timeline->lease)
        free_line (timeline->lease);
      timeline->lease = line;
    }
  else
    free_line (line);
}

static gint
compare_times (gconstpointer one, gconstpointer other)
{
  const struct log_line *first = *(const struct log_line *const *)one;
  const struct log_line *second = *(const struct log_line *const *)other;
  return (first->time_ms > second->time_ms)
         - (first->time_ms < second->time_ms);
}

static void
print_line (const struct log_timeline *timeline, const struct log_line *line,
            GString *text)
{
  g_string_append_printf (text, "%+10.3f s  %-20s %s %s\n",
                          (double)(line->time_ms - timeline->first_ms)
                              / MS_PER_S,
                          line->host, line->event, line->fields);
}

static void
print_end (const struct log_line *end, GString *text)
{
  char *outcome = log_line_field (end, "outcome");
  char *status = log_line_field (end, "status");
  char *reason = log_line_field (end, "reason");
  char *sends = log_line_field (end, "sends");
  char *runs = log_line_field (end, "runs");
  char *age_ms = log_line_field (end, "age_ms");
  g_string_append_printf (
      text,
      "\n%s with status %s after %s ms at %s; sent %s times, may have "
      "run %s times\n",
      outcome ? outcome : "over", status ? status : "-", age_ms ? age_ms : "-",
      end->host, sends ? sends : "-", runs ? runs : "-");
  if (reason && strcmp (reason, "-") != 0)
    g_string_append_printf (text, "reason: %s\n", reason);
  g_free (outcome);
  g_free (status);
  g_free (reason);
  g_free (sends);
  g_free (runs);
  g_free (age_ms);
}

/* Prints the last lease result of the account and its age at the last line of
   the request. */
static void
print_lease (const struct log_timeline *timeline, GString *text)
{
  const struct log_line *lease = timeline->lease;
  g_string_append_printf (
      text, "last lease result before the end, %.3f s old: %s\n",
      (double)(timeline->last_ms - lease->time_ms) / MS_PER_S, lease->fields);
}

void
log_timeline_print (struct log_timeline *timeline, GString *text)
{
  g_ptr_array_sort (timeline->lines, compare_times);
  for (guint i = 0; i < timeline->lines->len; i++)
    print_line (timeline, timeline->lines->pdata[i], text);
  if (timeline->end)
    print_end (timeline->end, text);
  else
    g_string_append (text, "\nno end of the request in these logs: its router "
                           "stopped, or log lines were dropped\n");
  if (timeline->lease)
    print_lease (timeline, text);
}
