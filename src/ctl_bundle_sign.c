/** @file
 *  Commands bundle keygen, bundle check and bundle sign, which work without a
 *  cluster. */

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "base_hash.h"
#include "ctl_document.h"
#include "store_file.h"

/* Writes a new file that only its owner may read and write.  Returns 0, or -1
   with errno set, also when the file exists. */
static int
write_secret (const char *path, const char *text)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (fd < 0)
    return -1;
  int status = store_file_write_all (fd, text, strlen (text));
  if (status == 0)
    status = fsync (fd);
  close (fd);
  return status;
}

enum ctl_exit
ctl_bundle_keygen (struct ctl_context *context)
{
  uint8_t public_key[crypto_sign_PUBLICKEYBYTES];
  uint8_t secret_key[crypto_sign_SECRETKEYBYTES];
  char public_text[2 * sizeof public_key + 1];
  char secret_text[2 * sizeof secret_key + 1];
  const char *name = context->arguments[1];
  char *path = context->options.output ? g_strdup (context->options.output)
                                       : g_strconcat (name, ".key", NULL);
  enum ctl_exit code = CTL_OK;
  crypto_sign_keypair (public_key, secret_key);
  base_hex_write (public_text, public_key, sizeof public_key);
  base_hex_write (secret_text, secret_key, sizeof secret_key);
  if (write_secret (path, secret_text) != 0)
    code = ctl_fail (CTL_USAGE, "%s: %s; a key file is never overwritten",
                     path, g_strerror (errno));
  else if (context->options.json)
    printf ("{\"operator\":\"%s\",\"public_key\":\"%s\"}\n", name,
            public_text);
  else
    printf ("%s\n", public_text);
  sodium_memzero (secret_key, sizeof secret_key);
  sodium_memzero (secret_text, sizeof secret_text);
  g_free (path);
  return code;
}

static void
print_version (const struct ctl_context *context, const struct bundle *bundle)
{
  uint8_t digest[BUNDLE_DIGEST_BYTES];
  char text[2 * BUNDLE_DIGEST_BYTES + 1];
  bundle_digest (bundle, digest);
  base_hex_write (text, digest, sizeof digest);
  if (context->options.json)
    printf ("{\"version\":%" PRIu64 ",\"digest\":\"%s\"}\n",
            bundle_version (bundle), text);
  else
    printf ("version %" PRIu64 " is valid, digest %s\n",
            bundle_version (bundle), text);
}

enum ctl_exit
ctl_bundle_check (struct ctl_context *context)
{
  struct bundle *bundle = ctl_document_read (context->arguments[1]);
  if (!bundle)
    return CTL_USAGE;
  print_version (context, bundle);
  bundle_unref (bundle);
  return CTL_OK;
}

enum ctl_exit
ctl_bundle_sign (struct ctl_context *context)
{
  struct ctl_signature signature;
  const char *path = context->arguments[1];
  enum ctl_exit code = CTL_USAGE;
  char *output = context->options.output ? g_strdup (context->options.output)
                                         : g_strconcat (path, ".sig", NULL);
  struct bundle *bundle = ctl_document_read (path);
  if (!bundle || !ctl_signature_make (context, bundle, &signature))
    goto done;
  if (ctl_signature_write (output, &signature) != 0)
    {
      ctl_fail (CTL_USAGE, "%s: %s", output, g_strerror (errno));
      goto done;
    }
  print_version (context, bundle);
  code = CTL_OK;
done:
  bundle_unref (bundle);
  g_free (output);
  return code;
}
