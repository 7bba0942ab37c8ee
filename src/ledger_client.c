#include "ledger_client.h"

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_hash.h"
#include "escrow_ledger.h"
#include "ledger_link.h"

/* Longest time over which a refusal that may pass is tried again, in ms. */
#define NO_BUDGET_WAIT_MS 500
/* Tiers of ledgers: same zone, same region, elsewhere. */
#define TIERS 3

struct ledger_client
{
  struct ledger_link_callbacks base;
  struct ledger_link_identity identity;
  char *cluster;
  char *router;
  char *availability_zone;
  char *region;
  atomic_uint_least64_t last_id;
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

/* What decides between ledgers of a tier: the key where a caller gave one, so
   that a retry through any router of the region meets its bill, else the
   budget. */
static uint64_t
rank_seed (const struct ledger_reserve *reserve)
{
  if (!reserve->key_from_caller)
    return reserve->budget_id;
  return base_hash64 (reserve->key, sizeof reserve->key) ^ reserve->account_id;
}

/* Tier of a link for the reservation: the zones of a region count as one for
   a caller's key. */
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

/* Whether link @p a goes before link @p b: one that answers, then the nearer
   tier, then the rank. */
static bool
goes_before (struct ledger_client *client, uint32_t a, uint32_t b,
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

/* The best link that the work was not tried at, or -1. */
static int
choose_link (struct ledger_client *client, const struct ledger_work *work)
{
  int best = -1;
  const struct ledger_reserve *reserve
      = &work->request->op.ledger_op_u.reserve;
  for (uint32_t i = 0; i < client->link_count; i++)
    {
      if (!ledger_link_is_listed (client->links[i])
          || work->tried & (UINT64_C (1) << i))
        continue;
      if (best < 0 || goes_before (client, i, (uint32_t)best, reserve))
        best = (int)i;
    }
  return best;
}

/* Sends the work to the next link; false when none is left. */
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
  work->tried |= UINT64_C (1) << work->request->ledger;
}

/* A refusal for lack of tokens: waits a moment at this ledger, then asks the
   others, then is final. */
static void
refused (struct ledger_client *client, struct ledger_work *work,
         const struct ledger_op_result *result)
{
  uint64_t now = now_ms ();
  uint64_t next = now + result->retry_after_ms;
  struct ledger_op_result final = *result;
  work->free_tokens = MAX (work->free_tokens, result->tokens);
  work->refused = true;
  work->sent = false;
  if (result->retry_after_ms < ESCROW_RETRY_LATER_MS
      && next < work->request->deadline_ms
      && next < work->submitted_ms + NO_BUDGET_WAIT_MS
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
on_answered (struct ledger_link_callbacks *user, struct ledger_work *work,
             const struct ledger_op_result *result)
{
  struct ledger_client *client = (struct ledger_client *)user;
  bool reserve = work->request->op.kind == LEDGER_RESERVE;
  if (reserve && result->status == LEDGER_NO_BUDGET)
    {
      refused (client, work, result);
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

/* No answer to a reservation: what the ledger may hold is released, and the
   next ledger is asked while there is time. */
static void
on_failed (struct ledger_link_callbacks *user, struct ledger_work *work)
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
  if (work->refused)
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
  client->base.answered = on_answered;
  client->base.failed = on_failed;
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
  return TIERS - 1;
}

/* Number of the link to the ledger of that name, or link_count. */
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
set_ledger (struct ledger_client *client,
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
                          client->tiers[index] < TIERS - 1);
}

static bool
is_named (const struct ledger_endpoint *ledgers, uint32_t count,
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
    set_ledger (client, &ledgers[i]);
  for (uint32_t i = 0; i < client->link_count; i++)
    {
      ledger_link_endpoint (client->links[i], &known);
      if (!is_named (ledgers, count, known.name))
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
