/** @file
 *  Tests of splitting a stream into complete events. */

#include <string.h>

#include <glib.h>

#include "edge_events.h"

#define LIMIT_BYTES 1000

/* The bytes may arrive split at any position. */
static void
test_any_cut (void)
{
  static const char stream[]
      = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";
  size_t bytes = strlen (stream);
  for (size_t cut = 0; cut <= bytes; cut++)
    {
      GString *out = g_string_new (NULL);
      struct edge_events *events = edge_events_create (LIMIT_BYTES, -1);
      int count = edge_events_feed (events, stream, cut, out);
      count += edge_events_feed (events, stream + cut, bytes - cut, out);
      g_assert_cmpint (count, ==, 3);
      g_assert_cmpstr (out->str, ==, stream);
      g_assert_cmpint (edge_events_last_id (events), ==, 3);
      g_assert_false (edge_events_has_partial (events));
      edge_events_destroy (events);
      g_string_free (out, TRUE);
    }
}

static void
test_broken_event_is_dropped_on_resume (void)
{
  GString *out = g_string_new (NULL);
  struct edge_events *events = edge_events_create (LIMIT_BYTES, -1);
  const char *first = "id: 4\ndata: a\n\nid: 5\ndata: hal";
  const char *second = "id: 4\ndata: a\n\nid: 5\ndata: half\n\n";
  g_assert_cmpint (edge_events_feed (events, first, strlen (first), out), ==,
                   1);
  g_assert_true (edge_events_has_partial (events));
  edge_events_discard_partial (events);
  g_assert_false (edge_events_has_partial (events));
  g_assert_cmpint (edge_events_feed (events, second, strlen (second), out), ==,
                   1);
  g_assert_cmpstr (out->str, ==, "id: 4\ndata: a\n\nid: 5\ndata: half\n\n");
  edge_events_destroy (events);
  g_string_free (out, TRUE);
}

/* A caller that resumes a stream gets only events that it has not received. */
static void
test_caller_has_some (void)
{
  GString *out = g_string_new (NULL);
  struct edge_events *events = edge_events_create (LIMIT_BYTES, 2);
  const char *stream = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  g_assert_cmpint (edge_events_feed (events, stream, strlen (stream), out), ==,
                   1);
  g_assert_cmpstr (out->str, ==, "id: 3\ndata: c\n\n");
  edge_events_destroy (events);
  g_string_free (out, TRUE);
}

static void
test_too_long (void)
{
  GString *out = g_string_new (NULL);
  struct edge_events *events = edge_events_create (10, -1);
  const char *stream = "data: far too long";
  g_assert_cmpint (edge_events_feed (events, stream, strlen (stream), out), ==,
                   -1);
  edge_events_destroy (events);
  g_string_free (out, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-events/any-cut", test_any_cut);
  g_test_add_func ("/edge-events/broken-event-is-dropped-on-resume",
                   test_broken_event_is_dropped_on_resume);
  g_test_add_func ("/edge-events/caller-has-some", test_caller_has_some);
  g_test_add_func ("/edge-events/too-long", test_too_long);
  return g_test_run ();
}
