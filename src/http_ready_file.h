#ifndef HTTP_READY_FILE_H
#define HTTP_READY_FILE_H

/** @file
 *  Ready file: written by a daemon when it is ready to serve, with its
 *  ports. */

#include <stdint.h>

/** Writes {"rpc_port":N,"http_port":N} to @p path atomically, or nothing when
 *  @p path is NULL.  Returns 0, or -1 when the file can't be written. */
int http_ready_file_write (const char *path, uint16_t rpc_port,
                           uint16_t http_port);

#endif
