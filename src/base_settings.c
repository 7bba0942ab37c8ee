#include "base_settings.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_address_map.h"

#define VARIABLE_PREFIX "CACTUS_"

/* Flags of every program, besides its own settings. */
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
take_number (const struct base_setting *setting, const char *place,
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
take_switch (const struct base_setting *setting, const char *place,
             const char *text, struct base_findings *findings)
{
  bool yes = g_str_equal (text, "1") || g_str_equal (text, "true");
  bool no = g_str_equal (text, "0") || g_str_equal (text, "false");
  if (!yes && !no)
    base_findings_add (findings, place, "\"%s\" is not true or false", text);
  else
    *(bool *)setting->target = yes;
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
take_endpoints (const struct base_setting *setting, const char *place,
                const char *text, struct base_findings *findings)
{
  char **list = g_strsplit (text, ",", -1);
  for (char **item = list; *item; item++)
    check_endpoint (place, g_strstrip (*item), findings);
  g_strfreev (*(char ***)setting->target);
  *(char ***)setting->target = list;
}

static void
take_text (const struct base_setting *setting, const char *text)
{
  g_free (*(char **)setting->target);
  *(char **)setting->target = g_strdup (text);
}

static void
take_value (const struct base_setting *setting, const char *place,
            const char *text, struct base_findings *findings)
{
  switch (setting->type)
    {
    case BASE_SETTING_STRING:
      take_text (setting, text);
      break;
    case BASE_SETTING_NUMBER:
      take_number (setting, place, text, findings);
      break;
    case BASE_SETTING_SWITCH:
      take_switch (setting, place, text, findings);
      break;
    case BASE_SETTING_ENDPOINT:
      check_endpoint (place, text, findings);
      take_text (setting, text);
      break;
    case BASE_SETTING_ENDPOINTS:
      take_endpoints (setting, place, text, findings);
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
make_entries (const struct base_setting *settings, char **texts,
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
          = is_switch ? (void *)&switches[i] : (void *)&texts[i];
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
    take_value (setting, flag, flag_text, findings);
  else if (from_environment)
    take_value (setting, variable, from_environment, findings);
  else if (setting->fallback)
    take_value (setting, flag, setting->fallback, findings);
  else if (setting->required)
    base_findings_add (findings, flag, "is required (or set %s)", variable);
  g_free (variable);
  g_free (flag);
}

static bool
parse_flags (int argc, char **argv, const char *summary, GOptionEntry *entries,
             struct common_flags *common, struct base_findings *findings)
{
  GOptionEntry shared[]
      = { { "version", 0, 0, G_OPTION_ARG_NONE, &common->version,
            "Prints the version", NULL },
          { "check", 0, 0, G_OPTION_ARG_NONE, &common->check,
            "Checks the settings only", NULL },
          { "address-map", 0, 0, G_OPTION_ARG_STRING, &common->address_map,
            "Rewrites addresses before connecting", "PREFIX=PREFIX,..." },
          { 0 } };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (context, summary);
  g_option_context_set_description (
      context, "Each flag may be set as CACTUS_FLAG_NAME in the environment.");
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_main_entries (context, shared, NULL);
  char **arguments = g_new0 (char *, (size_t)argc + 1);
  for (int i = 0; i < argc; i++)
    arguments[i] = g_strdup (argv[i]);
  char **rest = g_strdupv (arguments);
  if (!g_option_context_parse_strv (context, &rest, &error))
    {
      base_findings_add (findings, "command line", "%s", error->message);
      g_error_free (error);
    }
  else
    {
      for (char **extra = rest + 1; *extra; extra++)
        base_findings_add (findings, "command line",
                           "unexpected argument \"%s\"", *extra);
    }
  bool clean = base_findings_count (findings) == 0;
  g_strfreev (rest);
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
  char **texts = g_new0 (char *, count + 1);
  gboolean *switches = g_new0 (gboolean, count + 1);
  struct common_flags common = { FALSE, FALSE, NULL };
  struct base_findings *findings = base_findings_create ();
  enum base_settings_outcome outcome = BASE_SETTINGS_RUN;
  GOptionEntry *entries = make_entries (settings, texts, switches);
  bool parsed = parse_flags (argc, argv, summary, entries, &common, findings);
  if (parsed && common.version)
    {
      printf ("cactusspool %s\n", CACTUS_VERSION);
      outcome = BASE_SETTINGS_EXIT;
      goto done;
    }
  for (size_t i = 0; parsed && i < count; i++)
    resolve_setting (&settings[i], texts[i], switches[i], findings);
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
    g_free (texts[i]);
  g_free (common.address_map);
  g_free (texts);
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
