#ifndef EDGE_READER_H
#define EDGE_READER_H

/** @file
 *  A thread that reads configuration documents from control members and parses
 *  them.  A read that has begun goes on to its end, at another member if need
 *  be, while newer documents are announced. */

#include <stdbool.h>
#include <stdint.h>

#include "edge.h"

struct edge_reader;

/** Starts the thread.  @p wake is called on it when a table is ready. */
struct edge_reader *edge_reader_create (struct edge *edge,
                                        void (*wake) (void *context),
                                        void *context);
/** Stops the thread, after the call in progress, and frees the reader. */
void edge_reader_destroy (struct edge_reader *reader);
/** Records that the member with number @p source at @p address:@p port
 *  responded and holds @p version; @p is_near tells that it is in the router's
 *  region.  Thread-safe, like the functions below. */
void edge_reader_report (struct edge_reader *reader, uint32_t source,
                         const char *address, uint16_t port, bool is_near,
                         uint64_t version);
/** Records that a member doesn't respond. */
void edge_reader_report_lost (struct edge_reader *reader, uint32_t source);
/** Removes a member. */
void edge_reader_forget (struct edge_reader *reader, uint32_t source);
/** Returns the newest table read since the last call, or NULL; the caller owns
 *  the reference. */
struct edge_table *edge_reader_take_table (struct edge_reader *reader);

#endif
