#ifndef EDGE_WATCHER_H
#define EDGE_WATCHER_H

/** @file
 *  A thread that watches one control member for updates, by repeated long-poll
 *  calls. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire_client.h"
#include "control_watch_codec.h"

/** State that the watchers of a router share. */
struct edge_watcher_shared
{
  char *cluster;
  char *router;
  /** What the router says of itself; the strings don't change. */
  char *address;
  char *availability_zone;
  atomic_uint relay_port;
  atomic_bool is_cut_off;
  atomic_uint demand;
  /** Version of the evacuations in force at the router. */
  atomic_uint_least64_t evacuations_version;
  /** Queue of struct edge_update, read by the loop's thread. */
  GAsyncQueue *updates;
  /** Called by a watcher after it queued an update. */
  void (*wake) (void *context);
  void *wake_context;
};

/** The result of one watch call to a member. */
struct edge_update
{
  /** Number of the member that was called. */
  uint32_t source;
  /** Status of the call; unless it is WIRE_OK, the call failed and the result
   *  is unset. */
  enum wire_status status;
  /** Time at which the call was sent (base_clock_steady_wall_ms()). */
  uint64_t sent_ms;
  struct control_watch_answer answer;
};

struct edge_watcher;

/** Starts a thread that watches the member at @p address:@p port; its updates
 *  carry @p source. */
struct edge_watcher *edge_watcher_create (struct edge_watcher_shared *shared,
                                          uint32_t source, const char *address,
                                          uint16_t port);
/** Stops the thread and destroys the watcher; waits for the call in progress.
 */
void edge_watcher_destroy (struct edge_watcher *watcher);
/** Requests that the thread stops, without waiting. */
void edge_watcher_stop (struct edge_watcher *watcher);
/** Frees an update. */
void edge_update_free (struct edge_update *update);

#endif
