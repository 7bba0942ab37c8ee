#ifndef GOSSIP_MESSAGE_H
#define GOSSIP_MESSAGE_H

/** @file
 *  Builds the lists that gossip requests and responses have in common. */

#include <glib.h>

#include "registry.h"
#include "wire_gossip.h"

/** Lists of a request or response being built. */
struct gossip_message
{
  uint64_t now_ms;
  /** Whole records (struct gossip_target). */
  GArray *records;
  /** Loads of records that the receiver may know (struct gossip_load). */
  GArray *loads;
  /** Identities of the whole records requested (u_quad_t). */
  GArray *wanted;
};

/** Creates empty lists.  The ages of records are computed as of @p now_ms. */
void gossip_message_init (struct gossip_message *message, uint64_t now_ms);
/** Adds a whole record, unless the list is full. */
void gossip_message_add_record (struct gossip_message *message,
                                const struct registry_record *record);
/** Adds a record's load, or the whole record when its numbers are out of the
 *  ranges of a load. */
void gossip_message_add_load (struct gossip_message *message,
                              const struct registry_record *record);
/** Requests the whole record with this identity, unless the list is full. */
void gossip_message_request_record (struct gossip_message *message,
                                    uint64_t identity);
/** Whether all lists are empty. */
bool gossip_message_is_empty (const struct gossip_message *message);
/** Moves the lists into a request. */
void gossip_message_to_args (struct gossip_message *message,
                             struct gossip_exchange_args *args);
/** Moves the lists into a response. */
void gossip_message_to_result (struct gossip_message *message,
                               struct gossip_exchange_result *result);
/** Frees the lists. */
void gossip_message_clear (struct gossip_message *message);

#endif
