#ifndef TARGET_ANSWER_H
#define TARGET_ANSWER_H

/** @file
 *  Deterministic answers of the stand-in target, so that a checker can work
 *  out the expected text of any request. */

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/** Size of one word of an answer with its terminator, in bytes. */
#define TARGET_WORD_BYTES 17

/** Whole prompt text of a request body: the prompt, or the text of all
 *  messages joined by line breaks.  NULL when there is none; freed with
 *  g_free. */
char *target_prompt_text (const json_t *body);
/** Number of words (tokens) of a text. */
uint32_t target_token_count (const char *text);
/** Hash that all words of the answer to @p prompt follow from. */
uint64_t target_prompt_hash (const char *prompt);
/** Word @p index of the answer. */
void target_answer_word (uint64_t prompt_hash, uint32_t index,
                         char word[TARGET_WORD_BYTES]);
/** Length of the answer in tokens: natural length of the prompt's answer, or
 *  @p fixed_tokens unless 0, and at most @p max_tokens unless 0. */
uint32_t target_answer_tokens (uint64_t prompt_hash, uint32_t fixed_tokens,
                               uint32_t max_tokens);
/** First @p tokens words of the answer, separated by spaces. */
GString *target_answer_text (uint64_t prompt_hash, uint32_t tokens);

#endif
