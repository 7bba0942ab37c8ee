#include "registry_record.h"

#include <arpa/inet.h>
#include <string.h>

#include "base_hash.h"

#define SLOTS_MAX 65535
#define WEIGHT_MAX 1000
#define WEIGHT_DEFAULT 100.0
#define REQUESTS_MAX 1000000

/* Whether the name is 1 to CACTUS_NAME_BYTES visible ASCII characters that
   need no escape in JSON and metric labels. */
static bool
is_name_valid (const char *name)
{
  size_t bytes = strnlen (name, CACTUS_NAME_BYTES + 1);
  if (bytes == 0 || bytes > CACTUS_NAME_BYTES)
    return false;
  for (size_t i = 0; i < bytes; i++)
    {
      if (name[i] <= ' ' || name[i] > '~')
        return false;
      if (name[i] == '"' || name[i] == '\\')
        return false;
    }
  return true;
}

static bool
is_address_valid (const char *address, size_t size)
{
  struct in_addr parsed;
  if (strnlen (address, size) == size)
    return false;
  return inet_pton (AF_INET, address, &parsed) == 1 && parsed.s_addr != 0;
}

static bool
are_numbers_valid (const struct registry_record *record)
{
  if (record->port == 0 || record->incarnation == 0)
    return false;
  if (record->slots == 0 || record->slots > SLOTS_MAX)
    return false;
  if (record->weight == 0 || record->weight > WEIGHT_MAX)
    return false;
  return record->running <= REQUESTS_MAX && record->queued <= REQUESTS_MAX;
}

bool
registry_record_valid (const struct registry_record *record)
{
  return is_name_valid (record->target) && is_name_valid (record->service)
         && is_name_valid (record->availability_zone)
         && is_name_valid (record->region)
         && is_address_valid (record->address, sizeof record->address)
         && are_numbers_valid (record);
}

bool
registry_record_newer (const struct registry_record *left,
                       const struct registry_record *right)
{
  if (left->incarnation != right->incarnation)
    return left->incarnation > right->incarnation;
  if (left->leaving != right->leaving)
    return left->leaving;
  return left->sequence > right->sequence;
}

double
registry_record_load (const struct registry_record *record)
{
  double capacity = (double)record->slots * record->weight;
  return (record->running + record->queued) * WEIGHT_DEFAULT / capacity;
}

uint64_t
registry_identity (const struct registry_record *record)
{
  uint64_t parts[10] = { base_hash_string (record->target),
                         base_hash_string (record->service),
                         base_hash_string (record->availability_zone),
                         base_hash_string (record->region),
                         base_hash_string (record->address),
                         record->port,
                         record->incarnation,
                         record->slots,
                         record->weight,
                         record->leaving };
  return base_hash64 (parts, sizeof parts);
}
