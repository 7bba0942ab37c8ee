#ifndef CONTROL_LESSEE_H
#define CONTROL_LESSEE_H

/** @file
 *  Leases of one router: for each account, the prepaid tokens leased to it and
 *  its reports of their use.  Deterministic, no I/O. */

#include <stdint.h>

#include <glib.h>

#include "wire_control.h"

/** Announced use of a router of protocol version 2, which did not report it:
 *  the router may use all that it holds. */
#define CONTROL_AHEAD_UNKNOWN UINT64_MAX

/** A router that leases tokens. */
struct control_lessee
{
  uint64_t incarnation;
  /** Last answer, sent again when the call is repeated. */
  struct control_lease_result last;
  /** Times of the last call and the one before it, in ms since the Unix epoch:
   *  when the call was applied, or when it was sent by the router's clock if
   *  that is earlier. */
  uint64_t called_ms;
  uint64_t former_called_ms;
  /** struct control_holding by account. */
  GHashTable *holdings;
};

/** A router's lease of one account. */
struct control_holding
{
  uint64_t leased_tokens;
  /** Tokens used as of the last report. */
  uint64_t used_tokens;
  /** Tokens used and free tokens as of the report before. */
  uint64_t former_used_tokens;
  uint64_t former_free_tokens;
  /** Demand of the callers, in tokens per second, as of the last report. */
  uint64_t tokens_per_s;
  /** Demand as of the report before. */
  uint64_t former_tokens_per_s;
  /** Part of the used tokens as of the last report: those of ended requests.
   */
  uint64_t spent_tokens;
  /** Tokens whose use the last report announced, and the report before. */
  uint64_t ahead_tokens;
  uint64_t former_ahead_tokens;
  /** Sequence number of the call with the last report. */
  uint64_t sequence;
};

/** Creates a lessee without leases. */
struct control_lessee *control_lessee_create (uint64_t incarnation);
/** Frees the lessee. */
void control_lessee_destroy (struct control_lessee *lessee);
/** Records the time of a call. */
void control_lessee_record_call (struct control_lessee *lessee,
                                 uint64_t wall_ms);
/** Finds the holding of an account, or creates it. */
struct control_holding *
control_lessee_ensure_holding (struct control_lessee *lessee,
                               const char *account);
/** Tokens of the holding that the router can't have used if its process ended
 *  at or before @p wall_ms. */
uint64_t control_lessee_unused_tokens (const struct control_lessee *lessee,
                                       const struct control_holding *holding,
                                       uint64_t wall_ms);
/** Fills in the lessee's parts of a snapshot, which are freed with it. */
void control_lessee_save (const struct control_lessee *lessee,
                          struct control_lessee_image *image,
                          struct control_lessee_report_image *reports);
/** Creates a lessee from its parts of a snapshot; @p reports is NULL for a
 *  snapshot of an older build. */
struct control_lessee *
control_lessee_load (const struct control_lessee_image *image,
                     const struct control_lessee_report_image *reports);
/** Copies an answer; the caller frees it with xdr_free. */
void control_lease_copy (const struct control_lease_result *from,
                         struct control_lease_result *to);

#endif
