/** @file
 *  Tests of loans: routers of one availability zone that lend each other
 * tokens over a network which loses, repeats and reorders messages, routers
 * that crash, and control's pool.  The tests count the used tokens
 * independently of the routers and of control. */

#include <string.h>

#include <glib.h>

#include "base_log.h"
#include "base_random.h"
#include "control_prepaid.h"
#include "edge_borrower.h"
#include "edge_lender.h"
#include "edge_peers.h"
#include "edge_prepaid.h"

#define ROUTERS_MAX 16
#define ACCOUNTS_MAX 27
#define REQUESTS_MAX 4000
#define MESSAGES_MAX 4096
#define STEP_MS 5
/* Time from a router to control, and back again, in milliseconds. */
#define CONTROL_WAY_MS 50
#define CALL_INTERVAL_MS 200

struct fleet;

enum request_state
{
  REQUEST_UNUSED,
  /* Waits for a loan, then for the own lease. */
  REQUEST_BORROWS,
  REQUEST_WAITS,
  REQUEST_RUNS
};

struct request
{
  struct router *router;
  enum request_state state;
  uint32_t account;
  uint64_t tokens;
  uint64_t loan;
  uint64_t began_ms;
  uint64_t ends_ms;
  bool is_in_demand;
};

struct router
{
  struct edge_loan_sender sender;
  struct edge_borrower_callbacks callbacks;
  struct fleet *fleet;
  char name[8];
  struct edge_prepaid *prepaid;
  struct edge_lender *lender;
  struct edge_borrower *borrower;
  uint64_t incarnation;
  uint64_t started_ms;
  uint64_t sequence;
  struct control_lease_args args;
  /* Times at which the call reaches control and its answer arrives, or 0. */
  uint64_t applied_ms;
  uint64_t answered_ms;
  uint64_t call_due_ms;
  struct control_lease_result result;
  bool has_result;
  /* Control answered in this step. */
  bool is_answered;
};

/* A message on its way to a router. */
struct datagram
{
  uint64_t due_ms;
  uint32_t to;
  uint32_t from;
  struct loan_message message;
  char borrower[8];
  char account[8];
};

struct fleet
{
  struct control_prepaid *pool;
  struct base_random random;
  uint64_t now_ms;
  uint32_t router_count;
  uint32_t account_count;
  bool has_lenders;
  /* Percent of the messages that are lost and that are repeated. */
  uint32_t lost_percent;
  uint32_t repeated_percent;
  bool has_crashes;
  struct router routers[ROUTERS_MAX];
  struct request requests[REQUESTS_MAX];
  struct datagram *datagrams;
  uint32_t datagram_count;
  uint64_t used_tokens[ACCOUNTS_MAX];
  uint64_t total_tokens;
  uint32_t begun;
  uint32_t slow;
  uint32_t exhausted;
};

static char account_names[ACCOUNTS_MAX][8];

static bool
happens (struct fleet *fleet, uint32_t percent)
{
  return base_random_below (&fleet->random, 100) < percent;
}

static void
queue_datagram (struct fleet *fleet, const struct router *from,
                const struct edge_loan_endpoint *to,
                const struct loan_message *message)
{
  if (fleet->datagram_count == MESSAGES_MAX)
    return;
  struct datagram *datagram = &fleet->datagrams[fleet->datagram_count++];
  datagram->due_ms = fleet->now_ms + base_random_below (&fleet->random, 20);
  datagram->to = to->port;
  datagram->from = (uint32_t)(from - fleet->routers);
  datagram->message = *message;
  g_strlcpy (datagram->borrower,
             message->borrower ? message->borrower : from->name,
             sizeof datagram->borrower);
  if (!message->borrower)
    datagram->message.incarnation = from->incarnation;
  g_strlcpy (datagram->account, message->account, sizeof datagram->account);
}

static void
send_message (struct edge_loan_sender *sender,
              const struct edge_loan_endpoint *to,
              const struct loan_message *message)
{
  struct router *router = (struct router *)sender;
  struct fleet *fleet = router->fleet;
  if (happens (fleet, fleet->lost_percent))
    return;
  queue_datagram (fleet, router, to, message);
  if (happens (fleet, fleet->repeated_percent))
    queue_datagram (fleet, router, to, message);
}

static void
deliver (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->datagram_count;)
    {
      if (fleet->now_ms < fleet->datagrams[i].due_ms)
        {
          i++;
          continue;
        }
      struct datagram datagram = fleet->datagrams[i];
      fleet->datagrams[i] = fleet->datagrams[--fleet->datagram_count];
      struct router *router = &fleet->routers[datagram.to];
      struct loan_message *message = &datagram.message;
      const struct edge_loan_endpoint from = { 0, (uint16_t)datagram.from };
      message->borrower = datagram.borrower;
      message->account = datagram.account;
      if (message->kind == LOAN_ASK || message->kind == LOAN_SETTLE)
        edge_lender_handle (router->lender, message, &from, false,
                            fleet->now_ms);
      else if (message->incarnation == router->incarnation)
        edge_borrower_handle (router->borrower, message, fleet->now_ms);
    }
}

static void
begin_run (struct request *request)
{
  struct fleet *fleet = request->router->fleet;
  fleet->begun++;
  fleet->slow += fleet->now_ms >= request->began_ms + CONTROL_WAY_MS;
  request->state = REQUEST_RUNS;
  request->ends_ms
      = fleet->now_ms + 20 + base_random_below (&fleet->random, 2000);
}

/* Reserves tokens of the router's own lease. */
static void
reserve (struct request *request)
{
  struct router *router = request->router;
  uint64_t now_ms = router->fleet->now_ms;
  uint32_t waited_ms = request->is_in_demand
                           ? (uint32_t)MAX (now_ms - request->began_ms, 1)
                           : 0;
  request->is_in_demand = true;
  request->state = REQUEST_WAITS;
  switch (edge_prepaid_reserve (router->prepaid,
                                account_names[request->account],
                                request->tokens, waited_ms, now_ms))
    {
    case EDGE_PREPAID_RESERVED:
      begin_run (request);
      return;
    case EDGE_PREPAID_EXHAUSTED:
      router->fleet->exhausted++;
      request->state = REQUEST_UNUSED;
      return;
    case EDGE_PREPAID_WAIT:
    default:
      if (waited_ms >= 1000)
        request->state = REQUEST_UNUSED;
      return;
    }
}

static void
handle_decision (struct edge_borrower_callbacks *callbacks, void *context,
                 const char *lender, enum edge_borrower_outcome outcome)
{
  struct request *request = context;
  (void)callbacks;
  (void)lender;
  if (outcome == EDGE_BORROWER_GRANTED)
    {
      begin_run (request);
      return;
    }
  request->loan = 0;
  if (outcome == EDGE_BORROWER_EXHAUSTED)
    {
      request->router->fleet->exhausted++;
      request->state = REQUEST_UNUSED;
    }
  else
    reserve (request);
}

static void
start_router (struct fleet *fleet, struct router *router)
{
  router->fleet = fleet;
  router->sender.send = send_message;
  router->callbacks.decided = handle_decision;
  router->prepaid = edge_prepaid_create ();
  edge_prepaid_set_routers (router->prepaid, fleet->router_count);
  router->lender = edge_lender_create (router->prepaid, &router->sender);
  router->borrower
      = edge_borrower_create (&router->sender, &router->callbacks);
  router->incarnation++;
  router->sequence = 0;
  router->started_ms = fleet->now_ms;
  router->call_due_ms = fleet->now_ms;
  router->applied_ms = 0;
  router->answered_ms = 0;
}

static void
free_router (struct router *router)
{
  edge_borrower_destroy (router->borrower);
  edge_lender_destroy (router->lender);
  edge_prepaid_destroy (router->prepaid);
  xdr_free ((xdrproc_t)xdr_control_lease_args, (char *)&router->args);
  memset (&router->args, 0, sizeof router->args);
  if (router->has_result)
    xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&router->result);
  router->has_result = false;
}

static struct fleet *
set_up (uint64_t seed, uint32_t routers, uint32_t accounts,
        uint64_t total_tokens)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);
  struct control_prepaid_total totals[ACCOUNTS_MAX];
  base_random_seed (&fleet->random, seed);
  fleet->datagrams = g_new0 (struct datagram, MESSAGES_MAX);
  fleet->now_ms = 1000000;
  fleet->router_count = routers;
  fleet->account_count = accounts;
  fleet->total_tokens = total_tokens;
  fleet->has_lenders = true;
  for (uint32_t i = 0; i < accounts; i++)
    {
      g_snprintf (account_names[i], sizeof account_names[i], "a%u", i);
      totals[i]
          = (struct control_prepaid_total){ account_names[i], total_tokens };
    }
  fleet->pool = control_prepaid_create ();
  control_prepaid_set_totals (fleet->pool, totals, accounts);
  for (uint32_t i = 0; i < routers; i++)
    {
      g_snprintf (fleet->routers[i].name, sizeof fleet->routers[i].name, "r%u",
                  i);
      start_router (fleet, &fleet->routers[i]);
    }
  return fleet;
}

static void
tear_down (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->router_count; i++)
    free_router (&fleet->routers[i]);
  control_prepaid_destroy (fleet->pool);
  g_free (fleet->datagrams);
  g_free (fleet);
}

static void
run_call (struct fleet *fleet, struct router *router)
{
  router->is_answered
      = router->answered_ms > 0 && fleet->now_ms >= router->answered_ms;
  if (router->is_answered)
    {
      edge_prepaid_apply_result (router->prepaid, &router->result,
                                 fleet->now_ms);
      xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&router->result);
      router->has_result = false;
      router->answered_ms = 0;
      router->call_due_ms = fleet->now_ms + CALL_INTERVAL_MS;
    }
  if (router->applied_ms > 0 && fleet->now_ms >= router->applied_ms)
    {
      control_prepaid_lease (fleet->pool, &router->args, fleet->now_ms,
                             &router->result);
      router->has_result = true;
      router->applied_ms = 0;
      router->answered_ms = fleet->now_ms + CONTROL_WAY_MS;
    }
  if (router->applied_ms > 0 || router->answered_ms > 0
      || (!edge_prepaid_needs_call_now (router->prepaid)
          && fleet->now_ms < router->call_due_ms))
    return;
  xdr_free ((xdrproc_t)xdr_control_lease_args, (char *)&router->args);
  memset (&router->args, 0, sizeof router->args);
  edge_prepaid_fill_call (router->prepaid, fleet->now_ms, false,
                          &router->args);
  router->args.cluster = strdup ("c");
  router->args.router = strdup (router->name);
  router->args.router_incarnation = router->incarnation;
  router->args.sequence = ++router->sequence;
  router->args.sent_ms = fleet->now_ms;
  router->args.uptime_ms = fleet->now_ms - router->started_ms;
  router->applied_ms = fleet->now_ms + CONTROL_WAY_MS;
}

static void
begin_request (struct fleet *fleet, struct router *router)
{
  struct request *request = fleet->requests;
  while (request < fleet->requests + REQUESTS_MAX
         && request->state != REQUEST_UNUSED)
    request++;
  g_assert_true (request < fleet->requests + REQUESTS_MAX);
  *request = (struct request){
    .router = router,
    .account
    = (uint32_t)base_random_below (&fleet->random, fleet->account_count),
    .tokens = 500 + base_random_below (&fleet->random, 8000),
    .began_ms = fleet->now_ms,
  };
  const char *account = account_names[request->account];
  uint32_t lender = request->account % fleet->router_count;
  if (!fleet->has_lenders || lender == (uint32_t)(router - fleet->routers)
      || edge_prepaid_usable_tokens (router->prepaid, account, fleet->now_ms)
             >= request->tokens)
    {
      reserve (request);
      return;
    }
  const struct edge_loan_endpoint endpoint = { 0, (uint16_t)lender };
  request->state = REQUEST_BORROWS;
  request->loan = edge_borrower_ask (
      router->borrower, fleet->routers[lender].name, &endpoint, account,
      request->tokens, request, fleet->now_ms);
}

static void
end_request (struct request *request, uint64_t used_tokens)
{
  struct router *router = request->router;
  router->fleet->used_tokens[request->account] += used_tokens;
  if (request->loan != 0)
    edge_borrower_settle (router->borrower, request->loan, used_tokens,
                          router->fleet->now_ms);
  else
    edge_prepaid_settle (router->prepaid, account_names[request->account],
                         request->tokens, used_tokens);
  request->state = REQUEST_UNUSED;
}

/* Ends the router's process.  All that its requests reserve counts as used. */
static void
crash (struct fleet *fleet, struct router *router)
{
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    {
      struct request *request = &fleet->requests[i];
      if (request->router != router || request->state == REQUEST_UNUSED)
        continue;
      if (request->state == REQUEST_RUNS)
        fleet->used_tokens[request->account] += request->tokens;
      request->state = REQUEST_UNUSED;
    }
  free_router (router);
  start_router (fleet, router);
}

/* Time for which a request of the model waits at most, and percent of the
   waiting requests whose callers leave in a step. */
#define LEAVE_PERCENT 1

static void
step (struct fleet *fleet, uint32_t requests_per_s)
{
  fleet->now_ms += STEP_MS;
  deliver (fleet);
  for (uint32_t i = 0; i < fleet->router_count; i++)
    {
      struct router *router = &fleet->routers[i];
      if (fleet->has_crashes && base_random_below (&fleet->random, 2000) == 0)
        crash (fleet, router);
      run_call (fleet, router);
      edge_lender_run (router->lender, false, fleet->now_ms);
      edge_borrower_run (router->borrower, fleet->now_ms);
      if (base_random_below (&fleet->random, 1000 * fleet->router_count)
          < (uint64_t)requests_per_s * STEP_MS)
        begin_request (fleet, router);
    }
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    {
      struct request *request = &fleet->requests[i];
      if (request->state == REQUEST_WAITS && request->router->is_answered)
        reserve (request);
      else if (request->state == REQUEST_BORROWS
               && happens (fleet, LEAVE_PERCENT))
        end_request (request, 0);
      else if (request->state == REQUEST_RUNS
               && fleet->now_ms >= request->ends_ms)
        end_request (request, request->tokens / 2
                                  + base_random_below (&fleet->random,
                                                       request->tokens / 2));
    }
}

/* Whatever is lost, repeated and reordered, and whoever crashes: what was used
   of an account never exceeds its total. */
static void
test_never_overspent (void)
{
  uint32_t begun = 0;
  uint32_t exhausted = 0;
  for (uint64_t seed = 1; seed <= 60; seed++)
    {
      struct fleet *fleet = set_up (seed, 4, 3, 1500000);
      fleet->lost_percent = 10;
      fleet->repeated_percent = 10;
      fleet->has_crashes = true;
      for (uint32_t i = 0; i < 8000; i++)
        {
          step (fleet, 60);
          for (uint32_t j = 0; j < fleet->account_count; j++)
            g_assert_cmpuint (fleet->used_tokens[j], <=, fleet->total_tokens);
        }
      begun += fleet->begun;
      exhausted += fleet->exhausted;
      tear_down (fleet);
    }
  g_test_message ("%u begun, %u exhausted", begun, exhausted);
  g_assert_cmpuint (begun, >, 20000);
  g_assert_cmpuint (exhausted, >, 500);
}

/* Without crashes each loan is settled with what was used of it. */
static void
test_settled_in_the_end (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct fleet *fleet = set_up (seed, 4, 3, 20000000);
      uint64_t used = 0;
      uint64_t counted = 0;
      fleet->lost_percent = 20;
      fleet->repeated_percent = 10;
      for (uint32_t i = 0; i < 2000; i++)
        step (fleet, 100);
      for (uint32_t i = 0; i < 16000; i++)
        step (fleet, 0);
      for (uint32_t i = 0; i < fleet->router_count; i++)
        {
          g_assert_cmpuint (edge_lender_open (fleet->routers[i].lender), ==,
                            0);
          g_assert_cmpuint (edge_borrower_count (fleet->routers[i].borrower),
                            ==, 0);
          for (uint32_t j = 0; j < fleet->account_count; j++)
            {
              uint64_t reserved, spent;
              edge_prepaid_get_totals (fleet->routers[i].prepaid,
                                       account_names[j], &reserved, &spent);
              g_assert_cmpuint (reserved, ==, 0);
              counted += spent;
            }
        }
      for (uint32_t j = 0; j < fleet->account_count; j++)
        used += fleet->used_tokens[j];
      g_assert_cmpuint (counted, ==, used);
      tear_down (fleet);
    }
}

static uint32_t
slow_percent (bool has_lenders)
{
  struct fleet *fleet = set_up (1, 16, 27, 4000000);
  fleet->has_lenders = has_lenders;
  for (uint32_t i = 0; i < 1000; i++)
    step (fleet, 70);
  fleet->begun = 0;
  fleet->slow = 0;
  for (uint32_t i = 0; i < 3000; i++)
    step (fleet, 70);
  uint32_t percent = 100 * fleet->slow / MAX (fleet->begun, 1);
  g_test_message ("lenders=%d: %u begun, %u of them waited %u ms or more",
                  has_lenders, fleet->begun, fleet->slow, CONTROL_WAY_MS);
  g_assert_cmpuint (fleet->begun, >, 500);
  tear_down (fleet);
  return percent;
}

/* Load pattern: 16 routers, 27 accounts, 70 requests a second, so one request
   of an account in 6 s at each router.  With leases of their own four in five
   requests wait for control. */
static void
test_few_requests_an_account (void)
{
  g_assert_cmpuint (slow_percent (false), >, 50);
  g_assert_cmpuint (slow_percent (true), <, 10);
}

/* Records the last message and outcome. */
struct probe
{
  struct edge_loan_sender sender;
  struct edge_borrower_callbacks callbacks;
  struct loan_message message;
  uint32_t sent;
  uint32_t decided;
  enum edge_borrower_outcome outcome;
};

static void
record_message (struct edge_loan_sender *sender,
                const struct edge_loan_endpoint *to,
                const struct loan_message *message)
{
  struct probe *probe = (struct probe *)sender;
  (void)to;
  probe->message = *message;
  probe->sent++;
}

static void
record_decision (struct edge_borrower_callbacks *callbacks, void *context,
                 const char *lender, enum edge_borrower_outcome outcome)
{
  struct probe *probe = context;
  (void)callbacks;
  (void)lender;
  probe->decided++;
  probe->outcome = outcome;
}

/* A lender that doesn't answer delays a request by 100 ms at most, and the
   wish is withdrawn. */
static void
test_silent_lender (void)
{
  const struct edge_loan_endpoint endpoint = { 0, 1 };
  struct probe probe = { .sender.send = record_message,
                         .callbacks.decided = record_decision };
  struct edge_borrower *borrower
      = edge_borrower_create (&probe.sender, &probe.callbacks);
  edge_borrower_ask (borrower, "r1", &endpoint, "a", 10, &probe, 1000);
  for (uint64_t now_ms = 1000; now_ms < 1100; now_ms += 10)
    edge_borrower_run (borrower, now_ms);
  g_assert_cmpuint (probe.decided, ==, 0);
  g_assert_cmpuint (probe.sent, ==, 2);
  edge_borrower_run (borrower, 1100);
  g_assert_cmpuint (probe.decided, ==, 1);
  g_assert_cmpint (probe.outcome, ==, EDGE_BORROWER_UNANSWERED);
  g_assert_cmpint (probe.message.kind, ==, LOAN_SETTLE);
  g_assert_cmpuint (probe.message.tokens, ==, 0);
  for (uint64_t now_ms = 1100; now_ms < 200000; now_ms += 50)
    edge_borrower_run (borrower, now_ms);
  g_assert_cmpuint (edge_borrower_count (borrower), ==, 0);
  edge_borrower_destroy (borrower);
}

/* A wish that arrives after its withdrawal reserves nothing. */
static void
test_wish_after_settlement (void)
{
  const struct edge_loan_endpoint endpoint = { 0, 1 };
  struct probe probe = { .sender.send = record_message };
  struct edge_prepaid *prepaid = edge_prepaid_create ();
  struct edge_lender *lender = edge_lender_create (prepaid, &probe.sender);
  struct loan_message message = { .kind = LOAN_SETTLE,
                                  .borrower = (char *)"r1",
                                  .incarnation = 7,
                                  .number = 1,
                                  .account = (char *)"a" };
  edge_lender_handle (lender, &message, &endpoint, false, 1000);
  g_assert_cmpint (probe.message.kind, ==, LOAN_SETTLED);
  message.kind = LOAN_ASK;
  message.tokens = 100;
  edge_lender_handle (lender, &message, &endpoint, false, 1010);
  g_assert_cmpint (probe.message.kind, ==, LOAN_DECLINED);
  g_assert_cmpuint (edge_lender_open (lender), ==, 0);
  edge_lender_destroy (lender);
  edge_prepaid_destroy (prepaid);
}

static void
add_peer (struct edge_peers *peers, const char *name, const char *zone)
{
  struct control_router_record record = { .name = (char *)name,
                                          .address = (char *)"127.0.0.1",
                                          .availability_zone = (char *)zone,
                                          .relay_port = 9 };
  edge_peers_merge (peers, 0, &record,
                    strcmp (zone, "z1") == 0 ? PLACE_SAME_ZONE
                                             : PLACE_SAME_REGION);
}

/* The routers of a zone choose the same lender, until it doesn't answer. */
static void
test_choice_of_lender (void)
{
  static const char *const names[] = { "r1", "r2", "r3", "r4" };
  const char *chosen[G_N_ELEMENTS (names)];
  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      struct edge_peers *peers = edge_peers_create ();
      for (uint32_t j = 0; j < G_N_ELEMENTS (names); j++)
        if (j != i)
          add_peer (peers, names[j], "z1");
      add_peer (peers, "other", "z2");
      const struct edge_peer *lender
          = edge_peers_choose_lender (peers, names[i], "a", 1000);
      chosen[i] = lender ? lender->name : g_intern_string (names[i]);
      g_assert_cmpstr (chosen[i], ==, chosen[0]);
      if (lender)
        {
          edge_peers_note_lender_lost (peers, lender->name, 1000);
          lender = edge_peers_choose_lender (peers, names[i], "a", 1500);
          g_assert_true (!lender || lender->name != chosen[i]);
        }
      edge_peers_destroy (peers);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_log_set_level (BASE_LOG_ERROR);
  g_test_add_func ("/edge-loans/never-overspent", test_never_overspent);
  g_test_add_func ("/edge-loans/settled-in-the-end", test_settled_in_the_end);
  g_test_add_func ("/edge-loans/few-requests-an-account",
                   test_few_requests_an_account);
  g_test_add_func ("/edge-loans/silent-lender", test_silent_lender);
  g_test_add_func ("/edge-loans/wish-after-settlement",
                   test_wish_after_settlement);
  g_test_add_func ("/edge-loans/choice-of-lender", test_choice_of_lender);
  return g_test_run ();
}
