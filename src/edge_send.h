#ifndef EDGE_SEND_H
#define EDGE_SEND_H

/** @file
 *  Places a request, sends it, and decides what follows when a send fails. */

#include "edge_request.h"

/** Places and sends the request; refuses it when no target may take it. */
void edge_send_request (struct edge_request *request);
/** A send ended. */
void edge_send_done (struct edge_request *request, enum edge_outcome outcome);
/** Gives up a silent target where another may be tried; else goes on. */
void edge_send_abandon (struct edge_request *request, const char *reason);
/** Whether the request may be sent once more after a run. */
bool edge_send_may_repeat (struct edge_request *request);

#endif
