#include "control_watch_codec.h"

#include <string.h>

/* Codes what follows a message; a message that ends before it is whole. */
static bool_t
code_rest (XDR *stream, xdrproc_t codec, void *rest, size_t bytes,
           bool *is_set)
{
  if (stream->x_op != XDR_DECODE)
    return !*is_set || codec (stream, rest);
  *is_set = codec (stream, rest);
  if (*is_set)
    return TRUE;
  xdr_free (codec, rest);
  memset (rest, 0, bytes);
  return TRUE;
}

bool_t
xdr_control_watch_call (XDR *stream, struct control_watch_call *call)
{
  return xdr_control_watch_args (stream, &call->args)
         && code_rest (stream, (xdrproc_t)xdr_control_evacuations_known,
                       &call->evacuations, sizeof call->evacuations,
                       &call->has_evacuations);
}

bool_t
xdr_control_watch_answer (XDR *stream, struct control_watch_answer *answer)
{
  return xdr_control_watch_result (stream, &answer->result)
         && code_rest (stream, (xdrproc_t)xdr_control_evacuations,
                       &answer->evacuations, sizeof answer->evacuations,
                       &answer->has_evacuations);
}
