#ifndef CONTROL_WATCH_H
#define CONTROL_WATCH_H

/** @file
 *  CONTROL_WATCH calls of routers, which wait until this member has a newer
 *  document or changed targets (long polling). */

#include <stdint.h>

#include "control_watch_codec.h"
#include "wire_server.h"

struct control_daemon;
struct control_watch;

/** Creates an empty list of waiting calls. */
struct control_watch *control_watch_create (struct control_daemon *daemon);
/** Frees the list without replying to its calls. */
void control_watch_destroy (struct control_watch *watch);
/** Adds a call, which control_watch_reply_due replies to. */
void control_watch_handle (struct control_watch *watch, struct wire_call *call,
                           const struct control_watch_call *watch_call,
                           uint64_t now_ms);
/** Answers CONTROL_EVACUATION_LIST. */
void control_watch_list_evacuations (struct control_watch *watch,
                                     struct wire_call *call, uint64_t now_ms);
/** Replies to the calls that have something newer or have timed out, and marks
 *  silent targets. */
void control_watch_reply_due (struct control_watch *watch, uint64_t now_ms);

#endif
