#ifndef CONTROL_SESSION_H
#define CONTROL_SESSION_H

/** @file
 *  A process's session with control.  A thread sends heartbeats and receives
 *  the newest bundle and the list of live processes.  The active bundle is
 *  never replaced by an older version. */

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "control_client.h"
#include "wire_common.h"

struct control_session;

/** Callbacks of a session, called on its thread; each may be NULL.  The struct
 *  is the first member of the caller's struct. */
struct control_session_callbacks
{
  /** A newer bundle became active; the callback takes a reference to keep
   *  it. */
  void (*bundle) (struct control_session_callbacks *callbacks,
                  struct bundle *bundle);
  /** The list of live processes changed. */
  void (*peers) (struct control_session_callbacks *callbacks,
                 const struct wire_process *peers, uint32_t count);
  /** The set of targets that operators drain changed. */
  void (*drained) (struct control_session_callbacks *callbacks,
                   const char *const *targets, uint32_t count);
};

/** Starts a session for @p process, which is copied.  The file @p cache_path
 *  keeps the newest bundle over restarts; NULL means that no file is used. */
struct control_session *
control_session_create (struct control_client *client, const char *cluster,
                        const struct wire_process *process,
                        const char *cache_path,
                        struct control_session_callbacks *callbacks);
/** Stops the thread and frees the session. */
void control_session_destroy (struct control_session *session);
/** Offers a bundle received from a peer; used only when it is newer than the
 *  active one. */
void control_session_offer (struct control_session *session,
                            struct bundle *bundle);
/** Returns the version of the active bundle; 0 when there is none. */
uint64_t control_session_version (struct control_session *session);
/** Returns whether control answered within the session's lease. */
bool control_session_live (struct control_session *session);

#endif
