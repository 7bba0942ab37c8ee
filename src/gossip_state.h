#ifndef GOSSIP_STATE_H
#define GOSSIP_STATE_H

/** @file
 *  Internal state of gossip, shared by the threads that call peers and the
 *  side that answers calls. */

#include <stdatomic.h>

#include <glib.h>

#include "base_random.h"
#include "gossip.h"
#include "gossip_core.h"
#include "gossip_peers.h"

/** Longest time between rounds before the process counts as stalled (stopped
 *  or without processor time), in milliseconds.  Calls that waited in the
 *  sockets during a stall are older than the ages in them indicate. */
#define GOSSIP_STALL_MS 3000

/** One thread that calls peers. */
struct gossip_caller
{
  struct gossip *gossip;
  GThread *thread;
  uint32_t timeout_ms;
  /** struct wire_client by "address:port"; only used by this thread. */
  GHashTable *clients;
};

/** Gossip of one router. */
struct gossip
{
  struct gossip_core *core;
  char *cluster;
  struct base_clock *clock;
  struct gossip_bundle_callbacks *bundles;
  /** Metrics of its own, when the creator passed none; else NULL. */
  struct base_metrics *own_metrics;
  struct base_counter *calls;
  struct base_counter *failures;
  struct base_counter *stalls;
  /** Guards the fields from stopping to random. */
  GMutex mutex;
  /** Ends the waits between rounds. */
  GCond wake;
  bool stopping;
  /** Departures are queued. */
  bool departing;
  struct gossip_peers *peers;
  struct base_random random;
  /** Time of the zone thread's last sign of progress, in milliseconds. */
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
