#include "base_hash.h"

#include <string.h>

#include <sodium.h>
#include <xxhash.h>

uint64_t
base_hash64 (const void *data, size_t bytes)
{
  return XXH3_64bits (data, bytes);
}

uint64_t
base_hash_string (const char *text)
{
  return base_hash64 (text, strlen (text));
}

static uint64_t
non_zero (uint64_t hash)
{
  return hash ? hash : 1;
}

uint64_t
base_account_id (const char *account)
{
  return non_zero (base_hash_string (account));
}

uint64_t
base_budget_id (const char *account, const char *budget)
{
  uint64_t account_hash = base_hash_string (account);
  return non_zero (
      XXH3_64bits_withSeed (budget, strlen (budget), account_hash));
}

void
base_digest (uint8_t digest[CACTUS_DIGEST_BYTES], const void *data,
             size_t bytes)
{
  crypto_generichash (digest, CACTUS_DIGEST_BYTES, data, bytes, NULL, 0);
}

void
base_hex_write (char *text, const uint8_t *data, size_t bytes)
{
  static const char digits[] = "0123456789abcdef";
  for (size_t i = 0; i < bytes; i++)
    {
      text[2 * i] = digits[data[i] >> 4];
      text[2 * i + 1] = digits[data[i] & 15];
    }
  text[2 * bytes] = '\0';
}

static int
hex_value (char digit)
{
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F')
    return digit - 'A' + 10;
  return -1;
}

int
base_hex_read (uint8_t *data, size_t bytes, const char *text)
{
  if (strlen (text) != 2 * bytes)
    return -1;
  for (size_t i = 0; i < bytes; i++)
    {
      int high = hex_value (text[2 * i]);
      int low = hex_value (text[2 * i + 1]);
      if (high < 0 || low < 0)
        return -1;
      data[i] = (uint8_t)(high << 4 | low);
    }
  return 0;
}
