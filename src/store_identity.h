#ifndef STORE_IDENTITY_H
#define STORE_IDENTITY_H

/** @file
 *  Identity of a data folder: its owner, and a random incarnation drawn when
 *  the folder was created.  The folder is locked while it is open. */

#include <stdbool.h>
#include <stdint.h>

#include "base_findings.h"
#include "cactus_config.h"

/** Contents of a data folder's identity file. */
struct store_identity
{
  char cluster[CACTUS_NAME_BYTES + 1];
  /** "ledger" or "control". */
  char role[CACTUS_NAME_BYTES + 1];
  /** Name of the process that owns the folder. */
  char name[CACTUS_NAME_BYTES + 1];
  uint64_t incarnation;
  /** True when store_identity_open created the identity. */
  bool fresh;
  /** File descriptor of the lock file; -1 when closed. */
  int lock_fd;
};

/** Opens and locks @p folder, created when missing, for the owner given by
 *  cluster, role and name in @p identity; fills in the other fields.  Returns
 *  0, or -1 with findings when another process owns or uses the folder, or
 *  when it can't be read or written. */
int store_identity_open (const char *folder, struct store_identity *identity,
                         struct base_findings *findings);
/** Releases the lock. */
void store_identity_close (struct store_identity *identity);

#endif
