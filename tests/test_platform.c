/** @file
 *  Tests of the platform's adapter: configuration, announcements, headers,
 *  settings. */

#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "platform_announcement.h"
#include "platform_config.h"
#include "platform_dialect.h"
#include "platform_settings.h"

#define CONFIG_FORMAT                                                         \
  "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h.example\","       \
  "\"pathPrefix\":\"/a/\",\"kind\":\"streaming\",\"timeoutMs\":%s,"           \
  "\"targetLatencyMs\":800,\"priority\":1,\"trafficSplit\":[{\"service\":"    \
  "\"%s\",\"weight\":%s},{\"service\":\"s2\",\"weight\":0}],\"maxAttempts\":" \
  "2,\"public\":false,\"resumable\":true},{\"name\":\"r2\",\"host\":"         \
  "\"h.example\",\"pathPrefix\":\"%s\",\"kind\":\"safe\",\"timeoutMs\":9,"    \
  "\"service\":\"s2\"}],\"services\":[{\"name\":\"s1\",\"engine\":{\"slots\"" \
  ":64,\"kvCapacityTokens\":500,\"stride\":5}},{\"name\":\"s2\"}],"           \
  "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1," \
  "\"prepaid\":1000},{\"name\":\"t2\",\"apiKeys\":[\"%s\"]}]}"

/* Parses CONFIG_FORMAT with these texts inserted.  Returns NULL when it is
   invalid and writes the place of the first finding into @p place. */
static struct platform_config *
read_config (const char *timeout, const char *service, const char *weight,
             const char *prefix, const char *key, char *place, size_t bytes)
{
  char *text
      = g_strdup_printf (CONFIG_FORMAT, timeout, service, weight, prefix, key);
  struct base_findings *findings = base_findings_create ();
  struct platform_config *config
      = platform_config_read (text, strlen (text), findings);
  g_strlcpy (place, config ? "" : base_findings_place (findings, 0), bytes);
  base_findings_destroy (findings);
  g_free (text);
  return config;
}

static void
test_config (void)
{
  char place[100];
  struct platform_config *config
      = read_config ("15000", "s1", "1", "/b/", "k3", place, sizeof place);
  g_assert_nonnull (config);
  g_assert_cmpuint (platform_config_version (config), ==, 7);
  struct edge_table *table = platform_config_table (config);
  const struct edge_route *route
      = edge_table_find_route (table, "h.example", "/a/1");
  g_assert_cmpint (route->kind, ==, EDGE_ROUTE_STREAM);
  g_assert_true (route->is_resumable);
  g_assert_cmpuint (route->timeout_ms, ==, 15000);
  g_assert_cmpuint (route->share_count, ==, 2);
  g_assert_cmpuint (route->shares[0].service->tokens_per_event, ==, 5);
  const struct edge_account *account
      = edge_table_find_account_by_key (table, "k2");
  g_assert_cmpstr (account->name, ==, "t1");
  g_assert_true (account->is_prepaid);
  g_assert_cmpuint (account->prepaid_tokens, ==, 1000);
  g_assert_false (edge_table_find_account_by_key (table, "k3")->is_prepaid);
  platform_config_destroy (config);
}

/* Parses a document with these regions of a route and of an account.  Returns
   NULL when it is invalid and writes the first finding into @p finding. */
static struct platform_config *
read_bound_config (const char *route, const char *account, char *finding,
                   size_t bytes)
{
  char *text = g_strdup_printf (
      "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h.example\","
      "\"pathPrefix\":\"/a/\",\"kind\":\"safe\",\"timeoutMs\":9,"
      "\"service\":\"s\"%s}],\"services\":[{\"name\":\"s\"}],"
      "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"]%s}]}",
      route, account);
  struct base_findings *findings = base_findings_create ();
  struct platform_config *config
      = platform_config_read (text, strlen (text), findings);
  g_assert_true (config != NULL || base_findings_count (findings) == 1);
  g_snprintf (finding, bytes, "%s: %s",
              config ? "" : base_findings_place (findings, 0),
              config ? "" : base_findings_text (findings, 0));
  base_findings_destroy (findings);
  g_free (text);
  return config;
}

static void
test_config_regions (void)
{
  char finding[200];
  struct platform_config *config = read_bound_config (
      ",\"allowedRegions\":[\"north\",\"east\",\"north\"]",
      ",\"allowedRegions\":[\"east\"]", finding, sizeof finding);
  g_assert_nonnull (config);
  struct edge_table *table = platform_config_table (config);
  const struct edge_route *route
      = edge_table_find_route (table, "h.example", "/a/1");
  const struct edge_account *account
      = edge_table_find_account_by_key (table, "k");
  g_assert_cmpuint (edge_regions_count (route->regions), ==, 2);
  g_assert_true (edge_regions_allow (route->regions, NULL, "north"));
  g_assert_true (
      edge_regions_allow (route->regions, account->regions, "east"));
  g_assert_false (
      edge_regions_allow (route->regions, account->regions, "north"));
  platform_config_destroy (config);
  /* None, or an empty list, allows any region. */
  config = read_bound_config (",\"allowedRegions\":[]", "", finding,
                              sizeof finding);
  g_assert_nonnull (config);
  table = platform_config_table (config);
  g_assert_null (edge_table_find_route (table, "h.example", "/a/1")->regions);
  g_assert_null (edge_table_find_account_by_key (table, "k")->regions);
  platform_config_destroy (config);
  /* A region that nothing is in, and an account that the route leaves no
     region, are the operator's choice. */
  config = read_bound_config (",\"allowedRegions\":[\"moon\"]",
                              ",\"allowedRegions\":[\"mars\"]", finding,
                              sizeof finding);
  g_assert_nonnull (config);
  table = platform_config_table (config);
  g_assert_false (edge_regions_overlap (
      edge_table_find_route (table, "h.example", "/a/1")->regions,
      edge_table_find_account_by_key (table, "k")->regions));
  platform_config_destroy (config);
}

/* Parses a document with this member of its service. */
static struct platform_config *
read_cold_config (const char *member, char *finding, size_t bytes)
{
  char *text = g_strdup_printf (
      "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\"%s}]}",
      member);
  struct base_findings *findings = base_findings_create ();
  struct platform_config *config
      = platform_config_read (text, strlen (text), findings);
  g_snprintf (finding, bytes, "%s: %s",
              config ? "" : base_findings_place (findings, 0),
              config ? "" : base_findings_text (findings, 0));
  base_findings_destroy (findings);
  g_free (text);
  return config;
}

static void
test_config_cold (void)
{
  static const struct
  {
    const char *member;
    double per_s;
  } valid[] = { { "", 0 },
                { ",\"coldPerS\":0.0,\"coldStartS\":0.0", 0 },
                { ",\"coldPerS\":7.9,\"coldStartS\":3.0", 7.9 },
                { ",\"coldPerS\":4", 4 },
                { ",\"coldPerS\":null", 0 } };
  static const char *const values[]
      = { "-0.1", "\"4\"", "[4]", "{}", "true", "1e300" };
  char finding[200];
  for (size_t i = 0; i < G_N_ELEMENTS (valid); i++)
    {
      struct platform_config *config
          = read_cold_config (valid[i].member, finding, sizeof finding);
      g_assert_nonnull (config);
      g_assert_cmpfloat (
          edge_table_find_service (platform_config_table (config), "s")
              ->cold_per_s,
          ==, valid[i].per_s);
      platform_config_destroy (config);
    }
  for (size_t i = 0; i < 2 * G_N_ELEMENTS (values); i++)
    {
      const char *name = i % 2 == 0 ? "coldPerS" : "coldStartS";
      char *member = g_strdup_printf (",\"%s\":%s", name, values[i / 2]);
      char *expected = g_strdup_printf (
          "services[0].%s: must be a number, 0 or above", name);
      g_assert_null (read_cold_config (member, finding, sizeof finding));
      g_assert_cmpstr (finding, ==, expected);
      g_free (expected);
      g_free (member);
    }
}

/* What can't be read as a list of regions is refused with its place, rather
   than taken for any region. */
static void
test_invalid_config_regions (void)
{
  static const struct
  {
    const char *value;
    const char *text;
  } cases[] = {
    { "\"north\"", "must be an array" },
    { "null", "must be an array" },
    { "{\"north\":true}", "must be an array" },
    { "7", "must be an array" },
    { "false", "must be an array" },
    { "[7]", "each region must be a non-empty string" },
    { "[\"north\",null]", "each region must be a non-empty string" },
    { "[[\"north\"]]", "each region must be a non-empty string" },
    { "[\"\"]", "each region must be a non-empty string" },
  };
  char finding[200];
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *field = g_strdup_printf (",\"allowedRegions\":%s", cases[i].value);
      char *expected
          = g_strdup_printf ("routes[0].allowedRegions: %s", cases[i].text);
      g_assert_null (read_bound_config (field, "", finding, sizeof finding));
      g_assert_cmpstr (finding, ==, expected);
      g_free (expected);
      expected
          = g_strdup_printf ("tenants[0].allowedRegions: %s", cases[i].text);
      g_assert_null (read_bound_config ("", field, finding, sizeof finding));
      g_assert_cmpstr (finding, ==, expected);
      g_free (expected);
      g_free (field);
    }
}

static void
test_invalid_configs (void)
{
  char place[100];
  g_assert_null (
      read_config ("0", "s1", "1", "/b/", "k3", place, sizeof place));
  g_assert_cmpstr (place, ==, "routes[0].timeoutMs");
  g_assert_null (
      read_config ("9", "s3", "1", "/b/", "k3", place, sizeof place));
  g_assert_cmpstr (place, ==, "routes[0].service");
  g_assert_null (
      read_config ("9", "s1", "0", "/b/", "k3", place, sizeof place));
  g_assert_cmpstr (place, ==, "routes[0].trafficSplit");
  g_assert_null (
      read_config ("9", "s1", "1", "/a/", "k3", place, sizeof place));
  g_assert_cmpstr (place, ==, "routes[1].pathPrefix");
  g_assert_null (
      read_config ("9", "s1", "1", "/b/", "k1", place, sizeof place));
  g_assert_cmpstr (place, ==, "tenants[1].apiKeys");
}

/* A truncated document is rejected, wherever it ends. */
static void
test_cut_configs (void)
{
  char *text = g_strdup_printf (CONFIG_FORMAT, "9", "s1", "1", "/b/", "k3");
  for (size_t bytes = 0; bytes < strlen (text); bytes++)
    {
      struct base_findings *findings = base_findings_create ();
      g_assert_null (platform_config_read (text, bytes, findings));
      g_assert_cmpuint (base_findings_count (findings), >, 0);
      base_findings_destroy (findings);
    }
  g_free (text);
}

static bool
read_announcement (const char *text)
{
  struct control_target target;
  struct base_findings *findings = base_findings_create ();
  bool valid = platform_announcement_read ("i-1", text, strlen (text), &target,
                                           findings);
  if (valid)
    {
      g_assert_cmpstr (target.address, ==, "10.0.0.9");
      g_assert_cmpuint (target.port, ==, 8080);
      g_assert_cmpuint (target.sequence, ==, 4);
    }
  xdr_free ((xdrproc_t)xdr_control_target, (char *)&target);
  base_findings_destroy (findings);
  return valid;
}

static void
test_announcements (void)
{
  g_assert_true (read_announcement (
      "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
      "\"slots\":64,\"state\":\"ready\",\"seq\":4,\"born\":17,\"more\":[]}"));
  g_assert_true (read_announcement (
      "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
      "\"slots\":64,\"state\":\"draining\",\"seq\":4}"));
  g_assert_false (read_announcement (
      "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
      "\"slots\":64,\"state\":\"away\",\"seq\":4}"));
  g_assert_false (read_announcement (
      "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
      "\"slots\":64,\"state\":\"ready\",\"seq\":4,\"born\":1.5}"));
  g_assert_false (read_announcement (
      "{\"service\":5,\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
      "\"slots\":64,\"state\":\"ready\",\"seq\":4}"));
  g_assert_false (read_announcement (
      "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
      "\"slots\":64,\"state\":\"ready\",\"seq\":4}"));
  g_assert_false (read_announcement ("{\"service\":\"s\""));
}

static bool
has_line (const GPtrArray *lines, const char *line)
{
  for (guint i = 0; i < lines->len; i++)
    if (strcmp (lines->pdata[i], line) == 0)
      return true;
  return false;
}

static void
test_caller_headers (void)
{
  const struct edge_dialect *dialect = platform_dialect ();
  struct edge_request_head head = { .last_event_id = EDGE_NO_EVENT };
  head.lines = g_ptr_array_new_with_free_func (g_free);
  dialect->read_request_header (dialect, &head, "Host", "h.example");
  dialect->read_request_header (dialect, &head, "X-Request-Id", "abc");
  dialect->read_request_header (dialect, &head, "x-credential", "secret");
  dialect->read_request_header (dialect, &head, "X-Tenant", "forged");
  dialect->read_request_header (dialect, &head, "X-Kv-Hold", "1");
  dialect->read_request_header (dialect, &head, "Connection", "close");
  dialect->read_request_header (dialect, &head, "X-Deadline-Ms", "2500");
  dialect->read_request_header (dialect, &head, "X-Token-Count", "1460,80");
  dialect->read_request_header (dialect, &head, "X-Prompt-Prefix",
                                "5c:800, 91:410");
  dialect->read_request_header (dialect, &head, "Last-Event-Id", "12");
  g_assert_cmpstr (head.request_id, ==, "abc");
  g_assert_cmpstr (head.key, ==, "secret");
  g_assert_cmpuint (head.deadline_ms, ==, 2500);
  g_assert_cmpuint (head.prompt_tokens, ==, 1460);
  g_assert_cmpuint (head.output_tokens, ==, 80);
  g_assert_cmpuint (head.part_count, ==, 2);
  g_assert_cmpuint (head.parts[1].tokens, ==, 410);
  g_assert_cmpint (head.last_event_id, ==, 12);
  g_assert_cmpuint (head.lines->len, ==, 4);
  g_assert_true (has_line (head.lines, "X-Request-Id: abc"));
  g_assert_true (has_line (head.lines, "X-Token-Count: 1460,80"));
  g_ptr_array_unref (head.lines);
  g_free (head.host);
  g_free (head.key);
}

/* A malformed value is reported by the name of its header; it must not pass as
   0. */
static void
test_unreadable_headers (void)
{
  static const char *const lines[][2] = { { "X-Token-Count", "1s460,80" },
                                          { "X-Token-Count", "1460,8/0" },
                                          { "X-Token-Count", "" },
                                          { "X-Token-Count", "-1,5" },
                                          { "X-Deadline-Ms", "2.5" },
                                          { "X-Deadline-Ms", "99999999999" },
                                          { "X-Request-Id", "a b" },
                                          { "X-Request-Id", "" },
                                          { "Resumes", "" },
                                          { "Resumes", "two words" },
                                          { "Last-Event-Id", "-112" },
                                          { "Last-Event-Id", "x" },
                                          { "X-Prompt-Prefix", "5c" },
                                          { "X-Prompt-Prefix", "5c:8,:4" } };
  const struct edge_dialect *dialect = platform_dialect ();
  for (uint32_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      struct edge_request_head head = { .last_event_id = EDGE_NO_EVENT };
      head.lines = g_ptr_array_new_with_free_func (g_free);
      dialect->read_request_header (dialect, &head, lines[i][0], lines[i][1]);
      g_assert_cmpstr (head.malformed_header, ==, lines[i][0]);
      g_ptr_array_unref (head.lines);
    }
}

static void
test_answer_headers (void)
{
  const struct edge_dialect *dialect = platform_dialect ();
  struct edge_target_response answer = { .status = 503 };
  answer.lines = g_ptr_array_new_with_free_func (g_free);
  dialect->read_response_header (dialect, &answer, "abc", "X-Request-Id",
                                 "abc");
  dialect->read_response_header (dialect, &answer, "abc", "X-Not-Executed",
                                 "1");
  dialect->read_response_header (dialect, &answer, "abc", "Content-Length",
                                 "5");
  g_assert_true (answer.request_id_matches);
  g_assert_false (answer.request_id_differs);
  g_assert_true (answer.not_run);
  g_assert_cmpuint (answer.lines->len, ==, 2);
  dialect->read_response_header (dialect, &answer, "abc", "X-Request-Id",
                                 "other");
  g_assert_true (answer.request_id_differs);
  g_ptr_array_unref (answer.lines);
}

static void
test_limit_headers (void)
{
  static const struct
  {
    const char *value;
    enum edge_limit_statement limit;
    uint64_t limit_mrps;
  } cases[]
      = { { "2.6", EDGE_LIMIT_NAMED, 2600 },
          { " 0.25 ", EDGE_LIMIT_NAMED, 250 },
          { "0", EDGE_LIMIT_NAMED, 0 },
          { "350", EDGE_LIMIT_NAMED, 350000 },
          { "1.23456", EDGE_LIMIT_NAMED, 1234 },
          { "99999999999999999999", EDGE_LIMIT_NAMED, EDGE_LIMIT_MAX_MRPS },
          { "", EDGE_LIMIT_MALFORMED, 0 },
          { ".5", EDGE_LIMIT_MALFORMED, 0 },
          { "5.", EDGE_LIMIT_MALFORMED, 0 },
          { "-1", EDGE_LIMIT_MALFORMED, 0 },
          { "+1", EDGE_LIMIT_MALFORMED, 0 },
          { "1e3", EDGE_LIMIT_MALFORMED, 0 },
          { "nan", EDGE_LIMIT_MALFORMED, 0 },
          { "2,6", EDGE_LIMIT_MALFORMED, 0 },
          { "0x10", EDGE_LIMIT_MALFORMED, 0 } };
  const struct edge_dialect *dialect = platform_dialect ();
  for (uint32_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct edge_target_response answer = { .status = 200 };
      answer.lines = g_ptr_array_new_with_free_func (g_free);
      dialect->read_response_header (dialect, &answer, "abc", "Server-Limit",
                                     cases[i].value);
      g_assert_cmpint (answer.limit, ==, cases[i].limit);
      if (answer.limit == EDGE_LIMIT_NAMED)
        g_assert_cmpuint (answer.limit_mrps, ==, cases[i].limit_mrps);
      /* The lowest of several holds, whatever their order. */
      dialect->read_response_header (dialect, &answer, "abc", "Server-Limit",
                                     "0.125");
      g_assert_cmpint (answer.limit, ==, EDGE_LIMIT_NAMED);
      g_assert_cmpuint (answer.limit_mrps, ==,
                        cases[i].limit == EDGE_LIMIT_NAMED
                            ? MIN (cases[i].limit_mrps, 125)
                            : 125);
      g_ptr_array_unref (answer.lines);
    }
}

/* What targets say of themselves; what can't be read says nothing. */
static void
test_target_statements (void)
{
  static const struct
  {
    uint32_t status;
    const char *name;
    const char *value;
    bool leaves;
    bool is_brittle;
    uint32_t rejections_per_s;
    uint32_t rest_ms;
    bool is_malformed;
  } cases[] = {
    { 200, "Server-Leaving", "1", true, false, 0, 0, false },
    { 503, "server-leaving", " 1 ", true, false, 0, 0, false },
    { 200, "Server-Leaving", "0", false, false, 0, 0, false },
    { 200, "Server-Leaving", "yes", false, false, 0, 0, true },
    { 200, "Server-Leaving", "", false, false, 0, 0, true },
    { 200, "Server-Brittle", "6", false, true, 6, 0, false },
    { 503, "Server-Brittle", "0", false, true, 0, 0, false },
    { 200, "Server-Brittle", "-1", false, false, 0, 0, true },
    { 200, "Server-Brittle", "1.5", false, false, 0, 0, true },
    { 200, "Server-Brittle", "99999999999", false, false, 0, 0, true },
    { 503, "Retry-After", "3", false, false, 0, 3000, false },
    { 503, "Retry-After", "0.0005", false, false, 0, 1, false },
    { 503, "Retry-After", "0", false, false, 0, 0, false },
    { 503, "Retry-After", "1e9", false, false, 0, 0, true },
    { 503, "Retry-After", "999999999999", false, false, 0, EDGE_REST_MAX_MS,
      false },
    { 503, "Retry-After", "-3", false, false, 0, 0, true },
    { 503, "Retry-After", "1.2.3", false, false, 0, 0, true },
    { 503, "Retry-After", "nan", false, false, 0, 0, true },
    { 503, "Retry-After", "", false, false, 0, 0, true },
    { 503, "Retry-After", "Fri, 04 Dec 2026 16:00:00 GMT", false, false, 0, 0,
      true },
    { 429, "Retry-After", "3", false, false, 0, 0, false },
    { 200, "Retry-After", "soon", false, false, 0, 0, false },
  };
  const struct edge_dialect *dialect = platform_dialect ();
  for (uint32_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct edge_target_response answer = { .status = cases[i].status };
      answer.lines = g_ptr_array_new_with_free_func (g_free);
      dialect->read_response_header (dialect, &answer, "abc", cases[i].name,
                                     cases[i].value);
      g_assert_cmpint (answer.is_leaving, ==, cases[i].leaves);
      g_assert_cmpint (answer.is_brittle, ==, cases[i].is_brittle);
      g_assert_cmpuint (answer.rejections_per_s, ==,
                        cases[i].rejections_per_s);
      g_assert_cmpuint (answer.rest_ms, ==, cases[i].rest_ms);
      g_assert_cmpint (answer.malformed_statement != NULL, ==,
                       cases[i].is_malformed);
      /* Callers get the headers as the target sent them. */
      g_assert_cmpuint (answer.lines->len, ==, 1);
      g_ptr_array_unref (answer.lines);
    }
}

static struct platform_settings *
read_settings (const char *text, struct base_findings *findings)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);
  g_assert_cmpint (fd, >=, 0);
  g_close (fd, NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  struct platform_settings *settings = platform_settings_read (path, findings);
  g_unlink (path);
  g_free (path);
  return settings;
}

/* Hosts of a platform that names no bounds allow what the service says; others
   allow the bounds' overage and slack. */
static void
test_cold_settings (void)
{
  static const struct
  {
    const char *lines;
    double overage;
    double slack;
  } valid[] = { { "", 1, 0 },
                { "cold-overage=1.5\ncold-slack=5\n", 1.5, 5 },
                { "cold-overage=\ncold-slack=\n", 1, 0 } };
  static const char *const invalid[]
      = { "cold-overage=x\n", "cold-slack=-1\n", "cold-overage=nan\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (valid) + G_N_ELEMENTS (invalid); i++)
    {
      bool is_valid = i < G_N_ELEMENTS (valid);
      struct base_findings *findings = base_findings_create ();
      char *text = g_strdup_printf (
          "[process]\nhost=n1\naddress=10.0.0.1\navailability-zone=z1\n"
          "region=r1\nfirst-port=7000\nlast-port=7010\n"
          "members=10.0.0.1:80\n[limits]\n%s",
          is_valid ? valid[i].lines : invalid[i - G_N_ELEMENTS (valid)]);
      struct platform_settings *settings = read_settings (text, findings);
      g_assert_cmpint (settings != NULL, ==, is_valid);
      if (settings)
        {
          g_assert_cmpfloat (settings->cold_overage, ==, valid[i].overage);
          g_assert_cmpfloat (settings->cold_slack, ==, valid[i].slack);
        }
      else
        g_assert_true (g_str_has_prefix (base_findings_place (findings, 0),
                                         "[limits] cold-"));
      platform_settings_destroy (settings);
      base_findings_destroy (findings);
      g_free (text);
    }
}

/* How long a target stays cold, by its responses; callers get the header as it
   was sent. */
static void
test_cold_headers (void)
{
  static const struct
  {
    const char *value;
    uint32_t cold_ms;
    bool is_malformed;
  } cases[] = { { "0", 0, false },          { "2500", 2500, false },
                { " 7 ", 7, false },        { "4000000000", 600000, false },
                { "99999999999", 0, true }, { "-1", 0, true },
                { "soon", 0, true },        { "", 0, true },
                { "1.5", 0, true } };
  const struct edge_dialect *dialect = platform_dialect ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct edge_target_response answer
          = { .status = 200,
              .lines = g_ptr_array_new_with_free_func (g_free) };
      dialect->read_response_header (dialect, &answer, "q", "x-cold-ms",
                                     cases[i].value);
      g_assert_cmpuint (answer.cold_ms, ==, cases[i].cold_ms);
      g_assert_cmpint (answer.malformed_statement != NULL, ==,
                       cases[i].is_malformed);
      g_assert_cmpuint (answer.lines->len, ==, 1);
      g_ptr_array_unref (answer.lines);
    }
}

static void
test_settings (void)
{
  struct base_findings *findings = base_findings_create ();
  struct platform_settings *settings = read_settings (
      "[process]\nhost=n1\naddress=10.0.0.1\navailability-zone=z1\n"
      "region=r1\nbootstrap=true\nfirst-port=7000\nlast-port=7010\n"
      "members=10.0.0.1:80,10.0.0.2:80\n[listen]\ncallers=10.0.0.1:81\n"
      "[limits]\ngrace-s=8\nretry-ratio=0.2\nlink-mbps=10.0\n"
      "failure-rates=true\nstart-wait-ms=1000\n"
      "[regions]\nz1=r1\nz2=r2\n",
      findings);
  g_assert_nonnull (settings);
  g_assert_true (settings->is_first_start);
  g_assert_cmpstr (settings->members[1], ==, "10.0.0.2:7000");
  g_assert_cmpuint (settings->grace_ms, ==, 8000);
  g_assert_cmpfloat (settings->link_mbps, ==, 10.0);
  g_assert_true (settings->compares_failure_rates);
  g_assert_cmpuint (settings->start_wait_ms, ==, 1000);
  g_assert_cmpuint (settings->metrics_port, ==, 7001);
  g_assert_cmpstr (platform_settings_region (settings, "z2"), ==, "r2");
  platform_settings_destroy (settings);
  g_assert_null (read_settings (
      "[process]\nhost=n1\nfirst-port=x\nmembers=nowhere\n", findings));
  g_assert_cmpuint (base_findings_count (findings), >=, 4);
  base_findings_destroy (findings);
}

/* A misspelt setting or group is reported with its place. */
static void
test_unknown_settings (void)
{
  struct base_findings *findings = base_findings_create ();
  g_assert_null (read_settings (
      "[process]\nhost=n1\naddress=10.0.0.1\navailability-zone=z1\n"
      "region=r1\nfirst-port=7000\nlast-port=7010\nmembers=10.0.0.1:80\n"
      "[listen]\nmetric-port=9464\n[limit]\ngrace-s=8\n",
      findings));
  char *text = base_findings_join (findings);
  g_assert_cmpuint (base_findings_count (findings), ==, 2);
  g_assert_nonnull (strstr (text, "metric-port"));
  g_assert_nonnull (strstr (text, "limit"));
  g_free (text);
  base_findings_destroy (findings);
}

/* A switch that is neither on nor off is reported, with its place. */
static void
test_unclear_switch (void)
{
  struct base_findings *findings = base_findings_create ();
  g_assert_null (read_settings (
      "[process]\nhost=n1\naddress=10.0.0.1\navailability-zone=z1\n"
      "region=r1\nfirst-port=7000\nlast-port=7010\nmembers=10.0.0.1:80\n"
      "[limits]\nfailure-rates=1\n",
      findings));
  char *text = base_findings_join (findings);
  g_assert_cmpuint (base_findings_count (findings), ==, 1);
  g_assert_nonnull (strstr (text, "failure-rates"));
  g_free (text);
  base_findings_destroy (findings);
}

/* "nan" is neither below nor above a limit, and is no number to work with. */
static void
test_settings_not_a_number (void)
{
  static const char *const values[]
      = { "nan", "-nan", "NAN", "inf", "-1", "1e9", "0x", "" };
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      struct base_findings *findings = base_findings_create ();
      char *text = g_strdup_printf (
          "[process]\nhost=n1\naddress=10.0.0.1\navailability-zone=z1\n"
          "region=r1\nfirst-port=7000\nlast-port=7010\n"
          "members=10.0.0.1:80\n[limits]\ngrace-s=%s\nretry-ratio=%s\n",
          values[i], values[i]);
      struct platform_settings *settings = read_settings (text, findings);
      /* An empty value stands for the default. */
      g_assert_true ((settings != NULL) == (*values[i] == '\0'));
      g_assert_cmpuint (base_findings_count (findings), ==,
                        *values[i] ? 2 : 0);
      platform_settings_destroy (settings);
      base_findings_destroy (findings);
      g_free (text);
    }
}

static double
read_link (const char *value)
{
  struct base_findings *findings = base_findings_create ();
  char *text = g_strdup_printf (
      "[process]\nhost=n1\naddress=10.0.0.1\navailability-zone=z1\n"
      "region=r1\nfirst-port=7000\nlast-port=7010\n"
      "members=10.0.0.1:80\n[limits]\ngrace-s=8\nlink-mbps=%s\n",
      value);
  struct platform_settings *settings = read_settings (text, findings);
  double link_mbps = settings ? settings->link_mbps : -1.0;
  platform_settings_destroy (settings);
  base_findings_destroy (findings);
  g_free (text);
  return link_mbps;
}

static void
test_link_setting (void)
{
  g_assert_cmpfloat (read_link ("7.0"), ==, 7.0);
  g_assert_cmpfloat (read_link (""), ==, 0.0);
  g_assert_cmpfloat (read_link ("fast"), ==, -1.0);
  g_assert_cmpfloat (read_link ("-1"), ==, -1.0);
}

/* What the machine can't hold is refused with the setting's name. */
static void
test_machine_settings (void)
{
  static const struct
  {
    const char *lines;
    const char *place;
  } cases[] = {
    { "", NULL },
    { "memory-mb=\nmax-fds=\n", NULL },
    { "memory-mb=64\nmax-fds=512\n", NULL },
    { "memory-mb=1\n", "[limits] memory-mb" },
    { "memory-mb=1000000\n", "[limits] memory-mb" },
    { "memory-mb=all\n", "[limits] memory-mb" },
    { "max-fds=200\n", "[limits] max-fds" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct base_findings *findings = base_findings_create ();
      char *text = g_strdup_printf (
          "[process]\nhost=h\naddress=10.0.0.1\navailability-zone=z1\n"
          "region=r1\nfirst-port=7000\nlast-port=7009\n"
          "members=10.0.0.1:1\n[limits]\n%s[regions]\nz1=r1\n",
          cases[i].lines);
      struct platform_settings *settings = read_settings (text, findings);
      g_assert_true ((settings != NULL) == (cases[i].place == NULL));
      if (cases[i].place)
        g_assert_cmpstr (base_findings_place (findings, 0), ==,
                         cases[i].place);
      else
        g_assert_cmpuint (settings->memory_mb, >=, 32);
      platform_settings_destroy (settings);
      base_findings_destroy (findings);
      g_free (text);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/target-statements", test_target_statements);
  g_test_add_func ("/platform/config", test_config);
  g_test_add_func ("/platform/config-regions", test_config_regions);
  g_test_add_func ("/platform/config-cold", test_config_cold);
  g_test_add_func ("/platform/cold-headers", test_cold_headers);
  g_test_add_func ("/platform/cold-settings", test_cold_settings);
  g_test_add_func ("/platform/invalid-config-regions",
                   test_invalid_config_regions);
  g_test_add_func ("/platform/invalid-configs", test_invalid_configs);
  g_test_add_func ("/platform/cut-configs", test_cut_configs);
  g_test_add_func ("/platform/announcements", test_announcements);
  g_test_add_func ("/platform/caller-headers", test_caller_headers);
  g_test_add_func ("/platform/unreadable-headers", test_unreadable_headers);
  g_test_add_func ("/platform/answer-headers", test_answer_headers);
  g_test_add_func ("/platform/limit-headers", test_limit_headers);
  g_test_add_func ("/platform/settings", test_settings);
  g_test_add_func ("/platform/link-setting", test_link_setting);
  g_test_add_func ("/platform/unclear-switch", test_unclear_switch);
  g_test_add_func ("/platform/settings-not-a-number",
                   test_settings_not_a_number);
  g_test_add_func ("/platform/machine-settings", test_machine_settings);
  g_test_add_func ("/platform/unknown-settings", test_unknown_settings);
  return g_test_run ();
}
