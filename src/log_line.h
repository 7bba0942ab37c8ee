#ifndef LOG_LINE_H
#define LOG_LINE_H

/** @file
 *  A line that a process of ours wrote to its log, read again. */

#include <stdbool.h>
#include <stdint.h>

/** A line's parts. */
struct log_line
{
  /** Time of day, in milliseconds since 1970. */
  int64_t time_ms;
  char *host;
  char *event;
  /** What follows the event: "key=value key=\"more words\" ...". */
  char *fields;
};

/** Reads a line of base_log.h or base_event.h; false for any other text, and
 *  then nothing needs to be cleared. */
bool log_line_parse (const char *text, struct log_line *line);
/** Frees its parts. */
void log_line_clear (struct log_line *line);
/** Value of a field without its quotes, freed with g_free; NULL when the line
 *  hasn't it. */
char *log_line_field (const struct log_line *line, const char *key);
/** Whether a field has this value. */
bool log_line_has_field (const struct log_line *line, const char *key,
                         const char *value);

#endif
