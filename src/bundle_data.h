#ifndef BUNDLE_DATA_H
#define BUNDLE_DATA_H

/** @file
 *  Data structures behind struct bundle; for the bundle_ files only. */

#include <stdatomic.h>

#include <glib.h>

#include "bundle.h"

/** A service with its non-idempotent calls and its rules. */
struct bundle_service_data
{
  struct bundle_service service;
  /** Patterns "METHOD /path" with a normalised path, ended by NULL. */
  char **non_idempotent;
  /** Rules that name the service (struct bundle_rule_data), in order of
   *  names. */
  GPtrArray *rules;
};

/** A rule, once for each of its services. */
struct bundle_rule_data
{
  struct bundle_rule rule;
  /** Set of the accounts that the rule allows, one bit per account index;
   *  shared by the copies of the rule.  NULL allows all accounts. */
  uint32_t *account_bits;
};

/** Digest of an API key and the account that it belongs to. */
struct bundle_api_key
{
  uint8_t digest[CACTUS_DIGEST_BYTES];
  uint32_t account_index;
};

/** An operator and its Ed25519 public key. */
struct bundle_operator
{
  const char *name;
  uint8_t key[BUNDLE_DIGEST_BYTES];
};

/** Position of a section's entry in the canonical text. */
struct bundle_entry
{
  /** Offsets of the text "name":value, in bytes; end is exclusive. */
  uint32_t start;
  uint32_t end;
  /** Length of the name with its quotes. */
  uint32_t name_bytes;
};

/** Sections of a document, in the order of the canonical text. */
enum bundle_section
{
  BUNDLE_SECTION_ACCOUNTS,
  BUNDLE_SECTION_CLASSES,
  BUNDLE_SECTION_OPERATORS,
  BUNDLE_SECTION_RULES,
  BUNDLE_SECTION_SERVICES,
  BUNDLE_SECTION_COUNT
};

/** Names of the sections, indexed by enum bundle_section. */
extern const char *const bundle_section_names[BUNDLE_SECTION_COUNT];

struct bundle
{
  atomic_uint references;
  uint64_t version;
  char *canonical;
  size_t canonical_bytes;
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  /** Entries of each section (struct bundle_entry), in order of names. */
  GArray *entries[BUNDLE_SECTION_COUNT];
  /** Storage of all names. */
  GStringChunk *names;
  /** Accounts (struct bundle_account), sorted by name. */
  GArray *accounts;
  /** API keys (struct bundle_api_key), sorted by digest. */
  GArray *keys;
  /** Services (struct bundle_service_data), sorted by name. */
  GPtrArray *services;
  /** Classes (struct bundle_class), sorted by name. */
  GPtrArray *classes;
  /** Rules (struct bundle_rule_data), in order of their names. */
  GPtrArray *rules;
  /** Owns the account_bits of the rules. */
  GPtrArray *account_bits;
  /** Operators (struct bundle_operator), sorted by name. */
  GArray *operators;
};

/** Creates an empty bundle with one reference. */
struct bundle *bundle_data_create (void);
/** Returns the index of an account by name, or -1. */
int64_t bundle_account_index (const struct bundle *bundle, const char *name);
/** Returns the class of this name, or NULL. */
const struct bundle_class *bundle_find_class (const struct bundle *bundle,
                                              const char *name);

#endif
