#ifndef TARGET_ANSWER_H
#define TARGET_ANSWER_H

/** @file
 *  Deterministic answers of the stand-in target: a checker can compute the
 *  expected text of any request.  One word is one token. */

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/** Size of one word of an answer with its terminator, in bytes. */
#define TARGET_WORD_BYTES 17

/** Prompt of a request body: the member prompt, or the text of all messages
 *  joined by line breaks.  NULL when there is none; freed with g_free. */
char *target_prompt_text (const json_t *body);
/** Number of tokens (words) in a text. */
uint32_t target_token_count (const char *text);
/** Hash of a prompt, from which all words of its answer are derived. */
uint64_t target_prompt_hash (const char *prompt);
/** Writes word @p index of the answer. */
void target_answer_word (uint64_t prompt_hash, uint32_t index,
                         char word[TARGET_WORD_BYTES]);
/** Length of the answer in tokens: @p fixed_tokens, or a length derived from
 *  the prompt when that is 0; at most @p max_tokens unless that is 0. */
uint32_t target_answer_tokens (uint64_t prompt_hash, uint32_t fixed_tokens,
                               uint32_t max_tokens);
/** First @p tokens words of the answer, separated by spaces. */
GString *target_answer_text (uint64_t prompt_hash, uint32_t tokens);

#endif
