#ifndef CONTROL_RIG_H
#define CONTROL_RIG_H

/** @file
 *  Runs the members of a control cluster as cactus-control processes on
 *  loopback, and calls them, for tests and benchmarks. */

#include "control_client.h"
#include "fleet_process.h"
#include "link_relay.h"
#include "wire_control.h"

/** Cluster name of the control members. */
#define CONTROL_RIG_CLUSTER "trial"

/** The members of one control cluster, each with a data folder of its own. */
struct control_rig
{
  char *folder;
  const char *program;
  uint32_t count;
  struct fleet_process **members;
  uint16_t *ports;
  /** Ports at which the members know each other; those of a relay, or the same
   *  as @ref ports. */
  uint16_t *advertised_ports;
  struct control_client *client;
  /** Root key, which signs bundle version 1; also the key of operator "root",
   *  who signs all later versions. */
  uint8_t public_key[32];
  uint8_t secret_key[64];
};

/** Starts @p count members and waits until one leads; NULL on failure. */
struct control_rig *control_rig_create (uint32_t count);
/** The same with additional command-line arguments for each member, ended by
 *  NULL; @p arguments may be NULL. */
struct control_rig *control_rig_create_with (uint32_t count,
                                             const char *const *arguments);
/** The same with a relay between the members, which the caller destroys after
 *  the rig; @p relay may be NULL. */
struct control_rig *control_rig_create_linked (uint32_t count,
                                               const char *const *arguments,
                                               struct link_relay *relay);
/** The same with members that run cactus-control-full. */
struct control_rig *control_rig_create_full (uint32_t count,
                                             const char *const *arguments);
/** Fills the disk of a member that runs cactus-control-full, as
 *  tests/full_disk.c describes; NULL makes room. */
void control_rig_fill (const struct control_rig *rig, uint32_t member,
                       const char *how);
/** Kills the members and removes their folders. */
void control_rig_destroy (struct control_rig *rig);
/** Starts or restarts member @p member (counted from 0); false when it isn't
 *  ready in time. */
bool control_rig_start (struct control_rig *rig, uint32_t member);
/** Removes the data folder of a member that isn't running. */
void control_rig_wipe (struct control_rig *rig, uint32_t member);
/** Returns the member that reports itself leader; -1 when none does within @p
 *  timeout_ms. */
int control_rig_leader (struct control_rig *rig, uint32_t timeout_ms);
/** Gets the status of one member; false when the call fails.  Free the result
 *  with xdr_free. */
bool control_rig_status (struct control_rig *rig, uint32_t member,
                         struct control_status_result *result);
/** Waits until a member is a voter that holds every entry of the leader's log;
 *  false when that takes longer than @p timeout_ms. */
bool control_rig_wait_voter (struct control_rig *rig, uint32_t member,
                             uint32_t timeout_ms);

/** Makes a bundle document of @p version with @p accounts accounts, freed with
 *  g_free.  Documents with another @p variant (modulo 1000) differ, by the
 *  weight of the first account. */
char *control_rig_document (const struct control_rig *rig, uint64_t version,
                            uint32_t accounts, uint32_t variant);
/** Fills in the arguments for pushing @p document with its signature; free
 *  them with xdr_free. */
void control_rig_make_push_args (const struct control_rig *rig,
                                 uint64_t version, const char *document,
                                 struct control_push_args *args);
/** Pushes a document of @p version; returns the status in the answer, or -1
 *  when the call failed. */
int control_rig_push (struct control_rig *rig, uint64_t version,
                      uint32_t accounts, uint32_t variant);
/** Tops up the account's "default" budget with the idempotency key @p id;
 *  returns all tokens topped up so far, or 0 on failure. */
uint64_t control_rig_top_up (struct control_rig *rig, const char *id,
                             const char *account, uint64_t tokens);
/** Reads the newest accepted bundle version (a linearizable read); 0 on
 *  failure. */
uint64_t control_rig_bundle_version (struct control_rig *rig);
/** Reads the tokens topped up so far of the account's "default" budget (a
 *  linearizable read); 0 on failure. */
uint64_t control_rig_topped_up_tokens (struct control_rig *rig,
                                       const char *account);

#endif
