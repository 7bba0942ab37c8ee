#ifndef CTL_HTTP_H
#define CTL_HTTP_H

/** @file
 *  Fetches a JSON page from a daemon's HTTP port. */

#include <stdint.h>

#include <jansson.h>

/** Fetches http://address:port/path with GET.  Returns NULL unless a JSON
 *  response with a status below 400 arrives within @p timeout_ms.  The caller
 *  owns the reference. */
json_t *ctl_http_get_json (const char *address, uint16_t port,
                           const char *path, uint32_t timeout_ms);

#endif
