#ifndef CTL_CLUSTER_H
#define CTL_CLUSTER_H

/** @file
 *  The cluster's status as its members tell it. */

#include "ctl_command.h"

/** Asks one member for its status, whether it leads or not. */
enum wire_status ctl_member_status (const struct ctl_context *context,
                                    const char *endpoint,
                                    struct control_status_result *result);
/** Status as the leader tells it; false when no member says that it leads.
 *  Nothing is printed.  Freed with ctl_status_free. */
bool ctl_leader_status (const struct ctl_context *context,
                        struct control_status_result *result);
/** As ctl_leader_status, waiting for a leader until the timeout; prints the
 *  error. */
enum ctl_exit ctl_need_status (const struct ctl_context *context,
                               struct control_status_result *result);
/** Frees a status. */
void ctl_status_free (struct control_status_result *result);
/** Name of a kind of process. */
const char *ctl_process_kind (enum wire_process_kind kind);

#endif
