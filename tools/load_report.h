#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

/** @file
 *  Sums up a run: what callers saw against what targets served and ledgers
 *  billed. */

#include <stdint.h>

#include <jansson.h>

#include "load_mix.h"
#include "load_oracle.h"

/** Tokens bought by the accounts of a run, in order of the mix. */
struct load_budgets
{
  uint64_t *topped_up_tokens;
  uint32_t count;
};

/** The report as one JSON object, owned by the caller; @p calls holds the
 *  finished struct load_call. */
json_t *load_report_make (const struct load_mix *mix, const GPtrArray *calls,
                          const struct load_oracle *oracle,
                          const struct load_budgets *budgets);

#endif
