#ifndef LEDGER_CLIENT_H
#define LEDGER_CLIENT_H

/** @file
 *  A router's side of the ledger protocol: batches operations from many
 *  threads, one thread and connection a ledger, resends until an answer. */

#include <stdbool.h>
#include <stdint.h>

#include "cactus_config.h"
#include "wire_ledger.h"

struct ledger_client;

/** A ledger that the client may use. */
struct ledger_endpoint
{
  char name[CACTUS_NAME_BYTES + 1];
  char availability_zone[CACTUS_NAME_BYTES + 1];
  char region[CACTUS_NAME_BYTES + 1];
  char address[16];
  uint16_t port;
};

/** One operation under way; embed it and keep it in place until done. */
struct ledger_request
{
  struct ledger_op op;
  /** Ledger of the reservation: set by a reserve, kept for the rest. */
  uint32_t ledger;
  /** Monotonic time at which a reserve is given up, in ms.  Settle, extend
   *  and release are resent until answered. */
  uint64_t deadline_ms;
  /** Filled in before done. */
  struct ledger_op_result result;
  /** True when a reserve was given up without an answer: the ledger may hold
   *  a reservation, which the client itself releases later. */
  bool lost;
  /** Called on the client's thread. */
  void (*done) (struct ledger_request *request);
  struct ledger_request *next;
};

/** Makes a client for router @p router with its @p incarnation. */
struct ledger_client *ledger_client_create (const char *cluster,
                                            const char *router,
                                            uint64_t incarnation,
                                            const char *availability_zone,
                                            const char *region);
/** Sends what is left (settles and releases) for at most @p drain_ms, then
 *  stops; number of operations that got no answer. */
uint32_t ledger_client_destroy (struct ledger_client *client,
                                uint32_t drain_ms);
/** Tells which ledgers there are now: those of the zone are used first, then
 *  those of the region.  A ledger that is no longer named is still asked for
 *  its open reservations. */
void ledger_client_set_ledgers (struct ledger_client *client,
                                const struct ledger_endpoint *ledgers,
                                uint32_t count);
/** A reservation id, unique within the incarnation. */
uint64_t ledger_client_next_id (struct ledger_client *client);
/** Sends an operation; done is called exactly once.  Thread-safe. */
void ledger_client_submit (struct ledger_client *client,
                           struct ledger_request *request);
/** Whether a ledger answered within the lease. */
bool ledger_client_is_ready (struct ledger_client *client);

#endif
