#ifndef CONSENSUS_CONFIGURATION_H
#define CONSENSUS_CONFIGURATION_H

/** @file
 *  The configuration of the replicated log: its members and their roles. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base_findings.h"
#include "wire_consensus.h"

/** One member, identified by id and incarnation: the same id with another
 *  data folder is a different member. */
struct consensus_member
{
  uint64_t id;
  /** Incarnation of the data folder; 0 while it is not known. */
  uint64_t incarnation;
  enum consensus_role role;
  char address[16];
  uint16_t port;
};

/** All members of the log. */
struct consensus_configuration
{
  uint32_t count;
  struct consensus_member members[CONSENSUS_MEMBERS_MAX];
};

/** Member with this id, or NULL. */
struct consensus_member *
consensus_configuration_find (struct consensus_configuration *configuration,
                              uint64_t id);
/** Whether the member with this id and incarnation is a voter. */
bool consensus_configuration_is_voter (
    const struct consensus_configuration *configuration, uint64_t id,
    uint64_t incarnation);
/** Number of voters that form a majority. */
uint32_t consensus_configuration_majority (
    const struct consensus_configuration *configuration);
/** Adds a member.  Returns false when the configuration is full. */
bool
consensus_configuration_add (struct consensus_configuration *configuration,
                             const struct consensus_member *member);
/** Removes the member with this id, if there is one. */
void
consensus_configuration_remove (struct consensus_configuration *configuration,
                                uint64_t id);
/** Parses "1@A.B.C.D:PORT,2@..." as voters whose incarnation is not known.
 *  Returns 0, or -1 with findings at @p place. */
int
consensus_configuration_parse (struct consensus_configuration *configuration,
                               const char *text, const char *place,
                               struct base_findings *findings);
/** Converts to the XDR struct, which the caller frees with xdr_free. */
void consensus_configuration_to_wire (
    const struct consensus_configuration *configuration,
    struct consensus_wire_configuration *wire);
/** Converts from the XDR struct.  Returns 0, or -1 when it has too many
 *  members. */
int consensus_configuration_from_wire (
    struct consensus_configuration *configuration,
    const struct consensus_wire_configuration *wire);
/** Encodes the data of a configuration entry; the caller frees it with free.
 */
char *consensus_configuration_encode (
    const struct consensus_configuration *configuration, uint32_t *bytes);
/** Decodes the data of a configuration entry.  Returns 0, or -1 when
 *  malformed. */
int
consensus_configuration_decode (struct consensus_configuration *configuration,
                                const char *data, uint32_t bytes);

#endif
