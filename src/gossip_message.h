#ifndef GOSSIP_MESSAGE_H
#define GOSSIP_MESSAGE_H

/** @file
 *  Builds the lists that a call and an answer of gossip have in common. */

#include <glib.h>

#include "registry.h"
#include "wire_gossip.h"

/** Lists under construction. */
struct gossip_message
{
  uint64_t now_ms;
  /** struct gossip_target, struct gossip_load and u_quad_t. */
  GArray *records;
  GArray *loads;
  GArray *wanted;
};

/** Starts empty lists; ages are counted to @p now_ms. */
void gossip_message_start (struct gossip_message *message, uint64_t now_ms);
/** Adds a whole record; left out when the list is full. */
void gossip_message_add_record (struct gossip_message *message,
                                const struct registry_record *record);
/** Adds the record's report, or the whole record when it doesn't fit. */
void gossip_message_add_load (struct gossip_message *message,
                              const struct registry_record *record);
/** Asks for the whole record of an identity. */
void gossip_message_want (struct gossip_message *message, uint64_t identity);
/** Whether nothing was added. */
bool gossip_message_empty (const struct gossip_message *message);
/** Moves the lists into a call. */
void gossip_message_to_args (struct gossip_message *message,
                             struct gossip_exchange_args *args);
/** Moves the lists into an answer. */
void gossip_message_to_result (struct gossip_message *message,
                               struct gossip_exchange_result *result);
/** Drops the lists. */
void gossip_message_drop (struct gossip_message *message);

#endif
