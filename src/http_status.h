#ifndef HTTP_STATUS_H
#define HTTP_STATUS_H

/** @file
 *  The pages that every daemon serves: /healthz, /readyz and /metrics. */

#include <stdbool.h>
#include <stdint.h>

#include <microhttpd.h>

#include "base_metrics.h"

/** A small HTTP server with these pages only, on a thread of its own. */
struct http_status;

/** Listens on @p address:@p port (0: the kernel picks one).  @p ready, on the
 *  server's thread, tells whether /readyz says 200 or 503.  NULL when it
 *  can't listen. */
struct http_status *http_status_create (const char *address, uint16_t port,
                                        struct base_metrics *metrics,
                                        bool (*ready) (void *context),
                                        void *context);
/** Port that is listened on. */
uint16_t http_status_port (const struct http_status *status);
/** Stops the server; NULL is allowed. */
void http_status_destroy (struct http_status *status);

/** Whether @p url is one of the pages, for daemons with an HTTP server of
 *  their own. */
bool http_status_is_page (const char *url);
/** Answers one of the pages. */
enum MHD_Result http_status_answer (struct MHD_Connection *connection,
                                    const char *url,
                                    struct base_metrics *metrics, bool ready);

#endif
