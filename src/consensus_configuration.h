#ifndef CONSENSUS_CONFIGURATION_H
#define CONSENSUS_CONFIGURATION_H

/** @file
 *  Members of the replicated log and their roles. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base_findings.h"
#include "wire_consensus.h"

/** One member.  A member is its id together with its incarnation: the same
 *  id with another data folder is another member. */
struct consensus_member
{
  uint64_t id;
  /** Incarnation of the data folder; 0 while it is not known. */
  uint64_t incarnation;
  enum consensus_role role;
  char address[16];
  uint16_t port;
};

/** All members. */
struct consensus_configuration
{
  uint32_t count;
  struct consensus_member members[CONSENSUS_MEMBERS_MAX];
};

/** Member of that id, or NULL. */
struct consensus_member *
consensus_configuration_find (struct consensus_configuration *configuration,
                              uint64_t id);
/** Whether (id, incarnation) is a voter. */
bool consensus_configuration_votes (
    const struct consensus_configuration *configuration, uint64_t id,
    uint64_t incarnation);
/** Number of voters that make a majority. */
uint32_t consensus_configuration_majority (
    const struct consensus_configuration *configuration);
/** Adds a member; false when there is no room. */
bool
consensus_configuration_add (struct consensus_configuration *configuration,
                             const struct consensus_member *member);
/** Removes the member of that id, where there is one. */
void
consensus_configuration_remove (struct consensus_configuration *configuration,
                                uint64_t id);
/** Reads "1@A.B.C.D:PORT,2@..." as voters without an incarnation; 0, or -1
 *  with findings. */
int
consensus_configuration_parse (struct consensus_configuration *configuration,
                               const char *text, const char *place,
                               struct base_findings *findings);
/** Fills the wire form; freed with xdr_free. */
void consensus_configuration_to_wire (
    const struct consensus_configuration *configuration,
    struct consensus_wire_configuration *wire);
/** Reads the wire form; 0, or -1 when malformed. */
int consensus_configuration_from_wire (
    struct consensus_configuration *configuration,
    const struct consensus_wire_configuration *wire);
/** Encodes it as the data of a log entry, allocated with malloc. */
char *consensus_configuration_encode (
    const struct consensus_configuration *configuration, uint32_t *bytes);
/** Decodes the data of a log entry; 0, or -1 when malformed. */
int
consensus_configuration_decode (struct consensus_configuration *configuration,
                                const char *data, uint32_t bytes);

#endif
