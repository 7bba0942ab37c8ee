#ifndef WIRE_REPLIES_H
#define WIRE_REPLIES_H

/** @file
 *  Counts the replies to posted calls in the bytes that a connection brings,
 *  without decoding them, and tells for how long they have been missing. */

#include <stddef.h>
#include <stdint.h>

struct wire_replies;

/** Creates the count of a connection without open calls. */
struct wire_replies *wire_replies_create (void);
/** Frees the count. */
void wire_replies_destroy (struct wire_replies *replies);
/** Forgets the calls and bytes of a connection that was closed. */
void wire_replies_reset (struct wire_replies *replies);
/** Notes a call of @p bytes that was sent at @p now_ms. */
void wire_replies_note_call (struct wire_replies *replies, size_t bytes,
                             uint64_t now_ms);
/** Notes that the peer's kernel has not acknowledged the last @p bytes that
 *  were sent.  The connection isn't silent while the oldest open call is being
 *  acknowledged bit by bit. */
void wire_replies_note_unacknowledged (struct wire_replies *replies,
                                       uint64_t bytes, uint64_t now_ms);
/** Notes received bytes, which may hold replies in part. */
void wire_replies_note_bytes (struct wire_replies *replies, const char *data,
                              size_t bytes, uint64_t now_ms);
/** Number of calls without a reply. */
uint32_t wire_replies_open (const struct wire_replies *replies);
/** Number of replies on the connection so far. */
uint64_t wire_replies_received (const struct wire_replies *replies);
/** Time since the last sign of life, or since a call was sent while no other
 *  was open; 0 when no call is open. */
uint64_t wire_replies_silent_ms (const struct wire_replies *replies,
                                 uint64_t now_ms);
/** Time at which the connection counts as failed when it brings nothing until
 *  then: @p timeout_ms after the silence began, and up to twice that when the
 *  oldest open call is large.  Later calls don't put it off.  UINT64_MAX when
 * no call is open. */
uint64_t wire_replies_due_ms (const struct wire_replies *replies,
                              uint32_t timeout_ms);

#endif
