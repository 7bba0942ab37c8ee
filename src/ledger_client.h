#ifndef LEDGER_CLIENT_H
#define LEDGER_CLIENT_H

/** @file
 *  Client of the ledgers, used by routers.  Takes operations from many
 *  threads, batches them on one thread and connection for each ledger, and
 *  resends settlements, extensions and releases until they are answered. */

#include <stdbool.h>
#include <stdint.h>

#include "cactus_config.h"
#include "wire_ledger.h"

/** A router's client of all ledgers. */
struct ledger_client;

/** Name and address of a ledger. */
struct ledger_endpoint
{
  char name[CACTUS_NAME_BYTES + 1];
  char availability_zone[CACTUS_NAME_BYTES + 1];
  char region[CACTUS_NAME_BYTES + 1];
  char address[16];
  uint16_t port;
};

/** One operation; the caller keeps it in place until done is called. */
struct ledger_request
{
  struct ledger_op op;
  /** Number of the ledger that holds the reservation: set by the client for a
   *  reserve, copied by the caller into the operations that follow. */
  uint32_t ledger;
  /** Monotonic time at which a reserve times out, in ms.  Settle, extend and
   *  release have no deadline: they are resent until answered. */
  uint64_t deadline_ms;
  /** Result of the operation, valid when done is called. */
  struct ledger_op_result result;
  /** True when a reserve ended without an answer: the ledger may hold the
   *  reservation, which the client itself releases later. */
  bool lost;
  /** Called on a thread of the client. */
  void (*done) (struct ledger_request *request);
  struct ledger_request *next;
};

/** Creates a client for @p router, whose sessions at the ledgers carry
 *  @p incarnation. */
struct ledger_client *ledger_client_create (const char *cluster,
                                            const char *router,
                                            uint64_t incarnation,
                                            const char *availability_zone,
                                            const char *region);
/** Sends the queued operations for at most @p drain_ms, then stops.  Returns
 *  how many settlements, extensions and releases got no answer. */
uint32_t ledger_client_destroy (struct ledger_client *client,
                                uint32_t drain_ms);
/** Replaces the list of ledgers.  Ledgers of the client's availability zone
 *  are preferred, then those of its region.  A ledger that is removed from the
 *  list gets no new reservations, but still gets the operations on the
 *  reservations that it holds. */
void ledger_client_set_ledgers (struct ledger_client *client,
                                const struct ledger_endpoint *ledgers,
                                uint32_t count);
/** Returns a reservation id that is unique within the incarnation. */
uint64_t ledger_client_next_id (struct ledger_client *client);
/** Sends an operation; done is called exactly once.  Thread-safe. */
void ledger_client_submit (struct ledger_client *client,
                           struct ledger_request *request);
/** Whether any ledger answered within the last CACTUS_LEDGER_LEASE_MS. */
bool ledger_client_is_ready (struct ledger_client *client);

#endif
