#include "control_prepaid.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Tokens of one account. */
struct account
{
  uint64_t total_tokens;
  uint64_t leased_tokens;
  /* Asked for by callers at all routers so far. */
  uint64_t demand_tokens;
  /* Named by the configuration in force. */
  bool known;
};

/* A router's last call and its answer, for a repeated call. */
struct lessee
{
  uint64_t incarnation;
  struct control_lease_result last;
};

struct control_prepaid
{
  /* struct account by name. */
  GHashTable *accounts;
  /* struct lessee by the router's name. */
  GHashTable *lessees;
};

static void
free_lessee (gpointer data)
{
  struct lessee *lessee = data;
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&lessee->last);
  g_free (lessee);
}

struct control_prepaid *
control_prepaid_create (void)
{
  struct control_prepaid *prepaid = g_new0 (struct control_prepaid, 1);
  prepaid->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  prepaid->lessees
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_lessee);
  return prepaid;
}

void
control_prepaid_destroy (struct control_prepaid *prepaid)
{
  if (!prepaid)
    return;
  g_hash_table_unref (prepaid->accounts);
  g_hash_table_unref (prepaid->lessees);
  g_free (prepaid);
}

static struct account *
find_account (struct control_prepaid *prepaid, const char *name)
{
  struct account *account = g_hash_table_lookup (prepaid->accounts, name);
  if (!account)
    {
      account = g_new0 (struct account, 1);
      g_hash_table_insert (prepaid->accounts, g_strdup (name), account);
    }
  return account;
}

void
control_prepaid_set_totals (struct control_prepaid *prepaid,
                            const struct control_prepaid_total *totals,
                            uint32_t count)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, prepaid->accounts);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    ((struct account *)value)->known = false;
  for (uint32_t i = 0; i < count; i++)
    {
      struct account *account = find_account (prepaid, totals[i].account);
      account->total_tokens = totals[i].tokens;
      account->known = true;
    }
}

static uint64_t
left_tokens (const struct account *account)
{
  if (!account || !account->known
      || account->leased_tokens >= account->total_tokens)
    return 0;
  return account->total_tokens - account->leased_tokens;
}

/* All that is wanted, or the least that is of use, or nothing: parts too
   small for any request are not scattered over the routers. */
static uint64_t
grant (struct account *account, const struct control_lease_ask *ask)
{
  uint64_t left = left_tokens (account);
  uint64_t granted = 0;
  if (left >= ask->want_tokens)
    granted = ask->want_tokens;
  else if (left >= ask->need_tokens)
    granted = ask->need_tokens;
  account->leased_tokens += granted;
  return granted;
}

static void
lease_line (struct control_prepaid *prepaid,
            const struct control_lease_ask *ask,
            struct control_lease_line *line)
{
  struct account *account = find_account (prepaid, ask->account);
  account->leased_tokens -= MIN (ask->returned_tokens, account->leased_tokens);
  account->demand_tokens += ask->demand_tokens;
  line->demand_tokens = account->demand_tokens;
  line->account = strdup (ask->account);
  line->granted_tokens = grant (account, ask);
  line->total_tokens = account->total_tokens;
  line->left_tokens = left_tokens (account);
  line->known = account->known;
}

static void
copy_result (const struct control_lease_result *from,
             struct control_lease_result *to)
{
  memset (to, 0, sizeof *to);
  to->answer.status = from->answer.status;
  to->answer.leader_address = strdup ("");
  to->answer.text = strdup ("");
  to->sequence = from->sequence;
  to->lines.lines_len = from->lines.lines_len;
  to->lines.lines_val
      = calloc (from->lines.lines_len + 1, sizeof *to->lines.lines_val);
  for (u_int i = 0; i < from->lines.lines_len; i++)
    {
      to->lines.lines_val[i] = from->lines.lines_val[i];
      to->lines.lines_val[i].account
          = strdup (from->lines.lines_val[i].account);
    }
}

/* The router's entry; a new incarnation begins anew. */
static struct lessee *
find_lessee (struct control_prepaid *prepaid,
             const struct control_lease_args *args)
{
  struct lessee *lessee = g_hash_table_lookup (prepaid->lessees, args->router);
  if (lessee && lessee->incarnation == args->router_incarnation)
    return lessee;
  lessee = g_new0 (struct lessee, 1);
  lessee->incarnation = args->router_incarnation;
  lessee->last.answer.leader_address = strdup ("");
  lessee->last.answer.text = strdup ("");
  g_hash_table_replace (prepaid->lessees, g_strdup (args->router), lessee);
  return lessee;
}

void
control_prepaid_lease (struct control_prepaid *prepaid,
                       const struct control_lease_args *args,
                       struct control_lease_result *result)
{
  struct lessee *lessee = find_lessee (prepaid, args);
  if (args->sequence < lessee->last.sequence)
    {
      memset (result, 0, sizeof *result);
      result->answer.status = CONTROL_CONFLICT;
      result->answer.leader_address = strdup ("");
      result->answer.text = strdup ("a later call was applied");
      return;
    }
  if (args->sequence > lessee->last.sequence)
    {
      xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&lessee->last);
      memset (&lessee->last, 0, sizeof lessee->last);
      lessee->last.answer.leader_address = strdup ("");
      lessee->last.answer.text = strdup ("");
      lessee->last.sequence = args->sequence;
      lessee->last.lines.lines_len = args->asks.asks_len;
      lessee->last.lines.lines_val
          = calloc (args->asks.asks_len + 1,
                    sizeof *lessee->last.lines.lines_val);
      for (u_int i = 0; i < args->asks.asks_len; i++)
        lease_line (prepaid, &args->asks.asks_val[i],
                    &lessee->last.lines.lines_val[i]);
    }
  copy_result (&lessee->last, result);
}

uint64_t
control_prepaid_left (const struct control_prepaid *prepaid,
                      const char *account)
{
  return left_tokens (g_hash_table_lookup (prepaid->accounts, account));
}

void
control_prepaid_save (const struct control_prepaid *prepaid,
                      struct control_state_image *image)
{
  GHashTableIter iterator;
  gpointer name, value;
  u_int i = 0;
  image->prepaid.prepaid_len = g_hash_table_size (prepaid->accounts);
  image->prepaid.prepaid_val = calloc (image->prepaid.prepaid_len + 1,
                                       sizeof *image->prepaid.prepaid_val);
  g_hash_table_iter_init (&iterator, prepaid->accounts);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      const struct account *account = value;
      struct control_prepaid_image *to = &image->prepaid.prepaid_val[i++];
      to->account = strdup (name);
      to->total_tokens = account->total_tokens;
      to->leased_tokens = account->leased_tokens;
      to->demand_tokens = account->demand_tokens;
      to->known = account->known;
    }
  i = 0;
  image->lessees.lessees_len = g_hash_table_size (prepaid->lessees);
  image->lessees.lessees_val = calloc (image->lessees.lessees_len + 1,
                                       sizeof *image->lessees.lessees_val);
  g_hash_table_iter_init (&iterator, prepaid->lessees);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      const struct lessee *lessee = value;
      struct control_lessee_image *to = &image->lessees.lessees_val[i++];
      to->router = strdup (name);
      to->incarnation = lessee->incarnation;
      copy_result (&lessee->last, &to->last);
    }
}

void
control_prepaid_load (struct control_prepaid *prepaid,
                      const struct control_state_image *image)
{
  for (u_int i = 0; i < image->prepaid.prepaid_len; i++)
    {
      const struct control_prepaid_image *from
          = &image->prepaid.prepaid_val[i];
      struct account *account = find_account (prepaid, from->account);
      account->total_tokens = from->total_tokens;
      account->leased_tokens = from->leased_tokens;
      account->demand_tokens = from->demand_tokens;
      account->known = from->known;
    }
  for (u_int i = 0; i < image->lessees.lessees_len; i++)
    {
      const struct control_lessee_image *from
          = &image->lessees.lessees_val[i];
      struct lessee *lessee = g_new0 (struct lessee, 1);
      lessee->incarnation = from->incarnation;
      copy_result (&from->last, &lessee->last);
      g_hash_table_replace (prepaid->lessees, g_strdup (from->router),
                            lessee);
    }
}
