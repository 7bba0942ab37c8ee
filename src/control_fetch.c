#include "control_fetch.h"

#include <stdlib.h>
#include <string.h>

#include "base_hash.h"
#include "control_internal.h"

/* Names the transfer that a call begins or continues; to_version 0 means that
   there is nothing newer. */
static void
name_transfer (const struct control_documents *documents,
               const struct control_fetch_args *args,
               struct control_fetch_result *result)
{
  uint64_t newest = control_documents_version (documents);
  result->from_version = args->from_version;
  result->to_version = args->to_version;
  if (args->to_version != 0 || newest <= args->from_version)
    return;
  result->to_version = newest;
  if (!control_documents_has (documents, args->from_version))
    result->from_version = 0;
}

static void
fill_piece (struct control_fetch_result *result, GBytes *transfer,
            uint32_t offset)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (transfer, &size);
  gsize start = MIN (offset, size);
  gsize bytes = MIN (size - start, CONTROL_FETCH_PIECE_BYTES);
  result->transfer_bytes = (u_int)size;
  result->piece.piece_len = (u_int)bytes;
  result->piece.piece_val = malloc (bytes + 1);
  memcpy (result->piece.piece_val, data + start, bytes);
}

static void
fill_result (struct control_daemon *daemon,
             const struct control_fetch_args *args,
             struct control_fetch_result *result)
{
  struct control_documents *documents
      = control_state_documents (daemon->state);
  name_transfer (documents, args, result);
  if (result->to_version == 0)
    return;
  GBytes *transfer = control_documents_transfer (
      documents, result->from_version, result->to_version);
  gsize size = 0;
  const void *data = transfer ? g_bytes_get_data (transfer, &size) : NULL;
  result->digest = base_hash64 (data, size);
  if (!transfer || (args->to_version != 0 && args->digest != result->digest))
    {
      result->answer.status = CONTROL_NOT_FOUND;
      return;
    }
  fill_piece (result, transfer, args->offset);
  base_counter_add (daemon->counters.document_bytes, result->piece.piece_len);
}

void
control_fetch_handle (struct control_daemon *daemon, struct wire_call *call,
                      const struct control_fetch_args *args)
{
  struct control_fetch_result result = { 0 };
  result.answer.leader_address = strdup ("");
  result.answer.text = strdup ("");
  fill_result (daemon, args, &result);
  wire_call_reply (call, (xdrproc_t)xdr_control_fetch_result, &result);
  xdr_free ((xdrproc_t)xdr_control_fetch_result, (char *)&result);
}
