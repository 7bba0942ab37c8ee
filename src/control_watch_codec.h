#ifndef CONTROL_WATCH_CODEC_H
#define CONTROL_WATCH_CODEC_H

/** @file
 *  Arguments and result of CONTROL_WATCH with what follows them between
 *  processes that know evacuations.  Others read what they know and ignore the
 *  rest; what they send ends before it. */

#include <stdbool.h>

#include "wire_control.h"

/** Arguments of a watch call. */
struct control_watch_call
{
  struct control_watch_args args;
  /** Unset unless has_evacuations. */
  struct control_evacuations_known evacuations;
  bool has_evacuations;
};

/** Result of a watch call. */
struct control_watch_answer
{
  struct control_watch_result result;
  /** Unset unless has_evacuations. */
  struct control_evacuations evacuations;
  bool has_evacuations;
};

/** Codec of struct control_watch_call. */
bool_t xdr_control_watch_call (XDR *stream, struct control_watch_call *call);
/** Codec of struct control_watch_answer. */
bool_t xdr_control_watch_answer (XDR *stream,
                                 struct control_watch_answer *answer);

#endif
