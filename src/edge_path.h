#ifndef EDGE_PATH_H
#define EDGE_PATH_H

/** @file
 *  What a router knows of its way to one target: whether its own connections
 *  arrive, and whether other routers reach the target.  A way counts as lost
 *  with the first connection that can't be made.  Connections without a
 *  request (probes) find out when it is back and whether others reach the
 *  target; requests don't.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

/** Number of other routers that are remembered as not reaching the target. */
#define EDGE_PATH_FAILURES 16

/** Whether others reach a target that this router has lost. */
enum edge_path_relay
{
  EDGE_PATH_RELAY_UNKNOWN,
  EDGE_PATH_RELAY_WORKS,
  EDGE_PATH_RELAY_FAILS
};

/** Result of a connection to a target. */
enum edge_path_result
{
  /** A connection was made. */
  EDGE_PATH_REACHED,
  /** The host refused it: no process listens. */
  EDGE_PATH_REFUSED,
  /** Nothing answered. */
  EDGE_PATH_UNREACHABLE,
  /** The other router could not be reached; nothing is known of the target. */
  EDGE_PATH_NO_PEER,
  /** The other router takes no more connections at the moment. */
  EDGE_PATH_BUSY_PEER
};

/** Another router that didn't reach the target. */
struct edge_path_failure
{
  /** Interned name. */
  const char *peer;
  uint64_t until_ms;
};

/** The way to a target; all zero means that nothing is wrong with it. */
struct edge_path
{
  bool is_lost;
  uint64_t lost_ms;
  /** Time of the last connection that could not be made. */
  uint64_t tried_ms;
  /** Time of the last sign that the router's own connections arrive. */
  uint64_t heard_ms;
  /** Time at which the next probe of the router's own way is due, and the
   *  interval of the one after it. */
  uint64_t probe_ms;
  uint32_t probe_interval_ms;
  bool is_probing;
  enum edge_path_relay relay;
  /** Time at which the next probe via another router is due, and the number of
   *  those that failed since the last success. */
  uint64_t relay_probe_ms;
  uint32_t relay_failures;
  bool is_relay_probing;
  struct edge_path_failure failures[EDGE_PATH_FAILURES];
  uint32_t next_failure;
};

/** Notes that the router's own connections arrive.  Returns whether the way
 *  was lost. */
bool edge_path_note_reached (struct edge_path *path, uint64_t now_ms);
/** Notes that a connection could not be made.  Returns whether the way was not
 *  known to be lost. */
bool edge_path_note_lost (struct edge_path *path, uint64_t now_ms);
/** Asks for a probe of the way, since a response is overdue, unless something
 *  came from the target lately. */
void edge_path_suspect (struct edge_path *path, uint64_t now_ms);
/** Asks for a probe of the way, since other targets were just lost. */
void edge_path_check (struct edge_path *path, uint64_t now_ms);
/** Notes the result of a connection that @p peer (interned) passed on. Returns
 *  whether that changes what is known. */
bool edge_path_note_relayed (struct edge_path *path, const char *peer,
                             enum edge_path_result result, uint64_t now_ms);
/** Returns whether @p peer (interned) lately failed to reach the target. */
bool edge_path_has_failed_via (const struct edge_path *path, const char *peer,
                               uint64_t now_ms);
/** Returns whether a probe of the router's own way is due. */
bool edge_path_needs_probe (const struct edge_path *path, uint64_t now_ms);
/** Notes that one begins. */
void edge_path_begin_probe (struct edge_path *path);
/** Returns whether a probe via another router is due. */
bool edge_path_needs_relay_probe (const struct edge_path *path,
                                  uint64_t now_ms);
/** Notes that one begins, or that there is no router for it. */
void edge_path_begin_relay_probe (struct edge_path *path, bool has_peer,
                                  uint64_t now_ms);

/** Returns whether a request may be sent to a target that nobody reached
 *  lately, as one of few. */
bool edge_path_take_try (struct edge_path *path, uint64_t now_ms);

#endif
