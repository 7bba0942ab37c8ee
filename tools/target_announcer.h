#ifndef TARGET_ANNOUNCER_H
#define TARGET_ANNOUNCER_H

/** @file
 *  Announces a stand-in target to routers at a fixed interval, on its own
 *  thread. */

#include <stdbool.h>
#include <stdint.h>

#include "target_engine.h"

/** Constant part of a target's announcements; the strings stay the
 *  caller's. */
struct target_identity
{
  const char *target;
  const char *service;
  const char *availability_zone;
  const char *region;
  const char *address;
  uint16_t port;
  uint32_t slots;
  uint32_t weight;
};

struct target_announcer;

/** Starts announcing to all @p routers ("A.B.C.D:PORT", ended by NULL), which
 *  stay the caller's.  Without an @p engine nothing is announced as
 *  running. */
struct target_announcer *
target_announcer_create (const struct target_identity *identity,
                         const char *const *routers,
                         struct target_engine *engine);
/** Announces at once, and in all later announcements, that the target is
 *  leaving. */
void target_announcer_set_leaving (struct target_announcer *announcer);
/** Stops announcing and frees the announcer. */
void target_announcer_destroy (struct target_announcer *announcer);

#endif
