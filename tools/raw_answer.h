#ifndef RAW_ANSWER_H
#define RAW_ANSWER_H

/** @file
 *  Reads one HTTP answer from a socket and tells how it ended, as a strict
 *  caller sees it. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** How an answer ended. */
enum raw_answer_end
{
  /** Its framing is complete: by its length, by its last chunk, or by an
   *  orderly end of the connection. */
  RAW_ANSWER_COMPLETE,
  /** The connection ended in order within the answer. */
  RAW_ANSWER_CUT,
  /** The connection was reset before the answer was complete. */
  RAW_ANSWER_RESET,
  /** Nothing more came in time. */
  RAW_ANSWER_OPEN
};

/** How a caller asks: by HTTP/1.1 on a kept or a closing connection, or by
 *  HTTP/1.0. */
enum raw_caller
{
  RAW_CALLER_KEPT,
  RAW_CALLER_CLOSING,
  RAW_CALLER_1_0,
  RAW_CALLERS
};

/** An answer. */
struct raw_answer
{
  enum raw_answer_end end;
  /** 0 without a status line. */
  uint32_t status;
  /** Head up to the empty line, and body without its chunk framing. */
  GString *head;
  GString *body;
};

/** Name of a kind of caller, for logs. */
const char *raw_caller_name (enum raw_caller caller);
/** Opens a connection to an IPv4 address; -1 when it can't. */
int raw_try_connect (const char *address, uint16_t port);
/** Opens a connection to an IPv4 address; aborts when it can't. */
int raw_connect (const char *address, uint16_t port);
/** Sends all bytes of a text; aborts when it can't. */
void raw_send (int fd, const char *text);
/** Reads one answer for at most @p wait_ms; free it with
 *  raw_answer_clear(). */
struct raw_answer raw_answer_read (int fd, uint32_t wait_ms);
/** Frees the contents of an answer. */
void raw_answer_clear (struct raw_answer *answer);

#endif
