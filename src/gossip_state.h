#ifndef GOSSIP_STATE_H
#define GOSSIP_STATE_H

/** @file
 *  Internal state of gossip, shared by the threads that call peers and the
 *  thread that answers calls. */

#include <stdatomic.h>

#include <glib.h>

#include "base_random.h"
#include "gossip.h"
#include "gossip_core.h"
#include "gossip_peers.h"

/** Maximum time between rounds before the process counts as stalled (stopped
 *  or without processor time), in milliseconds.  Calls that waited in the
 *  sockets during a stall are older than the ages in them indicate. */
#define GOSSIP_STALL_MS 3000

/** One thread that calls peers. */
struct gossip_caller
{
  struct gossip *gossip;
  GThread *thread;
  uint32_t timeout_ms;
  /** Clients (struct wire_client) by "address:port"; only used by this
   *  thread. */
  GHashTable *clients;
  /** Pieces received so far of the bundle of pieces_version; only used by this
   *  thread. */
  GByteArray *pieces;
  uint64_t pieces_version;
};

/** Gossip of one router. */
struct gossip
{
  struct gossip_core *core;
  char *cluster;
  struct base_clock *clock;
  struct gossip_bundle_callbacks *bundles;
  /** Metrics created for gossip when the creator passed none; else NULL. */
  struct base_metrics *own_metrics;
  struct base_counter *calls;
  struct base_counter *failures;
  struct base_counter *stalls;
  /** Guards the fields from stopping to random. */
  GMutex mutex;
  /** Signalled to end the waits between rounds. */
  GCond wake;
  bool stopping;
  /** Whether departures are queued. */
  bool departing;
  struct gossip_peers *peers;
  struct base_random random;
  /** Time at which the zone thread last started a loop iteration or finished
   *  the call of a departure, in milliseconds. */
  _Atomic uint64_t last_round_ms;
  /** Exchanges are refused until this time after a stall, in milliseconds. */
  _Atomic uint64_t refuse_until_ms;
  struct gossip_caller zone;
  struct gossip_caller relay;
};

/** Starts the two threads that call peers. */
void gossip_rounds_start (struct gossip *gossip);
/** Waits for the threads to end; stopping must be set. */
void gossip_rounds_join (struct gossip *gossip);

#endif
