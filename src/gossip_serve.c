#include "gossip.h"

#include <stdlib.h>
#include <string.h>

#include "gossip_state.h"
#include "wire_gossip.h"

/* Whether exchanges are refused because the zone thread is stalled or was
   stalled a short time ago. */
static bool
refuses_exchanges (struct gossip *gossip, uint64_t now_ms)
{
  return now_ms > atomic_load (&gossip->last_round_ms) + GOSSIP_STALL_MS
         || now_ms < atomic_load (&gossip->refuse_until_ms);
}

static void
handle_exchange (struct gossip *gossip, struct wire_call *call)
{
  struct gossip_exchange_args args = { 0 };
  struct gossip_exchange_result result = { 0 };
  uint64_t now_ms = base_clock_now_ms (gossip->clock);
  if (!wire_call_args (call, (xdrproc_t)xdr_gossip_exchange_args, &args))
    {
      wire_call_fail (call);
      goto out;
    }
  if (!refuses_exchanges (gossip, now_ms))
    gossip_core_handle_request (gossip->core, &args, now_ms, &result);
  if (gossip->bundles)
    result.bundle_version = gossip->bundles->version (gossip->bundles);
  wire_call_reply (call, (xdrproc_t)xdr_gossip_exchange_result, &result);
out:
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
}

/* Fills the result with a piece of the document. */
static void
fill_piece (const struct gossip_bundle_args *args, const char *document,
            size_t bytes, struct gossip_bundle_result *result)
{
  bool continues = args->piece_version == result->bundle_version
                   && args->piece_offset < bytes;
  size_t offset = continues ? args->piece_offset : 0;
  size_t piece = MIN (bytes - offset, GOSSIP_PIECE_BYTES);
  result->document_bytes = (u_int)bytes;
  result->document_offset = (u_int)offset;
  result->document.document_len = (u_int)piece;
  result->document.document_val = malloc (piece + 1);
  memcpy (result->document.document_val, document + offset, piece);
}

/* Fills the result with a piece of the active bundle if it is newer than the
   peer's. */
static void
fill_bundle (struct gossip *gossip, const struct gossip_bundle_args *args,
             struct gossip_bundle_result *result)
{
  size_t bytes = 0;
  if (!gossip->bundles || strcmp (args->cluster, gossip->cluster) != 0)
    return;
  result->bundle_version = gossip->bundles->version (gossip->bundles);
  if (result->bundle_version <= args->have_version)
    return;
  char *document = gossip->bundles->document (gossip->bundles, &bytes);
  if (document)
    fill_piece (args, document, bytes, result);
  g_free (document);
}

static void
handle_bundle (struct gossip *gossip, struct wire_call *call)
{
  struct gossip_bundle_args args = { 0 };
  struct gossip_bundle_result result = { 0 };
  if (!wire_call_args (call, (xdrproc_t)xdr_gossip_bundle_args, &args))
    {
      wire_call_fail (call);
      goto out;
    }
  fill_bundle (gossip, &args, &result);
  wire_call_reply (call, (xdrproc_t)xdr_gossip_bundle_result, &result);
out:
  xdr_free ((xdrproc_t)xdr_gossip_bundle_args, (char *)&args);
  xdr_free ((xdrproc_t)xdr_gossip_bundle_result, (char *)&result);
}

void
gossip_handle_call (struct gossip *gossip, struct wire_call *call)
{
  switch (wire_call_procedure (call))
    {
    case GOSSIP_EXCHANGE:
      handle_exchange (gossip, call);
      break;
    case GOSSIP_BUNDLE:
      handle_bundle (gossip, call);
      break;
    default:
      wire_call_fail (call);
      break;
    }
}
