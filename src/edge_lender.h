#ifndef EDGE_LENDER_H
#define EDGE_LENDER_H

/** @file
 *  Tokens that this router lends to other routers.  A loan is reserved in the
 *  lender's own lease until the borrower settles it, so control counts it like
 *  a request of the lender.  A loan that is never settled counts as spent in
 *  full.  Does no I/O. */

#include <stdbool.h>

#include "edge_loan.h"
#include "edge_prepaid.h"

struct edge_lender;

/** Creates a lender of the tokens in @p prepaid, which must outlive it. */
struct edge_lender *edge_lender_create (struct edge_prepaid *prepaid,
                                        struct edge_loan_sender *sender);
/** Destroys a lender.  NULL is allowed. */
void edge_lender_destroy (struct edge_lender *lender);
/** Handles LOAN_ASK and LOAN_SETTLE of a borrower at @p from.
 *  @p is_cut_off: control doesn't answer, so nobody waits for it. */
void edge_lender_handle (struct edge_lender *lender,
                         const struct loan_message *message,
                         const struct edge_loan_endpoint *from,
                         bool is_cut_off, uint64_t now_ms);
/** Tries the waiting loans again, and expires loans; called when control
 *  answered and once per loop iteration. */
void edge_lender_run (struct edge_lender *lender, bool is_cut_off,
                      uint64_t now_ms);
/** Returns the number of loans that are not settled. */
uint32_t edge_lender_open (const struct edge_lender *lender);

#endif
