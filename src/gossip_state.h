#ifndef GOSSIP_STATE_H
#define GOSSIP_STATE_H

/** @file
 *  State of gossip's shell, shared by its rounds and its serving side. */

#include <stdatomic.h>

#include <glib.h>

#include "base_random.h"
#include "gossip_core.h"
#include "gossip_peers.h"
#include "gossip.h"

/** A process whose rounds stood still for this long was frozen: what lies in
 *  its sockets is older than it says. */
#define GOSSIP_FROZEN_MS 3000

/** One thread that calls peers. */
struct gossip_caller
{
  struct gossip *gossip;
  GThread *thread;
  uint32_t timeout_ms;
  /** struct wire_client by "address:port"; the thread's own. */
  GHashTable *clients;
};

/** The exchanges of one router. */
struct gossip
{
  struct gossip_core *core;
  char *cluster;
  struct base_clock *clock;
  struct gossip_bundle_callbacks *bundles;
  /** Where the creator gave none. */
  struct base_metrics *own_metrics;
  struct base_counter *calls;
  struct base_counter *failures;
  struct base_counter *frozen;
  GMutex mutex;
  GCond wake;
  bool stopping;
  bool departing;
  struct gossip_peers *peers;
  struct base_random random;
  _Atomic uint64_t ticked_ms;
  _Atomic uint64_t refuse_until_ms;
  struct gossip_caller zone;
  struct gossip_caller relay;
};

/** Starts the two threads that call peers. */
void gossip_rounds_start (struct gossip *gossip);
/** Joins them, after stopping is set. */
void gossip_rounds_join (struct gossip *gossip);

#endif
