#ifndef CTL_ACCEPTED_H
#define CTL_ACCEPTED_H

/** @file
 *  Fetches the newest accepted bundle from control. */

#include "bundle.h"
#include "ctl_command.h"

/** Fetches the newest accepted bundle into @p bundle; the caller owns a
 *  reference to it.  Prints an error unless it returns CTL_OK. */
enum ctl_exit ctl_fetch_accepted_bundle (struct ctl_context *context,
                                         struct bundle **bundle);

#endif
