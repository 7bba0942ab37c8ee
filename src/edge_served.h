#ifndef EDGE_SERVED_H
#define EDGE_SERVED_H

/** @file
 *  Prompt parts on which a router completed responses a moment ago.  A target
 *  that ends takes many requests with it; the parts that most of them share
 *  are not to blame.  While no target is left nothing is completed, so what
 *  counts is the time before the last completed response.  Bounded; does no
 *  I/O. */

#include <stdbool.h>
#include <stdint.h>

struct edge_served;

/** Creates an empty list. */
struct edge_served *edge_served_create (void);
/** Frees the list; NULL is allowed. */
void edge_served_destroy (struct edge_served *served);
/** Notes a completed response on the part. */
void edge_served_note (struct edge_served *served, uint64_t part,
                       uint64_t now_ms);
/** Returns whether a response on the part was completed a moment ago. */
bool edge_served_is_recent (const struct edge_served *served, uint64_t part,
                            uint64_t now_ms);

#endif
