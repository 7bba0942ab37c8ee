#ifndef ROUTER_POLL_H
#define ROUTER_POLL_H

/** @file
 *  Event loop of one worker: libcurl's transfers on epoll, and a wake-up
 *  from other threads. */

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

struct router_poll;

/** A file descriptor of another library in the loop.  Embed as the first
 *  member. */
struct router_watch
{
  /** Called on the loop's thread with the events that epoll reported. */
  void (*ready) (struct router_watch *watch, uint32_t events);
};

/** Creates a loop.  @p done is called for each finished transfer, after its
 *  handle was removed from the loop.  Returns NULL with errno set on
 *  failure. */
struct router_poll *router_poll_create (void (*done) (CURL *easy,
                                                      CURLcode code));
/** Frees a loop; no transfer may be in it. */
void router_poll_destroy (struct router_poll *loop);
/** Starts a transfer.  Returns 0, or -1. */
int router_poll_add (struct router_poll *loop, CURL *easy);
/** Cancels a transfer and closes its connection. */
void router_poll_remove (struct router_poll *loop, CURL *easy);
/** Returns the socket of a transfer in progress, or -1 before it is
 *  connected. */
int router_poll_socket (const struct router_poll *loop, CURL *easy);
/** Has the loop look for an early end (http_early_end.h) when the transfer
 * lets go of its connection; libcurl closes that before it reports the end. */
void router_poll_note_end (struct router_poll *loop, CURL *easy);
/** Returns whether the connection of such a transfer, which has ended, ended
 *  early. */
bool router_poll_ended_early (const struct router_poll *loop, CURL *easy);
/** Stops or continues reading a transfer's response.  Unlike curl_easy_pause,
 *  this leaves what isn't read yet with the kernel: libcurl discards what it
 *  holds for a paused transfer when the connection then fails. */
void router_poll_pause (struct router_poll *loop, CURL *easy, bool pause);
/** Adds a file descriptor with epoll @p events.  Returns 0, or -1 with errno
 *  set. */
int router_poll_watch (struct router_poll *loop, int fd, uint32_t events,
                       struct router_watch *watch);
/** Changes the events of a file descriptor that is in the loop. */
void router_poll_rewatch (struct router_poll *loop, int fd, uint32_t events,
                          struct router_watch *watch);
/** Removes a file descriptor; call it before closing. */
void router_poll_unwatch (struct router_poll *loop, int fd);
/** Calls @p watch once when the peer of a connection closes or resets it,
 * before other events are handled.  Returns 0, or -1 with errno set. */
int router_poll_watch_close (struct router_poll *loop, int fd,
                             struct router_watch *watch);
/** Ends router_poll_watch_close; call it before closing. */
void router_poll_unwatch_close (struct router_poll *loop, int fd);
/** Returns whether connections may have been closed since the loop last looked
 *  for that some milliseconds ago. */
bool router_poll_closes_are_due (const struct router_poll *loop);
/** Handles closed connections if that is due; for work that takes long.  Not
 *  to be called by a callback of libcurl. */
void router_poll_read_due_closes (struct router_poll *loop);
/** Waits for at most @p wait_ms and handles the events that are ready. */
void router_poll_run (struct router_poll *loop, uint32_t wait_ms);
/** Returns the time of the last look at the events, in milliseconds: all that
 *  had come by then was handled, what came later wasn't. */
uint64_t router_poll_looked_ms (const struct router_poll *loop);
/** Returns the time between the last two looks at the events, without the time
 *  for which the loop waited for some, in milliseconds. */
uint64_t router_poll_gap_ms (const struct router_poll *loop);
/** Returns how long a close that is handled now may have gone unread, in
 *  milliseconds. */
uint64_t router_poll_unread_max_ms (const struct router_poll *loop);
/** Ends the wait of router_poll_run; safe from any thread. */
void router_poll_wake (struct router_poll *loop);

#endif
