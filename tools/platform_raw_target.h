#ifndef PLATFORM_RAW_TARGET_H
#define PLATFORM_RAW_TARGET_H

/** @file
 *  A test target on plain sockets: a callback writes the bytes of each
 *  response, which needn't be valid HTTP, and the target can end as a process
 *  that crashes does. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct platform_raw_target;

/** Writes the response to a request with head @p head to @p fd, which the
 *  target then closes.  Called on the connection's thread. */
typedef void platform_raw_target_respond (struct platform_raw_target *target,
                                          int fd, const char *head,
                                          void *context);

/** Starts a target named @p id on a free port of 127.0.0.1. */
struct platform_raw_target *platform_raw_target_create (
    const char *id, platform_raw_target_respond *respond, void *context);
/** From now on the callback is called before the body of a request is read,
 *  and reads it, or not, from the connection. */
void platform_raw_target_leave_bodies (struct platform_raw_target *target);
/** Stops the target and frees it. */
void platform_raw_target_destroy (struct platform_raw_target *target);
/** Closes the port and all connections at once.  May be called by the
 *  callback. */
void platform_raw_target_crash (struct platform_raw_target *target);
/** Whether platform_raw_target_crash was called. */
bool
platform_raw_target_has_crashed (const struct platform_raw_target *target);
/** Port that the target listened on. */
uint16_t platform_raw_target_port (const struct platform_raw_target *target);
/** Writes all bytes; returns false when the peer closed the connection. */
bool platform_raw_target_write (int fd, const char *data, size_t bytes);
/** Resets the connection, without an orderly end; what was written still
 *  reaches the peer. */
void platform_raw_target_reset (int fd);
/** Writes status 200 and the headers that a response to @p head must have,
 *  without those of its framing and without the line that ends the head. */
bool platform_raw_target_write_head (const struct platform_raw_target *target,
                                     int fd, const char *head);

#endif
