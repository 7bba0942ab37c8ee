#ifndef EDGE_LOAN_H
#define EDGE_LOAN_H

/** @file
 *  Loans of prepaid tokens among the routers of an availability zone.  For
 *  each account one router of the zone, the lender, holds the zone's lease;
 * the others borrow from it what a request may use.  Load pattern: many
 * routers with a few requests an account each.  Leases of their own would
 * split an account into parts too small for one request, and almost every
 * request would wait for control. */

#include <stdint.h>

#include "wire_loan.h"

/** Where a router receives messages: IPv4 address in network byte order, and
 *  port. */
struct edge_loan_endpoint
{
  uint32_t address;
  uint16_t port;
};

/** Sends messages; embed as the first member. */
struct edge_loan_sender
{
  void (*send) (struct edge_loan_sender *sender,
                const struct edge_loan_endpoint *to,
                const struct loan_message *message);
};

#endif
