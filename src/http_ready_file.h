#ifndef HTTP_READY_FILE_H
#define HTTP_READY_FILE_H

/** @file
 *  The file by which a daemon says that it serves, and on which ports. */

#include <stdint.h>

/** Writes {"rpc_port":N,"http_port":N} to @p path in one step; NULL does
 *  nothing.  0, or -1 when the file can't be written. */
int http_ready_file_write (const char *path, uint16_t rpc_port,
                           uint16_t http_port);

#endif
