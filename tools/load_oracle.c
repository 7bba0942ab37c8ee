#include "load_oracle.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>

#include "base_hash.h"
#include "wire_client.h"
#include "wire_ledger.h"

#define FETCH_TIMEOUT_MS 10000L
#define CALL_TIMEOUT_MS 5000

struct load_oracle
{
  /* Idempotency key to struct load_oracle_usage. */
  GHashTable *keys;
  /* Account name to tokens served (uint64_t). */
  GHashTable *served;
  /* Account id in decimal to tokens billed (uint64_t). */
  GHashTable *billed;
  /* Account id and key digest in hexadecimal to number of bills. */
  GHashTable *bills;
  uint64_t written_off_tokens;
};

struct load_oracle *
load_oracle_create (void)
{
  struct load_oracle *oracle = g_new0 (struct load_oracle, 1);
  oracle->keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  oracle->served
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  oracle->billed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  oracle->bills
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return oracle;
}

void
load_oracle_destroy (struct load_oracle *oracle)
{
  if (!oracle)
    return;
  g_hash_table_unref (oracle->keys);
  g_hash_table_unref (oracle->served);
  g_hash_table_unref (oracle->billed);
  g_hash_table_unref (oracle->bills);
  g_free (oracle);
}

static uint64_t
total_of (GHashTable *totals, const char *name)
{
  const uint64_t *total = g_hash_table_lookup (totals, name);
  return total ? *total : 0;
}

static void
add_total (GHashTable *totals, const char *name, uint64_t amount)
{
  uint64_t *total = g_hash_table_lookup (totals, name);
  if (!total)
    {
      total = g_new0 (uint64_t, 1);
      g_hash_table_insert (totals, g_strdup (name), total);
    }
  *total += amount;
}

/* Subtracts an amount, unless the total is smaller. */
static void
subtract_total (GHashTable *totals, const char *name, uint64_t amount)
{
  uint64_t *total = g_hash_table_lookup (totals, name);
  if (total && *total >= amount)
    *total -= amount;
}

static void
add_run (struct load_oracle *oracle, json_t *run)
{
  const char *key = json_string_value (json_object_get (run, "key"));
  const char *account = json_string_value (json_object_get (run, "account"));
  json_int_t tokens = json_integer_value (json_object_get (run, "tokens"));
  json_int_t runs = json_integer_value (json_object_get (run, "runs"));
  if (!key || !account)
    return;
  struct load_oracle_usage *entry = g_hash_table_lookup (oracle->keys, key);
  if (!entry)
    {
      entry = g_new0 (struct load_oracle_usage, 1);
      g_hash_table_insert (oracle->keys, g_strdup (key), entry);
    }
  entry->tokens += (uint64_t)tokens;
  entry->runs += (uint32_t)runs;
  add_total (oracle->served, account, (uint64_t)tokens);
}

static int
add_runs (struct load_oracle *oracle, json_t *list)
{
  size_t index;
  json_t *run;
  if (!json_is_array (list))
    return -1;
  json_array_foreach (list, index, run) add_run (oracle, run);
  return 0;
}

static size_t
collect (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

int
load_oracle_add_target (struct load_oracle *oracle, const char *endpoint)
{
  int status = -1;
  GString *body = g_string_new (NULL);
  char *url = g_strdup_printf ("http://%s/oracle", endpoint);
  CURL *easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, body);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, FETCH_TIMEOUT_MS);
  if (curl_easy_perform (easy) == CURLE_OK)
    {
      json_t *list = json_loadb (body->str, body->len, 0, NULL);
      status = add_runs (oracle, list);
      json_decref (list);
    }
  curl_easy_cleanup (easy);
  g_string_free (body, TRUE);
  g_free (url);
  return status;
}

int
load_oracle_add_file (struct load_oracle *oracle, const char *path)
{
  json_t *list = json_load_file (path, 0, NULL);
  int status = add_runs (oracle, list);
  json_decref (list);
  return status;
}

/* A cancelling bill undoes the bill of the same request; a written-off one
   counts as billed, but not as a bill of the request. */
static void
add_bill (struct load_oracle *oracle, const struct ledger_bill *bill)
{
  char digest[2 * CACTUS_DIGEST_BYTES + 1];
  char *account = g_strdup_printf ("%" PRIu64, (uint64_t)bill->account_id);
  base_hex_write (digest, (const uint8_t *)bill->key, CACTUS_DIGEST_BYTES);
  char *request = g_strconcat (account, "/", digest, NULL);
  if (bill->cancels)
    {
      subtract_total (oracle->billed, account, bill->tokens);
      subtract_total (oracle->bills, request, 1);
      g_free (request);
      g_free (account);
      return;
    }
  add_total (oracle->billed, account, bill->tokens);
  if (bill->written_off)
    oracle->written_off_tokens += bill->tokens;
  else
    add_total (oracle->bills, request, 1);
  g_free (request);
  g_free (account);
}

int
load_oracle_add_ledger (struct load_oracle *oracle, const char *address,
                        uint16_t port)
{
  enum wire_status status;
  struct ledger_bills_args args = { .to_ms = UINT64_MAX };
  struct wire_client *client
      = wire_client_create (address, port, LEDGER_PROGRAM, LEDGER_VERSION);
  do
    {
      struct ledger_bills_result result;
      status = wire_client_call (client, LEDGER_BILLS,
                                 (xdrproc_t)xdr_ledger_bills_args, &args,
                                 (xdrproc_t)xdr_ledger_bills_result, &result,
                                 sizeof result, CALL_TIMEOUT_MS);
      for (u_int i = 0; status == WIRE_OK && i < result.bills.bills_len; i++)
        add_bill (oracle, &result.bills.bills_val[i]);
      args.after_index = result.next_index;
      xdr_free ((xdrproc_t)xdr_ledger_bills_result, (char *)&result);
    }
  while (status == WIRE_OK && args.after_index != 0);
  wire_client_destroy (client);
  return status == WIRE_OK ? 0 : -1;
}

const struct load_oracle_usage *
load_oracle_find_usage (const struct load_oracle *oracle, const char *key)
{
  return g_hash_table_lookup (oracle->keys, key);
}

uint64_t
load_oracle_account_served (const struct load_oracle *oracle,
                            const char *account)
{
  return total_of (oracle->served, account);
}

uint64_t
load_oracle_account_billed (const struct load_oracle *oracle,
                            const char *account)
{
  char *id = g_strdup_printf ("%" PRIu64, base_account_id (account));
  uint64_t billed = total_of (oracle->billed, id);
  g_free (id);
  return billed;
}

uint64_t
load_oracle_written_off (const struct load_oracle *oracle)
{
  return oracle->written_off_tokens;
}

uint32_t
load_oracle_double_bills (const struct load_oracle *oracle)
{
  uint32_t doubles = 0;
  GHashTableIter walk;
  gpointer request;
  gpointer bills;
  g_hash_table_iter_init (&walk, oracle->bills);
  while (g_hash_table_iter_next (&walk, &request, &bills))
    if (*(uint64_t *)bills > 1)
      {
        fprintf (
            stderr,
            "request billed more than once: account id and key digest %s\n",
            (char *)request);
        doubles++;
      }
  return doubles;
}
