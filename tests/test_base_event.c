/** @file
 *  Tests of the lines on standard output: bounded by event, and never waiting
 *  for a reader. */

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base_event.h"
#include "base_event_limit.h"

struct told
{
  char event[40];
  uint64_t lines;
  uint32_t calls;
};

static void
note (void *context, const char *event, uint64_t lines)
{
  struct told *told = context;
  g_strlcpy (told->event, event, sizeof told->event);
  told->lines = lines;
  told->calls++;
}

static void
test_limit (void)
{
  struct base_event_limit *limit = base_event_limit_create ();
  struct told told = { .calls = 0 };
  uint32_t taken = 0;
  for (uint32_t i = 0; i < 3 * BASE_EVENT_LIMIT_LINES; i++)
    taken += base_event_limit_allow (limit, "send id=%s", 100);
  g_assert_cmpuint (taken, ==, BASE_EVENT_LIMIT_LINES);
  /* Another event, and the next second, are not bounded by it. */
  g_assert_true (base_event_limit_allow (limit, "send-again id=%s", 100));
  base_event_limit_report (limit, 100, note, &told);
  g_assert_cmpuint (told.calls, ==, 0);
  base_event_limit_report (limit, 101, note, &told);
  g_assert_cmpuint (told.calls, ==, 1);
  g_assert_cmpstr (told.event, ==, "send");
  g_assert_cmpuint (told.lines, ==, 2 * BASE_EVENT_LIMIT_LINES);
  base_event_limit_report (limit, 102, note, &told);
  g_assert_cmpuint (told.calls, ==, 1);
  g_assert_true (base_event_limit_allow (limit, "send id=%s", 101));
  base_event_limit_destroy (limit);
}

/* A reader that has stopped: lines are dropped and counted, and the writer
   goes on. */
static void
test_stopped_reader (void)
{
  int ends[2];
  int saved = dup (STDOUT_FILENO);
  g_assert_cmpint (pipe2 (ends, O_CLOEXEC), ==, 0);
  g_assert_cmpint (dup2 (ends[1], STDOUT_FILENO), >=, 0);
  base_event_open ("h");
  for (uint32_t i = 0; i < 40; i++)
    for (uint32_t event = 0; event < 200; event++)
      {
        char format[64];
        g_snprintf (format, sizeof format, "event-%u n=%%u", event);
        base_event (format, i);
      }
  base_event_flush ();
  uint64_t dropped = base_event_dropped ();
  dup2 (saved, STDOUT_FILENO);
  close (saved);
  close (ends[0]);
  close (ends[1]);
  g_assert_cmpuint (dropped, >, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base-event/limit", test_limit);
  g_test_add_func ("/base-event/stopped-reader", test_stopped_reader);
  return g_test_run ();
}
