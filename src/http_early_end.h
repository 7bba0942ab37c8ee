#ifndef HTTP_EARLY_END_H
#define HTTP_EARLY_END_H

/** @file
 *  Looks whether a target ended a connection before it had the whole request.
 *  A host resets a connection that a program closes with bytes unread, and an
 *  end that seems orderly may come before the reset. */

#include <stdbool.h>

/** Returns whether the peer of a connection, which it has ended, has not
 *  acknowledged all that was sent, or has reset it since. */
bool http_early_end (int fd);

#endif
