/** @file
 *  Tests of the parser of log lines, and of a request's timeline from the logs
 *  of several processes. */

#include <string.h>

#include <glib.h>

#include "log_line.h"
#include "log_timeline.h"

#define DAY "2026-12-04T"

/* Lines of a request that was refused while its router had no connection to
   control, among unrelated lines. */
static const char *const lines[] = {
  DAY "10:00:00.000Z r1 started zone=a",
  DAY "10:00:20.000Z r1 member-lost address=10.0.0.1:7480 status=lost",
  DAY "10:00:20.500Z r2 member-lost address=10.0.0.1:7480 status=lost",
  DAY "10:00:19.000Z r1 lease account=acme granted_tokens=0 free_tokens=900",
  DAY "10:00:19.500Z r1 lease account=acme granted_tokens=0 free_tokens=30",
  DAY "10:00:19.700Z r1 lease account=other granted_tokens=0 free_tokens=7",
  "<6>" DAY "09:59:30.000Z cactus-core[c1]: lease-reclaimed router=r3 "
  "account=acme unused_tokens=5 leased_tokens=900",
  "<6>" DAY "09:59:30.100Z cactus-core[c2]: lease-reclaimed router=r3 "
  "account=acme unused_tokens=5 leased_tokens=900",
  DAY "10:00:22.000Z r1 lease-wait id=ab12 account=acme tokens=500 "
      "free_tokens=30 answered_ago_ms=2100",
  DAY "10:00:22.000Z r1 lease-wait id=ab123 account=acme tokens=1",
  DAY "10:00:22.001Z r1 request-over id=ab12 outcome=refused status=503 "
      "reason=\"this router lacks tokens and control is cut off\" "
      "account=acme target=- sends=0 runs=0 age_ms=1",
  DAY "10:00:25.000Z r1 member-regained address=10.0.0.1:7480",
  "no line of ours",
  "",
};

static void
test_lines (void)
{
  struct log_line line;
  g_assert_true (log_line_parse (lines[10], &line));
  g_assert_cmpstr (line.host, ==, "r1");
  g_assert_cmpstr (line.event, ==, "request-over");
  char *reason = log_line_field (&line, "reason");
  g_assert_cmpstr (reason, ==,
                   "this router lacks tokens and control is cut off");
  g_free (reason);
  g_assert_true (log_line_has_field (&line, "age_ms", "1"));
  g_assert_false (log_line_has_field (&line, "age", "1"));
  g_assert_null (log_line_field (&line, "tokens"));
  log_line_clear (&line);
  g_assert_true (log_line_parse (lines[6], &line));
  g_assert_cmpstr (line.host, ==, "c1");
  g_assert_cmpstr (line.event, ==, "lease-reclaimed");
  log_line_clear (&line);
  g_assert_false (log_line_parse ("no line of ours", &line));
  g_assert_false (log_line_parse ("", &line));
  g_assert_true (log_line_parse (DAY "10:00:00.000Z r1 odd a=\"cut", &line));
  char *cut = log_line_field (&line, "a");
  g_assert_nonnull (cut);
  g_free (cut);
  log_line_clear (&line);
}

static char *
print_timeline (const char *id)
{
  struct log_timeline *timeline = log_timeline_create (id);
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < G_N_ELEMENTS (lines); i++)
    log_timeline_scan (timeline, lines[i]);
  for (uint32_t i = 0; i < G_N_ELEMENTS (lines); i++)
    log_timeline_collect (timeline, lines[i]);
  if (log_timeline_is_found (timeline))
    log_timeline_print (timeline, text);
  log_timeline_destroy (timeline);
  return g_string_free (text, FALSE);
}

static void
test_timeline (void)
{
  char *text = print_timeline ("ab12");
  g_assert_cmpstr (
      text, ==,
      "   -52.000 s  c1                   lease-reclaimed router=r3 "
      "account=acme unused_tokens=5 leased_tokens=900\n"
      "    -2.000 s  r1                   member-lost address=10.0.0.1:7480 "
      "status=lost\n"
      "    +0.000 s  r1                   lease-wait id=ab12 account=acme "
      "tokens=500 free_tokens=30 answered_ago_ms=2100\n"
      "    +0.001 s  r1                   request-over id=ab12 "
      "outcome=refused status=503 reason=\"this router lacks tokens and "
      "control is cut off\" account=acme target=- sends=0 runs=0 age_ms=1\n"
      "\nrefused with status 503 after 1 ms at r1; sent 0 times, may have run "
      "0 times\n"
      "reason: this router lacks tokens and control is cut off\n"
      "last lease result before the end, 2.501 s old: account=acme "
      "granted_tokens=0 "
      "free_tokens=30\n");
  g_free (text);
}

static void
test_unknown_request (void)
{
  char *text = print_timeline ("ab1");
  g_assert_cmpstr (text, ==, "");
  g_free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log-timeline/lines", test_lines);
  g_test_add_func ("/log-timeline/timeline", test_timeline);
  g_test_add_func ("/log-timeline/unknown-request", test_unknown_request);
  return g_test_run ();
}
