#ifndef PLATFORM_RIG_H
#define PLATFORM_RIG_H

/** @file
 *  Runs the programs of the platform as processes on loopback, and calls
 *  them, for tests: three control members (cactus-core) and a router
 *  (cactus-entry). */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet_process.h"

/** Number of control members. */
#define PLATFORM_RIG_CORES 3
/** Maximum number of further routers. */
#define PLATFORM_RIG_ENTRIES_MAX 8

/** The processes and their ports. */
struct platform_rig
{
  char *folder;
  const char *core_program;
  const char *entry_program;
  struct fleet_process *cores[PLATFORM_RIG_CORES];
  /** Control member PLATFORM_RIG_CORES, or NULL. */
  struct fleet_process *more_core;
  struct fleet_process *entry;
  /** Routers that platform_rig_add_entry started. */
  struct fleet_process *more_entries[PLATFORM_RIG_ENTRIES_MAX];
  uint32_t more_entry_count;
  uint16_t rpc_port;
  uint16_t control_port;
  uint16_t callers_port;
  uint16_t ready_port;
  /** Further lines of the group [limits] of all settings files, or NULL. */
  const char *limits;
};

/** Response to an HTTP call. */
struct platform_reply
{
  /** Whether the complete response was received. */
  bool whole;
  long status;
  GString *head;
  GString *body;
};

/** Starts all processes, without waiting until they are ready. */
struct platform_rig *platform_rig_create (void);
/** Like platform_rig_create(), with another program as the routers. */
struct platform_rig *platform_rig_create_with (const char *entry_program);
/** Like platform_rig_create(), with other programs as members and routers. */
struct platform_rig *platform_rig_create_programs (const char *core_program,
                                                   const char *entry_program);
/** Like platform_rig_create(), with further lines of the group [limits] of all
 *  settings files, which must outlive the rig. */
struct platform_rig *platform_rig_create_limited (const char *limits);
/** Starts control member PLATFORM_RIG_CORES, which joins the others; the rig
 *  then can't have more routers. */
void platform_rig_add_core (struct platform_rig *rig);
/** Fills the disk of control member @p core, which must run cactus-core-full,
 *  as tests/full_disk.c describes; NULL makes room. */
void platform_rig_fill (struct platform_rig *rig, uint32_t core,
                        const char *how);
/** Cuts router @p entry (0 is the first), which must run cactus-entry-cut, off
 *  from ports as tests/cut_sockets.c describes; NULL ends the cut. */
void platform_rig_cut (struct platform_rig *rig, uint32_t entry,
                       const char *cut);
/** Starts another router, whose ports are those of the first.  Returns its
 *  address in @p address. */
void platform_rig_add_entry (struct platform_rig *rig, char address[16]);
/** The same in another availability zone: "z1" is in region "r1", "z2" in
 *  "r2"; all other processes are in "z1". */
void platform_rig_add_entry_in (struct platform_rig *rig, const char *zone,
                                const char *region, char address[16]);
/** Kills the processes and removes their files. */
void platform_rig_destroy (struct platform_rig *rig);
/** Makes one HTTP call with the headers @p lines ("Name: value", ended by
 *  NULL, may be NULL); free the reply with platform_reply_clear(). */
struct platform_reply platform_rig_call (const char *method, const char *url,
                                         const char *body,
                                         const char *const *lines);
/** Returns the value of the reply's Retry-After in seconds, or 0. */
double platform_reply_retry_after_s (const struct platform_reply *reply);
/** Frees the contents of a reply. */
void platform_reply_clear (struct platform_reply *reply);
/** Makes one HTTP call to control member @p core; returns the response status,
 *  or 0 when the response was incomplete. */
long platform_rig_call_control (struct platform_rig *rig, uint32_t core,
                                const char *method, const char *path,
                                const char *body);
/** Gets @p path from control member @p core; free the reply with
 *  platform_reply_clear(). */
struct platform_reply platform_rig_read_control (struct platform_rig *rig,
                                                 uint32_t core,
                                                 const char *path);
/** Sends a configuration to the control members in turn until one accepts it;
 *  aborts when none does in 200 calls, 50 ms apart. */
void platform_rig_configure (struct platform_rig *rig, const char *body);
/** Announces a target to the first control member. */
void platform_rig_announce (struct platform_rig *rig, const char *id,
                            const char *service, uint16_t port,
                            const char *state, uint32_t sequence);
/** A target's announcement, with its software version. */
struct platform_rig_target
{
  const char *id;
  const char *service;
  const char *version;
  uint16_t port;
  /** Start time of its run, in milliseconds. */
  uint64_t born_ms;
  uint32_t sequence;
  /** Availability zone; NULL: "z1". */
  const char *zone;
  /** Time for which it stays cold, in milliseconds. */
  uint32_t cold_left_ms;
};
/** Announces a ready target to control member @p core.  Returns whether the
 *  member took it. */
bool platform_rig_announce_to (struct platform_rig *rig, uint32_t core,
                               const struct platform_rig_target *target);
/** Posts a request to the router with the credential @p key and the token
 *  counts @p tokens ("PROMPT,OUTPUT", or NULL for none). */
struct platform_reply platform_rig_request (struct platform_rig *rig,
                                            const char *path, const char *key,
                                            const char *tokens);
/** Calls @p path until the response has @p status; false when it doesn't
 *  within 200 calls, 50 ms apart. */
bool platform_rig_wait_status (struct platform_rig *rig, const char *path,
                               const char *key, long status);

#endif
