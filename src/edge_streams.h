#ifndef EDGE_STREAMS_H
#define EDGE_STREAMS_H

/** @file
 *  Which build (a service at one software version) began which stream, as far
 *  as this router and the control members know.  A router records the streams
 *  that it begins, and sends notes of them to more than half of the members.
 *  Only for a stream that it didn't begin itself it asks the members.  Does no
 *  I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "edge_targets.h"
#include "wire_control.h"

/** Time for which members are asked about a stream, in milliseconds: several
 *  round trips between regions, and short beside the time that callers
 *  wait. */
#define EDGE_STREAMS_ASK_MS 400

/** What is known of a stream. */
enum edge_streams_answer
{
  EDGE_STREAMS_KNOWN,
  /** Members were asked. */
  EDGE_STREAMS_ASKED,
  EDGE_STREAMS_UNKNOWN
};

struct edge_streams;

/** Creates an empty record, without members. */
struct edge_streams *edge_streams_create (void);
/** Frees the record; NULL is allowed. */
void edge_streams_destroy (struct edge_streams *streams);
/** Sets whether a member (below EDGE_SOURCES_MAX) exists. */
void edge_streams_set_member (struct edge_streams *streams, uint32_t member,
                              bool exists);
/** Sets whether a member responds. */
void edge_streams_set_reachable (struct edge_streams *streams, uint32_t member,
                                 bool is_reachable);
/** Returns whether more than half of the members respond. */
bool edge_streams_has_majority (const struct edge_streams *streams);
/** Records that @p build began @p stream. */
void edge_streams_begin (struct edge_streams *streams, uint64_t stream,
                         uint64_t build, uint64_t now_ms);
/** Has the notes that wait sent at once, because a caller may take up its
 *  stream elsewhere now. */
void edge_streams_flush (struct edge_streams *streams);
/** Has the notes that wait sent at once, because a caller may take up its
 *  stream elsewhere now. */
void edge_streams_flush (struct edge_streams *streams);
/** Returns what is known of @p stream, and sets @p build when that is known.
 *  Asks the members for one that this router doesn't know. */
enum edge_streams_answer edge_streams_find (struct edge_streams *streams,
                                            uint64_t stream, uint64_t now_ms,
                                            uint64_t *build);
/** Fills in the next call to a member, freed with xdr_free.  Returns false
 *  when there is nothing to send yet, or a call to it is in progress. */
bool edge_streams_fill_call (struct edge_streams *streams, uint32_t member,
                             uint64_t now_ms,
                             struct control_streams_args *args);
/** Handles the result of the call to a member; NULL when it failed.  Returns
 *  whether a stream that was asked for is decided now. */
bool edge_streams_handle_result (struct edge_streams *streams, uint32_t member,
                                 const struct control_streams_result *result);

#endif
