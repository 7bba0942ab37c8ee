#include "router_rig_bundle.h"

#include <string.h>

#include <jansson.h>

#include "base_hash.h"
#include "router_rig.h"

#define PUBLIC_KEY_BYTES 32

static json_t *
make_account (const char *key)
{
  uint8_t digest[CACTUS_DIGEST_BYTES];
  char text[2 * CACTUS_DIGEST_BYTES + 1];
  base_digest (digest, key, strlen (key));
  base_hex_write (text, digest, sizeof digest);
  return json_pack ("{s:[s], s:i}", "keys", text, "weight", 1);
}

static json_t *
make_services (void)
{
  return json_pack ("{s:{s:s, s:i, s:i, s:i}, s:{s:s, s:[s], s:i, s:i}}",
                    ROUTER_RIG_MODEL, "kind", "model", "max_output_tokens",
                    4096, "max_body_bytes", 65536, "target_limit", 0,
                    ROUTER_RIG_PLAIN, "kind", "plain", "non_idempotent",
                    "POST /orders", "call_tokens", ROUTER_RIG_CALL_TOKENS,
                    "call_timeout_ms", 2000);
}

static json_t *
make_class (int priority, int first_token_ms)
{
  return json_pack ("{s:i, s:i, s:i, s:i, s:i, s:i, s:i}", "priority",
                    priority, "queue_ms", 3000, "first_token_ms",
                    first_token_ms, "total_ms", 30000, "queue_limit", 10000,
                    "slot_percent", 100, "ageing_ms", 1000);
}

static json_t *
make_rule (const char *service, const char *class_name)
{
  return json_pack ("{s:[s,s], s:[s], s:s, s:b, s:i}", "accounts", "alice",
                    "carol", "services", service, "class", class_name,
                    "cross_region", 0, "max_output_tokens", 0);
}

char *
router_rig_bundle (const uint8_t public_key[32])
{
  char key[2 * PUBLIC_KEY_BYTES + 1];
  base_hex_write (key, public_key, PUBLIC_KEY_BYTES);
  json_t *document = json_pack (
      "{s:i, s:{s:{s:s}}, s:{s:o, s:o, s:o}, s:o, s:{s:o, s:o}, s:{s:o, s:o, "
      "s:o}}",
      "version", 1, "operators", ROUTER_RIG_OPERATOR, "public_key", key,
      "accounts", "alice", make_account (ROUTER_RIG_KEY), "bob",
      make_account (ROUTER_RIG_NO_RULE_KEY), "carol",
      make_account (ROUTER_RIG_NO_TOKENS_KEY), "services", make_services (),
      "classes", "quick", make_class (0, 800), "slow", make_class (5, 0),
      "rules", "1-quick", make_rule (ROUTER_RIG_MODEL, "quick"), "2-slow",
      make_rule (ROUTER_RIG_MODEL, "slow"), "3-orders",
      make_rule (ROUTER_RIG_PLAIN, "slow"));
  char *text = json_dumps (document, JSON_COMPACT);
  json_decref (document);
  return text;
}
