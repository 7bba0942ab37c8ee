#ifndef EDGE_TRANSFER_H
#define EDGE_TRANSFER_H

/** @file
 *  The transfer that a router is reading: which documents it leads from and
 *  to, and the pieces received so far.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire_control.h"

struct edge_transfer;

/** What a piece did to the transfer. */
enum edge_transfer_outcome
{
  EDGE_TRANSFER_MORE,
  EDGE_TRANSFER_COMPLETE,
  /** The piece belongs to another transfer, or leads to no newer document;
   *  the transfer was reset. */
  EDGE_TRANSFER_MISFIT
};

/** Creates a transfer that is not begun. */
struct edge_transfer *edge_transfer_create (void);
/** Frees a transfer. */
void edge_transfer_destroy (struct edge_transfer *transfer);
/** Discards what was received. */
void edge_transfer_reset (struct edge_transfer *transfer);
/** Returns whether a piece was received. */
bool edge_transfer_is_begun (const struct edge_transfer *transfer);
/** Fills in the call for the next piece; a transfer that is not begun starts
 *  from the document of @p held_version. */
void edge_transfer_fill_call (struct edge_transfer *transfer,
                              uint64_t held_version, uint64_t now_ms,
                              struct control_fetch_args *args);
/** Adds the piece of a successful call.  A transfer that begins must lead to a
 *  document newer than @p newer_than. */
enum edge_transfer_outcome
edge_transfer_add (struct edge_transfer *transfer, uint64_t newer_than,
                   const struct control_fetch_result *result);
/** Returns the version that the transfer starts from; 0 is the empty
 *  document. */
uint64_t edge_transfer_from_version (const struct edge_transfer *transfer);
/** Returns the version that the transfer leads to, or 0 before it is begun. */
uint64_t edge_transfer_to_version (const struct edge_transfer *transfer);
/** Returns the bytes received so far, owned by the transfer. */
const GByteArray *edge_transfer_bytes (const struct edge_transfer *transfer);
/** Returns the number of calls since the transfer was reset. */
uint32_t edge_transfer_calls (const struct edge_transfer *transfer);
/** Returns the time of the first of these calls. */
uint64_t edge_transfer_began_ms (const struct edge_transfer *transfer);

#endif
