/** @file
 *  Tests of configuration bundles: findings, look-ups, differences and
 *  signatures. */

#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <sodium.h>

#include "base_hash.h"
#include "base_random.h"
#include "bundle.h"
#include "test_bundle_edit.h"

static char *
source_path (const char *name)
{
  const char *root = g_getenv ("CACTUS_SOURCE");
  return g_build_filename (root ? root : ".", name, NULL);
}

static char *
load (const char *name)
{
  char *path = source_path (name);
  char *text = NULL;
  GError *error = NULL;
  g_file_get_contents (path, &text, NULL, &error);
  g_assert_no_error (error);
  g_free (path);
  return text;
}

static struct bundle *
read_valid (const char *text)
{
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle = bundle_read (text, strlen (text), findings);
  char *lines = base_findings_join (findings);
  g_assert_cmpstr (lines, ==, "");
  g_assert_nonnull (bundle);
  g_free (lines);
  base_findings_destroy (findings);
  return bundle;
}

static void
test_findings (void)
{
  char *document = load ("tests/golden/bundle_bad.json");
  char *expected = load ("tests/golden/bundle_bad.findings");
  struct base_findings *findings = base_findings_create ();
  g_assert_null (bundle_read (document, strlen (document), findings));
  char *lines = base_findings_join (findings);
  g_assert_cmpstr (lines, ==, expected);
  g_free (lines);
  base_findings_destroy (findings);
  g_free (document);
  g_free (expected);
}

static void
assert_rejected (const char *document, const char *place)
{
  struct base_findings *findings = base_findings_create ();
  g_assert_null (bundle_read (document, strlen (document), findings));
  g_assert_cmpuint (base_findings_count (findings), >, 0);
  g_assert_cmpstr (base_findings_place (findings, 0), ==, place);
  base_findings_destroy (findings);
}

static void
test_malformed (void)
{
  assert_rejected ("", "document");
  assert_rejected ("{", "document");
  assert_rejected ("[]", "document");
  assert_rejected ("{\"version\":1,\"version\":2}", "document");
  assert_rejected ("{}", "version");
  assert_rejected ("{\"version\":0}", "version");
  assert_rejected ("{\"version\":1.5}", "version");
  assert_rejected ("{\"version\":1,\"accounts\":[]}", "accounts");
}

static const struct bundle_rule *
rule_of (struct bundle *bundle, const char *account, const char *service,
         const char *class_name)
{
  return bundle_find_rule (bundle, bundle_find_account (bundle, account),
                           bundle_find_service (bundle, service), class_name);
}

static void
test_lookups (void)
{
  char *document = load ("tests/golden/bundle_good.json");
  struct bundle *bundle = read_valid (document);
  uint8_t digest[CACTUS_DIGEST_BYTES];
  base_digest (digest, "key-of-mar", strlen ("key-of-mar"));
  g_assert_cmpstr (bundle_find_account_by_key (bundle, digest)->name, ==,
                   "mar");
  digest[0] ^= 1;
  g_assert_null (bundle_find_account_by_key (bundle, digest));
  g_assert_cmpuint (bundle_find_account (bundle, "mar")->account_id, ==,
                    base_account_id ("mar"));
  g_assert_null (bundle_find_account (bundle, "nobody"));
  g_assert_cmpstr (rule_of (bundle, "mar", "redactor", NULL)->name, ==,
                   "a-large");
  g_assert_cmpstr (rule_of (bundle, "mar", "redactor", "long")->name, ==,
                   "b-all");
  g_assert_cmpstr (rule_of (bundle, "sol", "redactor", NULL)->name, ==,
                   "b-all");
  g_assert_null (rule_of (bundle, "sol", "desk", NULL));
  g_assert_null (rule_of (bundle, "sol", "redactor", "quick"));
  g_assert_true (rule_of (bundle, "mar", "redactor", "long")->cross_region);
  g_assert_cmpstr (bundle_class_at (bundle, 0)->name, ==, "long");
  g_assert_null (bundle_class_at (bundle, 2));
  bundle_unref (bundle);
  g_free (document);
}

static void
test_non_idempotent (void)
{
  char *document = load ("tests/golden/bundle_good.json");
  struct bundle *bundle = read_valid (document);
  const struct bundle_service *desk = bundle_find_service (bundle, "desk");
  static const char *const same[]
      = { "/reservations",   "/reservations/",        "/reservations?lot=3",
          "/reservations/7", "//reservations",        "/%72eservations",
          "/Reservations",   "/lots/../reservations", "/./reservations" };
  for (size_t i = 0; i < G_N_ELEMENTS (same); i++)
    g_assert_true (bundle_service_is_non_idempotent (desk, "POST", same[i]));
  g_assert_false (
      bundle_service_is_non_idempotent (desk, "GET", "/reservations"));
  g_assert_false (
      bundle_service_is_non_idempotent (desk, "POST", "/reservationsx"));
  g_assert_false (bundle_service_is_non_idempotent (desk, "POST", "/"));
  g_assert_true (bundle_service_is_non_idempotent (desk, "GET", "/burn"));
  g_assert_false (bundle_service_is_non_idempotent (
      bundle_find_service (bundle, "redactor"), "POST", "/reservations"));
  bundle_unref (bundle);
  g_free (document);
}

/* Checks that the difference applied to @p old_bundle gives exactly
   @p next. */
static void
check_round_trip (struct bundle *old_bundle, struct bundle *next)
{
  struct base_findings *findings = base_findings_create ();
  char *difference = bundle_difference (old_bundle, next);
  struct bundle *outcome = bundle_apply_difference (
      old_bundle, difference, strlen (difference), findings);
  g_assert_nonnull (outcome);
  g_assert_cmpstr (bundle_canonical (outcome, NULL), ==,
                   bundle_canonical (next, NULL));
  bundle_unref (outcome);
  g_free (difference);
  base_findings_destroy (findings);
}

static void
test_differences (void)
{
  struct base_random random;
  base_random_seed (&random, 20261203);
  json_t *document = test_bundle_edit_create ();
  struct bundle *first = NULL;
  struct bundle *last = NULL;
  uint32_t accepted = 0;
  for (uint32_t round = 0; round < 3000; round++)
    {
      json_t *edited = json_deep_copy (document);
      test_bundle_edit (edited, &random);
      char *text = json_dumps (edited, 0);
      struct base_findings *findings = base_findings_create ();
      struct bundle *next = bundle_read (text, strlen (text), findings);
      /* A document is rejected if and only if it has findings. */
      g_assert_true (!next == (base_findings_count (findings) > 0));
      if (next)
        {
          accepted++;
          check_round_trip (last, next);
          check_round_trip (NULL, next);
          if (first)
            check_round_trip (first, next);
          else
            first = bundle_ref (next);
          bundle_unref (last);
          last = next;
          json_decref (document);
          document = json_incref (edited);
        }
      base_findings_destroy (findings);
      free (text);
      json_decref (edited);
    }
  g_assert_cmpuint (accepted, >, 1000);
  g_assert_cmpuint (accepted, <, 3000);
  json_decref (document);
  bundle_unref (first);
  bundle_unref (last);
}

static void
assert_not_applied (const struct bundle *bundle, const char *difference,
                    const char *place)
{
  struct base_findings *findings = base_findings_create ();
  g_assert_null (bundle_apply_difference (bundle, difference,
                                          strlen (difference), findings));
  g_assert_cmpstr (base_findings_place (findings, 0), ==, place);
  base_findings_destroy (findings);
}

static void
test_bad_difference (void)
{
  char *document = load ("tests/golden/bundle_good.json");
  struct bundle *bundle = read_valid (document);
  assert_not_applied (bundle, "{", "difference");
  assert_not_applied (bundle, "{}", "difference");
  assert_not_applied (bundle,
                      "{\"from\":6,\"to\":8,\"digest\":\"00\",\"changes\":{}}",
                      "from");
  assert_not_applied (bundle,
                      "{\"from\":7,\"to\":8,\"digest\":\"00\",\"changes\":{}}",
                      "digest");
  assert_not_applied (bundle,
                      "{\"from\":7,\"to\":8,\"digest\":\"00\",\"changes\":"
                      "{\"accounts\":{\"mar\":null}}}",
                      "rules.a-large.accounts[0]");
  bundle_unref (bundle);
  g_free (document);
}

static void
test_signature (void)
{
  uint8_t public_key[crypto_sign_PUBLICKEYBYTES];
  uint8_t secret_key[crypto_sign_SECRETKEYBYTES];
  uint8_t seed[crypto_sign_SEEDBYTES] = { 7 };
  uint8_t digest[BUNDLE_DIGEST_BYTES] = { 1, 2, 3 };
  uint8_t signature[BUNDLE_SIGNATURE_BYTES];
  crypto_sign_seed_keypair (public_key, secret_key, seed);
  bundle_sign (digest, secret_key, signature);
  g_assert_true (bundle_verify (digest, public_key, signature));
  digest[5] ^= 1;
  g_assert_false (bundle_verify (digest, public_key, signature));
  digest[5] ^= 1;
  public_key[0] ^= 1;
  g_assert_false (bundle_verify (digest, public_key, signature));
}

static void
test_examples (void)
{
  static const char *const names[]
      = { "examples/lonja.json", "examples/krua-khao.json" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *document = load (names[i]);
      struct bundle *bundle = read_valid (document);
      g_assert_cmpuint (bundle_version (bundle), ==, 1);
      g_assert_nonnull (bundle_account_at (bundle, 9));
      g_assert_null (bundle_account_at (bundle, 10));
      g_assert_nonnull (bundle_service_at (bundle, 1));
      bundle_unref (bundle);
      g_free (document);
    }
}

/* With 6,800 accounts, the number that the project is designed for, each one
   is found by its key and by its name. */
static void
test_target_size (void)
{
  char name[32];
  uint8_t digest[CACTUS_DIGEST_BYTES];
  json_t *document = test_bundle_edit_large (6800);
  char *text = json_dumps (document, JSON_COMPACT);
  struct bundle *bundle = read_valid (text);
  for (uint32_t i = 0; i < 6800; i++)
    {
      g_snprintf (name, sizeof name, "client-%04u", i);
      base_digest (digest, name, strlen (name));
      const struct bundle_account *account
          = bundle_find_account_by_key (bundle, digest);
      g_assert_cmpstr (account->name, ==, name);
      g_assert_true (account == bundle_find_account (bundle, name));
    }
  bundle_unref (bundle);
  free (text);
  json_decref (document);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/bundle/findings", test_findings);
  g_test_add_func ("/bundle/malformed", test_malformed);
  g_test_add_func ("/bundle/lookups", test_lookups);
  g_test_add_func ("/bundle/non-idempotent", test_non_idempotent);
  g_test_add_func ("/bundle/differences", test_differences);
  g_test_add_func ("/bundle/bad-difference", test_bad_difference);
  g_test_add_func ("/bundle/signature", test_signature);
  g_test_add_func ("/bundle/examples", test_examples);
  g_test_add_func ("/bundle/target-size", test_target_size);
  return g_test_run ();
}
