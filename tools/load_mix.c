#include "load_mix.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Prompts are divided into groups; those of one group share a prefix. */
#define PREFIX_GROUPS 16
/* Length of the prefix, in words. */
#define PREFIX_WORDS 24

static const struct load_kind lonja_kinds[] = {
  { .name = "summary",
    .request_class = "long",
    .service = "redactor",
    .share_percent = 20,
    .prompt_words_min = 150,
    .prompt_words_max = 400,
    .answer_tokens_min = 150,
    .answer_tokens_max = 400,
    .stream_percent = 50 },
  { .name = "question",
    .request_class = "quick",
    .service = "redactor",
    .share_percent = 55,
    .prompt_words_min = 30,
    .prompt_words_max = 80,
    .answer_tokens_min = 20,
    .answer_tokens_max = 80,
    .stream_percent = 80 },
  { .name = "reservation",
    .request_class = "order",
    .service = "mostrador",
    .path = "/reservations",
    .non_idempotent = true,
    .share_percent = 10 },
  { .name = "lookup",
    .request_class = "lookup",
    .service = "mostrador",
    .path = "/lots",
    .share_percent = 15 },
};

static const struct load_kind krua_khao_kinds[] = {
  { .name = "recipe",
    .request_class = "quick",
    .service = "kitchen-brain",
    .share_percent = 60,
    .prompt_words_min = 20,
    .prompt_words_max = 60,
    .answer_tokens_min = 20,
    .answer_tokens_max = 60,
    .stream_percent = 80 },
  { .name = "review",
    .request_class = "long",
    .service = "kitchen-brain",
    .share_percent = 10,
    .prompt_words_min = 200,
    .prompt_words_max = 500,
    .answer_tokens_min = 300,
    .answer_tokens_max = 800,
    .stream_percent = 30 },
  { .name = "reorder",
    .request_class = "order",
    .service = "shop-ledger",
    .path = "/reorders",
    .non_idempotent = true,
    .share_percent = 10 },
  { .name = "stock",
    .request_class = "lookup",
    .service = "shop-ledger",
    .path = "/stock",
    .share_percent = 20 },
};

static const struct load_mix mixes[] = {
  { "lonja", lonja_kinds, G_N_ELEMENTS (lonja_kinds), 10, 3, 60 },
  { "krua-khao", krua_khao_kinds, G_N_ELEMENTS (krua_khao_kinds), 10, 3, 60 },
};

const struct load_mix *
load_mix_find (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (mixes); i++)
    if (strcmp (mixes[i].name, name) == 0)
      return &mixes[i];
  return NULL;
}

char *
load_mix_account_name (const struct load_mix *mix, uint32_t index)
{
  return g_strdup_printf ("%s-account-%" PRIu32, mix->name, index);
}

char *
load_mix_account_key (const struct load_mix *mix, uint32_t index)
{
  return g_strdup_printf ("trial-key-%s-%" PRIu32, mix->name, index);
}

static uint32_t
draw_between (struct base_random *random, uint32_t minimum, uint32_t maximum)
{
  return minimum + (uint32_t)base_random_below (random, maximum - minimum + 1);
}

static const struct load_kind *
draw_kind (const struct load_mix *mix, struct base_random *random)
{
  uint32_t at = (uint32_t)base_random_below (random, 100);
  for (uint32_t i = 0; i + 1 < mix->kind_count; i++)
    {
      if (at < mix->kinds[i].share_percent)
        return &mix->kinds[i];
      at -= mix->kinds[i].share_percent;
    }
  return &mix->kinds[mix->kind_count - 1];
}

static uint32_t
draw_account (const struct load_mix *mix, struct base_random *random)
{
  uint32_t small = mix->account_count - mix->large_accounts;
  if (base_random_below (random, 100) < mix->large_percent)
    return (uint32_t)base_random_below (random, mix->large_accounts);
  return mix->large_accounts + (uint32_t)base_random_below (random, small);
}

static char *
draw_prompt (struct base_random *random, uint32_t words, uint64_t number)
{
  GString *prompt = g_string_new (NULL);
  uint64_t group = base_random_below (random, PREFIX_GROUPS);
  for (uint32_t i = 0; i < words && i < PREFIX_WORDS; i++)
    g_string_append_printf (prompt, "p%" PRIu64 "w%" PRIu32 " ", group, i);
  for (uint32_t i = PREFIX_WORDS; i < words; i++)
    g_string_append_printf (prompt, "w%" PRIu64 " ",
                            base_random_below (random, 1000));
  g_string_append_printf (prompt, "request %" PRIu64, number);
  return g_string_free (prompt, FALSE);
}

void
load_plan_draw (const struct load_mix *mix, struct base_random *random,
                uint64_t number, struct load_plan *plan)
{
  const struct load_kind *kind = draw_kind (mix, random);
  memset (plan, 0, sizeof *plan);
  plan->kind = kind;
  plan->account = draw_account (mix, random);
  snprintf (plan->key, sizeof plan->key, "load-%016" PRIx64 "-%" PRIu64,
            base_random_next (random), number);
  if (kind->path)
    return;
  plan->answer_tokens = draw_between (random, kind->answer_tokens_min,
                                      kind->answer_tokens_max);
  plan->stream = base_random_below (random, 100) < kind->stream_percent;
  uint32_t words
      = draw_between (random, kind->prompt_words_min, kind->prompt_words_max);
  plan->prompt = draw_prompt (random, words, number);
}

void
load_plan_clear (struct load_plan *plan)
{
  g_free (plan->prompt);
  plan->prompt = NULL;
}

char *
load_plan_body (const struct load_plan *plan)
{
  if (plan->kind->path)
    return g_strdup_printf ("{\"order\":\"%s\"}", plan->key);
  return g_strdup_printf ("{\"model\":\"%s\",\"max_tokens\":%" PRIu32
                          ",\"stream\":%s,\"messages\":[{\"role\":\"user\","
                          "\"content\":\"%s\"}]}",
                          plan->kind->service, plan->answer_tokens,
                          plan->stream ? "true" : "false", plan->prompt);
}
