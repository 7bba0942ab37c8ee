#include "edge_borrower.h"

#include <stdbool.h>

#include <glib.h>

/* Time after which a wish is sent again, and after which it is given up, in
   milliseconds.  A lender in the zone answers in about one; asking control
   takes about 200. */
#define ASK_AGAIN_MS 30
#define ASK_TIMEOUT_MS 100
/* Time for which the lender may wait for control, in milliseconds: a little
   longer than it does. */
#define WAIT_TIMEOUT_MS 1200
/* First pause before a settlement is sent again, which doubles each time, in
   milliseconds, and the number of times. */
#define SETTLE_AGAIN_MS 100
#define SETTLE_TRIES_MAX 9

enum state
{
  STATE_ASKED,
  STATE_WAITS,
  STATE_GRANTED,
  STATE_SETTLED
};

struct loan
{
  uint64_t number;
  const char *lender;
  struct edge_loan_endpoint endpoint;
  char *account;
  enum state state;
  uint64_t tokens;
  uint64_t used_tokens;
  void *context;
  uint64_t asked_ms;
  /* Time at which to send the last message again, and how often it was. */
  uint64_t due_ms;
  uint32_t tries;
};

struct edge_borrower
{
  struct edge_loan_sender *sender;
  struct edge_borrower_callbacks *callbacks;
  /* struct loan by number. */
  GHashTable *loans;
  uint64_t last_number;
  /* Earliest time at which a loan is due. */
  uint64_t due_ms;
};

static void
free_loan (gpointer data)
{
  struct loan *loan = data;
  g_free (loan->account);
  g_free (loan);
}

struct edge_borrower *
edge_borrower_create (struct edge_loan_sender *sender,
                      struct edge_borrower_callbacks *callbacks)
{
  struct edge_borrower *borrower = g_new0 (struct edge_borrower, 1);
  borrower->sender = sender;
  borrower->callbacks = callbacks;
  borrower->loans
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_loan);
  return borrower;
}

void
edge_borrower_destroy (struct edge_borrower *borrower)
{
  if (!borrower)
    return;
  g_hash_table_unref (borrower->loans);
  g_free (borrower);
}

static void
send_message (struct edge_borrower *borrower, const struct loan *loan)
{
  bool is_settled = loan->state == STATE_SETTLED;
  const struct loan_message message
      = { .kind = is_settled ? LOAN_SETTLE : LOAN_ASK,
          .number = loan->number,
          .account = loan->account,
          .tokens = is_settled ? loan->used_tokens : loan->tokens };
  borrower->sender->send (borrower->sender, &loan->endpoint, &message);
}

static void
set_due (struct edge_borrower *borrower, struct loan *loan, uint64_t due_ms)
{
  loan->due_ms = due_ms;
  borrower->due_ms = MIN (borrower->due_ms, due_ms);
}

uint64_t
edge_borrower_ask (struct edge_borrower *borrower, const char *lender,
                   const struct edge_loan_endpoint *endpoint,
                   const char *account, uint64_t tokens, void *context,
                   uint64_t now_ms)
{
  struct loan *loan = g_new0 (struct loan, 1);
  loan->number = ++borrower->last_number;
  loan->lender = lender;
  loan->endpoint = *endpoint;
  loan->account = g_strdup (account);
  loan->tokens = tokens;
  loan->context = context;
  loan->asked_ms = now_ms;
  g_hash_table_insert (borrower->loans, &loan->number, loan);
  set_due (borrower, loan, now_ms + ASK_AGAIN_MS);
  send_message (borrower, loan);
  return loan->number;
}

static void
settle (struct edge_borrower *borrower, struct loan *loan,
        uint64_t used_tokens, uint64_t now_ms)
{
  loan->state = STATE_SETTLED;
  loan->used_tokens = used_tokens;
  loan->context = NULL;
  loan->tries = 0;
  set_due (borrower, loan, now_ms + SETTLE_AGAIN_MS);
  send_message (borrower, loan);
}

void
edge_borrower_settle (struct edge_borrower *borrower, uint64_t number,
                      uint64_t used_tokens, uint64_t now_ms)
{
  struct loan *loan = g_hash_table_lookup (borrower->loans, &number);
  if (loan && loan->state != STATE_SETTLED)
    settle (borrower, loan, used_tokens, now_ms);
}

/* Ends a wish that got no loan. */
static void
end_wish (struct edge_borrower *borrower, struct loan *loan,
          enum edge_borrower_outcome outcome, uint64_t now_ms)
{
  void *context = loan->context;
  const char *lender = loan->lender;
  if (outcome == EDGE_BORROWER_UNANSWERED)
    settle (borrower, loan, 0, now_ms);
  else
    g_hash_table_remove (borrower->loans, &loan->number);
  borrower->callbacks->decided (borrower->callbacks, context, lender, outcome);
}

static void
handle_grant (struct edge_borrower *borrower, struct loan *loan)
{
  loan->state = STATE_GRANTED;
  borrower->callbacks->decided (borrower->callbacks, loan->context,
                                loan->lender, EDGE_BORROWER_GRANTED);
}

void
edge_borrower_handle (struct edge_borrower *borrower,
                      const struct loan_message *message, uint64_t now_ms)
{
  uint64_t number = message->number;
  struct loan *loan = g_hash_table_lookup (borrower->loans, &number);
  bool is_wished
      = loan && (loan->state == STATE_ASKED || loan->state == STATE_WAITS);
  switch (message->kind)
    {
    case LOAN_GRANTED:
      if (is_wished)
        handle_grant (borrower, loan);
      break;
    case LOAN_WAITS:
      if (is_wished)
        loan->state = STATE_WAITS;
      break;
    case LOAN_EXHAUSTED:
      if (is_wished)
        end_wish (borrower, loan, EDGE_BORROWER_EXHAUSTED, now_ms);
      break;
    case LOAN_DECLINED:
      if (is_wished)
        end_wish (borrower, loan, EDGE_BORROWER_DECLINED, now_ms);
      break;
    case LOAN_SETTLED:
      if (loan && loan->state == STATE_SETTLED)
        g_hash_table_remove (borrower->loans, &number);
      break;
    case LOAN_ASK:
    case LOAN_SETTLE:
    default:
      break;
    }
}

/* Sends the message of a loan that is due again, or gives the wish up.
   Returns false when the loan is forgotten. */
static bool
run_loan (struct edge_borrower *borrower, struct loan *loan, uint64_t now_ms)
{
  switch (loan->state)
    {
    case STATE_ASKED:
    case STATE_WAITS:
      if (now_ms >= loan->asked_ms
                        + (loan->state == STATE_ASKED ? ASK_TIMEOUT_MS
                                                      : WAIT_TIMEOUT_MS))
        {
          end_wish (borrower, loan, EDGE_BORROWER_UNANSWERED, now_ms);
          return true;
        }
      if (loan->state == STATE_ASKED && loan->tries++ == 0)
        send_message (borrower, loan);
      set_due (borrower, loan,
               loan->state == STATE_ASKED ? loan->asked_ms + ASK_TIMEOUT_MS
                                          : now_ms + ASK_TIMEOUT_MS);
      return true;
    case STATE_SETTLED:
      if (++loan->tries > SETTLE_TRIES_MAX)
        return false;
      send_message (borrower, loan);
      set_due (borrower, loan,
               now_ms + ((uint64_t)SETTLE_AGAIN_MS << loan->tries));
      return true;
    case STATE_GRANTED:
    default:
      loan->due_ms = UINT64_MAX;
      return true;
    }
}

void
edge_borrower_run (struct edge_borrower *borrower, uint64_t now_ms)
{
  GPtrArray *due;
  GHashTableIter iterator;
  gpointer value;
  if (now_ms < borrower->due_ms || g_hash_table_size (borrower->loans) == 0)
    return;
  /* Callbacks may add loans. */
  due = g_ptr_array_new ();
  borrower->due_ms = UINT64_MAX;
  g_hash_table_iter_init (&iterator, borrower->loans);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct loan *loan = value;
      if (now_ms >= loan->due_ms)
        g_ptr_array_add (due, value);
      else
        borrower->due_ms = MIN (borrower->due_ms, loan->due_ms);
    }
  for (guint i = 0; i < due->len; i++)
    {
      struct loan *loan = g_ptr_array_index (due, i);
      if (!run_loan (borrower, loan, now_ms))
        g_hash_table_remove (borrower->loans, &loan->number);
    }
  g_ptr_array_free (due, TRUE);
}

uint32_t
edge_borrower_count (const struct edge_borrower *borrower)
{
  return g_hash_table_size (borrower->loans);
}
