#ifndef TARGET_SERVER_H
#define TARGET_SERVER_H

/** @file
 *  HTTP side of the stand-in target. */

#include <stdint.h>

#include "target_engine.h"

struct target_server;

/** Listens on @p address:@p port (0: the kernel picks one) with @p threads
 *  threads; NULL when it can't.  Answers have @p fixed_tokens tokens, or
 *  their natural length where 0. */
struct target_server *target_server_create (const char *address, uint16_t port,
                                            uint32_t threads,
                                            uint32_t fixed_tokens,
                                            struct target_engine *engine,
                                            struct target_faults *faults,
                                            struct target_oracle *oracle);
/** Port that is listened on. */
uint16_t target_server_port (const struct target_server *server);
/** Closes everything. */
void target_server_destroy (struct target_server *server);

#endif
