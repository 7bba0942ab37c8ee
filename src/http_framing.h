#ifndef HTTP_FRAMING_H
#define HTTP_FRAMING_H

/** @file
 *  Detects requests with ambiguous framing or an ambiguous Host, which another
 *  HTTP server on the path could interpret differently (request smuggling; RFC
 *  9112, sections 3.2, 5 and 6.3).  libmicrohttpd accepts some of them. */

#include <microhttpd.h>

/** Checks the headers of a request.  Returns a message for the sender, or NULL
 *  when they are valid. */
const char *http_framing_fault (struct MHD_Connection *connection,
                                const char *version);
/** Answers 400 with the text @p fault and closes the connection, because its
 *  further bytes can't be trusted. */
enum MHD_Result http_framing_refuse (struct MHD_Connection *connection,
                                     const char *fault);

#endif
