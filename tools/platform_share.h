#ifndef PLATFORM_SHARE_H
#define PLATFORM_SHARE_H

/** @file
 *  Gives processes a part of a processor, by stopping and continuing them in
 *  turn from a thread. */

#include <stdint.h>

#include "fleet_process.h"

struct platform_share;

/** Has the processes run for @p run_us and stand still for @p pause_us, again
 *  and again.  The processes must stay valid. */
struct platform_share *
platform_share_create (struct fleet_process *const *processes, uint32_t count,
                       uint32_t run_us, uint32_t pause_us);
/** Lets the processes go on and frees the share. */
void platform_share_destroy (struct platform_share *share);

#endif
