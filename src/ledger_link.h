#ifndef LEDGER_LINK_H
#define LEDGER_LINK_H

/** @file
 *  A client's link to one ledger: a queue of operations, a connection, and a
 *  thread that sends the queue in batches.  Used by ledger_client.c only. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "ledger_client.h"

/** Maximum number of ledgers of one client. */
#define LEDGER_LINKS_MAX 64

/** A queued request. */
struct ledger_work
{
  struct ledger_request *request;
  /** Monotonic time of ledger_client_submit, in ms. */
  uint64_t submitted_ms;
  /** Monotonic time before which it is not sent again, in ms; 0 for none. */
  uint64_t not_before_ms;
  /** Bit set of the links that are not tried again: they refused the
   *  reservation or didn't answer. */
  uint64_t tried_links;
  /** True when a call with this request may have reached the ledger of this
   *  link. */
  bool sent;
  /** True when a ledger refused the reservation for lack of tokens. */
  bool had_no_budget;
  /** Largest number of free tokens that such a refusal reported. */
  uint64_t free_tokens;
};

/** Results of queued requests, called on the link's thread.  First member of
 *  the client's struct. */
struct ledger_link_callbacks
{
  /** The ledger answered with @p result. */
  void (*answered) (struct ledger_link_callbacks *user,
                    struct ledger_work *work,
                    const struct ledger_op_result *result);
  /** A reservation timed out or its call failed; other operations are resent
   *  instead. */
  void (*failed) (struct ledger_link_callbacks *user,
                  struct ledger_work *work);
};

/** Identifies the client in each batch. */
struct ledger_link_identity
{
  const char *cluster;
  const char *router;
  uint64_t incarnation;
};

/** A link to one ledger. */
struct ledger_link;

/** Starts the thread; @p identity and @p user must outlive the link. */
struct ledger_link *
ledger_link_create (uint32_t number, const struct ledger_endpoint *endpoint,
                    const struct ledger_link_identity *identity,
                    struct ledger_link_callbacks *user);
/** Stops the thread once its queue is empty, at the latest at monotonic time
 *  @p end_ms. */
void ledger_link_stop (struct ledger_link *link, uint64_t end_ms);
/** Waits for the thread and frees the link.  Returns how many settlements,
 *  extensions and releases got no answer. */
uint32_t ledger_link_destroy (struct ledger_link *link);
/** Copies the ledger's name and address. */
void ledger_link_endpoint (struct ledger_link *link,
                           struct ledger_endpoint *endpoint);
/** Changes the ledger's address; the next call connects to it. */
void ledger_link_set_endpoint (struct ledger_link *link,
                               const struct ledger_endpoint *endpoint);
/** Sets whether the ledger is on the client's list, and so gets new
 *  reservations.  A listed ledger that is @p near gets heartbeats even before
 *  its first operation. */
void ledger_link_set_listed (struct ledger_link *link, bool listed, bool near);
/** Whether the ledger is on the client's list. */
bool ledger_link_is_listed (struct ledger_link *link);
/** Whether the last call succeeded, or there was none yet. */
bool ledger_link_is_healthy (struct ledger_link *link);
/** Monotonic time of the last successful call, in ms; 0 for none. */
uint64_t ledger_link_answered_ms (struct ledger_link *link);
/** Queues a request. */
void ledger_link_push (struct ledger_link *link, struct ledger_work *work);
/** Queues the release of a reservation that the ledger may hold. */
void ledger_link_queue_release (struct ledger_link *link,
                                uint64_t reservation_id);

#endif
