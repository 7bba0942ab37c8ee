/** @file
 *  Tests of the counters by client account, in the text that a metrics
 *  scraper reads. */

#include <string.h>

#include <glib.h>

#include "edge_accounts.h"

static void
test_rendered (void)
{
  struct base_metrics *metrics = base_metrics_create ();
  struct edge_accounts *accounts = edge_accounts_create (metrics);
  GString *text = g_string_new (NULL);
  edge_accounts_count_request (accounts, "acme", EDGE_ACCOUNT_SERVED, 120);
  edge_accounts_count_request (accounts, "a\"b\\c", EDGE_ACCOUNT_EXHAUSTED, 0);
  edge_accounts_count_request (accounts, "acme", EDGE_ACCOUNT_SERVED, 30);
  base_metrics_render (metrics, text);
  g_assert_nonnull (
      strstr (text->str, "edge_account_tokens_total{account=\"acme\"} 150\n"));
  g_assert_nonnull (strstr (text->str, "edge_account_requests_total{account="
                                       "\"acme\",outcome=\"served\"} 2\n"));
  g_assert_nonnull (
      strstr (text->str, "edge_account_requests_total{account=\"a\\\"b\\\\c\","
                         "outcome=\"exhausted\"} 1\n"));
  /* Each metric name must have one group of lines with one TYPE line. */
  const char *first = strstr (text->str, "# TYPE edge_account_tokens_total");
  g_assert_nonnull (first);
  g_assert_null (strstr (first + 1, "# TYPE edge_account_tokens_total"));
  g_string_free (text, TRUE);
  edge_accounts_destroy (accounts);
  base_metrics_destroy (metrics);
}

/* The size of the metrics page is bounded, whatever the number of accounts. */
static void
test_bounded (void)
{
  struct base_metrics *metrics = base_metrics_create ();
  struct edge_accounts *accounts = edge_accounts_create (metrics);
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < 2 * EDGE_ACCOUNTS_MAX; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "a%u", i);
      edge_accounts_count_request (accounts, name, EDGE_ACCOUNT_FAILED, 1);
    }
  base_metrics_render (metrics, text);
  g_assert_null (strstr (text->str, "account=\"a1024\""));
  g_assert_nonnull (strstr (text->str, "edge_account_tokens_total{account="
                                       "\"other accounts\"} 1024\n"));
  g_string_free (text, TRUE);
  edge_accounts_destroy (accounts);
  base_metrics_destroy (metrics);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-accounts/rendered", test_rendered);
  g_test_add_func ("/edge-accounts/bounded", test_bounded);
  return g_test_run ();
}
