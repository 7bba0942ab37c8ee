#ifndef LOAD_MIX_H
#define LOAD_MIX_H

/** @file
 *  Request mixes of the two deployments, drawn from a seeded random source. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base_random.h"

/** One kind of request in a mix. */
struct load_kind
{
  const char *name;
  const char *request_class;
  const char *service;
  /** Path of a plain service's call; NULL for a model. */
  const char *path;
  bool non_idempotent;
  /** Share of the requests, in percent. */
  uint32_t share_percent;
  uint32_t prompt_words_min;
  uint32_t prompt_words_max;
  /** Bounds of the request's max_tokens. */
  uint32_t answer_tokens_min;
  uint32_t answer_tokens_max;
  /** Share of streamed answers, in percent. */
  uint32_t stream_percent;
};

/** Mix of a deployment. */
struct load_mix
{
  const char *name;
  const struct load_kind *kinds;
  uint32_t kind_count;
  uint32_t account_count;
  /** Number of large accounts; they are the first. */
  uint32_t large_accounts;
  /** Share of the requests that large accounts make, in percent. */
  uint32_t large_percent;
};

/** One request to be sent. */
struct load_plan
{
  const struct load_kind *kind;
  /** Index of the account. */
  uint32_t account;
  /** Limit of the answer (max_tokens), in tokens. */
  uint32_t answer_tokens;
  bool stream;
  /** Idempotency key, unique in the run. */
  char key[40];
  /** NULL for a plain service; freed by load_plan_clear. */
  char *prompt;
};

/** Finds the mix of that name ("lonja", "krua-khao"); NULL when there is
 *  none. */
const struct load_mix *load_mix_find (const char *name);
/** Name of account @p index; freed with g_free. */
char *load_mix_account_name (const struct load_mix *mix, uint32_t index);
/** Secret key of account @p index; freed with g_free. */
char *load_mix_account_key (const struct load_mix *mix, uint32_t index);
/** Draws the next request; @p number makes its idempotency key unique. */
void load_plan_draw (const struct load_mix *mix, struct base_random *random,
                     uint64_t number, struct load_plan *plan);
/** Frees the prompt of a plan. */
void load_plan_clear (struct load_plan *plan);
/** JSON body of the request; freed with g_free. */
char *load_plan_body (const struct load_plan *plan);

#endif
