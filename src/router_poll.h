#ifndef ROUTER_POLL_H
#define ROUTER_POLL_H

/** @file
 *  Event loop of one worker: libcurl's transfers on epoll, and a wake-up from
 *  other threads. */

#include <stdint.h>

#include <curl/curl.h>

struct router_poll;

/** A file descriptor of another library in the loop; embed it as the first
 *  member. */
struct router_watch
{
  /** Called on the loop's thread with what epoll said. */
  void (*ready) (struct router_watch *watch, uint32_t events);
};

/** Makes a loop; @p done is called with each transfer that ended, whose handle
 *  is out of the loop by then.  NULL with errno set on failure. */
struct router_poll *router_poll_create (void (*done) (CURL *easy,
                                                      CURLcode code));
/** Frees it; no transfer may be in it. */
void router_poll_destroy (struct router_poll *loop);
/** Starts a transfer; 0, or -1. */
int router_poll_add (struct router_poll *loop, CURL *easy);
/** Gives up a transfer and closes its connection. */
void router_poll_remove (struct router_poll *loop, CURL *easy);
/** Adds a file descriptor with epoll @p events; 0, or -1 with errno set. */
int router_poll_watch (struct router_poll *loop, int fd, uint32_t events,
                       struct router_watch *watch);
/** Takes it out again, before it is closed. */
void router_poll_unwatch (struct router_poll *loop, int fd);
/** Waits for at most @p wait_ms and handles what is ready. */
void router_poll_run (struct router_poll *loop, uint32_t wait_ms);
/** Ends the wait; from any thread. */
void router_poll_wake (struct router_poll *loop);

#endif
