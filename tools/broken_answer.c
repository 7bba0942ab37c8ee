#include "broken_answer.h"

#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "base_random.h"
#include "platform_raw_target.h"

#define LATER_PIECE 2

bool
broken_answer_is_whole (const struct broken_answer *answer)
{
  return answer->moment == BROKEN_MOMENT_LAST
         && (answer->framing != BROKEN_FRAMING_CONNECTION
             || answer->way == BROKEN_WAY_FIN);
}

bool
broken_answer_is_hidden (const struct broken_answer *answer)
{
  return answer->framing == BROKEN_FRAMING_CONNECTION
         && answer->way == BROKEN_WAY_FIN
         && answer->moment != BROKEN_MOMENT_HEAD
         && answer->moment != BROKEN_MOMENT_LAST;
}

bool
broken_answer_is_possible (const struct broken_answer *answer)
{
  return answer->moment != BROKEN_MOMENT_TRAILERS
         || answer->framing == BROKEN_FRAMING_CHUNKS;
}

uint32_t
broken_answer_pieces (const struct broken_answer *answer, uint32_t count)
{
  switch (answer->moment)
    {
    case BROKEN_MOMENT_HEAD:
    case BROKEN_MOMENT_NO_BODY:
    case BROKEN_MOMENT_FIRST_PIECE:
      return 0;
    case BROKEN_MOMENT_LATER_PIECE:
      return LATER_PIECE;
    case BROKEN_MOMENT_BETWEEN:
      return LATER_PIECE + 1;
    case BROKEN_MOMENT_TRAILERS:
    case BROKEN_MOMENT_LAST:
    default:
      return count;
    }
}

static void
append_piece (GString *text, const struct broken_answer *answer,
              const char *piece, size_t sent_bytes)
{
  bool is_chunk = answer->framing == BROKEN_FRAMING_CHUNKS;
  if (is_chunk)
    g_string_append_printf (text, "%zx\r\n", strlen (piece));
  g_string_append_len (text, piece, (gssize)sent_bytes);
  if (is_chunk && sent_bytes == strlen (piece))
    g_string_append (text, "\r\n");
}

static void
append_framing (GString *text, const struct broken_answer *answer,
                const char *const *pieces)
{
  size_t bytes = 0;
  for (; *pieces; pieces++)
    bytes += strlen (*pieces);
  if (answer->framing == BROKEN_FRAMING_LENGTH)
    g_string_append_printf (text, "Content-Length: %zu\r\n", bytes);
  else if (answer->framing == BROKEN_FRAMING_CHUNKS)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  /* A silent target would also not read the next request on a kept
     connection. */
  if (answer->framing == BROKEN_FRAMING_CONNECTION
      || answer->way == BROKEN_WAY_SILENCE)
    g_string_append (text, "Connection: close\r\n");
}

static void
append_body (GString *text, const struct broken_answer *answer,
             const char *const *pieces)
{
  uint32_t count = broken_answer_pieces (
      answer, g_strv_length ((gchar **)(uintptr_t)pieces));
  bool is_half = answer->moment == BROKEN_MOMENT_FIRST_PIECE
                 || answer->moment == BROKEN_MOMENT_LATER_PIECE;
  for (uint32_t i = 0; i < count; i++)
    append_piece (text, answer, pieces[i], strlen (pieces[i]));
  if (is_half)
    append_piece (text, answer, pieces[count], strlen (pieces[count]) / 2);
  if (answer->framing != BROKEN_FRAMING_CHUNKS)
    return;
  if (answer->moment == BROKEN_MOMENT_TRAILERS)
    g_string_append (text, "0\r\n");
  else if (answer->moment == BROKEN_MOMENT_LAST)
    g_string_append (text, "0\r\n\r\n");
}

void
broken_answer_write (int fd, const struct broken_answer *answer,
                     const char *head, const char *const *pieces)
{
  char byte;
  GString *text = g_string_new (head);
  append_framing (text, answer, pieces);
  if (answer->moment != BROKEN_MOMENT_HEAD)
    {
      g_string_append (text, "\r\n");
      append_body (text, answer, pieces);
    }
  platform_raw_target_write (fd, text->str, text->len);
  g_string_free (text, TRUE);
  if (answer->way == BROKEN_WAY_RESET)
    platform_raw_target_reset (fd);
  else if (answer->way == BROKEN_WAY_SILENCE)
    while (recv (fd, &byte, 1, 0) > 0)
      continue;
}

static void
append_random_chunks (struct base_random *random, GString *text,
                      const char *body)
{
  size_t left = strlen (body);
  while (left > 0)
    {
      size_t bytes = 1 + base_random_below (random, left);
      const char *extension
          = base_random_below (random, 4) == 0 ? ";name=value" : "";
      g_string_append_printf (text, "%zx%s\r\n", bytes, extension);
      g_string_append_len (text, body, (gssize)bytes);
      g_string_append (text, "\r\n");
      body += bytes;
      left -= bytes;
    }
  g_string_append (text, "0\r\n");
  if (base_random_below (random, 3) == 0)
    g_string_append (text, "X-Checksum: 1\r\n");
  g_string_append (text, "\r\n");
}

struct random_answer
random_answer_create (uint64_t seed, const char *head,
                      const char *const *pieces)
{
  struct base_random random;
  struct random_answer answer = { .bytes = g_string_new (head) };
  base_random_seed (&random, seed);
  answer.framing
      = (enum broken_framing)base_random_below (&random, BROKEN_FRAMINGS);
  answer.way = base_random_below (&random, 2) == 0 ? BROKEN_WAY_FIN
                                                   : BROKEN_WAY_RESET;
  const struct broken_answer framing = { .framing = answer.framing };
  char *body = g_strjoinv ("", (gchar **)(uintptr_t)pieces);
  append_framing (answer.bytes, &framing, pieces);
  g_string_append (answer.bytes, "\r\n");
  answer.head_bytes = answer.bytes->len;
  if (answer.framing == BROKEN_FRAMING_CHUNKS)
    append_random_chunks (&random, answer.bytes, body);
  else
    g_string_append (answer.bytes, body);
  g_free (body);
  size_t whole_bytes = answer.bytes->len;
  if (base_random_below (&random, 4) != 0)
    g_string_truncate (answer.bytes,
                       1 + base_random_below (&random, whole_bytes));
  bool ends_connection = answer.framing == BROKEN_FRAMING_CONNECTION;
  answer.is_whole = answer.bytes->len == whole_bytes
                    && (!ends_connection || answer.way == BROKEN_WAY_FIN);
  answer.lacks_last_byte = answer.framing == BROKEN_FRAMING_CHUNKS
                           && answer.bytes->len + 1 == whole_bytes;
  if (!answer.is_whole && ends_connection && answer.way == BROKEN_WAY_FIN
      && answer.bytes->len >= answer.head_bytes)
    answer.hidden_body = g_string_new (answer.bytes->str + answer.head_bytes);
  return answer;
}

void
random_answer_write (int fd, const struct random_answer *answer)
{
  platform_raw_target_write (fd, answer->bytes->str, answer->bytes->len);
  if (answer->way == BROKEN_WAY_RESET)
    platform_raw_target_reset (fd);
}

void
random_answer_clear (struct random_answer *answer)
{
  g_string_free (answer->bytes, TRUE);
  if (answer->hidden_body)
    g_string_free (answer->hidden_body, TRUE);
}
