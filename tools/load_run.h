#ifndef LOAD_RUN_H
#define LOAD_RUN_H

/** @file
 *  Open-loop load: requests arrive at a set rate whether or not earlier ones
 *  are answered, and go to the routers round-robin. */

#include <stdint.h>

#include <glib.h>

#include "load_call.h"
#include "load_mix.h"

struct load_run;

/** Creates a run without arrivals; @p routers ("A.B.C.D:PORT", ended by NULL)
 *  is copied.  It lists the routers zone by zone, @p routers_per_zone of each
 *  availability zone; a caller uses only those of its own zone. */
struct load_run *load_run_create (const struct load_mix *mix, uint64_t seed,
                                  const char *const *routers,
                                  uint32_t routers_per_zone);
/** Frees the run with its calls. */
void load_run_destroy (struct load_run *run);
/** Sets the mean rate of arrivals, in thousandths of a request a second. */
void load_run_set_rate (struct load_run *run, uint64_t millirequests_s);
/** Sends only to routers whose bit is set in @p mask from now on, as a load
 *  balancer does that knows which routers are ready. */
void load_run_set_routers (struct load_run *run, uint64_t mask);
/** Makes arrivals and handles answers for @p duration_ms. */
void load_run_advance (struct load_run *run, uint64_t duration_ms);
/** Stops arrivals and waits at most @p limit_ms for open calls; number of
 *  calls still open then. */
uint32_t load_run_drain (struct load_run *run, uint64_t limit_ms);
/** Finished calls (struct load_call), in the order in which they ended. */
const GPtrArray *load_run_finished_calls (const struct load_run *run);

#endif
