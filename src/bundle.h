#ifndef BUNDLE_H
#define BUNDLE_H

/** @file
 *  One accepted version of the configuration: immutable once read, shared by
 *  reference count. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base_findings.h"
#include "cactus_config.h"

/** Size of a bundle's digest and of an Ed25519 public key, in bytes. */
#define BUNDLE_DIGEST_BYTES 32
/** Size of a signature, in bytes. */
#define BUNDLE_SIGNATURE_BYTES 64

/** What kind of back end a service has. */
enum bundle_service_kind
{
  /** Answers chat completions and completions; billed by tokens. */
  BUNDLE_SERVICE_MODEL,
  /** Any HTTP under /services/NAME/; billed a fixed amount a call. */
  BUNDLE_SERVICE_PLAIN
};

/** A client account. */
struct bundle_account
{
  const char *name;
  uint64_t account_id;
  /** Share in fair queueing, 1 to 1000. */
  uint32_t weight;
};

/** A service and the policy of its replicas. */
struct bundle_service
{
  const char *name;
  enum bundle_service_kind kind;
  /** Most requests at once on one target; 0: as the target announces. */
  uint32_t target_limit;
  /** Largest answer that may be asked for, in tokens. */
  uint32_t max_output_tokens;
  /** Largest request body, in bytes. */
  uint32_t max_body_bytes;
  /** Bill of one call of a plain service, in tokens. */
  uint32_t call_tokens;
  /** Deadline of one call of a plain service, in milliseconds. */
  uint32_t call_timeout_ms;
};

/** A class of requests. */
struct bundle_class
{
  const char *name;
  /** 0 is served first. */
  uint32_t priority;
  /** Longest wait in the queue, in milliseconds. */
  uint32_t queue_ms;
  /** Deadline for the first token, in milliseconds; 0: none. */
  uint32_t first_token_ms;
  /** Deadline for the whole answer, in milliseconds. */
  uint32_t total_ms;
  /** Most requests waiting on one router for one service. */
  uint32_t queue_limit;
  /** Share of a target's slots that this class may fill, in percent. */
  uint32_t slot_percent;
  /** Priority rises by one for each such time waited, in milliseconds; 0:
   *  never. */
  uint32_t ageing_ms;
};

/** Which callers reach which service, and how. */
struct bundle_rule
{
  const char *name;
  const struct bundle_service *service;
  const struct bundle_class *request_class;
  /** Whether targets of another region may be used. */
  bool cross_region;
  /** Most tokens an answer may have under this rule; 0: the service's. */
  uint32_t max_output_tokens;
};

/** One version of the configuration. */
struct bundle;

/** Reads and checks a document (JSON).  NULL with findings, each with its
 *  JSON path; all are reported at once.  The caller owns one reference. */
struct bundle *bundle_read (const char *document, size_t bytes,
                            struct base_findings *findings);
/** Adds a reference. */
struct bundle *bundle_ref (struct bundle *bundle);
/** Drops a reference; the last one frees. */
void bundle_unref (struct bundle *bundle);

/** Version of the bundle, from 1. */
uint64_t bundle_version (const struct bundle *bundle);
/** Canonical text of the document (sorted keys, no spaces). */
const char *bundle_canonical (const struct bundle *bundle, size_t *bytes);
/** Digest (BLAKE2b) of the canonical text. */
void bundle_digest (const struct bundle *bundle,
                    uint8_t digest[BUNDLE_DIGEST_BYTES]);
/** Account whose key has this digest (base_digest of the key), or NULL. */
const struct bundle_account *
bundle_find_account_by_key (const struct bundle *bundle,
                            const uint8_t digest[CACTUS_DIGEST_BYTES]);
/** Account of that name, or NULL. */
const struct bundle_account *bundle_find_account (const struct bundle *bundle,
                                                  const char *name);
/** Service of that name, or NULL. */
const struct bundle_service *bundle_find_service (const struct bundle *bundle,
                                                  const char *name);
/** Class at @p index, or NULL past the last; in order of names. */
const struct bundle_class *bundle_class_at (const struct bundle *bundle,
                                            size_t index);
/** Account at @p index, or NULL past the last; in order of names. */
const struct bundle_account *bundle_account_at (const struct bundle *bundle,
                                                size_t index);
/** Service at @p index, or NULL past the last; in order of names. */
const struct bundle_service *bundle_service_at (const struct bundle *bundle,
                                                size_t index);
/** First rule, in order of names, that lets @p account use @p service; a
 *  request may name its class (else NULL) and then only rules of that class
 *  fit.  NULL when there is none. */
const struct bundle_rule *bundle_find_rule (
    const struct bundle *bundle, const struct bundle_account *account,
    const struct bundle_service *service, const char *class_name);
/** Whether "METHOD /path" of a plain service may run at most once. */
bool bundle_service_is_non_idempotent (const struct bundle_service *service,
                                       const char *method, const char *path);
/** Whether a rule lets targets of another region serve @p service. */
bool bundle_service_allows_cross_region (const struct bundle_service *service);
/** Public key of an operator; false when there is none of that name. */
bool bundle_find_operator_key (const struct bundle *bundle, const char *name,
                               uint8_t key[BUNDLE_DIGEST_BYTES]);

/** Difference from @p old (NULL: from nothing) to @p new as a JSON document,
 *  freed by the caller with g_free. */
char *bundle_difference (const struct bundle *old_bundle,
                         const struct bundle *new_bundle);
/** Applies a difference to @p old; NULL with findings when it doesn't fit or
 *  the outcome's digest differs from the one it names. */
struct bundle *bundle_apply_difference (const struct bundle *old_bundle,
                                        const char *difference, size_t bytes,
                                        struct base_findings *findings);

/** Signs a digest with a secret key (Ed25519, libsodium's 64 bytes). */
void bundle_sign (const uint8_t digest[BUNDLE_DIGEST_BYTES],
                  const uint8_t secret_key[64],
                  uint8_t signature[BUNDLE_SIGNATURE_BYTES]);
/** Whether the signature over the digest is by the public key's owner. */
bool bundle_verify (const uint8_t digest[BUNDLE_DIGEST_BYTES],
                    const uint8_t public_key[32],
                    const uint8_t signature[BUNDLE_SIGNATURE_BYTES]);

#endif
