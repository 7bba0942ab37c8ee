#include "base_address_map.h"

#include <string.h>

#include <glib.h>

#define RULES_MAX 32
#define PREFIX_BYTES 16

struct address_rule
{
  char from[PREFIX_BYTES];
  char to[PREFIX_BYTES];
};

static struct address_rule rules_in_force[RULES_MAX];
static size_t rule_count;

/* Whether the text can begin an IPv4 address. */
static bool
is_prefix (const char *text)
{
  size_t length = strlen (text);
  return length > 0 && length < PREFIX_BYTES
         && strspn (text, "0123456789.") == length;
}

static bool
read_rule (const char *text, struct address_rule *rule)
{
  char **sides = g_strsplit (text, "=", 2);
  bool good = g_strv_length (sides) == 2 && is_prefix (sides[0])
              && is_prefix (sides[1]);
  if (good)
    {
      g_strlcpy (rule->from, sides[0], PREFIX_BYTES);
      g_strlcpy (rule->to, sides[1], PREFIX_BYTES);
    }
  g_strfreev (sides);
  return good;
}

void
base_address_map_set (const char *rules, const char *place,
                      struct base_findings *findings)
{
  struct address_rule read[RULES_MAX];
  size_t before = base_findings_count (findings);
  char **texts = g_strsplit (rules, ",", -1);
  size_t count = 0;
  for (char **text = texts; *text; text++)
    {
      if (count == RULES_MAX)
        base_findings_add (findings, place, "has more than %d rules",
                           RULES_MAX);
      else if (!read_rule (*text, &read[count]))
        base_findings_add (findings, place,
                           "\"%s\" is not PREFIX=PREFIX of IPv4 addresses",
                           *text);
      else
        count++;
    }
  g_strfreev (texts);
  if (base_findings_count (findings) != before)
    return;
  memcpy (rules_in_force, read, count * sizeof *read);
  rule_count = count;
}

void
base_address_map_apply (const char *address, char mapped[16])
{
  for (size_t i = 0; i < rule_count; i++)
    {
      const struct address_rule *rule = &rules_in_force[i];
      size_t length = strlen (rule->from);
      if (strncmp (address, rule->from, length) != 0)
        continue;
      g_strlcpy (mapped, rule->to, 16);
      g_strlcat (mapped, address + length, 16);
      return;
    }
  g_strlcpy (mapped, address, 16);
}
