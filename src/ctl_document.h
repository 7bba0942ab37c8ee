#ifndef CTL_DOCUMENT_H
#define CTL_DOCUMENT_H

/** @file
 *  Documents, keys and signatures in files. */

#include "bundle.h"
#include "ctl_command.h"

/** Size of a secret key, in bytes. */
#define CTL_SECRET_KEY_BYTES 64

/** Reads and checks a document; NULL after printing its findings. */
struct bundle *ctl_document_read (const char *path);
/** Reads a secret key made by bundle keygen; false after an error. */
bool ctl_key_read (const char *path, uint8_t key[CTL_SECRET_KEY_BYTES]);

/** A signature as kept beside a document, in FILE.sig. */
struct ctl_signature
{
  char signer[CACTUS_NAME_BYTES + 1];
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  uint8_t signature[BUNDLE_SIGNATURE_BYTES];
};

/** Signs with --operator and --key-file; false after an error. */
bool ctl_signature_make (const struct ctl_context *context,
                         const struct bundle *bundle,
                         struct ctl_signature *signature);
/** Writes FILE.sig; 0 or -1. */
int ctl_signature_write (const char *path,
                         const struct ctl_signature *signature);
/** Reads FILE.sig; false after an error. */
bool ctl_signature_read (const char *path, struct ctl_signature *signature);

#endif
