/** @file
 *  Tests of the parser of server-sent events. */

#include <string.h>

#include <glib.h>

#include "base_random.h"
#include "http_sse.h"

#define LIMIT_BYTES 256

static void
collect_event (void *context, const char *data, size_t bytes)
{
  GString *events = context;
  g_string_append_c (events, '[');
  g_string_append_len (events, data, (gssize)bytes);
  g_string_append_c (events, ']');
}

/* Parses @p text in pieces of random size.  Returns the events as
   "[a][b]". */
static char *
read_events (const char *text, struct base_random *random, int *result)
{
  GString *events = g_string_new (NULL);
  struct http_sse *sse = http_sse_create (LIMIT_BYTES, collect_event, events);
  size_t left = strlen (text);
  *result = 0;
  while (left > 0 && *result == 0)
    {
      size_t piece = 1 + base_random_below (random, left);
      *result = http_sse_feed (sse, text, piece);
      text += piece;
      left -= piece;
    }
  http_sse_destroy (sse);
  return g_string_free (events, FALSE);
}

static void
check_events (const char *text, const char *expected)
{
  struct base_random random;
  base_random_seed (&random, 7);
  for (int round = 0; round < 200; round++)
    {
      int result;
      char *events = read_events (text, &random, &result);
      g_assert_cmpint (result, ==, 0);
      g_assert_cmpstr (events, ==, expected);
      g_free (events);
    }
}

static void
test_grammar (void)
{
  check_events ("data: a\n\ndata:b\n\n", "[a][b]");
  check_events ("data: a\r\n\r\ndata: b\r\rdata: c\n\n", "[a][b][c]");
  check_events ("data: one\ndata: two\n\n", "[one\ntwo]");
  check_events (": comment\nevent: x\nid: 3\ndata: a\n\n", "[a]");
  check_events ("data\n\n", "[]");
  check_events ("data:  two spaces\n\n", "[ two spaces]");
  check_events ("database: no\n\ndata: whole\n\ndata: cut\n", "[whole]");
}

static void
test_limit (void)
{
  struct base_random random;
  base_random_seed (&random, 11);
  char *long_value = g_strnfill (LIMIT_BYTES, 'x');
  char *text
      = g_strconcat ("data: a\n\ndata: ", long_value, "\n\ndata: b\n\n", NULL);
  for (int round = 0; round < 200; round++)
    {
      int result;
      char *events = read_events (text, &random, &result);
      g_assert_cmpint (result, ==, -1);
      g_assert_cmpstr (events, ==, "[a]");
      g_free (events);
    }
  g_free (text);
  g_free (long_value);
}

static void
test_partial (void)
{
  GString *events = g_string_new (NULL);
  struct http_sse *sse = http_sse_create (LIMIT_BYTES, collect_event, events);
  g_assert_false (http_sse_is_partial (sse));
  http_sse_feed (sse, "data: a\n\n", 9);
  g_assert_false (http_sse_is_partial (sse));
  http_sse_feed (sse, "data: b\n", 8);
  g_assert_true (http_sse_is_partial (sse));
  http_sse_destroy (sse);
  g_string_free (events, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/sse/grammar", test_grammar);
  g_test_add_func ("/http/sse/limit", test_limit);
  g_test_add_func ("/http/sse/partial", test_partial);
  return g_test_run ();
}
