/** @file
 *  Look-ups in a bundle.  Only bundle_service_is_non_idempotent allocates
 *  memory. */

#include <string.h>

#include "bundle_data.h"
#include "bundle_path.h"

#define BITS_PER_WORD 32

uint64_t
bundle_version (const struct bundle *bundle)
{
  return bundle->version;
}

const char *
bundle_canonical (const struct bundle *bundle, size_t *bytes)
{
  if (bytes)
    *bytes = bundle->canonical_bytes;
  return bundle->canonical;
}

void
bundle_digest (const struct bundle *bundle,
               uint8_t digest[BUNDLE_DIGEST_BYTES])
{
  memcpy (digest, bundle->digest, BUNDLE_DIGEST_BYTES);
}

static int
compare_key (const void *digest, const void *entry)
{
  return memcmp (digest, ((const struct bundle_api_key *)entry)->digest,
                 CACTUS_DIGEST_BYTES);
}

const struct bundle_account *
bundle_find_account_by_key (const struct bundle *bundle,
                            const uint8_t digest[CACTUS_DIGEST_BYTES])
{
  if (bundle->keys->len == 0)
    return NULL;
  const struct bundle_api_key *key = bsearch (
      digest, bundle->keys->data, bundle->keys->len, sizeof *key, compare_key);
  return key ? bundle_account_at (bundle, key->account_index) : NULL;
}

static int
compare_account (const void *name, const void *entry)
{
  return strcmp (name, ((const struct bundle_account *)entry)->name);
}

const struct bundle_account *
bundle_find_account (const struct bundle *bundle, const char *name)
{
  if (bundle->accounts->len == 0)
    return NULL;
  return bsearch (name, bundle->accounts->data, bundle->accounts->len,
                  sizeof (struct bundle_account), compare_account);
}

int64_t
bundle_account_index (const struct bundle *bundle, const char *name)
{
  const struct bundle_account *account = bundle_find_account (bundle, name);
  if (!account)
    return -1;
  return account - (const struct bundle_account *)bundle->accounts->data;
}

const struct bundle_service *
bundle_find_service (const struct bundle *bundle, const char *name)
{
  for (guint i = 0; i < bundle->services->len; i++)
    {
      const struct bundle_service *service = bundle->services->pdata[i];
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

const struct bundle_class *
bundle_find_class (const struct bundle *bundle, const char *name)
{
  for (guint i = 0; i < bundle->classes->len; i++)
    {
      const struct bundle_class *class = bundle->classes->pdata[i];
      if (strcmp (class->name, name) == 0)
        return class;
    }
  return NULL;
}

const struct bundle_class *
bundle_class_at (const struct bundle *bundle, size_t index)
{
  return index < bundle->classes->len ? bundle->classes->pdata[index] : NULL;
}

const struct bundle_account *
bundle_account_at (const struct bundle *bundle, size_t index)
{
  if (index >= bundle->accounts->len)
    return NULL;
  return &g_array_index (bundle->accounts, struct bundle_account, index);
}

const struct bundle_service *
bundle_service_at (const struct bundle *bundle, size_t index)
{
  return index < bundle->services->len ? bundle->services->pdata[index] : NULL;
}

static bool
rule_matches (const struct bundle_rule_data *data, size_t account_index,
              const char *class_name)
{
  if (class_name && strcmp (data->rule.request_class->name, class_name) != 0)
    return false;
  if (!data->account_bits)
    return true;
  uint32_t word = data->account_bits[account_index / BITS_PER_WORD];
  return word >> account_index % BITS_PER_WORD & 1;
}

const struct bundle_rule *
bundle_find_rule (const struct bundle *bundle,
                  const struct bundle_account *account,
                  const struct bundle_service *service, const char *class_name)
{
  const struct bundle_service_data *data
      = (const struct bundle_service_data *)service;
  size_t account_index
      = (size_t)(account
                 - (const struct bundle_account *)bundle->accounts->data);
  for (guint i = 0; i < data->rules->len; i++)
    {
      const struct bundle_rule_data *rule = data->rules->pdata[i];
      if (rule_matches (rule, account_index, class_name))
        return &rule->rule;
    }
  return NULL;
}

bool
bundle_service_allows_cross_region (const struct bundle_service *service)
{
  const struct bundle_service_data *data
      = (const struct bundle_service_data *)service;
  for (guint i = 0; i < data->rules->len; i++)
    {
      const struct bundle_rule_data *rule = data->rules->pdata[i];
      if (rule->rule.cross_region)
        return true;
    }
  return false;
}

bool
bundle_service_is_non_idempotent (const struct bundle_service *service,
                                  const char *method, const char *path)
{
  const struct bundle_service_data *data
      = (const struct bundle_service_data *)service;
  bool matches = false;
  if (!data->non_idempotent || !data->non_idempotent[0])
    return false;
  char *normal = bundle_path_normalise (path);
  for (char **pattern = data->non_idempotent; !matches && *pattern; pattern++)
    matches = bundle_path_matches (*pattern, method, normal);
  g_free (normal);
  return matches;
}

bool
bundle_find_operator_key (const struct bundle *bundle, const char *name,
                          uint8_t key[BUNDLE_DIGEST_BYTES])
{
  for (guint i = 0; i < bundle->operators->len; i++)
    {
      const struct bundle_operator *entry
          = &g_array_index (bundle->operators, struct bundle_operator, i);
      if (strcmp (entry->name, name) != 0)
        continue;
      memcpy (key, entry->key, BUNDLE_DIGEST_BYTES);
      return true;
    }
  return false;
}
