#include "base_settings.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_address_map.h"

#define VARIABLE_PREFIX "CACTUS_"

/* Flags that every program has in addition to its own settings. */
struct common_flags
{
  gboolean version;
  gboolean check;
  char *address_map;
};

static char *
variable_name (const char *flag)
{
  char *name = g_strconcat (VARIABLE_PREFIX, flag, NULL);
  for (char *letter = name; *letter; letter++)
    *letter = *letter == '-' ? '_' : g_ascii_toupper (*letter);
  return name;
}

int
base_endpoint_split (const char *endpoint, char address[16], uint16_t *port)
{
  struct in_addr parsed;
  const char *colon = strrchr (endpoint, ':');
  if (!colon || colon == endpoint || colon - endpoint > 15)
    return -1;
  memcpy (address, endpoint, (size_t)(colon - endpoint));
  address[colon - endpoint] = '\0';
  if (inet_pton (AF_INET, address, &parsed) != 1)
    return -1;
  char *end = NULL;
  unsigned long number = strtoul (colon + 1, &end, 10);
  if (!g_ascii_isdigit (colon[1]) || *end || number > UINT16_MAX)
    return -1;
  *port = (uint16_t)number;
  return 0;
}

static void
store_number (const struct base_setting *setting, const char *place,
              const char *text, struct base_findings *findings)
{
  char *end = NULL;
  uint64_t number = strtoull (text, &end, 10);
  if (!g_ascii_isdigit (*text) || *end)
    base_findings_add (findings, place, "\"%s\" is not a whole number", text);
  else if (number < setting->minimum || number > setting->maximum)
    base_findings_add (findings, place,
                       "%s is outside %" PRIu64 " to %" PRIu64, text,
                       setting->minimum, setting->maximum);
  else
    *(uint64_t *)setting->target = number;
}

static void
store_switch (const struct base_setting *setting, const char *place,
              const char *text, struct base_findings *findings)
{
  bool is_true = g_str_equal (text, "1") || g_str_equal (text, "true");
  bool is_false = g_str_equal (text, "0") || g_str_equal (text, "false");
  if (!is_true && !is_false)
    base_findings_add (findings, place, "\"%s\" is not true or false", text);
  else
    *(bool *)setting->target = is_true;
}

static void
check_endpoint (const char *place, const char *text,
                struct base_findings *findings)
{
  char address[16];
  uint16_t port;
  if (base_endpoint_split (text, address, &port) != 0)
    base_findings_add (findings, place,
                       "\"%s\" is not an IPv4 address and port", text);
}

static void
store_endpoints (const struct base_setting *setting, const char *place,
                 const char *text, struct base_findings *findings)
{
  char **list = g_strsplit (text, ",", -1);
  for (char **item = list; *item; item++)
    check_endpoint (place, g_strstrip (*item), findings);
  g_strfreev (*(char ***)setting->target);
  *(char ***)setting->target = list;
}

static void
store_text (const struct base_setting *setting, const char *text)
{
  g_free (*(char **)setting->target);
  *(char **)setting->target = g_strdup (text);
}

static void
store_value (const struct base_setting *setting, const char *place,
             const char *text, struct base_findings *findings)
{
  switch (setting->type)
    {
    case BASE_SETTING_STRING:
      store_text (setting, text);
      break;
    case BASE_SETTING_NUMBER:
      store_number (setting, place, text, findings);
      break;
    case BASE_SETTING_SWITCH:
      store_switch (setting, place, text, findings);
      break;
    case BASE_SETTING_ENDPOINT:
      check_endpoint (place, text, findings);
      store_text (setting, text);
      break;
    case BASE_SETTING_ENDPOINTS:
      store_endpoints (setting, place, text, findings);
      break;
    }
}

static size_t
count_settings (const struct base_setting *settings)
{
  size_t count = 0;
  while (settings[count].flag)
    count++;
  return count;
}

static GOptionEntry *
create_option_entries (const struct base_setting *settings, char **flag_texts,
                       gboolean *switches)
{
  size_t count = count_settings (settings);
  GOptionEntry *entries = g_new0 (GOptionEntry, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      bool is_switch = settings[i].type == BASE_SETTING_SWITCH;
      entries[i].long_name = settings[i].flag;
      entries[i].arg = is_switch ? G_OPTION_ARG_NONE : G_OPTION_ARG_STRING;
      entries[i].arg_data
          = is_switch ? (void *)&switches[i] : (void *)&flag_texts[i];
      entries[i].description = settings[i].help;
      entries[i].arg_description = settings[i].fallback;
    }
  return entries;
}

static void
resolve_setting (const struct base_setting *setting, const char *flag_text,
                 bool flag_given, struct base_findings *findings)
{
  char *variable = variable_name (setting->flag);
  char *flag = g_strconcat ("--", setting->flag, NULL);
  const char *from_environment = getenv (variable);
  if (setting->type == BASE_SETTING_SWITCH && flag_given)
    *(bool *)setting->target = true;
  else if (flag_text)
    store_value (setting, flag, flag_text, findings);
  else if (from_environment)
    store_value (setting, variable, from_environment, findings);
  else if (setting->fallback)
    store_value (setting, flag, setting->fallback, findings);
  else if (setting->required)
    base_findings_add (findings, flag, "is required (or set %s)", variable);
  g_free (variable);
  g_free (flag);
}

static bool
parse_flags (int argc, char **argv, const char *summary, GOptionEntry *entries,
             struct common_flags *common, struct base_findings *findings)
{
  GOptionEntry common_entries[]
      = { { "version", 0, 0, G_OPTION_ARG_NONE, &common->version,
            "Print the version and exit", NULL },
          { "check", 0, 0, G_OPTION_ARG_NONE, &common->check,
            "Check the settings and exit", NULL },
          { "address-map", 0, 0, G_OPTION_ARG_STRING, &common->address_map,
            "Rewrite addresses before connecting", "PREFIX=PREFIX,..." },
          { 0 } };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (context, summary);
  g_option_context_set_description (
      context,
      "Each flag can also be set in the environment, as CACTUS_FLAG_NAME.");
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_main_entries (context, common_entries, NULL);
  char **arguments = g_new0 (char *, (size_t)argc + 1);
  for (int i = 0; i < argc; i++)
    arguments[i] = g_strdup (argv[i]);
  char **unparsed = g_strdupv (arguments);
  if (!g_option_context_parse_strv (context, &unparsed, &error))
    {
      base_findings_add (findings, "command line", "%s", error->message);
      g_error_free (error);
    }
  else
    {
      for (char **extra = unparsed + 1; *extra; extra++)
        base_findings_add (findings, "command line",
                           "unexpected argument \"%s\"", *extra);
    }
  bool clean = base_findings_count (findings) == 0;
  g_strfreev (unparsed);
  g_strfreev (arguments);
  g_option_context_free (context);
  return clean;
}

static void
resolve_address_map (const struct common_flags *common,
                     struct base_findings *findings)
{
  const char *variable = VARIABLE_PREFIX "ADDRESS_MAP";
  if (common->address_map)
    base_address_map_set (common->address_map, "--address-map", findings);
  else if (getenv (variable))
    base_address_map_set (getenv (variable), variable, findings);
}

enum base_settings_outcome
base_settings_read (int argc, char **argv, const char *summary,
                    const struct base_setting *settings)
{
  size_t count = count_settings (settings);
  char **flag_texts = g_new0 (char *, count + 1);
  gboolean *switches = g_new0 (gboolean, count + 1);
  struct common_flags common = { FALSE, FALSE, NULL };
  struct base_findings *findings = base_findings_create ();
  enum base_settings_outcome outcome = BASE_SETTINGS_RUN;
  GOptionEntry *entries
      = create_option_entries (settings, flag_texts, switches);
  bool parsed = parse_flags (argc, argv, summary, entries, &common, findings);
  if (parsed && common.version)
    {
      printf ("cactusspool %s\n", CACTUS_VERSION);
      outcome = BASE_SETTINGS_EXIT;
      goto done;
    }
  for (size_t i = 0; parsed && i < count; i++)
    resolve_setting (&settings[i], flag_texts[i], switches[i], findings);
  if (parsed)
    resolve_address_map (&common, findings);
  if (base_findings_count (findings) > 0)
    {
      base_findings_print (findings, stderr);
      outcome = BASE_SETTINGS_INVALID;
    }
  else if (common.check)
    {
      printf ("settings are valid\n");
      outcome = BASE_SETTINGS_EXIT;
    }
done:
  for (size_t i = 0; i < count; i++)
    g_free (flag_texts[i]);
  g_free (common.address_map);
  g_free (flag_texts);
  g_free (switches);
  g_free (entries);
  base_findings_destroy (findings);
  return outcome;
}

void
base_settings_clear (const struct base_setting *settings)
{
  for (const struct base_setting *setting = settings; setting->flag; setting++)
    {
      if (setting->type == BASE_SETTING_ENDPOINTS)
        {
          g_strfreev (*(char ***)setting->target);
          *(char ***)setting->target = NULL;
        }
      else if (setting->type == BASE_SETTING_STRING
               || setting->type == BASE_SETTING_ENDPOINT)
        {
          g_free (*(char **)setting->target);
          *(char **)setting->target = NULL;
        }
    }
}
