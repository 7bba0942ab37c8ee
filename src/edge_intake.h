#ifndef EDGE_INTAKE_H
#define EDGE_INTAKE_H

/** @file
 *  Account of the bytes that callers make a router hold: connections, bodies
 *  of requests, and answers that are not delivered yet.
 *
 *  Load pattern: callers outside the limits open many connections, send many
 *  large bodies that never end, or read no answers, until the process is out
 *  of memory.  Bytes are taken here before memory is; when room is short, what
 *  has held the most for the longest without moving goes first.  A body that
 *  moves, a request that was passed on and an answer never have to go, and
 *  large bodies and answers leave room that ordinary requests need. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Bytes that a connection holds besides bodies: the memory for its heads, and
 *  its records. */
#define EDGE_INTAKE_CONNECTION_BYTES (44u * 1024)
/** Bodies and answers up to this size may use the room that is kept for
 *  ordinary requests. */
#define EDGE_INTAKE_ORDINARY_BYTES (64u * 1024)

/** Bounds of an account. */
struct edge_intake_limits
{
  /** Bytes in all, and those of them that larger bodies and answers leave
   *  free. */
  uint64_t bytes_max;
  uint64_t kept_bytes;
  uint32_t connections_max;
  /** Time without movement after which a body may have to go, and after which
   *  it goes in any case, in milliseconds. */
  uint32_t still_ms;
  uint32_t still_max_ms;
};

/** State of a connection. */
enum edge_intake_state
{
  /** No request is read; its head may be incomplete. */
  EDGE_INTAKE_IDLE,
  /** The body is being read. */
  EDGE_INTAKE_READING,
  /** The request was read whole; its answer isn't delivered yet. */
  EDGE_INTAKE_HELD,
  /** The connection was told to go. */
  EDGE_INTAKE_GOING
};

/** A connection.  Embed it. */
struct edge_intake_entry
{
  GList link;
  enum edge_intake_state state;
  /** Bytes of the connection itself, the body and the answer. */
  uint64_t connection_bytes;
  uint64_t body_bytes;
  uint64_t answer_bytes;
  /** Bytes that came while the request is served, and are unread. */
  uint64_t unread_bytes;
  /** Time of the last movement, and bytes received since. */
  uint64_t moved_ms;
  uint64_t unmarked_bytes;
};

struct edge_intake;

/** Returns bounds for a process with this memory, in MiB, and number of
 *  descriptors. */
struct edge_intake_limits edge_intake_limits_for (uint32_t memory_mb,
                                                  uint32_t descriptors);
/** Creates an empty account. */
struct edge_intake *
edge_intake_create (const struct edge_intake_limits *limits);
/** Frees an account without entries.  NULL is allowed. */
void edge_intake_destroy (struct edge_intake *intake);

/** Adds a connection. */
void edge_intake_open (struct edge_intake *intake,
                       struct edge_intake_entry *entry, uint64_t now_ms);
/** Removes a connection and gives its bytes back. */
void edge_intake_close (struct edge_intake *intake,
                        struct edge_intake_entry *entry);
/** Sets the state of a connection; EDGE_INTAKE_IDLE gives its body and answer
 *  back, EDGE_INTAKE_GOING all that it holds. */
void edge_intake_set_state (struct edge_intake *intake,
                            struct edge_intake_entry *entry,
                            enum edge_intake_state state, uint64_t now_ms);
/** Notes bytes of a body that were received; a trickle is no movement. */
void edge_intake_note_received (struct edge_intake_entry *entry,
                                uint64_t bytes, uint64_t now_ms);

/** Returns whether there are more connections, or bytes, than the bounds
 *  allow. */
bool edge_intake_is_over (const struct edge_intake *intake);
/** Returns whether the body of a connection may grow to @p bytes. */
bool edge_intake_body_fits (const struct edge_intake *intake,
                            const struct edge_intake_entry *entry,
                            uint64_t bytes);
/** Sets the size of a body, which fits. */
void edge_intake_set_body (struct edge_intake *intake,
                           struct edge_intake_entry *entry, uint64_t bytes);
/** Sets the size of an answer.  Returns whether more of it may be read; a
 *  small one always may. */
bool edge_intake_set_answer (struct edge_intake *intake,
                             struct edge_intake_entry *entry, uint64_t bytes);
/** Sets the bytes that are unread at a connection whose request is served. */
void edge_intake_set_unread (struct edge_intake *intake,
                             struct edge_intake_entry *entry, uint64_t bytes);
/** Calls @p visit for each connection whose request has been served for longer
 *  than the time without movement after which a body may have to go. */
void edge_intake_visit_held (const struct edge_intake *intake, uint64_t now_ms,
                             void (*visit) (void *context,
                                            struct edge_intake_entry *entry),
                             void *context);
/** Returns the connection that has to go first, or NULL when none may have to;
 *  @p asking is never returned.  For a new connection or an ordinary body (@p
 *  is_ordinary) bodies may have to go that have not moved for a tenth of the
 *  time, if there is nothing else. */
struct edge_intake_entry *
edge_intake_find_victim (const struct edge_intake *intake,
                         const struct edge_intake_entry *asking,
                         bool is_ordinary, uint64_t now_ms);
/** Returns a connection whose body has not moved for the longest time allowed,
 *  or NULL. */
struct edge_intake_entry *
edge_intake_find_still (const struct edge_intake *intake, uint64_t now_ms);
/** Returns the largest body that the account can hold. */
uint64_t edge_intake_body_max (const struct edge_intake *intake);
/** Returns the bytes held, and the connections without those that go. */
uint64_t edge_intake_bytes (const struct edge_intake *intake);
uint32_t edge_intake_connections (const struct edge_intake *intake);
/** Returns whether less than a quarter of the room is free. */
bool edge_intake_is_tight (const struct edge_intake *intake);

#endif
