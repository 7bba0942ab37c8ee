#ifndef CTL_CLUSTER_H
#define CTL_CLUSTER_H

/** @file
 *  Fetches the status of the cluster from the members of control. */

#include "ctl_command.h"

/** Fetches the status of one member, whether it is the leader or not. */
enum wire_status
ctl_fetch_member_status (const struct ctl_context *context,
                         const char *endpoint,
                         struct control_status_result *result);
/** Fetches the status of the leader.  Returns false when no member reports
 *  that it is the leader, without printing an error.  The caller frees the
 *  status with ctl_status_clear. */
bool ctl_fetch_leader_status (const struct ctl_context *context,
                              struct control_status_result *result);
/** As ctl_fetch_leader_status, but waits for a leader until the command's
 *  timeout; prints the error. */
enum ctl_exit ctl_wait_leader_status (const struct ctl_context *context,
                                      struct control_status_result *result);
/** Frees the contents of a status. */
void ctl_status_clear (struct control_status_result *result);
/** Returns the name of a kind of process. */
const char *ctl_process_kind_name (enum wire_process_kind kind);

#endif
