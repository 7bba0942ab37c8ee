#ifndef BASE_LOG_H
#define BASE_LOG_H

/** @file
 *  Syslog-style log on standard error, for changes of state only. */

/** Severity, as in syslog. */
enum base_log_level
{
  BASE_LOG_ERROR = 3,
  BASE_LOG_WARNING = 4,
  BASE_LOG_NOTICE = 5,
  BASE_LOG_INFO = 6,
  BASE_LOG_DEBUG = 7
};

/** Sets the program and host name of later lines; both are copied. */
void base_log_open (const char *program, const char *host);
/** Writes later lines to @p fd instead of standard error. */
void base_log_set_fd (int fd);
/** Drops lines less severe than @p level (default BASE_LOG_INFO). */
void base_log_set_level (enum base_log_level level);
/** Writes a line "<level>time program[host]: event key=value ..."; @p format
 *  consists of the event and the key=value pairs.  Thread-safe. */
void base_log (enum base_log_level level, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
