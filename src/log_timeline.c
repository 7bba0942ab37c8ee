#include "log_timeline.h"

#include <string.h>

#include "log_line.h"

/* Time before the request's first line from which lines count, in
   milliseconds: a router's links, and a target's state. */
#define LINKS_BEFORE_MS 10000
#define TARGET_BEFORE_MS 5000
/* Write-offs are of interest for longer: what they took is gone for good. */
#define WRITE_OFFS_BEFORE_MS 600000
#define MS_PER_S 1000

struct log_timeline
{
  char *request_id;
  /* Routers that had the request, its client account, the targets it was sent
     to; all as sets. */
  GHashTable *hosts;
  GHashTable *accounts;
  GHashTable *targets;
  int64_t first_ms;
  int64_t last_ms;
  /* struct log_line. */
  GPtrArray *lines;
  /* Newest lease line of the account at a router of the request before its
     end. */
  struct log_line *lease;
  /* How the request ended, one of lines, or NULL. */
  const struct log_line *end;
};

/* Events about a router's links and configuration. */
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
note_value (GHashTable *set, char *value)
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
      note_value (timeline->accounts, log_line_field (&line, "account"));
      note_value (timeline->targets, log_line_field (&line, "target"));
    }
  log_line_clear (&line);
}

static bool
is_in (GHashTable *set, const struct log_line *line, const char *key)
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

/* Each control member logs a write-off as it applies it, again after a
   start. */
static bool
is_repeated (const struct log_timeline *timeline, const struct log_line *line)
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

/* Whether the line may have to do with how the request ended. */
static bool
concerns (const struct log_timeline *timeline, const struct log_line *line)
{
  int64_t before_ms = timeline->first_ms - line->time_ms;
  if (log_line_has_field (line, "id", timeline->request_id))
    return true;
  if (line->time_ms > timeline->last_ms)
    return false;
  if (strcmp (line->event, "lease-reclaimed") == 0)
    return before_ms <= WRITE_OFFS_BEFORE_MS
           && is_in (timeline->accounts, line, "account")
           && !is_repeated (timeline, line);
  if (g_str_has_prefix (line->event, "target-"))
    return before_ms <= TARGET_BEFORE_MS
           && g_hash_table_contains (timeline->hosts, line->host)
           && is_in (timeline->targets, line, "target");
  return before_ms <= LINKS_BEFORE_MS && is_link_event (line->event)
         && g_hash_table_contains (timeline->hosts, line->host);
}

static bool
is_newer_lease (const struct log_timeline *timeline,
                const struct log_line *line)
{
  return strcmp (line->event, "lease") == 0
         && line->time_ms <= timeline->last_ms
         && g_hash_table_contains (timeline->hosts, line->host)
         && is_in (timeline->accounts, line, "account")
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
  if (concerns (timeline, line))
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

/* How old the router's word on the account was, and the word. */
static void
print_lease (const struct log_timeline *timeline, GString *text)
{
  const struct log_line *lease = timeline->lease;
  g_string_append_printf (
      text, "last lease before it, %.3f s old: %s\n",
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
    g_string_append (text, "\nnot over by these logs: its router ended, or "
                           "lines were dropped\n");
  if (timeline->lease)
    print_lease (timeline, text);
}
