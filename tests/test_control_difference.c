/** @file
 *  Tests of differences between configuration documents. */

#include <string.h>

#include <glib.h>

#include "base_deflate.h"
#include "base_random.h"
#include "control_difference.h"

#define ROUNDS 2000

/* Returns a random text of @p objects objects, with runs that repeat. */
static GString *
random_text (struct base_random *random, uint32_t objects)
{
  GString *text = g_string_new ("[");
  for (uint32_t i = 0; i < objects; i++)
    {
      int value_bytes = (int)base_random_below (random, 40);
      unsigned number = (unsigned)base_random_below (random, 50);
      g_string_append_printf (text, "{\"n\":%u,\"v\":\"%*s\"},", number,
                              value_bytes, "");
    }
  g_string_append_c (text, ']');
  return text;
}

/* Inserts, removes or changes some bytes. */
static void
edit_text (struct base_random *random, GString *text)
{
  gsize at = base_random_below (random, text->len + 1);
  gsize bytes = base_random_below (random, 200);
  if (base_random_below (random, 2) == 0)
    g_string_erase (text, (gssize)at, (gssize)MIN (bytes, text->len - at));
  GString *inserted = random_text (random, base_random_below (random, 4));
  g_string_insert (text, (gssize)at, inserted->str);
  g_string_free (inserted, TRUE);
}

static void
check_pair (GBytes *from, GBytes *to)
{
  GBytes *difference = control_difference_make (from, to);
  GBytes *result = control_difference_apply (from, difference);
  g_assert_nonnull (result);
  g_assert_true (g_bytes_equal (result, to));
  g_bytes_unref (result);
  g_bytes_unref (difference);
}

static void
test_random_edits (void)
{
  struct base_random random;
  base_random_seed (&random, 11);
  GString *text = random_text (&random, 100);
  GBytes *from = g_bytes_new (text->str, text->len);
  check_pair (NULL, from);
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      edit_text (&random, text);
      GBytes *to = g_bytes_new (text->str, text->len);
      check_pair (from, to);
      g_bytes_unref (from);
      from = to;
    }
  GBytes *empty = g_bytes_new (NULL, 0);
  check_pair (from, empty);
  g_bytes_unref (empty);
  g_bytes_unref (from);
  g_string_free (text, TRUE);
}

static void
test_small_change_is_small (void)
{
  struct base_random random;
  base_random_seed (&random, 12);
  GString *text = random_text (&random, 5000);
  GBytes *from = g_bytes_new (text->str, text->len);
  g_string_insert (text, 1, "{\"version\":2}");
  g_string_erase (text, (gssize)text->len / 2, 40);
  GBytes *to = g_bytes_new (text->str, text->len);
  GBytes *difference = control_difference_make (from, to);
  g_assert_cmpuint (g_bytes_get_size (difference), <, 300);
  g_bytes_unref (difference);
  g_bytes_unref (from);
  g_bytes_unref (to);
  g_string_free (text, TRUE);
}

static void
test_other_document_is_refused (void)
{
  GBytes *one = g_bytes_new_static ("{1}{2}", 6);
  GBytes *two = g_bytes_new_static ("{1}{3}", 6);
  GBytes *difference = control_difference_make (one, two);
  g_assert_null (control_difference_apply (two, difference));
  g_assert_null (control_difference_apply (NULL, difference));
  g_assert_null (control_difference_apply (one, two));
  g_bytes_unref (difference);
  g_bytes_unref (one);
  g_bytes_unref (two);
}

/* No damaged difference yields a document other than the right one. */
static void
test_damage_is_noticed (void)
{
  struct base_random random;
  base_random_seed (&random, 13);
  GString *text = random_text (&random, 50);
  GBytes *from = g_bytes_new (text->str, text->len);
  edit_text (&random, text);
  GBytes *to = g_bytes_new (text->str, text->len);
  GBytes *difference = control_difference_make (from, to);
  gsize bytes = 0;
  const guint8 *data = g_bytes_get_data (difference, &bytes);
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      guint8 *damaged = g_memdup2 (data, bytes);
      gsize at = base_random_below (&random, bytes);
      damaged[at] ^= (guint8)(1u << base_random_below (&random, 8));
      GBytes *packed = g_bytes_new_take (
          damaged, bytes - (i % 2 ? base_random_below (&random, bytes) : 0));
      GBytes *result = control_difference_apply (from, packed);
      if (result)
        g_assert_true (g_bytes_equal (result, to));
      g_clear_pointer (&result, g_bytes_unref);
      g_bytes_unref (packed);
    }
  g_bytes_unref (difference);
  g_bytes_unref (from);
  g_bytes_unref (to);
  g_string_free (text, TRUE);
}

static void
test_inflate_limit (void)
{
  char zeros[10000] = { 0 };
  gsize bytes = 0;
  GBytes *packed = base_deflate (zeros, sizeof zeros);
  const void *data = g_bytes_get_data (packed, &bytes);
  g_assert_true (base_is_deflated (data, bytes));
  GBytes *whole = base_inflate (data, bytes, sizeof zeros);
  g_assert_cmpuint (g_bytes_get_size (whole), ==, sizeof zeros);
  g_assert_null (base_inflate (data, bytes, sizeof zeros - 1));
  g_assert_null (base_inflate (data, bytes - 1, sizeof zeros));
  g_assert_null (base_inflate (data, 0, sizeof zeros));
  g_bytes_unref (whole);
  g_bytes_unref (packed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-difference/random-edits", test_random_edits);
  g_test_add_func ("/control-difference/small-change-is-small",
                   test_small_change_is_small);
  g_test_add_func ("/control-difference/other-document-is-refused",
                   test_other_document_is_refused);
  g_test_add_func ("/control-difference/damage-is-noticed",
                   test_damage_is_noticed);
  g_test_add_func ("/control-difference/inflate-limit", test_inflate_limit);
  return g_test_run ();
}
