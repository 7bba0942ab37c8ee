#ifndef PLATFORM_RIG_H
#define PLATFORM_RIG_H

/** @file
 *  The platform's programs as real processes on loopback: three control
 *  members and a router, with calls to each. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet_process.h"

#define PLATFORM_RIG_CORES 3

/** Processes and their addresses. */
struct platform_rig
{
  char *folder;
  struct fleet_process *cores[PLATFORM_RIG_CORES];
  struct fleet_process *entry;
  uint16_t control_port;
  uint16_t callers_port;
  uint16_t ready_port;
};

/** What came back of a call. */
struct platform_reply
{
  /** Whether the answer came whole. */
  bool whole;
  long status;
  GString *head;
  GString *body;
};

/** Starts all processes. */
struct platform_rig *platform_rig_create (void);
/** Kills them and removes their files. */
void platform_rig_destroy (struct platform_rig *rig);
/** Calls @p method on a URL with "Name: value" lines, ended by NULL; cleared
 *  with platform_reply_clear. */
struct platform_reply platform_rig_call (const char *method, const char *url,
                                         const char *body,
                                         const char *const *lines);
/** Frees what a reply holds. */
void platform_reply_clear (struct platform_reply *reply);
/** Calls control member @p core; the status. */
long platform_rig_call_control (struct platform_rig *rig, uint32_t core,
                                const char *method, const char *path,
                                const char *body);
/** Sends a configuration until it is accepted. */
void platform_rig_configure (struct platform_rig *rig, const char *body);
/** Announces a target. */
void platform_rig_announce (struct platform_rig *rig, const char *id,
                            const char *service, uint16_t port,
                            const char *state, uint32_t sequence);
/** Calls the router as the caller with @p key; @p tokens may be NULL. */
struct platform_reply platform_rig_request (struct platform_rig *rig,
                                            const char *path, const char *key,
                                            const char *tokens);
/** Calls @p path until it is answered with @p status, or for ten seconds. */
bool platform_rig_wait_status (struct platform_rig *rig, const char *path,
                               const char *key, long status);

#endif
