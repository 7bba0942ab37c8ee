#ifndef CONTROL_LIMITS_H
#define CONTROL_LIMITS_H

/** @file
 *  Targets that take a limited number of requests a second from all hosts
 *  together.  Routers report what targets say, and ask for permits to send
 *  requests to limited targets; each target has a token bucket.  The bound on
 *  what reaches a target holds over permits in use: level and unused permits
 *  together never exceed the burst, so in any time t it gets at most
 *  burst + rate * t requests.  Less urgent requests get no permits while more
 *  urgent ones lack them.  Memory is bounded.  Deterministic, no I/O. */

#include <stdint.h>

#include "wire_control.h"

struct control_limits;

/** Creates an empty set of limits. */
struct control_limits *control_limits_create (void);
/** Frees the limits; NULL is allowed. */
void control_limits_destroy (struct control_limits *limits);
/** Applies a router's call, sent at @p sent_ms by its clock, and fills in the
 *  grants of the result, which are freed with it.  @p wall_ms is the wall time
 *  of the member that proposed the command; it may go back. */
void control_limits_call (struct control_limits *limits, const char *router,
                          const struct control_limit_call *call,
                          uint64_t sent_ms, uint64_t wall_ms,
                          struct control_router_result *result);
/** Version of the list, which grows with each change; 0 when there never was a
 *  limit. */
uint64_t control_limits_version (const struct control_limits *limits);
/** Stores the limits in force in a list that is freed with the message. */
void control_limits_list (const struct control_limits *limits,
                          struct control_limit_list *list);
/** Fills in the limits' part of a snapshot, which is freed with it. */
void control_limits_save (const struct control_limits *limits,
                          struct control_limits_image *image);
/** Reads the limits' part of a snapshot into an empty set. */
void control_limits_load (struct control_limits *limits,
                          const struct control_limits_image *image);

#endif
