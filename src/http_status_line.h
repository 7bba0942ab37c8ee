#ifndef HTTP_STATUS_LINE_H
#define HTTP_STATUS_LINE_H

/** @file
 *  The first line of an HTTP/1 response.  libcurl takes any three digits for
 *  a status, and the first three of more. */

#include <stdbool.h>
#include <stdint.h>

/** Whether a line of a head begins a response. */
bool http_status_line_begins (const char *line);
/** Returns the status, which is from 100 to 599; 0 when the line has no such
 *  status, or another version of HTTP than 1.  The line ends with its end, or
 *  before it. */
uint32_t http_status_line_read (const char *line);

#endif
