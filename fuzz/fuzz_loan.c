/** @file
 *  Fuzzes messages about loans: any datagram is decoded or refused, and what a
 *  lender has lent never exceeds its lease. */

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "edge_borrower.h"
#include "edge_lender.h"

/** The fuzz target, as libFuzzer calls it. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

#define LEASED_TOKENS 100000
#define NOW_MS 1000

static void
drop_message (struct edge_loan_sender *sender,
              const struct edge_loan_endpoint *to,
              const struct loan_message *message)
{
  (void)sender;
  (void)to;
  if (!message->account)
    abort ();
}

static void
drop_decision (struct edge_borrower_callbacks *callbacks, void *context,
               const char *lender, enum edge_borrower_outcome outcome)
{
  (void)callbacks;
  (void)context;
  (void)lender;
  (void)outcome;
}

/* Gives the router a lease of account "a". */
static void
lease (struct edge_prepaid *prepaid)
{
  struct control_lease_args args = { 0 };
  struct control_lease_line line = { .account = (char *)"a",
                                     .granted_tokens = LEASED_TOKENS,
                                     .total_tokens = 10 * LEASED_TOKENS,
                                     .unspent_tokens = 10 * LEASED_TOKENS,
                                     .known = true };
  struct control_lease_result result = { .lines = { 1, &line } };
  edge_prepaid_reserve (prepaid, "a", 1, 0, NOW_MS);
  edge_prepaid_fill_call (prepaid, NOW_MS, false, &args);
  edge_prepaid_apply_result (prepaid, &result, NOW_MS);
  xdr_free ((xdrproc_t)xdr_control_lease_args, (char *)&args);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  const struct edge_loan_endpoint endpoint = { 0, 1 };
  struct edge_loan_sender sender = { drop_message };
  struct edge_borrower_callbacks callbacks = { drop_decision };
  struct edge_prepaid *prepaid = edge_prepaid_create ();
  struct edge_lender *lender = edge_lender_create (prepaid, &sender);
  struct edge_borrower *borrower = edge_borrower_create (&sender, &callbacks);
  lease (prepaid);
  edge_borrower_ask (borrower, "r", &endpoint, "a", 10, NULL, NOW_MS);
  /* Each datagram follows its length in one byte. */
  for (size_t at = 0; at < bytes;)
    {
      size_t length = MIN (data[at], bytes - at - 1);
      struct loan_message message = { 0 };
      XDR stream;
      uint64_t reserved, spent;
      char *copy = g_memdup2 (data + at + 1, length);
      xdrmem_create (&stream, copy, (u_int)length, XDR_DECODE);
      if (xdr_loan_message (&stream, &message))
        {
          edge_lender_handle (lender, &message, &endpoint, false, NOW_MS);
          edge_borrower_handle (borrower, &message, NOW_MS);
        }
      xdr_destroy (&stream);
      xdr_free ((xdrproc_t)xdr_loan_message, (char *)&message);
      g_free (copy);
      edge_prepaid_get_totals (prepaid, "a", &reserved, &spent);
      if (reserved + spent > LEASED_TOKENS)
        abort ();
      at += length + 1;
    }
  edge_borrower_destroy (borrower);
  edge_lender_destroy (lender);
  edge_prepaid_destroy (prepaid);
  return 0;
}
