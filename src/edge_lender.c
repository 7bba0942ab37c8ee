#include "edge_lender.h"

#include <glib.h>

/* Time for which a loan waits for control, in milliseconds. */
#define WAIT_MAX_MS 1000
/* Time after which a loan that was not settled counts as spent, in
   milliseconds: longer than requests last. */
#define OPEN_MAX_MS 120000
/* Time for which a settled loan is remembered, in milliseconds: a wish that
   arrives after its settlement must not become a loan. */
#define SETTLED_KEEP_MS 10000
/* Interval of the search for loans that expire, in milliseconds. */
#define EXPIRY_INTERVAL_MS 5000
/* Maximum number of loans, settled ones included. */
#define LOANS_MAX 16384
/* Maximum number of tokens of one loan. */
#define TOKENS_MAX (UINT64_C (1) << 40)

enum state
{
  STATE_WAITING,
  STATE_OPEN,
  STATE_SETTLED
};

struct loan
{
  char *key;
  char *borrower;
  char *account;
  uint64_t incarnation;
  uint64_t number;
  uint64_t tokens;
  /* Time of the wish, or of the settlement. */
  uint64_t since_ms;
  struct edge_loan_endpoint borrower_endpoint;
  enum state state;
  /* Link in the queue of waiting loans. */
  GList link;
};

struct edge_lender
{
  struct edge_prepaid *prepaid;
  struct edge_loan_sender *sender;
  /* struct loan by key. */
  GHashTable *loans;
  GQueue waiting;
  /* Time of control's last answer that the waiting loans were tried after. */
  uint64_t answered_ms;
  uint64_t expired_ms;
};

static void
free_loan (gpointer data)
{
  struct loan *loan = data;
  g_free (loan->key);
  g_free (loan->borrower);
  g_free (loan->account);
  g_free (loan);
}

struct edge_lender *
edge_lender_create (struct edge_prepaid *prepaid,
                    struct edge_loan_sender *sender)
{
  struct edge_lender *lender = g_new0 (struct edge_lender, 1);
  lender->prepaid = prepaid;
  lender->sender = sender;
  lender->loans
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_loan);
  g_queue_init (&lender->waiting);
  return lender;
}

void
edge_lender_destroy (struct edge_lender *lender)
{
  if (!lender)
    return;
  g_hash_table_unref (lender->loans);
  g_free (lender);
}

static char *
make_key (const struct loan_message *message)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
                          message->borrower, (guint64)message->incarnation,
                          (guint64)message->number);
}

static void
reply (struct edge_lender *lender, const struct loan_message *to,
       const struct edge_loan_endpoint *endpoint, enum loan_kind kind)
{
  struct loan_message message = *to;
  message.kind = kind;
  lender->sender->send (lender->sender, endpoint, &message);
}

static void
reply_to_loan (struct edge_lender *lender, const struct loan *loan,
               enum loan_kind kind)
{
  const struct loan_message message = { .borrower = loan->borrower,
                                        .incarnation = loan->incarnation,
                                        .number = loan->number,
                                        .account = loan->account,
                                        .tokens = loan->tokens };
  reply (lender, &message, &loan->borrower_endpoint, kind);
}

static void
add_loan (struct edge_lender *lender, const struct loan_message *message,
          const struct edge_loan_endpoint *from, enum state state,
          uint64_t now_ms)
{
  struct loan *loan = g_new0 (struct loan, 1);
  loan->key = make_key (message);
  loan->borrower = g_strdup (message->borrower);
  loan->account = g_strdup (message->account);
  loan->incarnation = message->incarnation;
  loan->number = message->number;
  loan->tokens = message->tokens;
  loan->since_ms = now_ms;
  loan->borrower_endpoint = *from;
  loan->state = state;
  loan->link.data = loan;
  if (state == STATE_WAITING)
    g_queue_push_tail_link (&lender->waiting, &loan->link);
  g_hash_table_insert (lender->loans, loan->key, loan);
}

static void
remove_loan (struct edge_lender *lender, struct loan *loan)
{
  if (loan->state == STATE_WAITING)
    g_queue_unlink (&lender->waiting, &loan->link);
  g_hash_table_remove (lender->loans, loan->key);
}

static void
handle_ask (struct edge_lender *lender, const struct loan_message *message,
            const struct edge_loan_endpoint *from, bool is_cut_off,
            uint64_t now_ms)
{
  if (message->tokens > TOKENS_MAX
      || g_hash_table_size (lender->loans) >= LOANS_MAX)
    {
      reply (lender, message, from, LOAN_DECLINED);
      return;
    }
  switch (edge_prepaid_reserve (lender->prepaid, message->account,
                                message->tokens, 0, now_ms))
    {
    case EDGE_PREPAID_RESERVED:
      add_loan (lender, message, from, STATE_OPEN, now_ms);
      reply (lender, message, from, LOAN_GRANTED);
      return;
    case EDGE_PREPAID_WAIT:
      if (is_cut_off)
        {
          reply (lender, message, from, LOAN_DECLINED);
          return;
        }
      add_loan (lender, message, from, STATE_WAITING, now_ms);
      reply (lender, message, from, LOAN_WAITS);
      return;
    case EDGE_PREPAID_EXHAUSTED:
    default:
      reply (lender, message, from, LOAN_EXHAUSTED);
      return;
    }
}

/* Settles a loan or withdraws a wish, which may not have arrived yet. */
static void
handle_settle (struct edge_lender *lender, struct loan *loan,
               const struct loan_message *message,
               const struct edge_loan_endpoint *from, uint64_t now_ms)
{
  if (!loan && g_hash_table_size (lender->loans) < LOANS_MAX)
    add_loan (lender, message, from, STATE_SETTLED, now_ms);
  if (loan && loan->state == STATE_OPEN)
    edge_prepaid_settle (lender->prepaid, loan->account, loan->tokens,
                         message->tokens);
  if (loan && loan->state == STATE_WAITING)
    g_queue_unlink (&lender->waiting, &loan->link);
  if (loan && loan->state != STATE_SETTLED)
    {
      loan->state = STATE_SETTLED;
      loan->since_ms = now_ms;
    }
  reply (lender, message, from, LOAN_SETTLED);
}

/* Answer to a repeated wish. */
static const enum loan_kind repeated_answer[]
    = { [STATE_WAITING] = LOAN_WAITS,
        [STATE_OPEN] = LOAN_GRANTED,
        [STATE_SETTLED] = LOAN_DECLINED };

void
edge_lender_handle (struct edge_lender *lender,
                    const struct loan_message *message,
                    const struct edge_loan_endpoint *from, bool is_cut_off,
                    uint64_t now_ms)
{
  char *key = make_key (message);
  struct loan *loan = g_hash_table_lookup (lender->loans, key);
  g_free (key);
  if (message->kind == LOAN_SETTLE)
    handle_settle (lender, loan, message, from, now_ms);
  else if (message->kind == LOAN_ASK && loan)
    reply_to_loan (lender, loan, repeated_answer[loan->state]);
  else if (message->kind == LOAN_ASK)
    handle_ask (lender, message, from, is_cut_off, now_ms);
}

/* Returns whether to try a waiting loan again.  Each try counts as demand in
   the next call to control, so there is only one for each answer. */
static bool
is_due (const struct edge_lender *lender, const struct loan *loan,
        bool is_cut_off, bool is_answered, uint64_t now_ms)
{
  return is_answered || is_cut_off || now_ms >= loan->since_ms + WAIT_MAX_MS
         || edge_prepaid_usable_tokens (lender->prepaid, loan->account, now_ms)
                >= loan->tokens;
}

static void
retry (struct edge_lender *lender, struct loan *loan, bool is_cut_off,
       uint64_t now_ms)
{
  uint64_t waited_ms = MAX (now_ms - loan->since_ms, 1);
  switch (edge_prepaid_reserve (lender->prepaid, loan->account, loan->tokens,
                                (uint32_t)waited_ms, now_ms))
    {
    case EDGE_PREPAID_RESERVED:
      g_queue_unlink (&lender->waiting, &loan->link);
      loan->state = STATE_OPEN;
      reply_to_loan (lender, loan, LOAN_GRANTED);
      return;
    case EDGE_PREPAID_WAIT:
      if (!is_cut_off && waited_ms < WAIT_MAX_MS)
        return;
      reply_to_loan (lender, loan, LOAN_DECLINED);
      remove_loan (lender, loan);
      return;
    case EDGE_PREPAID_EXHAUSTED:
    default:
      reply_to_loan (lender, loan, LOAN_EXHAUSTED);
      remove_loan (lender, loan);
      return;
    }
}

/* Counts loans as spent that their borrower never settled, and forgets those
   that were settled. */
static void
expire (struct edge_lender *lender, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, lender->loans);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct loan *loan = value;
      if (loan->state == STATE_OPEN && now_ms >= loan->since_ms + OPEN_MAX_MS)
        {
          edge_prepaid_settle (lender->prepaid, loan->account, loan->tokens,
                               loan->tokens);
          g_hash_table_iter_remove (&iterator);
        }
      else if (loan->state == STATE_SETTLED
               && now_ms >= loan->since_ms + SETTLED_KEEP_MS)
        g_hash_table_iter_remove (&iterator);
    }
}

void
edge_lender_run (struct edge_lender *lender, bool is_cut_off, uint64_t now_ms)
{
  uint64_t answered_ms = edge_prepaid_last_answer_ms (lender->prepaid);
  bool is_answered = answered_ms != lender->answered_ms;
  GList *link = lender->waiting.head;
  lender->answered_ms = answered_ms;
  while (link)
    {
      GList *next = link->next;
      if (is_due (lender, link->data, is_cut_off, is_answered, now_ms))
        retry (lender, link->data, is_cut_off, now_ms);
      link = next;
    }
  if (now_ms < lender->expired_ms + EXPIRY_INTERVAL_MS)
    return;
  lender->expired_ms = now_ms;
  expire (lender, now_ms);
}

uint32_t
edge_lender_open (const struct edge_lender *lender)
{
  uint32_t count = 0;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, lender->loans);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    count += ((const struct loan *)value)->state == STATE_OPEN;
  return count;
}
