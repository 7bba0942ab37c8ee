#ifndef BUNDLE_H
#define BUNDLE_H

/** @file
 *  Configuration bundle: one version of the operators, accounts, services,
 *  classes and rules.  Immutable once read, shared by reference count. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base_findings.h"
#include "cactus_config.h"

/** Size of a bundle's digest and of an Ed25519 public key, in bytes. */
#define BUNDLE_DIGEST_BYTES 32
/** Size of an Ed25519 signature, in bytes. */
#define BUNDLE_SIGNATURE_BYTES 64

/** Protocol and billing of a service's targets. */
enum bundle_service_kind
{
  /** Chat completions and completions; billed by tokens. */
  BUNDLE_SERVICE_MODEL,
  /** Any HTTP under /services/NAME/; billed a fixed amount per call. */
  BUNDLE_SERVICE_PLAIN
};

/** A client account. */
struct bundle_account
{
  const char *name;
  uint64_t account_id;
  /** Weight in fair queueing, 1 to 1000. */
  uint32_t weight;
};

/** A service and its limits. */
struct bundle_service
{
  const char *name;
  enum bundle_service_kind kind;
  /** Maximum number of concurrent requests at one target; 0 means the number
   *  of slots that the target announces. */
  uint32_t target_limit;
  /** Maximum number of output tokens that a request may ask for. */
  uint32_t max_output_tokens;
  /** Largest request body, in bytes. */
  uint32_t max_body_bytes;
  /** Price of one call of a plain service, in tokens. */
  uint32_t call_tokens;
  /** Deadline of one call of a plain service, in milliseconds. */
  uint32_t call_timeout_ms;
};

/** A class of requests: its priority, deadlines and limits. */
struct bundle_class
{
  const char *name;
  /** 0 is served first. */
  uint32_t priority;
  /** Longest wait in the queue, in milliseconds. */
  uint32_t queue_ms;
  /** Deadline for the first token, in milliseconds; 0 means no deadline. */
  uint32_t first_token_ms;
  /** Deadline for the whole response, in milliseconds. */
  uint32_t total_ms;
  /** Maximum number of requests that wait on one router for one service. */
  uint32_t queue_limit;
  /** Share of a target's slots that this class may fill, in percent. */
  uint32_t slot_percent;
  /** Waiting time, in milliseconds, after which the priority rises by one; 0
   *  means that it never rises. */
  uint32_t ageing_ms;
};

/** Lets accounts use one service, in one class of requests. */
struct bundle_rule
{
  const char *name;
  const struct bundle_service *service;
  const struct bundle_class *request_class;
  /** Whether targets of another region may be used. */
  bool cross_region;
  /** Maximum number of output tokens of a request under this rule; 0 means the
   *  service's limit. */
  uint32_t max_output_tokens;
};

/** One version of the configuration. */
struct bundle;

/** Reads and checks a JSON document.  Returns NULL when it is invalid and adds
 *  all findings, each with its JSON path.  The caller owns one reference. */
struct bundle *bundle_read (const char *document, size_t bytes,
                            struct base_findings *findings);
/** Adds a reference. */
struct bundle *bundle_ref (struct bundle *bundle);
/** Drops a reference and frees the bundle with the last one; NULL is
 *  allowed. */
void bundle_unref (struct bundle *bundle);

/** Returns the version, from 1. */
uint64_t bundle_version (const struct bundle *bundle);
/** Returns the canonical text (sorted keys, no spaces) and its length in
 *  @p bytes, which may be NULL. */
const char *bundle_canonical (const struct bundle *bundle, size_t *bytes);
/** Copies the digest (BLAKE2b) of the canonical text. */
void bundle_digest (const struct bundle *bundle,
                    uint8_t digest[BUNDLE_DIGEST_BYTES]);
/** Returns the account with an API key of this digest (see base_digest), or
 *  NULL. */
const struct bundle_account *
bundle_find_account_by_key (const struct bundle *bundle,
                            const uint8_t digest[CACTUS_DIGEST_BYTES]);
/** Returns the account of this name, or NULL. */
const struct bundle_account *bundle_find_account (const struct bundle *bundle,
                                                  const char *name);
/** Returns the service of this name, or NULL. */
const struct bundle_service *bundle_find_service (const struct bundle *bundle,
                                                  const char *name);
/** Returns the class at @p index in order of names, or NULL after the last
 *  one. */
const struct bundle_class *bundle_class_at (const struct bundle *bundle,
                                            size_t index);
/** Returns the account at @p index in order of names, or NULL after the last
 *  one. */
const struct bundle_account *bundle_account_at (const struct bundle *bundle,
                                                size_t index);
/** Returns the service at @p index in order of names, or NULL after the last
 *  one. */
const struct bundle_service *bundle_service_at (const struct bundle *bundle,
                                                size_t index);
/** Returns the first rule, in order of names, that lets @p account use
 *  @p service, or NULL.  Both belong to this bundle.  With @p class_name (may
 *  be NULL) only rules of that class match. */
const struct bundle_rule *bundle_find_rule (
    const struct bundle *bundle, const struct bundle_account *account,
    const struct bundle_service *service, const char *class_name);
/** Whether a call of a plain service must run at most once. */
bool bundle_service_is_non_idempotent (const struct bundle_service *service,
                                       const char *method, const char *path);
/** Whether any rule lets targets of another region serve @p service. */
bool bundle_service_allows_cross_region (const struct bundle_service *service);
/** Copies the public key of an operator.  Returns false when no operator has
 *  that name. */
bool bundle_find_operator_key (const struct bundle *bundle, const char *name,
                               uint8_t key[BUNDLE_DIGEST_BYTES]);

/** Returns the difference from @p old_bundle to @p new_bundle as a JSON
 *  document, freed with g_free.  NULL for @p old_bundle stands for an empty
 *  bundle. */
char *bundle_difference (const struct bundle *old_bundle,
                         const struct bundle *new_bundle);
/** Applies a difference to @p old_bundle.  Returns NULL and adds findings when
 *  it is for another version, or when the result is invalid or lacks the
 *  digest that the difference names. */
struct bundle *bundle_apply_difference (const struct bundle *old_bundle,
                                        const char *difference, size_t bytes,
                                        struct base_findings *findings);

/** Signs a digest with an Ed25519 secret key (libsodium's 64 bytes). */
void bundle_sign (const uint8_t digest[BUNDLE_DIGEST_BYTES],
                  const uint8_t secret_key[64],
                  uint8_t signature[BUNDLE_SIGNATURE_BYTES]);
/** Whether the signature of the digest was made with the secret key of
 *  @p public_key. */
bool bundle_verify (const uint8_t digest[BUNDLE_DIGEST_BYTES],
                    const uint8_t public_key[32],
                    const uint8_t signature[BUNDLE_SIGNATURE_BYTES]);

#endif
