#ifndef CONTROL_BUNDLES_H
#define CONTROL_BUNDLES_H

/** @file
 *  Accepted versions of the bundle, as the replicated log applies them. */

#include "bundle.h"
#include "wire_control.h"

struct control_bundles;

/** Makes an empty history. */
struct control_bundles *control_bundles_create (void);
/** Frees it. */
void control_bundles_destroy (struct control_bundles *bundles);
/** Newest accepted bundle, or NULL. */
struct bundle *control_bundles_newest (const struct control_bundles *bundles);
/** Newest accepted version; 0 when there is none. */
uint64_t control_bundles_version (const struct control_bundles *bundles);
/** Accepts version n+1 on n.  The same version with the same digest gets the
 *  same answer again, with another digest CONTROL_CONFLICT.  The signature
 *  must be by an operator of version n; that of version 1 is checked by
 *  control_bundles_root_signed before it is proposed. */
void control_bundles_push (struct control_bundles *bundles,
                           const struct control_push_args *args,
                           struct control_push_result *result);
/** Whether the document can be read and is signed by the root key's owner. */
bool control_bundles_root_signed (const struct control_push_args *args,
                                  const uint8_t root_key[32]);
/** Gives an accepted version (0: the newest) as far as it is kept. */
void control_bundles_get (const struct control_bundles *bundles,
                          uint64_t version,
                          struct control_bundle_result *result);
/** Fills version and document for a process that sent @p args: a difference
 *  from its version, or a piece of the whole. */
void control_bundles_sync (struct control_bundles *bundles,
                           const struct control_sync_args *args,
                           struct control_sync_result *result);
/** Fills the snapshot's part. */
void control_bundles_save (const struct control_bundles *bundles,
                           struct control_state_image *image);
/** Reads the snapshot's part into an empty history; 0, or -1. */
int control_bundles_load (struct control_bundles *bundles,
                          const struct control_state_image *image);

#endif
