#ifndef LOAD_RUN_H
#define LOAD_RUN_H

/** @file
 *  Open-loop load: requests arrive at a rate whether or not earlier ones are
 *  answered, and go to the routers in turn. */

#include <stdint.h>

#include <glib.h>

#include "load_call.h"
#include "load_mix.h"

struct load_run;

/** Makes a run; @p routers ("A.B.C.D:PORT", ended by NULL) is copied.  Each
 *  @p group routers in a row are those of one availability zone, and a caller
 *  asks only those of its own. */
struct load_run *load_run_create (const struct load_mix *mix, uint64_t seed,
                                  const char *const *routers, uint32_t group);
/** Frees it with its calls. */
void load_run_destroy (struct load_run *run);
/** Sets the rate of arrivals, in thousandths of a request a second. */
void load_run_set_rate (struct load_run *run, uint64_t millirequests);
/** Uses only routers whose bit is set in @p mask from now on, as the balancer
 *  does with a router that isn't ready. */
void load_run_set_routers (struct load_run *run, uint64_t mask);
/** Moves the run on for @p duration_ms. */
void load_run_advance (struct load_run *run, uint64_t duration_ms);
/** Stops arrivals and waits for open calls, at most @p limit_ms; number of
 *  calls that were still open. */
uint32_t load_run_drain (struct load_run *run, uint64_t limit_ms);
/** Finished calls (struct load_call), in order of their end. */
const GPtrArray *load_run_finished_calls (const struct load_run *run);

#endif
