#ifndef CTL_ACCEPTED_H
#define CTL_ACCEPTED_H

/** @file
 *  The newest accepted bundle, from control. */

#include "bundle.h"
#include "ctl_command.h"

/** Fetches it; the caller drops the reference.  Prints the error. */
enum ctl_exit ctl_accepted_bundle (struct ctl_context *context,
                                   struct bundle **bundle);

#endif
