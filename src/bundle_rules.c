/** @file
 *  Reads the rules section and resolves its references to accounts, services
 *  and classes. */

#include "bundle_reader.h"

#include <string.h>

#define OUTPUT_TOKENS_MAX 1000000
#define BITS_PER_WORD 32

/* Whether the list is ["*"], which means all accounts. */
static bool
is_everyone (json_t *accounts)
{
  const char *first = json_string_value (json_array_get (accounts, 0));
  return json_array_size (accounts) == 1 && first && strcmp (first, "*") == 0;
}

/* Builds the set of the listed accounts; the bundle owns it. */
static uint32_t *
make_account_bits (struct bundle_reader *reader, json_t *accounts)
{
  struct bundle *bundle = reader->bundle;
  size_t words = bundle->accounts->len / BITS_PER_WORD + 1;
  uint32_t *bits = g_new0 (uint32_t, words);
  g_ptr_array_add (bundle->account_bits, bits);
  for (size_t i = 0; i < json_array_size (accounts); i++)
    {
      const char *name = json_string_value (json_array_get (accounts, i));
      if (!name)
        continue;
      int64_t index = bundle_account_index (bundle, name);
      if (index >= 0)
        {
          bits[index / BITS_PER_WORD] |= 1u << index % BITS_PER_WORD;
          continue;
        }
      size_t mark = bundle_reader_enter_index (reader, i);
      if (strcmp (name, "*") == 0)
        bundle_reader_add_finding (reader, "\"*\" must be the only entry");
      else
        bundle_reader_add_finding (reader, "there is no account \"%s\"", name);
      bundle_reader_leave (reader, mark);
    }
  return bits;
}

/* Returns the set of allowed accounts; NULL when all are allowed or the list
   is missing. */
static uint32_t *
read_rule_accounts (struct bundle_reader *reader, json_t *value)
{
  uint32_t *bits = NULL;
  json_t *accounts = bundle_reader_strings (reader, value, "accounts", true);
  if (!accounts || is_everyone (accounts))
    return NULL;
  size_t mark = bundle_reader_enter (reader, "accounts");
  if (json_array_size (accounts) == 0)
    bundle_reader_add_finding (reader,
                               "must name an account, or \"*\" for all");
  bits = make_account_bits (reader, accounts);
  bundle_reader_leave (reader, mark);
  return bits;
}

static void
add_rule (struct bundle *bundle, const struct bundle_rule *rule,
          uint32_t *bits, struct bundle_service_data *service)
{
  struct bundle_rule_data *data = g_new0 (struct bundle_rule_data, 1);
  data->rule = *rule;
  data->rule.service = &service->service;
  data->account_bits = bits;
  g_ptr_array_add (bundle->rules, data);
  g_ptr_array_add (service->rules, data);
}

static void
read_rule_services (struct bundle_reader *reader, json_t *value,
                    const struct bundle_rule *rule, uint32_t *bits)
{
  json_t *services = bundle_reader_strings (reader, value, "services", true);
  size_t count = json_array_size (services);
  size_t mark = bundle_reader_enter (reader, "services");
  if (services && count == 0)
    bundle_reader_add_finding (reader, "must name a service");
  for (size_t i = 0; i < count; i++)
    {
      const char *name = json_string_value (json_array_get (services, i));
      if (!name)
        continue;
      const struct bundle_service *service
          = bundle_find_service (reader->bundle, name);
      size_t inner = bundle_reader_enter_index (reader, i);
      if (!service)
        bundle_reader_add_finding (reader, "there is no service \"%s\"", name);
      else
        add_rule (reader->bundle, rule, bits,
                  (struct bundle_service_data *)service);
      bundle_reader_leave (reader, inner);
    }
  bundle_reader_leave (reader, mark);
}

static const struct bundle_class *
read_rule_class (struct bundle_reader *reader, json_t *value)
{
  const char *name = bundle_reader_string (reader, value, "class");
  const struct bundle_class *class = name ? bundle_find_class (reader->bundle,
                                                               name)
                                          : NULL;
  if (name && !class)
    {
      size_t mark = bundle_reader_enter (reader, "class");
      bundle_reader_add_finding (reader, "there is no class \"%s\"", name);
      bundle_reader_leave (reader, mark);
    }
  return class;
}

static void
read_rule (struct bundle_reader *reader, const char *name, json_t *value)
{
  static const char *const known[]
      = { "accounts",     "services",          "class",
          "cross_region", "max_output_tokens", NULL };
  struct bundle_rule rule = { 0 };
  bundle_reader_check_name (reader, name);
  if (!bundle_reader_check_members (reader, value, known))
    return;
  rule.name = g_string_chunk_insert (reader->bundle->names, name);
  rule.cross_region = bundle_reader_bool (reader, value, "cross_region");
  rule.max_output_tokens = (uint32_t)bundle_reader_number (
      reader, value, "max_output_tokens", 0, OUTPUT_TOKENS_MAX, 0);
  rule.request_class = read_rule_class (reader, value);
  uint32_t *bits = read_rule_accounts (reader, value);
  read_rule_services (reader, value, &rule, bits);
}

void
bundle_read_rules (struct bundle_reader *reader, json_t *section)
{
  size_t count;
  const char **names = bundle_reader_sorted_names (section, &count);
  for (size_t i = 0; i < count; i++)
    {
      size_t mark = bundle_reader_enter (reader, names[i]);
      read_rule (reader, names[i], json_object_get (section, names[i]));
      bundle_reader_leave (reader, mark);
    }
  g_free (names);
}
