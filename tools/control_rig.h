#ifndef CONTROL_RIG_H
#define CONTROL_RIG_H

/** @file
 *  A few cactus-control processes on loopback, and calls to them, for tests
 *  and benchmarks. */

#include "control_client.h"
#include "fleet_process.h"
#include "wire_control.h"

/** Name of the cluster of every trial. */
#define CONTROL_RIG_CLUSTER "trial"

/** Members of one replicated log, in folders of their own. */
struct control_rig
{
  char *folder;
  uint32_t count;
  struct fleet_process **members;
  uint16_t *ports;
  struct control_client *client;
  /** Signs version 1 and, as operator "root", all later ones. */
  uint8_t public_key[32];
  uint8_t secret_key[64];
};

/** Starts @p count members and waits until one leads; NULL on failure. */
struct control_rig *control_rig_create (uint32_t count);
/** The same with @p arguments, ended by NULL, given to each member besides.
 */
struct control_rig *control_rig_create_with (uint32_t count,
                                             const char *const *arguments);
/** Kills the members and removes the folders. */
void control_rig_destroy (struct control_rig *trial);
/** Starts a member again (from 0); false when it doesn't serve. */
bool control_rig_start (struct control_rig *trial, uint32_t member);
/** Removes the data folder of a member that doesn't run. */
void control_rig_wipe (struct control_rig *trial, uint32_t member);
/** Member that says it leads, or -1 when none does within @p limit_ms. */
int control_rig_leader (struct control_rig *trial, uint32_t limit_ms);
/** Asks one member for its status; false when it doesn't answer.  The result
 *  is freed with xdr_free. */
bool control_rig_status (struct control_rig *trial, uint32_t member,
                         struct control_status_result *result);
/** Waits until a member is a voter and has applied all that the leader
 *  committed; false when it isn't within @p limit_ms. */
bool control_rig_wait_voter (struct control_rig *trial, uint32_t member,
                             uint32_t limit_ms);

/** A document of @p version with @p accounts accounts; @p mark goes into one
 *  of them, so that documents differ.  Freed with g_free. */
char *control_rig_document (const struct control_rig *trial, uint64_t version,
                            uint32_t accounts, uint32_t mark);
/** Fills the arguments of a signed push; freed with xdr_free. */
void control_rig_make_push_args (const struct control_rig *trial,
                                 uint64_t version, const char *document,
                                 struct control_push_args *args);
/** Pushes a document of @p version; the answer's status, or -1 when the call
 *  was lost. */
int control_rig_push (struct control_rig *trial, uint64_t version,
                      uint32_t accounts, uint32_t mark);
/** Tops a budget up under @p id; total of the budget, or 0 on failure. */
uint64_t control_rig_top_up (struct control_rig *trial, const char *id,
                             const char *account, uint64_t tokens);
/** Newest accepted version as a confirmed read; 0 when it fails. */
uint64_t control_rig_bundle_version (struct control_rig *trial);
/** Total of a budget as a confirmed read; 0 when it fails. */
uint64_t control_rig_topped_up_tokens (struct control_rig *trial,
                                       const char *account);

#endif
