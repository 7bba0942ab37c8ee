/** @file
 *  Tests of the reader of request bodies. */

#include <string.h>

#include <glib.h>

#include "router_body.h"

#define NUMBERS 100

/* Returns the bound on the prompt of a body with @p count times @p number in
   its list of tools. */
static uint64_t
bound_with_numbers (const char *number, uint32_t count)
{
  struct router_body body = { 0 };
  struct base_findings *findings = base_findings_create ();
  GString *text = g_string_new (
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}],"
      "\"tools\":[");
  for (uint32_t i = 0; i < count; i++)
    g_string_append_printf (text, "%s%s", i > 0 ? "," : "", number);
  g_string_append (text, "]}");
  g_assert_cmpint (
      router_body_read (&body, text->str, text->len, true, findings), ==, 0);
  uint64_t bound = body.prompt_bound_tokens;
  router_body_clear (&body);
  base_findings_destroy (findings);
  g_string_free (text, TRUE);
  return bound;
}

/* A reservation must cover the digits that an engine reads. */
static void
test_long_numbers_bounded_too_low (void)
{
  static const char *const numbers[] = { "-9223372036854775807",
                                         "0.12345678901234567",
                                         "1.5e-300",
                                         "7",
                                         "true",
                                         "null" };
  uint64_t none = bound_with_numbers ("", 0);
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    g_assert_cmpuint (bound_with_numbers (numbers[i], NUMBERS) - none, >=,
                      NUMBERS * strlen (numbers[i]));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/router-body/long-numbers-bounded-too-low",
                   test_long_numbers_bounded_too_low);
  return g_test_run ();
}
