#include "control_lessee.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "escrow_allowance.h"

/* Error allowed for the clocks of hosts, in ms.  A clock that was stepped only
   makes an age longer, since an age is taken from the earlier to the later of
   two hosts' times. */
#define CLOCK_ERROR_MS 200

struct control_lessee *
control_lessee_create (uint64_t incarnation)
{
  struct control_lessee *lessee = g_new0 (struct control_lessee, 1);
  lessee->incarnation = incarnation;
  lessee->last.answer.leader_address = strdup ("");
  lessee->last.answer.text = strdup ("");
  lessee->holdings
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return lessee;
}

void
control_lessee_destroy (struct control_lessee *lessee)
{
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&lessee->last);
  g_hash_table_unref (lessee->holdings);
  g_free (lessee);
}

void
control_lessee_record_call (struct control_lessee *lessee, uint64_t wall_ms)
{
  lessee->former_called_ms = lessee->called_ms;
  lessee->called_ms = wall_ms;
}

struct control_holding *
control_lessee_ensure_holding (struct control_lessee *lessee,
                               const char *account)
{
  struct control_holding *holding
      = g_hash_table_lookup (lessee->holdings, account);
  if (!holding)
    {
      holding = g_new0 (struct control_holding, 1);
      g_hash_table_insert (lessee->holdings, g_strdup (account), holding);
    }
  return holding;
}

static uint64_t
age_ms (uint64_t since_ms, uint64_t wall_ms)
{
  return (wall_ms > since_ms ? wall_ms - since_ms : 0) + CLOCK_ERROR_MS;
}

/* The router may have missed the last answer and used tokens under the one
   before; the larger of the two bounds counts. */
uint64_t
control_lessee_unused_tokens (const struct control_lessee *lessee,
                              const struct control_holding *holding,
                              uint64_t wall_ms)
{
  uint64_t leased = holding->leased_tokens;
  uint64_t free_tokens
      = leased > holding->used_tokens ? leased - holding->used_tokens : 0;
  struct control_holding former = *holding;
  /* A clock was set back since the last call by an unknown amount, so no bound
     can be computed. */
  if (wall_ms + CLOCK_ERROR_MS < lessee->called_ms)
    return 0;
  if (holding->sequence != lessee->last.sequence)
    {
      former.former_used_tokens = holding->used_tokens;
      former.former_free_tokens = free_tokens;
      former.former_tokens_per_s = holding->tokens_per_s;
      former.former_ahead_tokens = holding->ahead_tokens;
    }
  uint64_t most = holding->used_tokens
                  + escrow_allowance (free_tokens, holding->ahead_tokens,
                                      holding->tokens_per_s,
                                      age_ms (lessee->called_ms, wall_ms));
  uint64_t former_most
      = former.former_used_tokens
        + escrow_allowance (former.former_free_tokens,
                            former.former_ahead_tokens,
                            former.former_tokens_per_s,
                            age_ms (lessee->former_called_ms, wall_ms));
  most = MAX (most, former_most);
  return leased > most ? leased - most : 0;
}

void
control_lease_copy (const struct control_lease_result *from,
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

static void
save_holdings (const struct control_lessee *lessee,
               struct control_lessee_image *image,
               struct control_lessee_report_image *reports)
{
  GHashTableIter iterator;
  gpointer name, value;
  u_int i = 0;
  image->holdings.holdings_len = g_hash_table_size (lessee->holdings);
  image->holdings.holdings_val = calloc (image->holdings.holdings_len + 1,
                                         sizeof *image->holdings.holdings_val);
  reports->holdings.holdings_len = image->holdings.holdings_len;
  reports->holdings.holdings_val
      = calloc (image->holdings.holdings_len + 1,
                sizeof *reports->holdings.holdings_val);
  g_hash_table_iter_init (&iterator, lessee->holdings);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      const struct control_holding *holding = value;
      struct control_holding_report_image *report
          = &reports->holdings.holdings_val[i];
      struct control_holding_image *to = &image->holdings.holdings_val[i++];
      report->spent_tokens = holding->spent_tokens;
      report->ahead_tokens = holding->ahead_tokens;
      report->former_ahead_tokens = holding->former_ahead_tokens;
      to->account = strdup (name);
      to->leased_tokens = holding->leased_tokens;
      to->used_tokens = holding->used_tokens;
      to->former_used_tokens = holding->former_used_tokens;
      to->former_free_tokens = holding->former_free_tokens;
      to->tokens_per_s = holding->tokens_per_s;
      to->former_tokens_per_s = holding->former_tokens_per_s;
      to->sequence = holding->sequence;
    }
}

void
control_lessee_save (const struct control_lessee *lessee,
                     struct control_lessee_image *image,
                     struct control_lessee_report_image *reports)
{
  image->incarnation = lessee->incarnation;
  image->called_ms = lessee->called_ms;
  image->former_called_ms = lessee->former_called_ms;
  control_lease_copy (&lessee->last, &image->last);
  save_holdings (lessee, image, reports);
}

static void
load_report (struct control_holding *holding,
             const struct control_holding_report_image *report)
{
  holding->spent_tokens = report->spent_tokens;
  holding->ahead_tokens = report->ahead_tokens;
  holding->former_ahead_tokens = report->former_ahead_tokens;
}

struct control_lessee *
control_lessee_load (const struct control_lessee_image *image,
                     const struct control_lessee_report_image *reports)
{
  struct control_lessee *lessee = control_lessee_create (image->incarnation);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&lessee->last);
  control_lease_copy (&image->last, &lessee->last);
  lessee->called_ms = image->called_ms;
  lessee->former_called_ms = image->former_called_ms;
  for (u_int i = 0; i < image->holdings.holdings_len; i++)
    {
      const struct control_holding_image *from
          = &image->holdings.holdings_val[i];
      struct control_holding *holding
          = control_lessee_ensure_holding (lessee, from->account);
      *holding = (struct control_holding){
        .leased_tokens = from->leased_tokens,
        .used_tokens = from->used_tokens,
        .former_used_tokens = from->former_used_tokens,
        .former_free_tokens = from->former_free_tokens,
        .tokens_per_s = from->tokens_per_s,
        .former_tokens_per_s = from->former_tokens_per_s,
        .ahead_tokens = CONTROL_AHEAD_UNKNOWN,
        .former_ahead_tokens = CONTROL_AHEAD_UNKNOWN,
        .sequence = from->sequence,
      };
      if (reports && i < reports->holdings.holdings_len)
        load_report (holding, &reports->holdings.holdings_val[i]);
    }
  return lessee;
}
