#ifndef CONTROL_STREAMS_H
#define CONTROL_STREAMS_H

/** @file
 *  Remembers for some time which build (a service at one software version)
 *  began which stream.  Routers keep a table of the streams that they began;
 *  control members keep one of all routers', for callers that take a stream up
 *  at another router.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

/** Time for which a stream is remembered at least, in milliseconds: longer
 *  than callers wait for a stream over all their tries. */
#define CONTROL_STREAMS_KEEP_MS 30000
/** Maximum number of streams that begin within that time and are
 *  remembered. */
#define CONTROL_STREAMS_KEPT_MAX 262144

struct control_streams;

/** Creates an empty table. */
struct control_streams *control_streams_create (void);
/** Frees a table; NULL is allowed. */
void control_streams_destroy (struct control_streams *streams);
/** Records that @p build began @p stream; neither is 0.  A stream that two
 *  builds are recorded for counts as unknown.  Returns false when the table is
 *  full. */
bool control_streams_note (struct control_streams *streams, uint64_t stream,
                           uint64_t build, uint64_t now_ms);
/** Returns the build that began the stream, or 0 when that is unknown. */
uint64_t control_streams_find (struct control_streams *streams,
                               uint64_t stream, uint64_t now_ms);
/** Returns the number of streams that are remembered. */
uint32_t control_streams_count (const struct control_streams *streams);
/** Returns the key of a stream: a digest of the client account and of the id
 *  of the request that brought its first event. */
uint64_t control_streams_key (const char *account, const char *request_id);
/** Returns the key of a build: a digest of service and software version. */
uint64_t control_streams_build (const char *service,
                                const char *software_version);

#endif
