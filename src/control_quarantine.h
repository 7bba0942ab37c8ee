#ifndef CONTROL_QUARANTINE_H
#define CONTROL_QUARANTINE_H

/** @file
 *  Prompt parts, and whole requests, that crash targets.  Routers report
 *  crashes and what is sound.
 *
 *  A part crashes a target whose process ended while it began a response on
 *  it, and is sound when a response on it was completed.  It is blocked for a
 *  client account after three crashes at different times under requests of
 *  that account, without a completed response of any account in between, and
 *  for all accounts once it is blocked for two.  Crashes at any moment of a
 *  response count as well, whatever the account; see control_turns.h.  Crashes
 *  under what is blocked count for no other part.
 *
 *  A request is known by a digest of its account, path and body.  All that a
 *  target had begun or not yet begun when its process ended are suspected.
 *  Three crashes without a complete response in between block it, and after
 *  each block one router may try it once.
 *
 *  Memory is bounded.  Deterministic, no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

/** Crashes that block a part or request. */
#define CONTROL_QUARANTINE_CRASHES 3

struct control_quarantine;

/** Creates an empty quarantine. */
struct control_quarantine *control_quarantine_create (void);
/** Frees the quarantine; NULL is allowed. */
void control_quarantine_destroy (struct control_quarantine *quarantine);
/** Applies a router's reports, sent at @p sent_ms by its clock; @p wall_ms is
 *  the replicated time. */
void control_quarantine_report (struct control_quarantine *quarantine,
                                const struct control_part_reports *reports,
                                uint64_t sent_ms, uint64_t wall_ms);
/** Applies a router's reports on requests in the same way, and fills in the
 *  trials of the result, which are freed with it. */
void control_quarantine_call (struct control_quarantine *quarantine,
                              const struct control_request_reports *reports,
                              uint64_t sent_ms, uint64_t wall_ms,
                              struct control_router_result *result);
/** Version of the list, which grows with each change; 0 when nothing was ever
 *  suspected. */
uint64_t
control_quarantine_version (const struct control_quarantine *quarantine);
/** Stores what is suspected and blocked in a list that is freed with the
 *  message. */
void control_quarantine_list (const struct control_quarantine *quarantine,
                              uint64_t wall_ms,
                              struct control_suspects *suspects);
/** Fills in the quarantine's parts of a snapshot, which are freed with it. */
void control_quarantine_save (const struct control_quarantine *quarantine,
                              struct control_quarantine_image *image,
                              struct control_routers_image *routers);
/** Reads the quarantine's parts of a snapshot into an empty quarantine. */
void control_quarantine_load (struct control_quarantine *quarantine,
                              const struct control_quarantine_image *image,
                              const struct control_routers_image *routers);

#endif
