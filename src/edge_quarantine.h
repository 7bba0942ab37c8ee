#ifndef EDGE_QUARANTINE_H
#define EDGE_QUARANTINE_H

/** @file
 *  A router's part in the quarantine of prompt parts and requests that crash
 *  targets: finds out under which of them targets crashed, reports them to
 *  control, and tells which requests to reject.
 *
 *  A lost attempt counts as a crash when the target closed the connection and
 *  its port then refuses connections.  Its request is suspected if the
 *  response had not begun or just begun; the parts of its prompt at any moment
 *  for all accounts together, and for its account if the response had just
 *  begun, where its last part, which belongs to one request, is left out.
 *
 *  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "place.h"
#include "wire_control.h"

struct edge_quarantine;

/** Whether a request may be sent. */
enum edge_quarantine_verdict
{
  EDGE_QUARANTINE_FREE,
  EDGE_QUARANTINE_BLOCKED,
  /** Only with a trial, for which control must be asked. */
  EDGE_QUARANTINE_NEEDS_TRIAL
};

/** A request whose target closed the connection. */
struct edge_quarantine_loss
{
  const char *target;
  /** "" for none. */
  const char *account;
  /** See edge_request_digest. */
  uint64_t digest;
  uint64_t sent_ms;
};

/** Creates a quarantine that knows no parts. */
struct edge_quarantine *edge_quarantine_create (void);
/** Destroys the quarantine; NULL is allowed. */
void edge_quarantine_destroy (struct edge_quarantine *quarantine);
/** Records that the target @p name closed the connection of a request of
 *  @p account ("" for none) whose response had just begun.  The parts are
 *  suspected only if edge_quarantine_confirm follows. */
void edge_quarantine_note_lost (struct edge_quarantine *quarantine,
                                const char *name, const char *account,
                                const struct place_request *placement,
                                uint64_t now_ms);
/** Records that the target closed the connection of a request at any moment of
 *  its response, or before it; all parts of the prompt are suspected, but for
 *  those on which a response was completed here a moment ago. */
void edge_quarantine_note_open (struct edge_quarantine *quarantine,
                                const char *name, const char *account,
                                const struct place_request *placement,
                                uint64_t now_ms);
/** Records the loss of a whole request. */
void
edge_quarantine_note_lost_request (struct edge_quarantine *quarantine,
                                   const struct edge_quarantine_loss *loss,
                                   uint64_t now_ms);
/** The target's process has ended: reports what was recorded for it. */
void edge_quarantine_confirm (struct edge_quarantine *quarantine,
                              const char *name);
/** The target is still there: forgets what was recorded for it. */
void edge_quarantine_dismiss (struct edge_quarantine *quarantine,
                              const char *name);
/** Records that a target completed a response; clears its parts of
 *  suspicion. */
void edge_quarantine_note_sound (struct edge_quarantine *quarantine,
                                 const struct place_request *placement);
/** Records the time of a completed response, for edge_quarantine_note_open. */
void edge_quarantine_note_served (struct edge_quarantine *quarantine,
                                  const struct place_request *placement,
                                  uint64_t now_ms);
/** Returns whether requests of the account with this prompt must be rejected
 *  by a router that asks for no trials of parts, and stores for how long, in
 *  milliseconds. */
bool edge_quarantine_is_blocked (const struct edge_quarantine *quarantine,
                                 const char *account,
                                 const struct place_request *placement,
                                 uint64_t now_ms, uint64_t *left_ms);
/** Returns whether requests of the account with this prompt may be sent; if
 *  they are blocked, stores for how long, in milliseconds.  Unlike
 *  edge_quarantine_is_blocked it knows of trials of parts. */
enum edge_quarantine_verdict edge_quarantine_check_parts (
    const struct edge_quarantine *quarantine, const char *account,
    const struct place_request *placement, uint64_t now_ms, uint64_t *left_ms);
/** Records that a target sent a complete response to the request. */
void edge_quarantine_note_sound_request (struct edge_quarantine *quarantine,
                                         uint64_t digest);
/** Returns whether no request is suspected, so that no digest is needed. */
bool
edge_quarantine_has_no_requests (const struct edge_quarantine *quarantine);
/** Returns whether control, or this router lately, saw a target crash under
 *  the request. */
bool
edge_quarantine_suspects_request (const struct edge_quarantine *quarantine,
                                  uint64_t digest);
/** Returns whether the request may be sent; if it is blocked, stores for how
 *  long, in milliseconds. */
enum edge_quarantine_verdict
edge_quarantine_check_request (const struct edge_quarantine *quarantine,
                               uint64_t digest, uint64_t now_ms,
                               uint64_t *left_ms);
/** Stores the parts of the prompt whose block is over, which the account's
 *  requests may only have with a trial, and returns their number. */
uint32_t edge_quarantine_find_trials (const struct edge_quarantine *quarantine,
                                      const char *account,
                                      const struct place_request *placement,
                                      uint64_t now_ms,
                                      uint64_t parts[PLACE_PARTS_MAX]);
/** Returns whether control granted a trial of the request or part. */
bool edge_quarantine_has_trial (const struct edge_quarantine *quarantine,
                                uint64_t digest);
/** Asks control for a trial with the next call. */
void edge_quarantine_ask_trial (struct edge_quarantine *quarantine,
                                uint64_t digest);
/** Uses a trial that control granted, if there is one. */
bool edge_quarantine_take_trial (struct edge_quarantine *quarantine,
                                 uint64_t digest);
/** Takes over the trials that control granted to the last call; those of
 *  earlier calls are over. */
void edge_quarantine_apply_trials (struct edge_quarantine *quarantine,
                                   const struct control_router_result *result);
/** Moves the reports on requests, and the trials asked for, to a call. */
void edge_quarantine_fill_requests (struct edge_quarantine *quarantine,
                                    uint64_t now_ms, uint64_t wall_ms,
                                    struct control_request_reports *reports);
/** Returns whether there is something to report or ask. */
bool edge_quarantine_needs_call (const struct edge_quarantine *quarantine);
/** Moves the reports on parts to a call; @p wall_ms is the time of day at
 *  @p now_ms. */
void edge_quarantine_fill_call (struct edge_quarantine *quarantine,
                                uint64_t now_ms, uint64_t wall_ms,
                                struct control_part_reports *reports);
/** Version of the list that this router has. */
uint64_t edge_quarantine_version (const struct edge_quarantine *quarantine);
/** Takes over a member's list unless it is older than the present one. */
void edge_quarantine_apply (struct edge_quarantine *quarantine,
                            const struct control_suspects *suspects,
                            uint64_t now_ms);

#endif
