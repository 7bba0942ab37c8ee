#ifndef LEDGER_LINK_H
#define LEDGER_LINK_H

/** @file
 *  One ledger as the routers' client sees it: a queue, a connection and a
 *  thread that sends batches.  Private to the ledger_client files. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "ledger_client.h"

/** Most ledgers that a client follows. */
#define LEDGER_LINKS_MAX 64

/** One request on its way. */
struct ledger_work
{
  struct ledger_request *request;
  /** When it was submitted, and before when it is not sent again, in ms. */
  uint64_t submitted_ms;
  uint64_t not_before_ms;
  /** Links that refused it or failed, by bit. */
  uint64_t tried;
  /** Whether a call with it may have reached the link it is queued at. */
  bool sent;
  /** Whether a ledger refused it for lack of tokens. */
  bool refused;
  /** Largest number of free tokens that a refusal told. */
  uint64_t free_tokens;
};

/** What a link tells the client; first member of its struct.  On the link's
 *  thread. */
struct ledger_link_callbacks
{
  /** The work was answered: @p result is the ledger's. */
  void (*answered) (struct ledger_link_callbacks *user,
                    struct ledger_work *work,
                    const struct ledger_op_result *result);
  /** A reservation got no answer from this ledger. */
  void (*failed) (struct ledger_link_callbacks *user,
                  struct ledger_work *work);
};

/** Names the client in batches. */
struct ledger_link_identity
{
  const char *cluster;
  const char *router;
  uint64_t incarnation;
};

/** A ledger's queue and thread. */
struct ledger_link;

/** Starts the thread; @p identity and @p user outlive the link. */
struct ledger_link *
ledger_link_create (uint32_t number, const struct ledger_endpoint *endpoint,
                    const struct ledger_link_identity *identity,
                    struct ledger_link_callbacks *user);
/** Tells the thread to end once its queue is empty, or at @p end_ms. */
void ledger_link_stop (struct ledger_link *link, uint64_t end_ms);
/** Waits for the thread and frees the link; number of operations that got no
 *  answer. */
uint32_t ledger_link_destroy (struct ledger_link *link);
/** Where the ledger is. */
void ledger_link_endpoint (struct ledger_link *link,
                           struct ledger_endpoint *endpoint);
/** Moves the ledger to another address. */
void ledger_link_set_endpoint (struct ledger_link *link,
                               const struct ledger_endpoint *endpoint);
/** Sets whether new reservations may go there; a near ledger hears heartbeats
 *  before it is used. */
void ledger_link_set_listed (struct ledger_link *link, bool named, bool near);
/** Whether new reservations may go there. */
bool ledger_link_is_listed (struct ledger_link *link);
/** Whether the last call was answered, or none was made yet. */
bool ledger_link_is_healthy (struct ledger_link *link);
/** Monotonic time of the last answer, in ms; 0 for none. */
uint64_t ledger_link_answered_ms (struct ledger_link *link);
/** Queues work. */
void ledger_link_push (struct ledger_link *link, struct ledger_work *work);
/** Has the ledger free a reservation that it may hold. */
void ledger_link_queue_release (struct ledger_link *link,
                                uint64_t reservation_id);

#endif
