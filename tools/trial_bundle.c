#include "trial_bundle.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base_hash.h"

static json_t *
make_operators (const uint8_t operator_key[32])
{
  char text[65];
  base_hex_write (text, operator_key, 32);
  return json_pack ("{s:{s:s}}", "trial", "public_key", text);
}

static json_t *
make_accounts (const struct load_mix *mix)
{
  json_t *accounts = json_object ();
  for (uint32_t i = 0; i < mix->account_count; i++)
    {
      uint8_t digest[CACTUS_DIGEST_BYTES];
      char text[2 * CACTUS_DIGEST_BYTES + 1];
      char *name = load_mix_account_name (mix, i);
      char *key = load_mix_account_key (mix, i);
      base_digest (digest, key, strlen (key));
      base_hex_write (text, digest, sizeof digest);
      json_object_set_new (accounts, name,
                           json_pack ("{s:[s],s:i}", "keys", text, "weight",
                                      i < mix->large_accounts ? 10 : 1));
      g_free (key);
      g_free (name);
    }
  return accounts;
}

static json_t *
make_service (const struct load_kind *kind)
{
  if (!kind->path)
    return json_pack ("{s:s,s:i,s:i,s:i}", "kind", "model",
                      "max_output_tokens", 4096, "max_body_bytes", 1048576,
                      "target_limit", 0);
  return json_pack ("{s:s,s:[s,s],s:i,s:i}", "kind", "plain", "non_idempotent",
                    "POST /reservations", "POST /reorders", "call_tokens", 1,
                    "call_timeout_ms", 5000);
}

static json_t *
make_services (const struct load_mix *mix)
{
  json_t *services = json_object ();
  for (uint32_t i = 0; i < mix->kind_count; i++)
    json_object_set_new (services, mix->kinds[i].service,
                         make_service (&mix->kinds[i]));
  return services;
}

static json_t *
make_class (int priority, int queue_ms, int total_ms, int slot_percent)
{
  return json_pack ("{s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "priority", priority,
                    "queue_ms", queue_ms, "first_token_ms", 10000, "total_ms",
                    total_ms, "queue_limit", 500, "slot_percent", slot_percent,
                    "ageing_ms", 2000);
}

static json_t *
make_classes (void)
{
  return json_pack ("{s:o,s:o,s:o,s:o}", "quick",
                    make_class (0, 5000, 30000, 100), "long",
                    make_class (2, 20000, 60000, 75), "order",
                    make_class (0, 5000, 10000, 100), "lookup",
                    make_class (1, 3000, 10000, 100));
}

static json_t *
make_rules (const struct load_mix *mix)
{
  json_t *rules = json_object ();
  for (uint32_t i = 0; i < mix->kind_count; i++)
    {
      const struct load_kind *kind = &mix->kinds[i];
      json_object_set_new (rules, kind->name,
                           json_pack ("{s:[s],s:[s],s:s,s:b,s:i}", "accounts",
                                      "*", "services", kind->service, "class",
                                      kind->request_class, "cross_region", 1,
                                      "max_output_tokens", 0));
    }
  return rules;
}

char *
trial_bundle_document (const struct load_mix *mix, uint64_t version,
                       const uint8_t operator_key[32])
{
  json_t *document
      = json_pack ("{s:I,s:o,s:o,s:o,s:o,s:o}", "version", (json_int_t)version,
                   "operators", make_operators (operator_key), "accounts",
                   make_accounts (mix), "services", make_services (mix),
                   "classes", make_classes (), "rules", make_rules (mix));
  char *dumped = json_dumps (document, JSON_COMPACT);
  char *text = g_strdup (dumped);
  free (dumped);
  json_decref (document);
  return text;
}
