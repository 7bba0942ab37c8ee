#ifndef TARGET_SERVER_H
#define TARGET_SERVER_H

/** @file
 *  HTTP server of the stand-in target. */

#include <stdint.h>

#include "target_engine.h"

struct target_server;

/** Listens on @p address:@p port (0: the kernel picks one) with @p threads
 *  threads; NULL when it can't.  Answers have @p fixed_tokens tokens, or a
 *  length derived from the prompt when that is 0. */
struct target_server *target_server_create (const char *address, uint16_t port,
                                            uint32_t threads,
                                            uint32_t fixed_tokens,
                                            struct target_engine *engine,
                                            struct target_faults *faults,
                                            struct target_oracle *oracle);
/** Port that the server listens on. */
uint16_t target_server_port (const struct target_server *server);
/** Closes all connections and frees the server. */
void target_server_destroy (struct target_server *server);

#endif
