#include "ledger_batch.h"

#include <stdlib.h>
#include <string.h>

#include "cactus_config.h"

/* A call that waits for the sync, with its result. */
struct pending_batch
{
  struct wire_call *call;
  struct ledger_batch_result result;
};

struct ledger_batches
{
  /* Elements: struct pending_batch. */
  GArray *pending;
};

struct ledger_batches *
ledger_batches_create (void)
{
  struct ledger_batches *batches = g_new0 (struct ledger_batches, 1);
  batches->pending = g_array_new (FALSE, FALSE, sizeof (struct pending_batch));
  return batches;
}

void
ledger_batches_destroy (struct ledger_batches *batches)
{
  g_array_unref (batches->pending);
  g_free (batches);
}

/* Applies one operation; a fenced ledger refuses reservations. */
static void
apply_op (const struct ledger_batch_context *context,
          uint64_t router_incarnation, const struct ledger_op *op,
          struct ledger_op_result *result)
{
  memset (result, 0, sizeof *result);
  if (context->fenced && op->kind == LEDGER_RESERVE)
    result->status = LEDGER_UNAVAILABLE;
  else
    escrow_ledger_op (context->ledger, router_incarnation, op, context->now_ms,
                      result);
}

/* Applies all operations in one session of the router. */
static void
apply_ops (const struct ledger_batch_context *context,
           const struct ledger_batch_args *args,
           struct ledger_batch_result *result, struct ledger_metrics *metrics)
{
  u_int count = args->ops.ops_len;
  result->results.results_len = count;
  result->results.results_val
      = calloc (count + 1, sizeof (struct ledger_op_result));
  g_assert (result->results.results_val);
  escrow_ledger_open_session (context->ledger, args->router, args->incarnation,
                              context->now_ms);
  for (u_int i = 0; i < count; i++)
    {
      const struct ledger_op *op = &args->ops.ops_val[i];
      struct ledger_op_result *answer = &result->results.results_val[i];
      apply_op (context, args->incarnation, op, answer);
      ledger_metrics_count_op (metrics, op, answer);
    }
}

void
ledger_batches_handle_call (struct ledger_batches *batches,
                            struct wire_call *call,
                            const struct ledger_batch_context *context,
                            struct ledger_metrics *metrics)
{
  struct ledger_batch_args args = { 0 };
  struct pending_batch pending = { .call = call };
  struct ledger_batch_result *result = &pending.result;
  result->ledger_incarnation = context->incarnation;
  result->lease_ms = CACTUS_LEDGER_LEASE_MS;
  if (!wire_call_args (call, (xdrproc_t)xdr_ledger_batch_args, &args))
    {
      wire_call_fail (call);
      return;
    }
  if (!g_str_equal (args.cluster, context->cluster) || !args.router[0]
      || args.incarnation == 0)
    result->status = LEDGER_BAD_REQUEST;
  else if (!context->ledger)
    result->status = LEDGER_UNAVAILABLE;
  else
    apply_ops (context, &args, result, metrics);
  g_array_append_val (batches->pending, pending);
  xdr_free ((xdrproc_t)xdr_ledger_batch_args, (char *)&args);
}

void
ledger_batches_reply (struct ledger_batches *batches, bool committed,
                      uint64_t incarnation)
{
  struct ledger_batch_result refusal = { .status = LEDGER_UNAVAILABLE };
  refusal.ledger_incarnation = incarnation;
  refusal.lease_ms = CACTUS_LEDGER_LEASE_MS;
  for (guint i = 0; i < batches->pending->len; i++)
    {
      struct pending_batch *pending
          = &g_array_index (batches->pending, struct pending_batch, i);
      bool refuse = !committed && pending->result.status == LEDGER_OK;
      wire_call_reply (pending->call, (xdrproc_t)xdr_ledger_batch_result,
                       refuse ? &refusal : &pending->result);
      xdr_free ((xdrproc_t)xdr_ledger_batch_result, (char *)&pending->result);
    }
  g_array_set_size (batches->pending, 0);
}
