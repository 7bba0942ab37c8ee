#ifndef BROKEN_ANSWER_H
#define BROKEN_ANSWER_H

/** @file
 *  Bytes of HTTP answers that a target breaks off, for tests: each way to
 *  delimit the body, each way to break off, at each moment. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** What tells where the body ends. */
enum broken_framing
{
  BROKEN_FRAMING_LENGTH,
  BROKEN_FRAMING_CHUNKS,
  BROKEN_FRAMING_CONNECTION,
  BROKEN_FRAMINGS
};

/** What the target does at the end. */
enum broken_way
{
  /** Ends the connection in order. */
  BROKEN_WAY_FIN,
  BROKEN_WAY_RESET,
  /** Sends nothing more and keeps the connection open. */
  BROKEN_WAY_SILENCE,
  BROKEN_WAYS
};

/** Where the answer ends. */
enum broken_moment
{
  /** After some lines of the head. */
  BROKEN_MOMENT_HEAD,
  /** After the head. */
  BROKEN_MOMENT_NO_BODY,
  /** Inside the first piece of the body. */
  BROKEN_MOMENT_FIRST_PIECE,
  /** Inside the third piece. */
  BROKEN_MOMENT_LATER_PIECE,
  /** After the third piece. */
  BROKEN_MOMENT_BETWEEN,
  /** After the last piece, before the end of the framing; chunks only. */
  BROKEN_MOMENT_TRAILERS,
  /** After the end of the framing: only a reset, or silence where the
   *  connection delimits the body, breaks this answer. */
  BROKEN_MOMENT_LAST,
  BROKEN_MOMENTS
};

/** One case. */
struct broken_answer
{
  enum broken_framing framing;
  enum broken_way way;
  enum broken_moment moment;
};

/** Number of pieces that a broken body has at least. */
#define BROKEN_PIECES_MIN 4

/** Writes the answer to @p fd: @p head, with its lines ended and without its
 *  last empty line, the framing, and @p pieces (ended by NULL).  The caller
 *  closes @p fd, after silence once the peer did. */
void broken_answer_write (int fd, const struct broken_answer *answer,
                          const char *head, const char *const *pieces);
/** Whether the target sends the whole answer. */
bool broken_answer_is_whole (const struct broken_answer *answer);
/** Whether the body is shorter than it should be, which its framing doesn't
 *  show. */
bool broken_answer_is_hidden (const struct broken_answer *answer);
/** Number of whole pieces of @p count that the target sends. */
uint32_t broken_answer_pieces (const struct broken_answer *answer,
                               uint32_t count);
/** Whether the case exists. */
bool broken_answer_is_possible (const struct broken_answer *answer);

/** An answer that is cut at a random byte. */
struct random_answer
{
  enum broken_framing framing;
  enum broken_way way;
  /** The bytes that are sent, and the length of the head in them. */
  GString *bytes;
  size_t head_bytes;
  bool is_whole;
  /** Only the last byte of the chunks' end is missing, which libcurl accepts:
   *  the body is whole. */
  bool lacks_last_byte;
  /** Bytes of the body that a reader gets which takes the end for orderly;
   *  only where that is what the framing says. */
  GString *hidden_body;
};

/** Makes the answer of a seed, with chunks of random sizes, chunk extensions
 *  and trailers.  @p head and @p pieces are as above. */
struct random_answer random_answer_create (uint64_t seed, const char *head,
                                           const char *const *pieces);
/** Writes the bytes to @p fd and ends the connection. */
void random_answer_write (int fd, const struct random_answer *answer);
/** Frees the contents of an answer. */
void random_answer_clear (struct random_answer *answer);

#endif
