/** @file
 *  Commands account show and key digest. */

#include <stdio.h>
#include <string.h>

#include "base_hash.h"
#include "ctl_accepted.h"
#include "ctl_table.h"

#define KEY_BYTES_MAX 4096

static void
add_rule (struct ctl_table *table, const struct bundle_rule *rule)
{
  uint32_t limit = rule->max_output_tokens ? rule->max_output_tokens
                                           : rule->service->max_output_tokens;
  ctl_table_add_text (table, rule->service->name);
  ctl_table_add_text (table, rule->request_class->name);
  ctl_table_add_text (table, rule->name);
  ctl_table_add_bool (table, rule->cross_region);
  ctl_table_add_number (table, limit);
}

/* Makes one row for each service and class that the account may use. */
static struct ctl_table *
list_rules (const struct bundle *bundle, const struct bundle_account *account)
{
  static const char *const columns[] = {
    "service", "class", "rule", "cross_region", "max_output_tokens", NULL
  };
  const struct bundle_service *service;
  const struct bundle_class *class;
  struct ctl_table *table = ctl_table_create (columns);
  for (size_t i = 0; (service = bundle_service_at (bundle, i)); i++)
    for (size_t j = 0; (class = bundle_class_at (bundle, j)); j++)
      {
        const struct bundle_rule *rule
            = bundle_find_rule (bundle, account, service, class->name);
        if (rule)
          add_rule (table, rule);
      }
  return table;
}

enum ctl_exit
ctl_account_show (struct ctl_context *context)
{
  struct bundle *bundle = NULL;
  const char *name = context->arguments[1];
  enum ctl_exit code = ctl_fetch_accepted_bundle (context, &bundle);
  if (code != CTL_OK)
    return code;
  const struct bundle_account *account = bundle_find_account (bundle, name);
  if (!account)
    code = ctl_fail (CTL_REFUSED,
                     "the accepted bundle has no account \"%s\"; cactusctl "
                     "bundle show prints the bundle",
                     name);
  else
    {
      struct ctl_table *rules = list_rules (bundle, account);
      if (!context->options.json)
        printf ("account %s, id %016lx, weight %u\n", account->name,
                (unsigned long)account->account_id, account->weight);
      ctl_table_print (rules, context->options.json);
      ctl_table_destroy (rules);
    }
  bundle_unref (bundle);
  return code;
}

enum ctl_exit
ctl_key_digest (struct ctl_context *context)
{
  uint8_t digest[CACTUS_DIGEST_BYTES];
  char text[2 * CACTUS_DIGEST_BYTES + 1];
  char line[KEY_BYTES_MAX];
  const char *key = context->arguments[1];
  if (strcmp (key, "-") == 0)
    {
      if (!fgets (line, sizeof line, stdin))
        return ctl_fail (CTL_USAGE, "can't read a key from standard input");
      line[strcspn (line, "\r\n")] = '\0';
      key = line;
    }
  if (!*key)
    return ctl_fail (CTL_USAGE, "the key is empty");
  base_digest (digest, key, strlen (key));
  base_hex_write (text, digest, sizeof digest);
  printf (context->options.json ? "{\"digest\":\"%s\"}\n" : "%s\n", text);
  return CTL_OK;
}
