#ifndef HTTP_FRAMING_H
#define HTTP_FRAMING_H

/** @file
 *  Requests whose end or target another reader on the way could see elsewhere
 *  (RFC 9112, sections 3.2, 5 and 6.3): the server library lets some pass. */

#include <microhttpd.h>

/** What is wrong with the head of a request, for its sender; NULL when
 *  nothing is. */
const char *http_framing_fault (struct MHD_Connection *connection,
                                const char *version);
/** Answers 400 with @p fault as text and closes the connection, which can't be
 *  trusted any more. */
enum MHD_Result http_framing_refuse (struct MHD_Connection *connection,
                                     const char *fault);

#endif
