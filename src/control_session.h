#ifndef CONTROL_SESSION_H
#define CONTROL_SESSION_H

/** @file
 *  A process's session with control: heartbeats on a thread of its own, the
 *  newest bundle, and the live processes.  The bundle never goes back to an
 *  older version. */

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "control_client.h"
#include "wire_common.h"

struct control_session;

/** What the session calls, on its own thread; first member of a user's
 *  struct. */
struct control_session_callbacks
{
  /** A newer bundle is in force; take a reference to keep it. */
  void (*bundle) (struct control_session_callbacks *user,
                  struct bundle *bundle);
  /** The list of live processes changed. */
  void (*peers) (struct control_session_callbacks *user,
                 const struct wire_process *peers, uint32_t count);
  /** The set of targets that operators drain changed; may be NULL. */
  void (*drained) (struct control_session_callbacks *user,
                   const char *const *targets, uint32_t count);
};

/** Starts a session for @p process (copied).  @p cache_path, where not NULL,
 *  names a file that keeps the newest bundle over restarts. */
struct control_session *
control_session_create (struct control_client *client, const char *cluster,
                        const struct wire_process *process,
                        const char *cache_path,
                        struct control_session_callbacks *user);
/** Ends the session. */
void control_session_destroy (struct control_session *session);
/** Offers a bundle learnt from a peer; taken only when it is newer. */
void control_session_offer (struct control_session *session,
                            struct bundle *bundle);
/** Version in force here; 0 when none is. */
uint64_t control_session_version (struct control_session *session);
/** Whether control answered within the session's lease. */
bool control_session_live (struct control_session *session);

#endif
