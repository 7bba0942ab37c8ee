#ifndef TEST_GOLDEN_H
#define TEST_GOLDEN_H

/** @file
 *  Compares the text that a test recorded with a golden file. */

#include <glib.h>

/** Fails the test unless @p text equals the file tests/golden/@p name in the
 *  folder CACTUS_SOURCE (default: the current one).  With the environment
 *  variable CACTUS_GOLDEN=write, first overwrites the file with @p text. */
static inline void
test_golden_check (const char *name, const char *text)
{
  const char *source = g_getenv ("CACTUS_SOURCE");
  char *path = g_build_filename (source ? source : ".", "tests", "golden",
                                 name, NULL);
  char *expected = NULL;
  if (g_strcmp0 (g_getenv ("CACTUS_GOLDEN"), "write") == 0)
    g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_assert_true (g_file_get_contents (path, &expected, NULL, NULL));
  g_assert_cmpstr (text, ==, expected);
  g_free (expected);
  g_free (path);
}

#endif
