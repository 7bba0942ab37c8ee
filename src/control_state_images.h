#ifndef CONTROL_STATE_IMAGES_H
#define CONTROL_STATE_IMAGES_H

/** @file
 *  What a snapshot of the replicated state holds, and its encoding, which
 *  builds of different versions read of each other. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

/** The parts of a snapshot in their order; all but the first may be missing in
 *  what an earlier build wrote, and are zero then. */
struct control_state_images
{
  struct control_state_image state;
  /** Since version 3 of the protocol. */
  struct control_reports_image reports;
  /** Since version 4. */
  struct control_routers_image routers;
  /** Written once there was an order to evacuate a zone: until then a snapshot
   *  is the same as that of builds that don't know them. */
  struct control_evacuations_image evacuations;
};

/** Encodes the images; the caller frees the result with g_free. */
char *control_state_images_encode (struct control_state_images *images,
                                   uint32_t *bytes);
/** Decodes into zeroed images; sets @p has_reports when there are some.
 *  Returns false when the data are malformed. */
bool control_state_images_decode (const char *data, uint32_t bytes,
                                  struct control_state_images *images,
                                  bool *has_reports);
/** Frees the contents of the images. */
void control_state_images_clear (struct control_state_images *images);

#endif
