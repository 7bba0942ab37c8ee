/** @file
 *  Signatures over a bundle's digest. */

#include <sodium.h>

#include "bundle.h"

void
bundle_sign (const uint8_t digest[BUNDLE_DIGEST_BYTES],
             const uint8_t secret_key[64],
             uint8_t signature[BUNDLE_SIGNATURE_BYTES])
{
  crypto_sign_detached (signature, NULL, digest, BUNDLE_DIGEST_BYTES,
                        secret_key);
}

bool
bundle_verify (const uint8_t digest[BUNDLE_DIGEST_BYTES],
               const uint8_t public_key[32],
               const uint8_t signature[BUNDLE_SIGNATURE_BYTES])
{
  return crypto_sign_verify_detached (signature, digest, BUNDLE_DIGEST_BYTES,
                                      public_key)
         == 0;
}
