#ifndef CTL_ACCEPTED_H
#define CTL_ACCEPTED_H

/** @file
 *  Fetches the newest accepted bundle from control. */

#include "bundle.h"
#include "ctl_command.h"

/** Fetches the newest accepted bundle, for which the caller owns a reference;
 *  prints the error. */
enum ctl_exit ctl_fetch_accepted_bundle (struct ctl_context *context,
                                         struct bundle **bundle);

#endif
