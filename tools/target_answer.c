#include "target_answer.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "base_hash.h"

/* Without a fixed length, answers have 16 to 79 tokens. */
#define NATURAL_TOKENS_MIN 16
#define NATURAL_TOKENS_SPAN 64

static void
append_part (GString *text, const char *part)
{
  if (!part)
    return;
  if (text->len > 0)
    g_string_append_c (text, '\n');
  g_string_append (text, part);
}

static void
append_content (GString *text, const json_t *content)
{
  size_t index;
  json_t *part;
  if (json_is_string (content))
    append_part (text, json_string_value (content));
  json_array_foreach ((json_t *)content, index, part)
  {
    append_part (text, json_string_value (json_object_get (part, "text")));
  }
}

char *
target_prompt_text (const json_t *body)
{
  size_t index;
  json_t *message;
  json_t *prompt = json_object_get (body, "prompt");
  json_t *messages = json_object_get (body, "messages");
  if (json_is_string (prompt))
    return g_strdup (json_string_value (prompt));
  if (!json_is_array (messages))
    return NULL;
  GString *text = g_string_new (NULL);
  json_array_foreach (messages, index, message)
  {
    append_content (text, json_object_get (message, "content"));
  }
  return g_string_free (text, FALSE);
}

uint32_t
target_token_count (const char *text)
{
  uint32_t count = 0;
  bool inside = false;
  for (; *text; text++)
    {
      bool space = g_ascii_isspace (*text);
      if (!space && !inside)
        count++;
      inside = !space;
    }
  return count;
}

uint64_t
target_prompt_hash (const char *prompt)
{
  return base_hash_string (prompt);
}

void
target_answer_word (uint64_t prompt_hash, uint32_t index,
                    char word[TARGET_WORD_BYTES])
{
  uint64_t seed[2] = { prompt_hash, index };
  uint64_t hash = base_hash64 (seed, sizeof seed);
  snprintf (word, TARGET_WORD_BYTES, "%" PRIx64, hash);
}

uint32_t
target_answer_tokens (uint64_t prompt_hash, uint32_t fixed_tokens,
                      uint32_t max_tokens)
{
  uint32_t tokens = fixed_tokens;
  if (tokens == 0)
    tokens
        = NATURAL_TOKENS_MIN + (uint32_t)(prompt_hash % NATURAL_TOKENS_SPAN);
  if (max_tokens > 0 && tokens > max_tokens)
    tokens = max_tokens;
  return tokens;
}

GString *
target_answer_text (uint64_t prompt_hash, uint32_t tokens)
{
  char word[TARGET_WORD_BYTES];
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < tokens; i++)
    {
      target_answer_word (prompt_hash, i, word);
      if (i > 0)
        g_string_append_c (text, ' ');
      g_string_append (text, word);
    }
  return text;
}
