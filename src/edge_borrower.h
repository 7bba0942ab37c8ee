#ifndef EDGE_BORROWER_H
#define EDGE_BORROWER_H

/** @file
 *  Tokens that this router borrows from others.  A message is sent again until
 *  it is answered.  A wish that the lender doesn't answer is given up, and
 *  withdrawn by a settlement without use.  Does no I/O. */

#include "edge_loan.h"

struct edge_borrower;

/** How a wish for a loan ended. */
enum edge_borrower_outcome
{
  EDGE_BORROWER_GRANTED,
  /** The account's unspent tokens don't cover the request. */
  EDGE_BORROWER_EXHAUSTED,
  /** The lender can't lend now. */
  EDGE_BORROWER_DECLINED,
  /** The lender didn't answer. */
  EDGE_BORROWER_UNANSWERED
};

/** Called when a wish has ended; embed as the first member. */
struct edge_borrower_callbacks
{
  void (*decided) (struct edge_borrower_callbacks *callbacks, void *context,
                   const char *lender, enum edge_borrower_outcome outcome);
};

/** Creates a borrower without loans. */
struct edge_borrower *
edge_borrower_create (struct edge_loan_sender *sender,
                      struct edge_borrower_callbacks *callbacks);
/** Destroys a borrower.  NULL is allowed. */
void edge_borrower_destroy (struct edge_borrower *borrower);
/** Asks @p lender (an interned name) at @p endpoint for tokens.  @p context is
 *  passed to the callback.  Returns the loan's number, never 0. */
uint64_t edge_borrower_ask (struct edge_borrower *borrower, const char *lender,
                            const struct edge_loan_endpoint *endpoint,
                            const char *account, uint64_t tokens,
                            void *context, uint64_t now_ms);
/** Ends a loan of which @p used_tokens were used, or withdraws the wish for
 *  it; its callback isn't called after that. */
void edge_borrower_settle (struct edge_borrower *borrower, uint64_t number,
                           uint64_t used_tokens, uint64_t now_ms);
/** Handles a lender's message that names this router and incarnation. */
void edge_borrower_handle (struct edge_borrower *borrower,
                           const struct loan_message *message,
                           uint64_t now_ms);
/** Sends messages again that were not answered; called once per loop
 *  iteration. */
void edge_borrower_run (struct edge_borrower *borrower, uint64_t now_ms);
/** Returns the number of loans that are not settled. */
uint32_t edge_borrower_count (const struct edge_borrower *borrower);

#endif
