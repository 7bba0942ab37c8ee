/** @file
 *  Tests of the decision whether a response is whole or broke off. */

#include <string.h>

#include <glib.h>

#include "http_ending.h"

static void
test_delimiters (void)
{
  enum http_body_end end = HTTP_BODY_END_CONNECTION;
  http_body_end_read (&end, "Content-Lengths", 15);
  g_assert_cmpint (end, ==, HTTP_BODY_END_CONNECTION);
  http_body_end_read (&end, "content-length: 3", 14);
  g_assert_cmpint (end, ==, HTTP_BODY_END_LENGTH);
  http_body_end_read (&end, "Transfer-Encoding", 17);
  g_assert_cmpint (end, ==, HTTP_BODY_END_CHUNKS);
  http_body_end_read (&end, "Content-Length", 14);
  g_assert_cmpint (end, ==, HTTP_BODY_END_CHUNKS);
  end = HTTP_BODY_END_CONNECTION;
  http_body_end_read_status (&end, 200);
  g_assert_cmpint (end, ==, HTTP_BODY_END_CONNECTION);
  http_body_end_read_status (&end, 204);
  g_assert_cmpint (end, ==, HTTP_BODY_END_LENGTH);
}

/* All combinations: a response is whole only with its head, and with its
   framing or the stream's own last event; a stream also only after a whole
   event, and what the connection delimits only after the whole request. */
static void
test_every_combination (void)
{
  for (uint32_t bits = 0; bits < 256; bits++)
    for (int end = HTTP_BODY_END_CONNECTION; end <= HTTP_BODY_END_CHUNKS;
         end++)
      {
        const struct http_ending ending
            = { .has_head = bits & 1,
                .is_framed = bits & 2,
                .body_end = (enum http_body_end)end,
                .is_stream = bits & 4,
                .is_resumed = bits & 8,
                .events = bits & 16 ? 3 : 0,
                .has_partial_event = bits & 32,
                .has_last_event = bits & 64,
                .is_request_unsent = bits & 128 };
        bool has_content = ending.events > 0 || ending.is_resumed
                           || ending.body_end != HTTP_BODY_END_CONNECTION;
        bool is_early = ending.is_request_unsent
                        && ending.body_end == HTTP_BODY_END_CONNECTION;
        bool is_whole = ending.has_head && ending.is_framed && !is_early
                        && (!ending.is_stream
                            || (!ending.has_partial_event && has_content));
        if (ending.has_head && ending.is_stream && ending.has_last_event)
          is_whole = true;
        g_assert_cmpint (!http_ending_fault (&ending), ==, is_whole);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-ending/delimiters", test_delimiters);
  g_test_add_func ("/http-ending/every-combination", test_every_combination);
  return g_test_run ();
}
