#ifndef HTTP_STATUS_H
#define HTTP_STATUS_H

/** @file
 *  Status pages that every daemon serves: /healthz, /readyz and /metrics. */

#include <stdbool.h>
#include <stdint.h>

#include <microhttpd.h>

#include "base_metrics.h"

/** An HTTP server for the status pages only, on a thread of its own. */
struct http_status;

/** Starts the server on @p address:@p port; with port 0 the kernel chooses
 *  one.  @p ready is called on the server's thread: /readyz answers 200 when
 *  it returns true, else 503.  Returns NULL when the server can't listen. */
struct http_status *http_status_create (const char *address, uint16_t port,
                                        struct base_metrics *metrics,
                                        bool (*ready) (void *context),
                                        void *context);
/** Port on which the server listens. */
uint16_t http_status_port (const struct http_status *status);
/** Stops the server and frees it; NULL is allowed. */
void http_status_destroy (struct http_status *status);

/** Whether @p url is a status page; for daemons that have their own HTTP
 *  server. */
bool http_status_is_page (const char *url);
/** Answers a request for a status page; 404 for any other @p url. */
enum MHD_Result http_status_answer (struct MHD_Connection *connection,
                                    const char *url,
                                    struct base_metrics *metrics, bool ready);

#endif
