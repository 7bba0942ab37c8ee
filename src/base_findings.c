#include "base_findings.h"

#include <stdarg.h>

#include <glib.h>

struct base_finding
{
  char *place;
  char *text;
};

struct base_findings
{
  GArray *list;
};

static void
clear_finding (void *element)
{
  struct base_finding *finding = element;
  g_free (finding->place);
  g_free (finding->text);
}

static const struct base_finding *
finding_at (const struct base_findings *findings, size_t index)
{
  return &g_array_index (findings->list, struct base_finding, index);
}

struct base_findings *
base_findings_create (void)
{
  struct base_findings *findings = g_new0 (struct base_findings, 1);
  findings->list = g_array_new (FALSE, FALSE, sizeof (struct base_finding));
  g_array_set_clear_func (findings->list, clear_finding);
  return findings;
}

void
base_findings_destroy (struct base_findings *findings)
{
  if (!findings)
    return;
  g_array_unref (findings->list);
  g_free (findings);
}

void
base_findings_add (struct base_findings *findings, const char *place,
                   const char *format, ...)
{
  struct base_finding finding;
  va_list arguments;
  va_start (arguments, format);
  finding.place = g_strdup (place);
  finding.text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_array_append_val (findings->list, finding);
}

size_t
base_findings_count (const struct base_findings *findings)
{
  return findings->list->len;
}

const char *
base_findings_place (const struct base_findings *findings, size_t index)
{
  return finding_at (findings, index)->place;
}

const char *
base_findings_text (const struct base_findings *findings, size_t index)
{
  return finding_at (findings, index)->text;
}

void
base_findings_print (const struct base_findings *findings, FILE *stream)
{
  char *lines = base_findings_join (findings);
  fputs (lines, stream);
  g_free (lines);
}

char *
base_findings_join (const struct base_findings *findings)
{
  GString *lines = g_string_new (NULL);
  for (size_t i = 0; i < findings->list->len; i++)
    {
      const struct base_finding *finding = finding_at (findings, i);
      g_string_append_printf (lines, "%s: %s\n", finding->place,
                              finding->text);
    }
  return g_string_free (lines, FALSE);
}
