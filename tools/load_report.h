#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

/** @file
 *  Report of a run: the answers that callers got, compared with what targets
 *  served and ledgers billed. */

#include <stdint.h>

#include <jansson.h>

#include "load_mix.h"
#include "load_oracle.h"

/** Tokens that each account was topped up with, in the order of the mix. */
struct load_budgets
{
  uint64_t *topped_up_tokens;
  uint32_t count;
};

/** Makes the report as one JSON object, owned by the caller; @p calls holds
 *  the finished struct load_call. */
json_t *load_report_make (const struct load_mix *mix, const GPtrArray *calls,
                          const struct load_oracle *oracle,
                          const struct load_budgets *budgets);

#endif
