/** @file
 *  Tests of settings, findings, metrics and hashes. */

#include <string.h>

#include <glib.h>

#include "base_findings.h"
#include "base_hash.h"
#include "base_metrics.h"
#include "base_random.h"
#include "base_settings.h"

/* Variables for one setting of each type. */
struct values
{
  char *name;
  uint64_t count;
  bool loud;
  char *endpoint;
  char **endpoints;
};

#define SETTING_COUNT 6

/* Fills @p settings with one setting of each type and the end of the list. */
static void
fill_settings (struct base_setting settings[SETTING_COUNT],
               struct values *values)
{
  const struct base_setting defined[SETTING_COUNT] = {
    { "name", BASE_SETTING_STRING, &values->name, NULL, true, 0, 0, "" },
    { "count", BASE_SETTING_NUMBER, &values->count, "5", false, 1, 10, "" },
    { "loud", BASE_SETTING_SWITCH, &values->loud, NULL, false, 0, 0, "" },
    { "endpoint", BASE_SETTING_ENDPOINT, &values->endpoint, "127.0.0.1:1",
      false, 0, 0, "" },
    { "endpoints", BASE_SETTING_ENDPOINTS, &values->endpoints, NULL, false, 0,
      0, "" },
    { 0 }
  };
  memcpy (settings, defined, sizeof defined);
}

/* Reads the command line "program LINE" into @p values. */
static enum base_settings_outcome
read_arguments (struct values *values, const char *line)
{
  struct base_setting settings[SETTING_COUNT];
  fill_settings (settings, values);
  char *whole = g_strconcat ("program ", line, NULL);
  char **words = g_strsplit (g_strchomp (whole), " ", -1);
  memset (values, 0, sizeof *values);
  enum base_settings_outcome outcome = base_settings_read (
      (int)g_strv_length (words), words, "summary", settings);
  g_strfreev (words);
  g_free (whole);
  return outcome;
}

static void
clear_values (struct values *values)
{
  struct base_setting settings[SETTING_COUNT];
  fill_settings (settings, values);
  base_settings_clear (settings);
}

static void
test_settings (void)
{
  struct values values;
  g_setenv ("CACTUS_COUNT", "7", TRUE);
  g_setenv ("CACTUS_LOUD", "true", TRUE);
  g_assert_cmpint (read_arguments (&values, "--name a --endpoints "
                                            "127.0.0.1:1,127.0.0.2:65535"),
                   ==, BASE_SETTINGS_RUN);
  g_assert_cmpstr (values.name, ==, "a");
  g_assert_cmpuint (values.count, ==, 7);
  g_assert_true (values.loud);
  g_assert_cmpstr (values.endpoint, ==, "127.0.0.1:1");
  g_assert_cmpstr (values.endpoints[1], ==, "127.0.0.2:65535");
  g_assert_null (values.endpoints[2]);
  clear_values (&values);
  /* A flag overrides its variable. */
  g_assert_cmpint (read_arguments (&values, "--name a --count 3"), ==,
                   BASE_SETTINGS_RUN);
  g_assert_cmpuint (values.count, ==, 3);
  clear_values (&values);
  g_unsetenv ("CACTUS_COUNT");
  g_unsetenv ("CACTUS_LOUD");
  g_assert_cmpint (read_arguments (&values, "--name a"), ==,
                   BASE_SETTINGS_RUN);
  g_assert_cmpuint (values.count, ==, 5);
  g_assert_false (values.loud);
  clear_values (&values);
}

static void
test_bad_settings (void)
{
  static const char *const lines[]
      = { "",
          "--name",
          "--name a extra",
          "--name a --colour red",
          "--name a --count 0",
          "--name a --count 11",
          "--name a --count 5x",
          "--name a --count -1",
          "--name a --count +1",
          "--name a --count 99999999999999999999",
          "--name a --endpoint 127.0.0.1",
          "--name a --endpoint 127.0.0.1:65536",
          "--name a --endpoint 127.0.0.256:1",
          "--name a --endpoint localhost:1",
          "--name a --endpoints 127.0.0.1:1,,127.0.0.1:2" };
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      struct values values;
      g_assert_cmpint (read_arguments (&values, lines[i]), ==,
                       BASE_SETTINGS_INVALID);
      clear_values (&values);
    }
}

static void
test_endpoint (void)
{
  char address[16];
  uint16_t port;
  g_assert_cmpint (
      base_endpoint_split ("255.255.255.255:65535", address, &port), ==, 0);
  g_assert_cmpstr (address, ==, "255.255.255.255");
  g_assert_cmpuint (port, ==, 65535);
  static const char *const bad[] = { "",           ":",
                                     ":1",         "1.2.3.4:",
                                     "1.2.3:4",    "1.2.3.4:4 ",
                                     "1.2.3.4:-1", "1.2.3.4: 4",
                                     "1.2.3.4:+4", "1111.2222.3333.44:1" };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    g_assert_cmpint (base_endpoint_split (bad[i], address, &port), ==, -1);
}

static void
test_findings (void)
{
  struct base_findings *findings = base_findings_create ();
  g_assert_cmpuint (base_findings_count (findings), ==, 0);
  base_findings_add (findings, "a.b", "is %d", 5);
  base_findings_add (findings, "c", "100 %% wrong");
  char *lines = base_findings_join (findings);
  g_assert_cmpstr (lines, ==, "a.b: is 5\nc: 100 % wrong\n");
  g_assert_cmpstr (base_findings_place (findings, 1), ==, "c");
  g_assert_cmpstr (base_findings_text (findings, 0), ==, "is 5");
  g_free (lines);
  base_findings_destroy (findings);
}

static int
compare_numbers (const void *left, const void *right)
{
  uint64_t a = *(const uint64_t *)left;
  uint64_t b = *(const uint64_t *)right;
  return a < b ? -1 : a > b;
}

/* The reported quantile is at least the exact one and at most 7 % above it. */
static void
test_histogram (void)
{
  static const double shares[] = { 0.01, 0.5, 0.9, 0.99, 1.0 };
  struct base_random random;
  struct base_histogram *histogram = base_histogram_create ();
  GArray *values = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  base_random_seed (&random, 5);
  for (int i = 0; i < 20000; i++)
    {
      uint64_t value = base_random_next (&random)
                       >> (24 + base_random_below (&random, 39));
      g_array_append_val (values, value);
      base_histogram_record (histogram, value);
    }
  g_assert_cmpuint (base_histogram_count (histogram), ==, 20000);
  const uint64_t *sorted = (const uint64_t *)values->data;
  g_array_sort (values, compare_numbers);
  for (size_t i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      guint rank = (guint)(shares[i] * 20000 + 0.5);
      uint64_t exact = sorted[rank > 0 ? rank - 1 : 0];
      uint64_t bound = base_histogram_quantile (histogram, shares[i]);
      g_assert_cmpuint (bound, >=, exact);
      g_assert_cmpfloat ((double)bound, <=, (double)exact * 1.07 + 1);
    }
  g_array_unref (values);
  base_histogram_destroy (histogram);
}

static gpointer
add_many (gpointer data)
{
  for (int i = 0; i < 100000; i++)
    base_counter_add (data, 1);
  return NULL;
}

static void
test_counters (void)
{
  GThread *threads[4];
  struct base_metrics *metrics = base_metrics_create ();
  struct base_counter *counter
      = base_metrics_counter (metrics, "cactus_calls", "class=\"quick\"");
  g_assert_true (
      counter
      == base_metrics_counter (metrics, "cactus_calls", "class=\"quick\""));
  for (int i = 0; i < 4; i++)
    threads[i] = g_thread_new ("counter", add_many, counter);
  for (int i = 0; i < 4; i++)
    g_thread_join (threads[i]);
  g_assert_cmpuint (base_counter_value (counter), ==, 400000);
  base_counter_set (base_metrics_gauge (metrics, "cactus_open", NULL), 3);
  GString *text = g_string_new (NULL);
  base_metrics_render (metrics, text);
  g_assert_nonnull (
      strstr (text->str, "cactus_calls{class=\"quick\"} 400000\n"));
  g_assert_nonnull (strstr (text->str, "cactus_open{} 3\n"));
  g_string_free (text, TRUE);
  base_metrics_destroy (metrics);
}

/* The text format requires all lines of a metric in one group under one TYPE
   line, in whatever order the labels were added. */
static void
test_groups (void)
{
  struct base_metrics *metrics = base_metrics_create ();
  base_metrics_counter (metrics, "cactus_a", "class=\"quick\"");
  base_metrics_histogram (metrics, "cactus_b", NULL);
  base_metrics_counter (metrics, "cactus_a", "class=\"long\"");
  GString *text = g_string_new (NULL);
  base_metrics_render (metrics, text);
  g_assert_cmpstr (text->str, ==,
                   "# TYPE cactus_a counter\n"
                   "cactus_a{class=\"quick\"} 0\n"
                   "cactus_a{class=\"long\"} 0\n"
                   "# TYPE cactus_b histogram\n"
                   "cactus_b_bucket{le=\"+Inf\"} 0\n"
                   "cactus_b_sum{} 0\n"
                   "cactus_b_count{} 0\n");
  g_string_free (text, TRUE);
  base_metrics_destroy (metrics);
}

static void
test_hashes (void)
{
  uint8_t bytes[3];
  char text[7];
  g_assert_cmpint (base_hex_read (bytes, 3, "00fFa0"), ==, 0);
  base_hex_write (text, bytes, 3);
  g_assert_cmpstr (text, ==, "00ffa0");
  g_assert_cmpint (base_hex_read (bytes, 3, "00ffa"), ==, -1);
  g_assert_cmpint (base_hex_read (bytes, 3, "00ffag"), ==, -1);
  g_assert_cmpuint (base_account_id ("a"), !=, 0);
  /* The hash depends on where the first name ends. */
  g_assert_cmpuint (base_budget_id ("ab", "c"), !=,
                    base_budget_id ("a", "bc"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base/settings", test_settings);
  g_test_add_func ("/base/bad-settings", test_bad_settings);
  g_test_add_func ("/base/endpoint", test_endpoint);
  g_test_add_func ("/base/findings", test_findings);
  g_test_add_func ("/base/histogram", test_histogram);
  g_test_add_func ("/base/counters", test_counters);
  g_test_add_func ("/base/groups", test_groups);
  g_test_add_func ("/base/hashes", test_hashes);
  return g_test_run ();
}
