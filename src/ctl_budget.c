/** @file
 *  Commands budget top-up and budget show. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "base_hash.h"
#include "ctl_accepted.h"
#include "ctl_table.h"

/* Size of a generated top-up id, in bytes. */
#define ID_BYTES 16

static bool
parse_tokens (const char *text, uint64_t *tokens)
{
  char *end = NULL;
  *tokens = strtoull (text, &end, 10);
  if (g_ascii_isdigit (*text) && !*end && *tokens > 0
      && *tokens <= (uint64_t)INT64_MAX)
    return true;
  ctl_fail (CTL_USAGE, "\"%s\" is not a number of tokens above 0", text);
  return false;
}

/* Returns the top-up id of --id, or a new random one; freed with g_free. */
static char *
get_top_up_id (const struct ctl_context *context)
{
  uint8_t bytes[ID_BYTES];
  char text[2 * ID_BYTES + 1];
  if (context->options.id)
    return g_strdup (context->options.id);
  randombytes_buf (bytes, sizeof bytes);
  base_hex_write (text, bytes, sizeof bytes);
  return g_strdup (text);
}

static void
print_top_up (const struct ctl_context *context, const char *id,
              const struct control_top_up_result *result)
{
  if (context->options.json)
    printf ("{\"id\":\"%s\",\"topped_up_tokens\":%" PRIu64
            ",\"unallocated_tokens\":%" PRIu64 "}\n",
            id, (uint64_t)result->topped_up_tokens,
            (uint64_t)result->unallocated_tokens);
  else
    printf ("top-up %s is applied; the budget's top-ups add up to %" PRIu64
            " tokens\n",
            id, (uint64_t)result->topped_up_tokens);
}

/* Checks that the account exists: tokens of an unknown account could never be
   spent. */
static enum ctl_exit
check_account (struct ctl_context *context)
{
  struct bundle *bundle = NULL;
  const char *name = context->arguments[1];
  enum ctl_exit code = ctl_fetch_accepted_bundle (context, &bundle);
  if (code == CTL_OK && !bundle_find_account (bundle, name))
    code = ctl_fail (CTL_REFUSED,
                     "the accepted bundle has no account \"%s\"; push a "
                     "bundle version with this account first",
                     name);
  bundle_unref (bundle);
  return code;
}

enum ctl_exit
ctl_budget_top_up (struct ctl_context *context)
{
  static char no_operator[] = "";
  struct control_top_up_result result;
  struct control_top_up_args args = { 0 };
  uint64_t tokens;
  if (!parse_tokens (context->arguments[2], &tokens))
    return CTL_USAGE;
  enum ctl_exit code = check_account (context);
  if (code != CTL_OK)
    return code;
  char *id = get_top_up_id (context);
  args.cluster = context->options.cluster;
  args.top_up_id = id;
  args.operator_name = context->options.operator_name
                           ? context->options.operator_name
                           : no_operator;
  args.account = context->arguments[1];
  args.budget = context->options.budget;
  args.tokens = tokens;
  code = ctl_call (context, CONTROL_TOP_UP, (xdrproc_t)xdr_control_top_up_args,
                   &args, (xdrproc_t)xdr_control_top_up_result, &result,
                   sizeof result);
  if (code == CTL_OK)
    print_top_up (context, id, &result);
  else if (code == CTL_UNREACHABLE && !context->options.id)
    ctl_fail (code,
              "repeat the command with --id %s, so that the top-up is applied "
              "only once",
              id);
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  g_free (id);
  return code;
}

static struct ctl_table *
list_shares (const struct control_budget_result *result)
{
  static const char *const columns[]
      = { "ledger",         "incarnation",
          "granted_tokens", "returned_tokens",
          "free_tokens",    "reserved_tokens",
          "spent_tokens",   "written_off_tokens",
          "reported_at_ms", NULL };
  char incarnation[17];
  struct ctl_table *table = ctl_table_create (columns);
  for (u_int i = 0; i < result->shares.shares_len; i++)
    {
      const struct control_share *share = &result->shares.shares_val[i];
      ctl_table_add_text (table, share->ledger);
      g_snprintf (incarnation, sizeof incarnation, "%016lx",
                  (unsigned long)share->incarnation);
      ctl_table_add_text (table, incarnation);
      ctl_table_add_number (table, share->granted_tokens);
      ctl_table_add_number (table, share->returned_tokens);
      ctl_table_add_number (table, share->free_tokens);
      ctl_table_add_number (table, share->reserved_tokens);
      ctl_table_add_number (table, share->spent_tokens);
      ctl_table_add_number (table, share->written_off_tokens);
      ctl_table_add_number (table, share->reported_at_ms);
    }
  return table;
}

static void
print_budget (const struct ctl_context *context,
              const struct control_budget_result *result)
{
  uint64_t spent = 0;
  uint64_t written_off = 0;
  for (u_int i = 0; i < result->shares.shares_len; i++)
    {
      spent += result->shares.shares_val[i].spent_tokens;
      written_off += result->shares.shares_val[i].written_off_tokens;
    }
  struct ctl_table *shares = list_shares (result);
  if (context->options.json)
    printf ("{\"topped_up_tokens\":%" PRIu64 ",\"unallocated_tokens\":%" PRIu64
            ",\"spent_tokens\":%" PRIu64 ",\"written_off_tokens\":%" PRIu64
            ",\"left_tokens\":%" PRIu64 ",\"shares\":",
            (uint64_t)result->topped_up_tokens,
            (uint64_t)result->unallocated_tokens, spent, written_off,
            (uint64_t)result->topped_up_tokens - spent - written_off);
  else
    printf ("topped up %" PRIu64 ", spent %" PRIu64 ", written off %" PRIu64
            ", left %" PRIu64 " (%" PRIu64 " of them unallocated)\n",
            (uint64_t)result->topped_up_tokens, spent, written_off,
            (uint64_t)result->topped_up_tokens - spent - written_off,
            (uint64_t)result->unallocated_tokens);
  ctl_table_print (shares, context->options.json);
  if (context->options.json)
    puts ("}");
  ctl_table_destroy (shares);
}

enum ctl_exit
ctl_budget_show (struct ctl_context *context)
{
  struct control_budget_result result;
  struct control_budget_args args
      = { context->options.cluster, context->arguments[1],
          context->options.budget };
  enum ctl_exit code = ctl_call (
      context, CONTROL_BUDGET, (xdrproc_t)xdr_control_budget_args, &args,
      (xdrproc_t)xdr_control_budget_result, &result, sizeof result);
  if (code == CTL_OK)
    print_budget (context, &result);
  xdr_free ((xdrproc_t)xdr_control_budget_result, (char *)&result);
  return code;
}
