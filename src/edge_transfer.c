#include "edge_transfer.h"

struct edge_transfer
{
  uint64_t from_version;
  /* 0 while the transfer is not begun. */
  uint64_t to_version;
  uint64_t digest;
  uint32_t total_bytes;
  GByteArray *bytes;
  uint32_t calls;
  uint64_t began_ms;
};

struct edge_transfer *
edge_transfer_create (void)
{
  struct edge_transfer *transfer = g_new0 (struct edge_transfer, 1);
  transfer->bytes = g_byte_array_new ();
  return transfer;
}

void
edge_transfer_destroy (struct edge_transfer *transfer)
{
  if (!transfer)
    return;
  g_byte_array_unref (transfer->bytes);
  g_free (transfer);
}

void
edge_transfer_reset (struct edge_transfer *transfer)
{
  g_byte_array_set_size (transfer->bytes, 0);
  transfer->from_version = 0;
  transfer->to_version = 0;
  transfer->calls = 0;
}

bool
edge_transfer_is_begun (const struct edge_transfer *transfer)
{
  return transfer->to_version != 0;
}

void
edge_transfer_fill_call (struct edge_transfer *transfer, uint64_t held_version,
                         uint64_t now_ms, struct control_fetch_args *args)
{
  if (transfer->calls++ == 0)
    transfer->began_ms = now_ms;
  args->from_version = edge_transfer_is_begun (transfer)
                           ? transfer->from_version
                           : held_version;
  args->to_version = transfer->to_version;
  args->digest = transfer->digest;
  args->offset = transfer->bytes->len;
}

/* Whether the result continues the transfer, or begins one to a document newer
   than @p newer_than. */
static bool
is_expected (const struct edge_transfer *transfer, uint64_t newer_than,
             const struct control_fetch_result *result)
{
  if (!edge_transfer_is_begun (transfer))
    return result->to_version > newer_than;
  return result->to_version == transfer->to_version
         && result->digest == transfer->digest
         && result->transfer_bytes == transfer->total_bytes;
}

enum edge_transfer_outcome
edge_transfer_add (struct edge_transfer *transfer, uint64_t newer_than,
                   const struct control_fetch_result *result)
{
  guint received = transfer->bytes->len;
  if (!is_expected (transfer, newer_than, result)
      || result->piece.piece_len == 0
      || received + result->piece.piece_len > result->transfer_bytes)
    {
      edge_transfer_reset (transfer);
      return EDGE_TRANSFER_MISFIT;
    }
  transfer->from_version = result->from_version;
  transfer->to_version = result->to_version;
  transfer->digest = result->digest;
  transfer->total_bytes = result->transfer_bytes;
  g_byte_array_append (transfer->bytes,
                       (const guint8 *)result->piece.piece_val,
                       result->piece.piece_len);
  return transfer->bytes->len == transfer->total_bytes ? EDGE_TRANSFER_COMPLETE
                                                       : EDGE_TRANSFER_MORE;
}

uint64_t
edge_transfer_from_version (const struct edge_transfer *transfer)
{
  return transfer->from_version;
}

uint64_t
edge_transfer_to_version (const struct edge_transfer *transfer)
{
  return transfer->to_version;
}

const GByteArray *
edge_transfer_bytes (const struct edge_transfer *transfer)
{
  return transfer->bytes;
}

uint32_t
edge_transfer_calls (const struct edge_transfer *transfer)
{
  return transfer->calls;
}

uint64_t
edge_transfer_began_ms (const struct edge_transfer *transfer)
{
  return transfer->began_ms;
}
