#include "control_prepaid.h"

#include "base_log.h"
#include "control_lessee.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Time for which the other routers are asked to return the tokens that they
   don't need immediately, in ms; several of their calls fall into it. */
#define RECALL_MS 1500

/* Tokens of one account. */
struct account
{
  uint64_t total_tokens;
  uint64_t leased_tokens;
  /* Total demand of the callers of all routers. */
  uint64_t demand_tokens;
  /* Tokens used as of the routers' reports, and tokens that router
     incarnations that ended may have used. */
  uint64_t used_tokens;
  /* Recent demand at all routers, in tokens per second. */
  uint64_t tokens_per_s;
  /* Time at which a router last got less than it needed, in ms since the Unix
     epoch, and the tokens that it lacked. */
  uint64_t short_ms;
  uint64_t short_tokens;
  /* Whether the current configuration lists the account. */
  bool known;
};

struct control_prepaid
{
  /* struct account by name. */
  GHashTable *accounts;
  /* struct control_lessee by the router's name. */
  GHashTable *lessees;
  struct control_write_off write_off;
};

static void
free_lessee (gpointer data)
{
  control_lessee_destroy (data);
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
ensure_account (struct control_prepaid *prepaid, const char *name)
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
      struct account *account = ensure_account (prepaid, totals[i].account);
      account->total_tokens = totals[i].tokens;
      account->known = true;
    }
}

static uint64_t
unleased_tokens (const struct account *account)
{
  if (!account || !account->known
      || account->leased_tokens >= account->total_tokens)
    return 0;
  return account->total_tokens - account->leased_tokens;
}

/* Leases tokens to a router: all that it wants if possible, else half of the
   unleased tokens but at least what it needs, else none, which starts a
   recall. */
static uint64_t
grant (struct account *account, const struct control_lease_ask *ask,
       uint64_t wall_ms)
{
  uint64_t left = unleased_tokens (account);
  uint64_t granted = 0;
  if (left >= ask->want_tokens)
    granted = ask->want_tokens;
  else if (left >= ask->need_tokens)
    granted = MAX (ask->need_tokens, left / 2);
  if (granted < ask->need_tokens)
    {
      account->short_ms = wall_ms;
      account->short_tokens = ask->need_tokens - left;
    }
  account->leased_tokens += granted;
  return granted;
}

/* Applies the router's report and its returns for one account. */
static void
apply_report (struct account *account, struct control_holding *holding,
              const struct control_lease_ask *ask, uint64_t sequence)
{
  uint64_t returned = MIN (ask->returned_tokens, holding->leased_tokens);
  holding->former_used_tokens = holding->used_tokens;
  holding->former_free_tokens
      = holding->leased_tokens
        - MIN (holding->used_tokens, holding->leased_tokens);
  holding->former_tokens_per_s = holding->tokens_per_s;
  holding->former_ahead_tokens = holding->ahead_tokens;
  account->tokens_per_s += ask->tokens_per_s;
  account->tokens_per_s -= MIN (holding->tokens_per_s, account->tokens_per_s);
  holding->tokens_per_s = ask->tokens_per_s;
  holding->sequence = sequence;
  /* Subtracting may lower the total: reservations that ended may have used
     less than was reported before. */
  account->used_tokens += ask->used_tokens;
  account->used_tokens -= MIN (holding->used_tokens, account->used_tokens);
  holding->used_tokens = ask->used_tokens;
  holding->spent_tokens = ask->spent_tokens;
  holding->ahead_tokens = ask->ahead_tokens;
  holding->leased_tokens -= returned;
  account->leased_tokens -= MIN (returned, account->leased_tokens);
  account->demand_tokens += ask->demand_tokens;
}

static void
fill_line (const char *name, const struct account *account, uint64_t wall_ms,
           struct control_lease_line *line)
{
  line->account = strdup (name);
  line->total_tokens = account->total_tokens;
  line->left_tokens = unleased_tokens (account);
  line->demand_tokens = account->demand_tokens;
  line->tokens_per_s = account->tokens_per_s;
  line->known = account->known;
  line->unspent_tokens = account->total_tokens
                         - MIN (account->used_tokens, account->total_tokens);
  if (account->short_ms > 0 && wall_ms < account->short_ms + RECALL_MS)
    {
      line->recalled_tokens = account->short_tokens;
      line->recall_id = account->short_ms;
    }
}

static void
lease_line (struct control_prepaid *prepaid, struct control_lessee *lessee,
            const struct control_lease_ask *ask, uint64_t sequence,
            uint64_t wall_ms, struct control_lease_line *line)
{
  struct account *account = ensure_account (prepaid, ask->account);
  struct control_holding *holding
      = control_lessee_ensure_holding (lessee, ask->account);
  apply_report (account, holding, ask, sequence);
  line->granted_tokens = grant (account, ask, wall_ms);
  holding->leased_tokens += line->granted_tokens;
  fill_line (ask->account, account, wall_ms, line);
}

/* Adds what is written off of a holding, and logs it. */
static void
record_write_off (struct control_prepaid *prepaid, const char *router,
                  const char *account, const struct control_holding *holding,
                  uint64_t unused, int64_t unreported_ms)
{
  uint64_t kept = holding->leased_tokens - unused;
  uint64_t reported = MIN (holding->used_tokens, kept);
  uint64_t spent = MIN (holding->spent_tokens, reported);
  struct control_write_off part = { .open_tokens = reported - spent,
                                    .unreported_tokens = kept - reported };
  prepaid->write_off.open_tokens += part.open_tokens;
  prepaid->write_off.unreported_tokens += part.unreported_tokens;
  base_log (BASE_LOG_INFO,
            "lease-reclaimed router=%s account=%s unused_tokens=%lu "
            "leased_tokens=%lu used_tokens=%lu spent_tokens=%lu "
            "open_tokens=%lu unreported_tokens=%lu ahead_tokens=%lu "
            "tokens_per_s=%lu unreported_ms=%ld",
            router, account, (unsigned long)unused,
            (unsigned long)holding->leased_tokens,
            (unsigned long)holding->used_tokens, (unsigned long)spent,
            (unsigned long)part.open_tokens,
            (unsigned long)part.unreported_tokens,
            (unsigned long)holding->ahead_tokens,
            (unsigned long)holding->tokens_per_s, (long)unreported_ms);
}

/* Frees the tokens that a router's previous incarnation can't have used.  The
   new incarnation started by @p started_ms at the latest. */
static void
reclaim_unused (struct control_prepaid *prepaid, const char *router,
                const struct control_lessee *lessee, uint64_t started_ms)
{
  GHashTableIter iterator;
  gpointer name, value;
  g_hash_table_iter_init (&iterator, lessee->holdings);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      struct account *account = ensure_account (prepaid, name);
      const struct control_holding *holding = value;
      uint64_t unused
          = control_lessee_unused_tokens (lessee, holding, started_ms);
      record_write_off (prepaid, router, name, holding, unused,
                        (int64_t)(started_ms - lessee->called_ms));
      account->leased_tokens -= MIN (unused, account->leased_tokens);
      account->tokens_per_s
          -= MIN (holding->tokens_per_s, account->tokens_per_s);
      account->used_tokens += holding->leased_tokens - unused;
      account->used_tokens -= MIN (holding->used_tokens, account->used_tokens);
    }
}

/* Returns the router's lessee, and creates a new one for a new incarnation.
   Returns NULL for an earlier incarnation, whose calls may arrive late. */
static struct control_lessee *
admit_lessee (struct control_prepaid *prepaid,
              const struct control_lease_args *args, uint64_t wall_ms)
{
  struct control_lessee *lessee
      = g_hash_table_lookup (prepaid->lessees, args->router);
  if (lessee && lessee->incarnation == args->router_incarnation)
    return lessee;
  uint64_t now_ms = MAX (wall_ms, args->sent_ms);
  if (lessee && args->router_incarnation < lessee->incarnation)
    return NULL;
  if (lessee)
    reclaim_unused (prepaid, args->router, lessee,
                    now_ms - MIN (args->uptime_ms, now_ms));
  lessee = control_lessee_create (args->router_incarnation);
  g_hash_table_replace (prepaid->lessees, g_strdup (args->router), lessee);
  return lessee;
}

/* Adds lines for recalls of accounts whose unused tokens the router holds but
   that its call did not list. */
static void
add_notices (struct control_prepaid *prepaid, struct control_lessee *lessee,
             uint64_t sequence, uint64_t wall_ms,
             struct control_lease_result *result)
{
  GHashTableIter iterator;
  gpointer name, value;
  g_hash_table_iter_init (&iterator, lessee->holdings);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      const struct control_holding *holding = value;
      const struct account *account = ensure_account (prepaid, name);
      if (holding->sequence == sequence
          || holding->leased_tokens <= holding->used_tokens
          || account->short_ms == 0 || wall_ms >= account->short_ms + RECALL_MS
          || result->lines.lines_len == CONTROL_BATCH_MAX)
        continue;
      struct control_lease_line *line
          = &result->lines.lines_val[result->lines.lines_len++];
      fill_line (name, account, wall_ms, line);
      line->notice = true;
    }
}

static void
apply_asks (struct control_prepaid *prepaid, struct control_lessee *lessee,
            const struct control_lease_args *args, uint64_t wall_ms)
{
  struct control_lease_result *last = &lessee->last;
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)last);
  memset (last, 0, sizeof *last);
  last->answer.leader_address = strdup ("");
  last->answer.text = strdup ("");
  last->sequence = args->sequence;
  last->lines.lines_len = args->asks.asks_len;
  last->lines.lines_val
      = calloc (args->asks.asks_len + g_hash_table_size (lessee->holdings) + 1,
                sizeof *last->lines.lines_val);
  for (u_int i = 0; i < args->asks.asks_len; i++)
    lease_line (prepaid, lessee, &args->asks.asks_val[i], args->sequence,
                wall_ms, &last->lines.lines_val[i]);
  add_notices (prepaid, lessee, args->sequence, wall_ms, last);
}

static void
refuse (struct control_lease_result *result, enum control_status status,
        const char *text)
{
  memset (result, 0, sizeof *result);
  result->answer.status = status;
  result->answer.leader_address = strdup ("");
  result->answer.text = strdup (text);
}

/* Refuses a call of an incarnation that a later one of the router replaced. */
static void
refuse_previous_incarnation (const struct control_prepaid *prepaid,
                             const struct control_lease_args *args,
                             struct control_lease_result *result)
{
  const struct control_lessee *lessee
      = g_hash_table_lookup (prepaid->lessees, args->router);
  base_log (BASE_LOG_WARNING,
            "lease-late router=%s incarnation=%lu latest=%lu sequence=%lu",
            args->router, (unsigned long)args->router_incarnation,
            (unsigned long)lessee->incarnation, (unsigned long)args->sequence);
  refuse (result, CONTROL_FENCED,
          "a later incarnation of the router has called");
  result->router_incarnation = lessee->incarnation;
}

bool
control_prepaid_lease (struct control_prepaid *prepaid,
                       const struct control_lease_args *args, uint64_t wall_ms,
                       struct control_lease_result *result)
{
  struct control_lessee *lessee = admit_lessee (prepaid, args, wall_ms);
  if (!lessee)
    {
      refuse_previous_incarnation (prepaid, args, result);
      return false;
    }
  if (args->sequence < lessee->last.sequence)
    {
      refuse (result, CONTROL_CONFLICT,
              "a later call of the router was applied");
      return false;
    }
  bool is_new = args->sequence > lessee->last.sequence;
  if (is_new)
    {
      apply_asks (prepaid, lessee, args, wall_ms);
      control_lessee_record_call (lessee, MIN (wall_ms, args->sent_ms));
    }
  control_lease_copy (&lessee->last, result);
  return is_new;
}

/* Copies a call of protocol version 2, which tells no announced use. */
static struct control_lease_ask *
copy_asks_2 (const struct control_lease_args_2 *args)
{
  struct control_lease_ask *asks
      = g_new0 (struct control_lease_ask, args->asks.asks_len);
  for (u_int i = 0; i < args->asks.asks_len; i++)
    {
      const struct control_lease_ask_2 *from = &args->asks.asks_val[i];
      asks[i] = (struct control_lease_ask){
        .account = from->account,
        .want_tokens = from->want_tokens,
        .need_tokens = from->need_tokens,
        .returned_tokens = from->returned_tokens,
        .demand_tokens = from->demand_tokens,
        .used_tokens = from->used_tokens,
        .tokens_per_s = from->tokens_per_s,
        .ahead_tokens = CONTROL_AHEAD_UNKNOWN,
      };
    }
  return asks;
}

void
control_prepaid_lease_2 (struct control_prepaid *prepaid,
                         const struct control_lease_args_2 *args,
                         uint64_t wall_ms, struct control_lease_result *result)
{
  struct control_lease_args copy = {
    .cluster = args->cluster,
    .router = args->router,
    .router_incarnation = args->router_incarnation,
    .sequence = args->sequence,
    .sent_ms = args->sent_ms,
    .uptime_ms = args->uptime_ms,
    .asks = { args->asks.asks_len, copy_asks_2 (args) },
  };
  control_prepaid_lease (prepaid, &copy, wall_ms, result);
  g_free (copy.asks.asks_val);
}

const struct control_write_off *
control_prepaid_write_off (const struct control_prepaid *prepaid)
{
  return &prepaid->write_off;
}

uint64_t
control_prepaid_unleased_tokens (const struct control_prepaid *prepaid,
                                 const char *account)
{
  return unleased_tokens (g_hash_table_lookup (prepaid->accounts, account));
}

void
control_prepaid_save (const struct control_prepaid *prepaid,
                      struct control_state_image *image,
                      struct control_reports_image *reports)
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
      to->used_tokens = account->used_tokens;
      to->tokens_per_s = account->tokens_per_s;
      to->short_ms = account->short_ms;
      to->short_tokens = account->short_tokens;
      to->known = account->known;
    }
  i = 0;
  image->lessees.lessees_len = g_hash_table_size (prepaid->lessees);
  image->lessees.lessees_val = calloc (image->lessees.lessees_len + 1,
                                       sizeof *image->lessees.lessees_val);
  reports->write_off = prepaid->write_off;
  reports->lessees.lessees_len = image->lessees.lessees_len;
  reports->lessees.lessees_val = calloc (image->lessees.lessees_len + 1,
                                         sizeof *reports->lessees.lessees_val);
  g_hash_table_iter_init (&iterator, prepaid->lessees);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      struct control_lessee_image *to = &image->lessees.lessees_val[i];
      to->router = strdup (name);
      control_lessee_save (value, to, &reports->lessees.lessees_val[i]);
      i++;
    }
}

void
control_prepaid_load (struct control_prepaid *prepaid,
                      const struct control_state_image *image,
                      const struct control_reports_image *reports)
{
  for (u_int i = 0; i < image->prepaid.prepaid_len; i++)
    {
      const struct control_prepaid_image *from
          = &image->prepaid.prepaid_val[i];
      struct account *account = ensure_account (prepaid, from->account);
      account->total_tokens = from->total_tokens;
      account->leased_tokens = from->leased_tokens;
      account->demand_tokens = from->demand_tokens;
      account->used_tokens = from->used_tokens;
      account->tokens_per_s = from->tokens_per_s;
      account->short_ms = from->short_ms;
      account->short_tokens = from->short_tokens;
      account->known = from->known;
    }
  for (u_int i = 0; i < image->lessees.lessees_len; i++)
    {
      const struct control_lessee_image *from = &image->lessees.lessees_val[i];
      const struct control_lessee_report_image *report
          = reports && i < reports->lessees.lessees_len
                ? &reports->lessees.lessees_val[i]
                : NULL;
      g_hash_table_replace (prepaid->lessees, g_strdup (from->router),
                            control_lessee_load (from, report));
    }
  if (reports)
    prepaid->write_off = reports->write_off;
}
