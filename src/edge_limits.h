#ifndef EDGE_LIMITS_H
#define EDGE_LIMITS_H

/** @file
 *  A router's part in the limits of targets: reports to control what responses
 *  say, knows from control's list which targets are limited, and holds the
 *  permits to send requests to them.  A permit belongs to a priority: more
 *  urgent requests may use it too, less urgent ones only just before it
 *  expires.  Times are those of base_clock_steady_wall_ms, which counts the
 *  time for which the host is suspended.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "edge_dialect.h"
#include "wire_control.h"

struct edge_limits;

/** An incarnation of a target. */
struct edge_limit_target
{
  const char *name;
  uint64_t born_ms;
};

/** The head of a target's response. */
struct edge_limit_head
{
  struct edge_limit_target target;
  /** Id of the request, for the log, and time at which it was sent. */
  const char *request_id;
  uint64_t sent_ms;
  const struct edge_target_response *response;
};

/** Creates the knowledge of no limits. */
struct edge_limits *edge_limits_create (void);
/** Destroys it; NULL is allowed. */
void edge_limits_destroy (struct edge_limits *limits);
/** Takes note of what the head of a response says. */
void edge_limits_note_head (struct edge_limits *limits,
                            const struct edge_limit_head *head,
                            uint64_t now_ms);
/** Treats the target as limited to at most @p rate_mrps until @p until_ms,
 *  whatever its responses say, and has control list it. */
void edge_limits_hold (struct edge_limits *limits,
                       const struct edge_limit_target *target,
                       uint64_t rate_mrps, uint64_t until_ms, uint64_t now_ms);
/** Ends the hold of a target, if there is one. */
void edge_limits_release (struct edge_limits *limits,
                          const struct edge_limit_target *target,
                          uint64_t now_ms);
/** Returns whether the target takes a limited number of requests, and stores
 *  the requests per 1,000 s; @p limit_mrps may be NULL. */
bool edge_limits_find (const struct edge_limits *limits,
                       const struct edge_limit_target *target, uint64_t now_ms,
                       uint64_t *limit_mrps);
/** Returns whether a request of the priority may be sent to the limited
 *  target. */
bool edge_limits_has_permit (const struct edge_limits *limits,
                             const struct edge_limit_target *target,
                             uint32_t priority, uint64_t now_ms);
/** Uses the permit that edge_limits_has_permit has found. */
void edge_limits_use_permit (struct edge_limits *limits,
                             const struct edge_limit_target *target,
                             uint32_t priority, uint64_t now_ms);
/** Number of unused permits for requests of the priority. */
uint32_t edge_limits_count_permits (const struct edge_limits *limits,
                                    const struct edge_limit_target *target,
                                    uint32_t priority, uint64_t now_ms);
/** Number of targets that are limited. */
uint32_t edge_limits_count (const struct edge_limits *limits, uint64_t now_ms);
/** Returns whether there is a change to report. */
bool edge_limits_needs_call (const struct edge_limits *limits);
/** Moves the reports, and what became of permits, to a call. */
void edge_limits_fill_call (struct edge_limits *limits, uint64_t now_ms,
                            struct control_limit_call *call);
/** Takes over control's answer, with the permits that it granted, to the call
 *  that was first sent at @p called_ms. */
void edge_limits_apply_result (struct edge_limits *limits,
                               const struct control_router_result *result,
                               uint64_t called_ms, uint64_t now_ms);
/** Takes over a member's list unless it is older than the present one. */
void edge_limits_apply_list (struct edge_limits *limits,
                             const struct control_limit_list *list,
                             uint64_t now_ms);

#endif
