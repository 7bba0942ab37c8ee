#include "base_address_map.h"

#include <string.h>

#include <glib.h>

#define RULES_MAX 32
#define PREFIX_BYTES 16

/* Replaces the prefix @p from of an address by @p to. */
struct address_rule
{
  char from[PREFIX_BYTES];
  char to[PREFIX_BYTES];
};

static struct address_rule active_rules[RULES_MAX];
static size_t active_rule_count;

/* Whether the text consists of digits and dots and is short enough for an IPv4
   address. */
static bool
is_prefix (const char *text)
{
  size_t length = strlen (text);
  return length > 0 && length < PREFIX_BYTES
         && strspn (text, "0123456789.") == length;
}

static bool
parse_rule (const char *text, struct address_rule *rule)
{
  char **sides = g_strsplit (text, "=", 2);
  bool valid = g_strv_length (sides) == 2 && is_prefix (sides[0])
               && is_prefix (sides[1]);
  if (valid)
    {
      g_strlcpy (rule->from, sides[0], PREFIX_BYTES);
      g_strlcpy (rule->to, sides[1], PREFIX_BYTES);
    }
  g_strfreev (sides);
  return valid;
}

void
base_address_map_set (const char *rules, const char *place,
                      struct base_findings *findings)
{
  struct address_rule parsed[RULES_MAX];
  size_t before = base_findings_count (findings);
  char **texts = g_strsplit (rules, ",", -1);
  size_t count = 0;
  for (char **text = texts; *text; text++)
    {
      if (count == RULES_MAX)
        base_findings_add (findings, place, "must not have more than %d rules",
                           RULES_MAX);
      else if (!parse_rule (*text, &parsed[count]))
        base_findings_add (
            findings, place,
            "\"%s\" is not a rule PREFIX=PREFIX for IPv4 addresses", *text);
      else
        count++;
    }
  g_strfreev (texts);
  if (base_findings_count (findings) != before)
    return;
  memcpy (active_rules, parsed, count * sizeof *parsed);
  active_rule_count = count;
}

void
base_address_map_apply (const char *address, char mapped[16])
{
  for (size_t i = 0; i < active_rule_count; i++)
    {
      const struct address_rule *rule = &active_rules[i];
      size_t length = strlen (rule->from);
      if (strncmp (address, rule->from, length) != 0)
        continue;
      g_strlcpy (mapped, rule->to, 16);
      g_strlcat (mapped, address + length, 16);
      return;
    }
  g_strlcpy (mapped, address, 16);
}
