#include "consensus_configuration.h"

#include <stdlib.h>
#include <string.h>

#include "base_settings.h"

struct consensus_member *
consensus_configuration_find (struct consensus_configuration *configuration,
                              uint64_t id)
{
  for (uint32_t i = 0; i < configuration->count; i++)
    if (configuration->members[i].id == id)
      return &configuration->members[i];
  return NULL;
}

bool
consensus_configuration_is_voter (
    const struct consensus_configuration *configuration, uint64_t id,
    uint64_t incarnation)
{
  for (uint32_t i = 0; i < configuration->count; i++)
    {
      const struct consensus_member *member = &configuration->members[i];
      if (member->id == id)
        return member->role == CONSENSUS_VOTER
               && member->incarnation == incarnation;
    }
  return false;
}

uint32_t
consensus_configuration_majority (
    const struct consensus_configuration *configuration)
{
  uint32_t voters = 0;
  for (uint32_t i = 0; i < configuration->count; i++)
    voters += configuration->members[i].role == CONSENSUS_VOTER;
  return voters / 2 + 1;
}

bool
consensus_configuration_add (struct consensus_configuration *configuration,
                             const struct consensus_member *member)
{
  if (configuration->count >= CONSENSUS_MEMBERS_MAX)
    return false;
  configuration->members[configuration->count++] = *member;
  return true;
}

void
consensus_configuration_remove (struct consensus_configuration *configuration,
                                uint64_t id)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < configuration->count; i++)
    if (configuration->members[i].id != id)
      configuration->members[kept++] = configuration->members[i];
  configuration->count = kept;
}

/* Parses "ID@A.B.C.D:PORT". */
static bool
parse_member (struct consensus_member *member, const char *text)
{
  char *end = NULL;
  memset (member, 0, sizeof *member);
  member->id = strtoull (text, &end, 10);
  member->role = CONSENSUS_VOTER;
  return member->id > 0 && *end == '@'
         && base_endpoint_split (end + 1, member->address, &member->port) == 0;
}

int
consensus_configuration_parse (struct consensus_configuration *configuration,
                               const char *text, const char *place,
                               struct base_findings *findings)
{
  size_t before = base_findings_count (findings);
  char **parts = g_strsplit (text, ",", -1);
  configuration->count = 0;
  for (char **part = parts; *part; part++)
    {
      struct consensus_member member;
      if (!parse_member (&member, *part))
        base_findings_add (
            findings, place,
            "member \"%s\" does not have the form ID@A.B.C.D:PORT", *part);
      else if (consensus_configuration_find (configuration, member.id))
        base_findings_add (findings, place,
                           "the id of member \"%s\" occurs twice", *part);
      else if (!consensus_configuration_add (configuration, &member))
        base_findings_add (findings, place, "has more than %d members",
                           CONSENSUS_MEMBERS_MAX);
    }
  g_strfreev (parts);
  return base_findings_count (findings) == before ? 0 : -1;
}

void
consensus_configuration_to_wire (
    const struct consensus_configuration *configuration,
    struct consensus_wire_configuration *wire)
{
  wire->members.members_len = configuration->count;
  wire->members.members_val
      = calloc (configuration->count + 1, sizeof *wire->members.members_val);
  for (uint32_t i = 0; i < configuration->count; i++)
    {
      const struct consensus_member *member = &configuration->members[i];
      struct consensus_wire_member *to = &wire->members.members_val[i];
      to->member_id = member->id;
      to->incarnation = member->incarnation;
      to->role = member->role;
      to->address = strdup (member->address);
      to->port = member->port;
    }
}

int
consensus_configuration_from_wire (
    struct consensus_configuration *configuration,
    const struct consensus_wire_configuration *wire)
{
  if (wire->members.members_len > CONSENSUS_MEMBERS_MAX)
    return -1;
  memset (configuration, 0, sizeof *configuration);
  for (uint32_t i = 0; i < wire->members.members_len; i++)
    {
      const struct consensus_wire_member *from = &wire->members.members_val[i];
      struct consensus_member member = { .id = from->member_id,
                                         .incarnation = from->incarnation,
                                         .role = from->role,
                                         .port = (uint16_t)from->port };
      g_strlcpy (member.address, from->address, sizeof member.address);
      consensus_configuration_add (configuration, &member);
    }
  return 0;
}

char *
consensus_configuration_encode (
    const struct consensus_configuration *configuration, uint32_t *bytes)
{
  struct consensus_wire_configuration wire = { 0 };
  XDR stream;
  consensus_configuration_to_wire (configuration, &wire);
  *bytes = (uint32_t)xdr_sizeof ((xdrproc_t)xdr_consensus_wire_configuration,
                                 &wire);
  char *data = malloc (*bytes + 1);
  xdrmem_create (&stream, data, *bytes, XDR_ENCODE);
  xdr_consensus_wire_configuration (&stream, &wire);
  XDR_DESTROY (&stream);
  xdr_free ((xdrproc_t)xdr_consensus_wire_configuration, (char *)&wire);
  return data;
}

int
consensus_configuration_decode (struct consensus_configuration *configuration,
                                const char *data, uint32_t bytes)
{
  struct consensus_wire_configuration wire = { 0 };
  XDR stream;
  int status = -1;
  xdrmem_create (&stream, (char *)data, bytes, XDR_DECODE);
  if (xdr_consensus_wire_configuration (&stream, &wire))
    status = consensus_configuration_from_wire (configuration, &wire);
  XDR_DESTROY (&stream);
  xdr_free ((xdrproc_t)xdr_consensus_wire_configuration, (char *)&wire);
  return status;
}
