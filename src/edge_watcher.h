#ifndef EDGE_WATCHER_H
#define EDGE_WATCHER_H

/** @file
 *  A thread that waits for one control member's news, again and again. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire_client.h"
#include "wire_control.h"

/** What watchers share. */
struct edge_watcher_shared
{
  char *cluster;
  char *router;
  /** Versions of the document that the router has, and that a watcher is
   *  fetching. */
  atomic_uint_least64_t held_version;
  atomic_uint_least64_t fetching_version;
  /** struct edge_news, for the loop's thread. */
  GAsyncQueue *news;
  /** Called by a watcher after it added news. */
  void (*wake) (void *context);
  void *wake_context;
};

/** What a member said, or that it was lost. */
struct edge_news
{
  uint32_t source;
  enum wire_status status;
  struct control_watch_result result;
  /** The whole document of the result's version, or NULL. */
  GByteArray *document;
};

struct edge_watcher;

/** Starts a thread for the member at @p address:@p port; its news carries
 *  @p source. */
struct edge_watcher *edge_watcher_create (struct edge_watcher_shared *shared,
                                          uint32_t source, const char *address,
                                          uint16_t port);
/** Ends the thread, after the call under way. */
void edge_watcher_destroy (struct edge_watcher *watcher);
/** Asks the thread to end, without waiting. */
void edge_watcher_stop (struct edge_watcher *watcher);
/** Frees news. */
void edge_news_free (struct edge_news *news);

#endif
