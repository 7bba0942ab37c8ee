#ifndef CONTROL_WATCH_H
#define CONTROL_WATCH_H

/** @file
 *  Routers' calls that wait until this member has something newer: the
 *  document of the highest version, or targets that changed. */

#include <stdint.h>

#include "wire_control.h"
#include "wire_server.h"

struct control_daemon;
struct control_watch;

/** Makes an empty list for a member. */
struct control_watch *control_watch_create (struct control_daemon *daemon);
/** Frees it; waiting calls are dropped. */
void control_watch_destroy (struct control_watch *watch);
/** Answers the call now, or lets it wait. */
void control_watch_handle (struct control_watch *watch, struct wire_call *call,
                           const struct control_watch_args *args,
                           uint64_t now_ms);
/** Answers what can be answered or has waited long enough. */
void control_watch_reply_due (struct control_watch *watch, uint64_t now_ms);

#endif
