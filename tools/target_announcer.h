#ifndef TARGET_ANNOUNCER_H
#define TARGET_ANNOUNCER_H

/** @file
 *  Announces a stand-in target to routers, on a thread of its own. */

#include <stdbool.h>
#include <stdint.h>

#include "target_engine.h"

/** What a target says of itself; strings stay the caller's. */
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

/** Starts announcing to all @p routers ("A.B.C.D:PORT", ended by NULL). */
struct target_announcer *
target_announcer_create (const struct target_identity *identity,
                         const char *const *routers,
                         struct target_engine *engine);
/** Announces at once that the target leaves, and so from now on. */
void target_announcer_set_leaving (struct target_announcer *announcer);
/** Stops announcing. */
void target_announcer_destroy (struct target_announcer *announcer);

#endif
