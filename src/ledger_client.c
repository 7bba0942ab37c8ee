#include "ledger_client.h"

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_hash.h"
#include "escrow_ledger.h"
#include "ledger_link.h"

/* Time for which a reservation is retried at a ledger that lacks tokens but
   may get more soon, in ms. */
#define NO_BUDGET_RETRY_MS 500
/* Tiers of ledgers: 0 same availability zone, 1 same region, 2 elsewhere. */
#define TIER_COUNT 3

struct ledger_client
{
  struct ledger_link_callbacks base;
  struct ledger_link_identity identity;
  char *cluster;
  char *router;
  char *availability_zone;
  char *region;
  atomic_uint_least64_t last_id;
  /* Guards the links and their tiers and hashes. */
  GRWLock lock;
  struct ledger_link *links[LEDGER_LINKS_MAX];
  int tiers[LEDGER_LINKS_MAX];
  uint64_t name_hashes[LEDGER_LINKS_MAX];
  uint32_t link_count;
  atomic_bool stopping;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* Ends a request with @p result and calls done. */
static void
finish (struct ledger_work *work, const struct ledger_op_result *result,
        bool lost)
{
  struct ledger_request *request = work->request;
  request->result = *result;
  request->lost = lost;
  g_free (work);
  request->done (request);
}

/* Seed of the rendezvous hash that orders the ledgers of a tier: the key, if
   the caller gave one, so that a retry through any router of the region
   reaches the ledger with its bill; else the budget. */
static uint64_t
rank_seed (const struct ledger_reserve *reserve)
{
  if (!reserve->key_from_caller)
    return reserve->budget_id;
  return base_hash64 (reserve->key, sizeof reserve->key) ^ reserve->account_id;
}

/* Tier of a link for the reservation.  With a caller's key all ledgers of the
   region are one tier, since the caller may retry in another zone. */
static int
tier_for (const struct ledger_client *client, uint32_t index,
          const struct ledger_reserve *reserve)
{
  int tier = client->tiers[index];
  return reserve->key_from_caller && tier == 0 ? 1 : tier;
}

static uint64_t
rank_of (const struct ledger_client *client, uint32_t index, uint64_t seed)
{
  uint64_t pair[2] = { client->name_hashes[index], seed };
  return base_hash64 (pair, sizeof pair);
}

/* Whether link @p a is preferred to link @p b: a healthy link first, then the
   nearer tier, then the rank. */
static bool
is_preferred (struct ledger_client *client, uint32_t a, uint32_t b,
              const struct ledger_reserve *reserve)
{
  bool healthy_a = ledger_link_is_healthy (client->links[a]);
  bool healthy_b = ledger_link_is_healthy (client->links[b]);
  int tier_a = tier_for (client, a, reserve);
  int tier_b = tier_for (client, b, reserve);
  uint64_t seed = rank_seed (reserve);
  if (healthy_a != healthy_b)
    return healthy_a;
  if (tier_a != tier_b)
    return tier_a < tier_b;
  return rank_of (client, a, seed) < rank_of (client, b, seed);
}

/* Returns the preferred link among those not yet tried, or -1. */
static int
choose_link (struct ledger_client *client, const struct ledger_work *work)
{
  int best = -1;
  const struct ledger_reserve *reserve
      = &work->request->op.ledger_op_u.reserve;
  for (uint32_t i = 0; i < client->link_count; i++)
    {
      if (!ledger_link_is_listed (client->links[i])
          || work->tried_links & (UINT64_C (1) << i))
        continue;
      if (best < 0 || is_preferred (client, i, (uint32_t)best, reserve))
        best = (int)i;
    }
  return best;
}

/* Queues the work at the next link.  Returns false when all links were tried
   or the client is stopping. */
static bool
route (struct ledger_client *client, struct ledger_work *work)
{
  if (atomic_load (&client->stopping))
    return false;
  g_rw_lock_reader_lock (&client->lock);
  int index = choose_link (client, work);
  if (index >= 0)
    {
      work->request->ledger = (uint32_t)index;
      work->sent = false;
      work->not_before_ms = 0;
      ledger_link_push (client->links[index], work);
    }
  g_rw_lock_reader_unlock (&client->lock);
  return index >= 0;
}

static struct ledger_link *
link_of (struct ledger_client *client, const struct ledger_work *work)
{
  g_rw_lock_reader_lock (&client->lock);
  struct ledger_link *link = client->links[work->request->ledger];
  g_rw_lock_reader_unlock (&client->lock);
  return link;
}

static void
mark_tried (struct ledger_work *work)
{
  work->tried_links |= UINT64_C (1) << work->request->ledger;
}

/* Handles a refusal for lack of tokens: retries at this ledger while it may
   get more soon, then at the other ledgers, then ends the request. */
static void
handle_no_budget (struct ledger_client *client, struct ledger_work *work,
                  const struct ledger_op_result *result)
{
  uint64_t now = now_ms ();
  uint64_t next = now + result->retry_after_ms;
  struct ledger_op_result final = *result;
  work->free_tokens = MAX (work->free_tokens, result->tokens);
  work->had_no_budget = true;
  work->sent = false;
  if (result->retry_after_ms < ESCROW_RETRY_LATER_MS
      && next < work->request->deadline_ms
      && next < work->submitted_ms + NO_BUDGET_RETRY_MS
      && !atomic_load (&client->stopping))
    {
      work->not_before_ms = next;
      ledger_link_push (link_of (client, work), work);
      return;
    }
  mark_tried (work);
  if (work->request->deadline_ms > now && route (client, work))
    return;
  final.tokens = work->free_tokens;
  final.retry_after_ms = ESCROW_RETRY_LATER_MS;
  finish (work, &final, false);
}

static void
handle_answer (struct ledger_link_callbacks *user, struct ledger_work *work,
               const struct ledger_op_result *result)
{
  struct ledger_client *client = (struct ledger_client *)user;
  bool reserve = work->request->op.kind == LEDGER_RESERVE;
  if (reserve && result->status == LEDGER_NO_BUDGET)
    {
      handle_no_budget (client, work, result);
      return;
    }
  if (reserve && result->status == LEDGER_UNAVAILABLE)
    {
      mark_tried (work);
      if (route (client, work))
        return;
    }
  finish (work, result, false);
}

/* Handles a reservation without an answer: queues a release at the ledger,
   which may hold the reservation, and tries the next ledger if the deadline
   has not passed. */
static void
handle_failure (struct ledger_link_callbacks *user, struct ledger_work *work)
{
  struct ledger_client *client = (struct ledger_client *)user;
  struct ledger_op_result unavailable = { .status = LEDGER_UNAVAILABLE };
  bool lost = work->sent;
  if (lost)
    ledger_link_queue_release (
        link_of (client, work),
        work->request->op.ledger_op_u.reserve.reservation_id);
  mark_tried (work);
  if (work->request->deadline_ms > now_ms () && route (client, work))
    return;
  if (work->had_no_budget)
    {
      unavailable.status = LEDGER_NO_BUDGET;
      unavailable.tokens = work->free_tokens;
      unavailable.retry_after_ms = ESCROW_RETRY_LATER_MS;
    }
  finish (work, &unavailable, lost);
}

struct ledger_client *
ledger_client_create (const char *cluster, const char *router,
                      uint64_t incarnation, const char *availability_zone,
                      const char *region)
{
  struct ledger_client *client = g_new0 (struct ledger_client, 1);
  client->base.answered = handle_answer;
  client->base.failed = handle_failure;
  client->cluster = g_strdup (cluster);
  client->router = g_strdup (router);
  client->availability_zone = g_strdup (availability_zone);
  client->region = g_strdup (region);
  client->identity.cluster = client->cluster;
  client->identity.router = client->router;
  client->identity.incarnation = incarnation;
  g_rw_lock_init (&client->lock);
  return client;
}

uint32_t
ledger_client_destroy (struct ledger_client *client, uint32_t drain_ms)
{
  uint32_t unanswered = 0;
  if (!client)
    return 0;
  atomic_store (&client->stopping, true);
  uint64_t end_ms = now_ms () + drain_ms;
  for (uint32_t i = 0; i < client->link_count; i++)
    ledger_link_stop (client->links[i], end_ms);
  for (uint32_t i = 0; i < client->link_count; i++)
    unanswered += ledger_link_destroy (client->links[i]);
  g_rw_lock_clear (&client->lock);
  g_free (client->cluster);
  g_free (client->router);
  g_free (client->availability_zone);
  g_free (client->region);
  g_free (client);
  return unanswered;
}

static int
tier_of (const struct ledger_client *client,
         const struct ledger_endpoint *endpoint)
{
  if (g_str_equal (client->region, endpoint->region))
    return g_str_equal (client->availability_zone, endpoint->availability_zone)
               ? 0
               : 1;
  return TIER_COUNT - 1;
}

/* Returns the link to the ledger named @p name, or link_count. */
static uint32_t
find_link (struct ledger_client *client, const char *name)
{
  struct ledger_endpoint known;
  for (uint32_t i = 0; i < client->link_count; i++)
    {
      ledger_link_endpoint (client->links[i], &known);
      if (g_str_equal (known.name, name))
        return i;
    }
  return client->link_count;
}

static void
add_or_update_link (struct ledger_client *client,
                    const struct ledger_endpoint *endpoint)
{
  uint32_t index = find_link (client, endpoint->name);
  if (index >= LEDGER_LINKS_MAX)
    return;
  client->tiers[index] = tier_of (client, endpoint);
  client->name_hashes[index] = base_hash_string (endpoint->name);
  if (index < client->link_count)
    ledger_link_set_endpoint (client->links[index], endpoint);
  else
    {
      client->links[index] = ledger_link_create (
          index, endpoint, &client->identity, &client->base);
      client->link_count++;
    }
  ledger_link_set_listed (client->links[index], true,
                          client->tiers[index] < TIER_COUNT - 1);
}

static bool
is_listed (const struct ledger_endpoint *ledgers, uint32_t count,
           const char *name)
{
  for (uint32_t i = 0; i < count; i++)
    if (g_str_equal (ledgers[i].name, name))
      return true;
  return false;
}

void
ledger_client_set_ledgers (struct ledger_client *client,
                           const struct ledger_endpoint *ledgers,
                           uint32_t count)
{
  struct ledger_endpoint known;
  g_rw_lock_writer_lock (&client->lock);
  for (uint32_t i = 0; i < count; i++)
    add_or_update_link (client, &ledgers[i]);
  for (uint32_t i = 0; i < client->link_count; i++)
    {
      ledger_link_endpoint (client->links[i], &known);
      if (!is_listed (ledgers, count, known.name))
        ledger_link_set_listed (client->links[i], false, false);
    }
  g_rw_lock_writer_unlock (&client->lock);
}

uint64_t
ledger_client_next_id (struct ledger_client *client)
{
  return atomic_fetch_add (&client->last_id, 1) + 1;
}

void
ledger_client_submit (struct ledger_client *client,
                      struct ledger_request *request)
{
  struct ledger_op_result unavailable = { .status = LEDGER_UNAVAILABLE };
  struct ledger_work *work = g_new0 (struct ledger_work, 1);
  work->request = request;
  work->submitted_ms = now_ms ();
  if (request->op.kind == LEDGER_RESERVE)
    {
      if (!route (client, work))
        finish (work, &unavailable, false);
      return;
    }
  g_rw_lock_reader_lock (&client->lock);
  struct ledger_link *link = request->ledger < client->link_count
                                 ? client->links[request->ledger]
                                 : NULL;
  g_rw_lock_reader_unlock (&client->lock);
  if (link)
    ledger_link_push (link, work);
  else
    finish (work, &unavailable, false);
}

bool
ledger_client_is_ready (struct ledger_client *client)
{
  bool ready = false;
  uint64_t now = now_ms ();
  g_rw_lock_reader_lock (&client->lock);
  for (uint32_t i = 0; i < client->link_count; i++)
    {
      uint64_t answered_ms = ledger_link_answered_ms (client->links[i]);
      if (answered_ms != 0 && answered_ms + CACTUS_LEDGER_LEASE_MS > now)
        ready = true;
    }
  g_rw_lock_reader_unlock (&client->lock);
  return ready;
}
