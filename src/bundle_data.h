#ifndef BUNDLE_DATA_H
#define BUNDLE_DATA_H

/** @file
 *  Inside of a bundle; for the bundle_ files only. */

#include <stdatomic.h>

#include <glib.h>

#include "bundle.h"

/** A service with its patterns of non-idempotent calls. */
struct bundle_service_data
{
  struct bundle_service service;
  /** Pairs of method and normalised path, ended by NULL. */
  char **non_idempotent;
  /** Rules that name the service, in order of names: struct
   *  bundle_rule_data. */
  GPtrArray *rules;
};

/** A rule for one of its services. */
struct bundle_rule_data
{
  struct bundle_rule rule;
  /** One bit an account, shared by the rule's services; NULL: all. */
  uint32_t *account_bits;
};

/** The digest of a key and the account that it opens. */
struct bundle_key
{
  uint8_t digest[CACTUS_DIGEST_BYTES];
  uint32_t account_index;
};

/** Public key of an operator. */
struct bundle_operator
{
  const char *name;
  uint8_t key[BUNDLE_DIGEST_BYTES];
};

/** Where an entry of a section stands in the canonical text. */
struct bundle_entry
{
  /** Bytes of "name":value. */
  uint32_t start;
  uint32_t end;
  /** Bytes of the name with its quotes. */
  uint32_t name_bytes;
};

/** The sections of a document. */
enum bundle_section
{
  BUNDLE_SECTION_ACCOUNTS,
  BUNDLE_SECTION_CLASSES,
  BUNDLE_SECTION_OPERATORS,
  BUNDLE_SECTION_RULES,
  BUNDLE_SECTION_SERVICES,
  BUNDLE_SECTION_COUNT
};

/** Names of the sections, in order. */
extern const char *const bundle_section_names[BUNDLE_SECTION_COUNT];

struct bundle
{
  atomic_uint references;
  uint64_t version;
  char *canonical;
  size_t canonical_bytes;
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  /** Entries of each section in order of names: struct bundle_entry. */
  GArray *entries[BUNDLE_SECTION_COUNT];
  /** Names live here. */
  GStringChunk *names;
  /** Sorted by name: struct bundle_account. */
  GArray *accounts;
  /** Sorted by digest: struct bundle_key. */
  GArray *keys;
  /** Sorted by name: struct bundle_service_data. */
  GPtrArray *services;
  /** Sorted by name: struct bundle_class. */
  GPtrArray *classes;
  /** Sorted by name, then service: struct bundle_rule_data. */
  GPtrArray *rules;
  /** One array an owner: the rules' account bits. */
  GPtrArray *account_bits;
  /** Sorted by name: struct bundle_operator. */
  GArray *operators;
};

/** Makes an empty bundle with one reference. */
struct bundle *bundle_data_create (void);
/** Index of the account of that name, or -1. */
int64_t bundle_account_index (const struct bundle *bundle, const char *name);
/** Class of that name, or NULL. */
const struct bundle_class *bundle_find_class (const struct bundle *bundle,
                                              const char *name);

#endif
