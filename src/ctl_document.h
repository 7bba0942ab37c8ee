#ifndef CTL_DOCUMENT_H
#define CTL_DOCUMENT_H

/** @file
 *  Files of bundle documents, secret keys and signatures.  All functions
 *  except ctl_signature_write print their errors. */

#include "bundle.h"
#include "ctl_command.h"

/** Size of an Ed25519 secret key, in bytes. */
#define CTL_SECRET_KEY_BYTES 64

/** Reads and checks a document.  Returns NULL after printing its findings. */
struct bundle *ctl_document_read (const char *path);
/** Reads a secret key made by bundle keygen.  Returns false after an error. */
bool ctl_key_read (const char *path, uint8_t key[CTL_SECRET_KEY_BYTES]);

/** Signature of a document, stored next to it in FILE.sig. */
struct ctl_signature
{
  char signer[CACTUS_NAME_BYTES + 1];
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  uint8_t signature[BUNDLE_SIGNATURE_BYTES];
};

/** Signs a bundle as --operator with --key-file.  Returns false after an
 *  error. */
bool ctl_signature_make (const struct ctl_context *context,
                         const struct bundle *bundle,
                         struct ctl_signature *signature);
/** Writes a signature file.  Returns 0, or -1 on an error. */
int ctl_signature_write (const char *path,
                         const struct ctl_signature *signature);
/** Reads a signature file.  Returns false after an error. */
bool ctl_signature_read (const char *path, struct ctl_signature *signature);

#endif
