#ifndef LOG_LINE_H
#define LOG_LINE_H

/** @file
 *  Parser of the log lines that base_log.h and base_event.h write. */

#include <stdbool.h>
#include <stdint.h>

/** Parts of a log line. */
struct log_line
{
  /** Milliseconds since the Unix epoch. */
  int64_t time_ms;
  char *host;
  char *event;
  /** The rest of the line after the event: "key=value key=\"two words\" ...".
   */
  char *fields;
};

/** Parses a line of base_log.h or base_event.h.  Returns false for any other
 *  text; then @p line need not be cleared. */
bool log_line_parse (const char *text, struct log_line *line);
/** Frees the parts of the line. */
void log_line_clear (struct log_line *line);
/** Returns the value of the field @p key without quotes, or NULL when the line
 *  has no such field.  The caller frees it with g_free. */
char *log_line_field (const struct log_line *line, const char *key);
/** Whether the field @p key has the value @p value. */
bool log_line_has_field (const struct log_line *line, const char *key,
                         const char *value);

#endif
