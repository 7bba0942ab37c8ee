#ifndef TEST_BUNDLE_EDIT_H
#define TEST_BUNDLE_EDIT_H

/** @file
 *  Generates bundle documents: random edits, and documents with many
 *  accounts. */

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "base_hash.h"
#include "base_random.h"

#define EDIT_NAMES 12

/* Creates a small valid document. */
static inline json_t *
test_bundle_edit_create (void)
{
  return json_pack (
      "{s:i, s:{s:{s:s}}, s:{}, s:{s:{s:s}}, s:{s:{}}, s:{}}", "version", 1,
      "operators", "ana", "public_key",
      "00000000000000000000000000000000000000000000000000000000000000aa",
      "accounts", "services", "s0", "kind", "model", "classes", "c0", "rules");
}

/* Returns the letter followed by the index, such as "a7"; valid until the next
   call. */
static inline const char *
test_bundle_edit_name (char letter, uint64_t index)
{
  static char name[16];
  snprintf (name, sizeof name, "%c%u", letter, (unsigned)index);
  return name;
}

/* Creates an account whose API key and weight follow from @p key. */
static inline json_t *
test_bundle_edit_account (uint64_t key)
{
  char text[2 * CACTUS_DIGEST_BYTES + 1];
  uint8_t digest[CACTUS_DIGEST_BYTES];
  base_digest (digest, &key, sizeof key);
  base_hex_write (text, digest, sizeof digest);
  return json_pack ("{s:[s], s:i}", "keys", text, "weight",
                    (int)(key % 7 + 1));
}

/* Sets a random rule, which may name missing accounts and services. */
static inline void
test_bundle_edit_rule (json_t *rules, struct base_random *random)
{
  json_t *accounts = json_array ();
  if (base_random_below (random, 2))
    json_array_append_new (accounts, json_string ("*"));
  else
    json_array_append_new (accounts,
                           json_string (test_bundle_edit_name (
                               'a', base_random_below (random, EDIT_NAMES))));
  json_t *rule = json_pack ("{s:o, s:[], s:s}", "accounts", accounts,
                            "services", "class", "c0");
  json_array_append_new (json_object_get (rule, "services"),
                         json_string (test_bundle_edit_name (
                             's', base_random_below (random, 3))));
  json_object_set_new (
      rules,
      test_bundle_edit_name ('r', base_random_below (random, EDIT_NAMES)),
      rule);
}

/* Makes one random edit.  The document may become invalid: a rule may name a
   missing account or service, or two accounts may have the same key. */
static inline void
test_bundle_edit_once (json_t *document, struct base_random *random)
{
  json_t *accounts = json_object_get (document, "accounts");
  json_t *services = json_object_get (document, "services");
  json_t *rules = json_object_get (document, "rules");
  uint64_t index = base_random_below (random, EDIT_NAMES);
  switch (base_random_below (random, 8))
    {
    case 0:
    case 1:
    case 2:
      json_object_set_new (
          accounts, test_bundle_edit_name ('a', index),
          test_bundle_edit_account (base_random_below (random, 1000)));
      break;
    case 3:
      json_object_del (accounts, test_bundle_edit_name ('a', index));
      break;
    case 4:
      json_object_set_new (services, test_bundle_edit_name ('s', index % 3),
                           json_pack ("{s:s, s:i}", "kind", "model",
                                      "max_output_tokens",
                                      (int)base_random_below (random, 5000)));
      break;
    case 5:
      test_bundle_edit_rule (rules, random);
      break;
    case 6:
      json_object_del (rules, test_bundle_edit_name ('r', index));
      break;
    default:
      json_object_del (services, test_bundle_edit_name ('s', 1 + index % 2));
    }
}

/* Increments the version and makes one to four random edits. */
static inline void
test_bundle_edit (json_t *document, struct base_random *random)
{
  json_int_t version
      = json_integer_value (json_object_get (document, "version"));
  uint64_t edits = 1 + base_random_below (random, 4);
  json_object_set_new (document, "version", json_integer (version + 1));
  while (edits-- > 0)
    test_bundle_edit_once (document, random);
}

/* Creates a document with @p count accounts; the API key of an account is its
   name. */
static inline json_t *
test_bundle_edit_large (uint32_t count)
{
  char name[32];
  char text[2 * CACTUS_DIGEST_BYTES + 1];
  uint8_t digest[CACTUS_DIGEST_BYTES];
  json_t *document = test_bundle_edit_create ();
  json_t *accounts = json_object_get (document, "accounts");
  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (name, sizeof name, "client-%04u", (unsigned)i);
      base_digest (digest, name, strlen (name));
      base_hex_write (text, digest, sizeof digest);
      json_object_set_new (accounts, name,
                           json_pack ("{s:[s]}", "keys", text));
    }
  return document;
}

#endif
