#include "wire_replies.h"

#include <arpa/inet.h>
#include <string.h>

#include <glib.h>

/* Bit of the record mark (RFC 5531, section 11) that the last fragment of a
   record has. */
#define LAST_FRAGMENT 0x80000000u
/* Slowest rate, in bytes per millisecond, at which a device on the way may
   pass on what it has acknowledged: a call is answered only after its last
   byte has arrived. */
#define SLOWEST_BYTES_PER_MS 256

struct wire_replies
{
  /* Where the open calls end in the bytes sent, the oldest first. */
  GQueue open;
  /* Where the last answered call ends. */
  uint64_t answered_end;
  uint64_t sent_bytes;
  /* Bytes that the peer's kernel has acknowledged. */
  uint64_t acknowledged_bytes;
  uint64_t received;
  /* Start of the present silence. */
  uint64_t silent_since_ms;
  /* Received bytes of the mark of the fragment that is being read. */
  char mark[sizeof (uint32_t)];
  size_t mark_bytes;
  /* Bytes of the fragment that are still missing. */
  uint32_t fragment_bytes;
};

struct wire_replies *
wire_replies_create (void)
{
  struct wire_replies *replies = g_new0 (struct wire_replies, 1);
  g_queue_init (&replies->open);
  return replies;
}

void
wire_replies_destroy (struct wire_replies *replies)
{
  if (!replies)
    return;
  g_queue_clear (&replies->open);
  g_free (replies);
}

void
wire_replies_reset (struct wire_replies *replies)
{
  g_queue_clear (&replies->open);
  replies->answered_end = 0;
  replies->sent_bytes = 0;
  replies->acknowledged_bytes = 0;
  replies->received = 0;
  replies->mark_bytes = 0;
  replies->fragment_bytes = 0;
}

void
wire_replies_note_call (struct wire_replies *replies, size_t bytes,
                        uint64_t now_ms)
{
  if (g_queue_is_empty (&replies->open))
    replies->silent_since_ms = now_ms;
  replies->sent_bytes += bytes;
  g_queue_push_tail (&replies->open, GSIZE_TO_POINTER (replies->sent_bytes));
}

/* Where the oldest open call ends. */
static uint64_t
oldest_end (const struct wire_replies *replies)
{
  return GPOINTER_TO_SIZE (replies->open.head->data);
}

void
wire_replies_note_unacknowledged (struct wire_replies *replies, uint64_t bytes,
                                  uint64_t now_ms)
{
  uint64_t acknowledged
      = replies->sent_bytes > bytes ? replies->sent_bytes - bytes : 0;
  if (acknowledged <= replies->acknowledged_bytes)
    return;
  replies->acknowledged_bytes = acknowledged;
  if (replies->open.length > 0 && acknowledged < oldest_end (replies))
    replies->silent_since_ms = now_ms;
}

static void
end_reply (struct wire_replies *replies)
{
  replies->received++;
  if (!g_queue_is_empty (&replies->open))
    replies->answered_end
        = GPOINTER_TO_SIZE (g_queue_pop_head (&replies->open));
}

/* Notes the end of a fragment, and that of a reply when it was its last. */
static void
end_fragment (struct wire_replies *replies)
{
  uint32_t mark;
  memcpy (&mark, replies->mark, sizeof mark);
  replies->mark_bytes = 0;
  if (ntohl (mark) & LAST_FRAGMENT)
    end_reply (replies);
}

/* Takes bytes of a mark; returns their number. */
static size_t
take_mark (struct wire_replies *replies, const char *data, size_t bytes)
{
  uint32_t mark;
  size_t taken = MIN (bytes, sizeof mark - replies->mark_bytes);
  memcpy (replies->mark + replies->mark_bytes, data, taken);
  replies->mark_bytes += taken;
  if (replies->mark_bytes < sizeof mark)
    return taken;
  memcpy (&mark, replies->mark, sizeof mark);
  replies->fragment_bytes = ntohl (mark) & ~LAST_FRAGMENT;
  if (replies->fragment_bytes == 0)
    end_fragment (replies);
  return taken;
}

void
wire_replies_note_bytes (struct wire_replies *replies, const char *data,
                         size_t bytes, uint64_t now_ms)
{
  size_t at = 0;
  if (bytes > 0)
    replies->silent_since_ms = now_ms;
  while (at < bytes)
    if (replies->mark_bytes < sizeof replies->mark)
      at += take_mark (replies, data + at, bytes - at);
    else
      {
        size_t taken = MIN (bytes - at, replies->fragment_bytes);
        replies->fragment_bytes -= (uint32_t)taken;
        at += taken;
        if (replies->fragment_bytes == 0)
          end_fragment (replies);
      }
}

uint32_t
wire_replies_open (const struct wire_replies *replies)
{
  return replies->open.length;
}

uint64_t
wire_replies_received (const struct wire_replies *replies)
{
  return replies->received;
}

uint64_t
wire_replies_silent_ms (const struct wire_replies *replies, uint64_t now_ms)
{
  if (replies->open.length == 0 || now_ms < replies->silent_since_ms)
    return 0;
  return now_ms - replies->silent_since_ms;
}

uint64_t
wire_replies_due_ms (const struct wire_replies *replies, uint32_t timeout_ms)
{
  if (replies->open.length == 0)
    return UINT64_MAX;
  uint64_t oldest_bytes = oldest_end (replies) - replies->answered_end;
  return replies->silent_since_ms + timeout_ms
         + MIN (oldest_bytes / SLOWEST_BYTES_PER_MS, timeout_ms);
}
