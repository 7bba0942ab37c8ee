#ifndef CONTROL_BUNDLES_H
#define CONTROL_BUNDLES_H

/** @file
 *  History of the accepted bundle versions, part of the replicated state. */

#include "bundle.h"
#include "wire_control.h"

struct control_bundles;

/** Creates an empty history. */
struct control_bundles *control_bundles_create (void);
/** Frees the history. */
void control_bundles_destroy (struct control_bundles *bundles);
/** Returns the newest accepted bundle, or NULL; owned by the history. */
struct bundle *control_bundles_newest (const struct control_bundles *bundles);
/** Returns the newest accepted version, or 0 when there is none. */
uint64_t control_bundles_version (const struct control_bundles *bundles);
/** Accepts version n+1 when version n is the newest.  A repeated push with the
 *  same digest gets the same result; one with another digest gets
 *  CONTROL_CONFLICT.  The push must be signed by an operator listed in version
 *  n.  The signature of version 1 is not checked here, but by
 *  control_bundles_root_signed before the push is proposed. */
void control_bundles_push (struct control_bundles *bundles,
                           const struct control_push_args *args,
                           struct control_push_result *result);
/** Returns whether the document is valid and signed with the root key. */
bool control_bundles_root_signed (const struct control_push_args *args,
                                  const uint8_t root_key[32]);
/** Looks up an accepted version; 0 means the newest.  Gives CONTROL_NOT_FOUND
 *  for versions whose document is no longer kept. */
void control_bundles_get (const struct control_bundles *bundles,
                          uint64_t version,
                          struct control_bundle_result *result);
/** Fills the version and document that update the process in @p args: a
 *  difference from its version, or a piece of the whole document.  Leaves the
 *  document empty when the process is up to date. */
void control_bundles_sync (struct control_bundles *bundles,
                           const struct control_sync_args *args,
                           struct control_sync_result *result);
/** Writes the history to a snapshot image. */
void control_bundles_save (const struct control_bundles *bundles,
                           struct control_state_image *image);
/** Reads a snapshot image into an empty history.  Returns 0, or -1 when the
 *  document is malformed. */
int control_bundles_load (struct control_bundles *bundles,
                          const struct control_state_image *image);

#endif
