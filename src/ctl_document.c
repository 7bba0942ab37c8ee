/** @file
 *  Files of bundle documents, secret keys and signatures. */

#include "ctl_document.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>
#include <sodium.h>

#include "base_hash.h"

/* Reads a whole file; the caller frees the text with g_free.  Returns NULL
   after printing an error that ends with @p advice. */
static char *
read_file (const char *path, gsize *bytes, const char *advice)
{
  char *text = NULL;
  if (access (path, R_OK) == 0
      && g_file_get_contents (path, &text, bytes, NULL))
    return text;
  ctl_fail (CTL_USAGE, "%s can't be read (%s); %s", path, g_strerror (errno),
            advice);
  return NULL;
}

struct bundle *
ctl_document_read (const char *path)
{
  gsize bytes = 0;
  char *text = read_file (path, &bytes, "give the path of a document");
  if (!text)
    return NULL;
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle = bundle_read (text, bytes, findings);
  base_findings_print (findings, stderr);
  if (!bundle)
    ctl_fail (CTL_USAGE, "%s has %zu finding(s); fix them and check again",
              path, base_findings_count (findings));
  base_findings_destroy (findings);
  g_free (text);
  return bundle;
}

bool
ctl_key_read (const char *path, uint8_t key[CTL_SECRET_KEY_BYTES])
{
  char *text = read_file (path, NULL, "cactusctl bundle keygen makes a key");
  if (!text)
    return false;
  bool read
      = base_hex_read (key, CTL_SECRET_KEY_BYTES, g_strstrip (text)) == 0;
  sodium_memzero (text, strlen (text));
  g_free (text);
  if (!read)
    ctl_fail (CTL_USAGE,
              "%s does not hold a secret key of 128 hexadecimal digits; "
              "cactusctl bundle keygen makes one",
              path);
  return read;
}

/* Warns when the document does not list the signer with this key: if there is
   no other operator, nobody can sign the next version. */
static void
warn_unlisted_signer (const char *signer, const uint8_t public_key[32],
                      const struct bundle *bundle)
{
  uint8_t key[BUNDLE_DIGEST_BYTES];
  if (!bundle_find_operator_key (bundle, signer, key)
      || memcmp (key, public_key, sizeof key) != 0)
    fprintf (stderr,
             "cactusctl: note: the document has no operator \"%s\" with this "
             "key, so this key can't sign the next version\n",
             signer);
}

bool
ctl_signature_make (const struct ctl_context *context,
                    const struct bundle *bundle,
                    struct ctl_signature *signature)
{
  uint8_t key[CTL_SECRET_KEY_BYTES];
  const struct ctl_options *options = &context->options;
  if (!options->operator_name || !options->key_file)
    {
      ctl_fail (CTL_USAGE,
                "signing needs --operator NAME and --key-file FILE");
      return false;
    }
  if (!ctl_key_read (options->key_file, key))
    return false;
  memset (signature, 0, sizeof *signature);
  g_strlcpy (signature->signer, options->operator_name,
             sizeof signature->signer);
  bundle_digest (bundle, signature->digest);
  bundle_sign (signature->digest, key, signature->signature);
  warn_unlisted_signer (
      signature->signer,
      key + CTL_SECRET_KEY_BYTES - crypto_sign_PUBLICKEYBYTES, bundle);
  sodium_memzero (key, sizeof key);
  return true;
}

int
ctl_signature_write (const char *path, const struct ctl_signature *signature)
{
  char digest[2 * BUNDLE_DIGEST_BYTES + 1];
  char text[2 * BUNDLE_SIGNATURE_BYTES + 1];
  base_hex_write (digest, signature->digest, BUNDLE_DIGEST_BYTES);
  base_hex_write (text, signature->signature, BUNDLE_SIGNATURE_BYTES);
  json_t *document = json_pack ("{s:s, s:s, s:s}", "signer", signature->signer,
                                "digest", digest, "signature", text);
  int status = json_dump_file (document, path, JSON_INDENT (2));
  json_decref (document);
  return status;
}

/* Reads a member of hexadecimal digits.  Returns false unless it gives exactly
   @p bytes bytes. */
static bool
read_hex (json_t *document, const char *member, uint8_t *data, size_t bytes)
{
  const char *text = json_string_value (json_object_get (document, member));
  return text && base_hex_read (data, bytes, text) == 0;
}

bool
ctl_signature_read (const char *path, struct ctl_signature *signature)
{
  json_t *document = json_load_file (path, 0, NULL);
  const char *signer
      = json_string_value (json_object_get (document, "signer"));
  memset (signature, 0, sizeof *signature);
  bool read = signer
              && read_hex (document, "digest", signature->digest,
                           BUNDLE_DIGEST_BYTES)
              && read_hex (document, "signature", signature->signature,
                           BUNDLE_SIGNATURE_BYTES);
  if (read)
    g_strlcpy (signature->signer, signer, sizeof signature->signer);
  else
    ctl_fail (CTL_USAGE,
              "%s is not a signature; make it with cactusctl bundle sign, or "
              "give --operator and --key-file",
              path);
  json_decref (document);
  return read;
}
