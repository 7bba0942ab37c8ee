/** @file
 *  Tests of the event log: the rate limit of each event, and lines dropped
 *  instead of blocking when the reader is slow. */

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base_event.h"
#include "base_event_limit.h"

/* Last call of record_report, and number of calls. */
struct report
{
  char event[40];
  uint64_t lines;
  uint32_t calls;
};

static void
record_report (void *context, const char *event, uint64_t lines)
{
  struct report *report = context;
  g_strlcpy (report->event, event, sizeof report->event);
  report->lines = lines;
  report->calls++;
}

static void
test_limit (void)
{
  struct base_event_limit *limit = base_event_limit_create ();
  struct report report = { .calls = 0 };
  uint32_t taken = 0;
  for (uint32_t i = 0; i < 3 * BASE_EVENT_LIMIT_LINES; i++)
    taken += base_event_limit_allow (limit, "send id=%s", 100);
  g_assert_cmpuint (taken, ==, BASE_EVENT_LIMIT_LINES);
  /* The limit applies to one event and one second only. */
  g_assert_true (base_event_limit_allow (limit, "send-again id=%s", 100));
  base_event_limit_report (limit, 100, record_report, &report);
  g_assert_cmpuint (report.calls, ==, 0);
  base_event_limit_report (limit, 101, record_report, &report);
  g_assert_cmpuint (report.calls, ==, 1);
  g_assert_cmpstr (report.event, ==, "send");
  g_assert_cmpuint (report.lines, ==, 2 * BASE_EVENT_LIMIT_LINES);
  base_event_limit_report (limit, 102, record_report, &report);
  g_assert_cmpuint (report.calls, ==, 1);
  g_assert_true (base_event_limit_allow (limit, "send id=%s", 101));
  base_event_limit_destroy (limit);
}

/* The reader has stopped and the pipe is full: lines are dropped and counted,
   and the writer doesn't block. */
static void
test_stopped_reader (void)
{
  int pipe_ends[2];
  int saved_stdout = dup (STDOUT_FILENO);
  g_assert_cmpint (pipe2 (pipe_ends, O_CLOEXEC), ==, 0);
  g_assert_cmpint (dup2 (pipe_ends[1], STDOUT_FILENO), >=, 0);
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
  dup2 (saved_stdout, STDOUT_FILENO);
  close (saved_stdout);
  close (pipe_ends[0]);
  close (pipe_ends[1]);
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
