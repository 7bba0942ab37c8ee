#ifndef CTL_HTTP_H
#define CTL_HTTP_H

/** @file
 *  Reads a JSON page of a daemon. */

#include <stdint.h>

#include <jansson.h>

/** GET http://address:port/path; NULL when it is not answered with JSON
 *  within @p timeout_ms.  The caller drops the reference. */
json_t *ctl_http_get (const char *address, uint16_t port, const char *path,
                      uint32_t timeout_ms);

#endif
