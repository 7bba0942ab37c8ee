/** @file
 *  Tests of the first line of a response. */

#include <glib.h>

#include "http_status_line.h"

static void
test_statuses (void)
{
  static const char *const invalid[] = { "",
                                         "HTTP/",
                                         "HTTP/1.1",
                                         "HTTP/1.1 ",
                                         "HTTP/1.1 000 Zero",
                                         "HTTP/1.1 099 Low",
                                         "HTTP/1.1 600 High",
                                         "HTTP/1.1 999 High",
                                         "HTTP/1.1 20 Short",
                                         "HTTP/1.1 2000 Long",
                                         "HTTP/1.1 0200 Long",
                                         "HTTP/1.1 200OK",
                                         "HTTP/1.1 2e2 OK",
                                         "HTTP/1.1 +20 OK",
                                         "HTTP/1.1 -200 OK",
                                         "HTTP/1.1  200 OK",
                                         "HTTP/1.1\t200 OK",
                                         "HTTP/1.10 200 OK",
                                         "HTTP/1.x 200 OK",
                                         "HTTP/0.9 200 OK",
                                         "HTTP/2 200",
                                         "HTTP/2.0 200 OK",
                                         "HTTP/3 200",
                                         "http/1.1 200 OK",
                                         "ICY 200 OK" };
  g_assert_cmpuint (http_status_line_read ("HTTP/1.1 200 OK"), ==, 200);
  g_assert_cmpuint (http_status_line_read ("HTTP/1.0 404"), ==, 404);
  g_assert_cmpuint (http_status_line_read ("HTTP/1.1 503\r\n"), ==, 503);
  g_assert_cmpuint (http_status_line_read ("HTTP/1.1 100 "), ==, 100);
  g_assert_cmpuint (http_status_line_read ("HTTP/1.1 599 x"), ==, 599);
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    g_assert_cmpuint (http_status_line_read (invalid[i]), ==, 0);
  g_assert_true (http_status_line_begins ("HTTP/1.1 000 Zero"));
  g_assert_false (http_status_line_begins ("X-Status: HTTP/1.1 200"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-status-line/statuses", test_statuses);
  return g_test_run ();
}
