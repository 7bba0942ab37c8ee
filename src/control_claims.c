#include "control_claims.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"

/* Retention time of a key, in ms. */
#define RETENTION_MS (UINT64_C (24) * 60 * 60 * 1000)
/* Maximum number of keys, and of bytes of answers. */
#define CLAIMS_MAX 200000u
#define ANSWERS_BYTES_MAX (UINT64_C (128) * 1024 * 1024)

/* State of a key whose last claim is proven not to have run.  The key is kept
   so that a late copy of that claim is not granted. */
#define CLAIM_FREED ((enum control_claim_state)100)

/* A claimed key; account_id and key are the table's key. */
struct claim
{
  uint64_t account_id;
  uint8_t key[WIRE_DIGEST_BYTES];
  /* Node in the queue by age. */
  GList link;
  uint8_t body_digest[WIRE_DIGEST_BYTES];
  char *router;
  uint64_t router_incarnation;
  uint64_t claim_id;
  uint64_t claimed_at_ms;
  enum control_claim_state state;
  uint32_t http_status;
  uint64_t billed_tokens;
  uint32_t body_bytes;
  char *body;
};

struct control_claims
{
  /* Set of struct claim. */
  GHashTable *table;
  /* All claims, oldest first. */
  GQueue by_age;
  uint64_t answer_bytes;
};

static guint
hash_claim (gconstpointer data)
{
  const struct claim *claim = data;
  return (guint)(base_hash64 (claim->key, sizeof claim->key)
                 ^ claim->account_id);
}

static gboolean
equal_claims (gconstpointer left, gconstpointer right)
{
  const struct claim *a = left;
  const struct claim *b = right;
  return a->account_id == b->account_id
         && memcmp (a->key, b->key, sizeof a->key) == 0;
}

static void
free_claim (gpointer data)
{
  struct claim *claim = data;
  free (claim->router);
  free (claim->body);
  g_free (claim);
}

struct control_claims *
control_claims_create (void)
{
  struct control_claims *claims = g_new0 (struct control_claims, 1);
  claims->table
      = g_hash_table_new_full (hash_claim, equal_claims, free_claim, NULL);
  g_queue_init (&claims->by_age);
  return claims;
}

void
control_claims_destroy (struct control_claims *claims)
{
  g_hash_table_unref (claims->table);
  g_free (claims);
}

uint32_t
control_claims_count (const struct control_claims *claims)
{
  return g_hash_table_size (claims->table);
}

static struct claim *
find_claim (const struct control_claims *claims, uint64_t account_id,
            const char *key)
{
  struct claim wanted = { .account_id = account_id };
  memcpy (wanted.key, key, sizeof wanted.key);
  return g_hash_table_lookup (claims->table, &wanted);
}

static void
add_claim (struct control_claims *claims, struct claim *claim)
{
  claim->link.data = claim;
  g_queue_push_tail_link (&claims->by_age, &claim->link);
  g_hash_table_add (claims->table, claim);
  claims->answer_bytes += claim->body_bytes;
}

static void
drop_claim (struct control_claims *claims, struct claim *claim)
{
  claims->answer_bytes -= claim->body_bytes;
  g_queue_unlink (&claims->by_age, &claim->link);
  g_hash_table_remove (claims->table, claim);
}

static void
set_answer (struct control_answer *answer, enum control_status status,
            const char *text)
{
  answer->status = status;
  answer->leader_address = strdup ("");
  answer->text = strdup (text);
}

static void
grant (struct control_claims *claims, const struct control_claim_args *args,
       uint64_t now_ms)
{
  struct claim *claim = g_new0 (struct claim, 1);
  claim->account_id = args->account_id;
  memcpy (claim->key, args->key, sizeof claim->key);
  memcpy (claim->body_digest, args->body_digest, sizeof claim->body_digest);
  claim->router = strdup (args->router);
  claim->router_incarnation = args->router_incarnation;
  claim->claim_id = args->claim_id;
  claim->claimed_at_ms = now_ms;
  claim->state = CONTROL_CLAIM_RUNNING;
  add_claim (claims, claim);
}

/* Records that this claim was abandoned, before or after it arrived. */
static void
record_freed (struct control_claims *claims,
              const struct control_finish_args *args, uint64_t now_ms)
{
  struct claim *claim = g_new0 (struct claim, 1);
  if (control_claims_count (claims) >= CLAIMS_MAX)
    {
      g_free (claim);
      return;
    }
  claim->account_id = args->account_id;
  memcpy (claim->key, args->key, sizeof claim->key);
  claim->router = strdup (args->router);
  claim->router_incarnation = args->router_incarnation;
  claim->claim_id = args->claim_id;
  claim->claimed_at_ms = now_ms;
  claim->state = CLAIM_FREED;
  add_claim (claims, claim);
}

static bool
same_claim (const struct claim *claim, const char *router,
            uint64_t incarnation, uint64_t claim_id)
{
  return claim->router_incarnation == incarnation
         && claim->claim_id == claim_id && strcmp (claim->router, router) == 0;
}

/* Answers a claim of a key that is in the table. */
static void
answer_known (const struct claim *claim, const struct control_claim_args *args,
              struct control_claim_result *result)
{
  bool own = same_claim (claim, args->router, args->router_incarnation,
                         args->claim_id);
  if (memcmp (claim->body_digest, args->body_digest, sizeof claim->body_digest)
      != 0)
    {
      set_answer (&result->answer, CONTROL_CONFLICT,
                  "the key was used for another request");
      return;
    }
  set_answer (&result->answer, CONTROL_OK, "");
  result->state = claim->state;
  if (claim->state == CONTROL_CLAIM_RUNNING && own)
    result->state = CONTROL_CLAIM_GRANTED;
  if (claim->state != CONTROL_CLAIM_DONE)
    return;
  result->http_status = claim->http_status;
  result->billed_tokens = claim->billed_tokens;
  result->body.body_len = claim->body_bytes;
  result->body.body_val = malloc (claim->body_bytes + 1);
  memcpy (result->body.body_val, claim->body, claim->body_bytes);
}

void
control_claims_claim (struct control_claims *claims,
                      const struct control_claim_args *args, uint64_t now_ms,
                      struct control_claim_result *result)
{
  struct claim *known = find_claim (claims, args->account_id, args->key);
  result->state = CONTROL_CLAIM_RUNNING;
  if (known && known->state == CLAIM_FREED
      && !same_claim (known, args->router, args->router_incarnation,
                      args->claim_id))
    {
      drop_claim (claims, known);
      known = NULL;
    }
  if (known && known->state == CLAIM_FREED)
    set_answer (&result->answer, CONTROL_REFUSED,
                "the claim was ended as not run");
  else if (known)
    answer_known (known, args, result);
  else if (control_claims_count (claims) >= CLAIMS_MAX
           || claims->answer_bytes >= ANSWERS_BYTES_MAX)
    set_answer (
        &result->answer, CONTROL_REFUSED,
        "the table of claims is full: too many keys or answers within the "
        "retention time");
  else
    {
      grant (claims, args, now_ms);
      set_answer (&result->answer, CONTROL_OK, "");
      result->state = CONTROL_CLAIM_GRANTED;
    }
}

static bool
owns (const struct claim *claim, const struct control_finish_args *args)
{
  return claim->router_incarnation == args->router_incarnation
         && strcmp (claim->router, args->router) == 0
         && (args->claim_id == 0 || args->claim_id == claim->claim_id);
}

static void
store_answer (struct control_claims *claims, struct claim *claim,
              const struct control_finish_args *args)
{
  claim->state = CONTROL_CLAIM_DONE;
  claim->http_status = args->http_status;
  claim->billed_tokens = args->billed_tokens;
  claim->body_bytes = args->body.body_len;
  free (claim->body);
  claim->body = malloc (claim->body_bytes + 1);
  memcpy (claim->body, args->body.body_val, claim->body_bytes);
  claims->answer_bytes += claim->body_bytes;
}

/* Ends the owner's claim.  A claim that became unknown may still become done,
   or be released by the one attempt that can have dispatched the call. */
static void
end_claim (struct control_claims *claims, struct claim *claim,
           const struct control_finish_args *args, uint64_t now_ms)
{
  if (args->not_run
      && (claim->state == CONTROL_CLAIM_RUNNING
          || claim->claim_id == args->claim_id))
    {
      drop_claim (claims, claim);
      record_freed (claims, args, now_ms);
    }
  else if (args->known && !args->not_run)
    store_answer (claims, claim, args);
  else
    claim->state = CONTROL_CLAIM_UNKNOWN;
}

void
control_claims_finish (struct control_claims *claims,
                       const struct control_finish_args *args, uint64_t now_ms,
                       struct control_answer *result)
{
  struct claim *claim = find_claim (claims, args->account_id, args->key);
  if (!claim && args->not_run)
    {
      record_freed (claims, args, now_ms);
      set_answer (result, CONTROL_OK, "");
    }
  else if (!claim || (claim->state == CLAIM_FREED && !args->not_run))
    set_answer (result, CONTROL_NOT_FOUND, "");
  else if (claim->state == CLAIM_FREED)
    set_answer (result, CONTROL_OK, "");
  else if (!owns (claim, args))
    set_answer (result, CONTROL_CONFLICT, "another attempt holds the key");
  else
    {
      if (claim->state != CONTROL_CLAIM_DONE)
        end_claim (claims, claim, args, now_ms);
      set_answer (result, CONTROL_OK, "");
    }
}

void
control_claims_mark_unknown (struct control_claims *claims, const char *router,
                             uint64_t incarnation)
{
  for (GList *link = claims->by_age.head; link; link = link->next)
    {
      struct claim *claim = link->data;
      if (claim->state == CONTROL_CLAIM_RUNNING
          && claim->router_incarnation == incarnation
          && strcmp (claim->router, router) == 0)
        claim->state = CONTROL_CLAIM_UNKNOWN;
    }
}

void
control_claims_expire (struct control_claims *claims, uint64_t now_ms)
{
  GList *link = claims->by_age.head;
  while (link)
    {
      struct claim *claim = link->data;
      link = link->next;
      if (now_ms < claim->claimed_at_ms + RETENTION_MS)
        break;
      if (claim->state != CONTROL_CLAIM_RUNNING)
        drop_claim (claims, claim);
    }
}

static void
save_claim (const struct claim *claim, struct control_claim_image *image)
{
  image->account_id = claim->account_id;
  memcpy (image->key, claim->key, sizeof claim->key);
  memcpy (image->body_digest, claim->body_digest, sizeof claim->body_digest);
  image->router = strdup (claim->router);
  image->router_incarnation = claim->router_incarnation;
  image->claim_id = claim->claim_id;
  image->claimed_at_ms = claim->claimed_at_ms;
  image->state = claim->state;
  image->http_status = claim->http_status;
  image->billed_tokens = claim->billed_tokens;
  image->body.body_len = claim->body_bytes;
  image->body.body_val = malloc (claim->body_bytes + 1);
  if (claim->body_bytes > 0)
    memcpy (image->body.body_val, claim->body, claim->body_bytes);
}

void
control_claims_save (const struct control_claims *claims,
                     struct control_state_image *image)
{
  u_int count = 0;
  image->claims.claims_val = calloc (claims->by_age.length + 1,
                                     sizeof (struct control_claim_image));
  for (GList *link = claims->by_age.head; link; link = link->next)
    save_claim (link->data, &image->claims.claims_val[count++]);
  image->claims.claims_len = count;
}

void
control_claims_load (struct control_claims *claims,
                     const struct control_state_image *image)
{
  for (u_int i = 0; i < image->claims.claims_len; i++)
    {
      const struct control_claim_image *from = &image->claims.claims_val[i];
      struct claim *claim = g_new0 (struct claim, 1);
      claim->account_id = from->account_id;
      memcpy (claim->key, from->key, sizeof claim->key);
      memcpy (claim->body_digest, from->body_digest,
              sizeof claim->body_digest);
      claim->router = strdup (from->router);
      claim->router_incarnation = from->router_incarnation;
      claim->claim_id = from->claim_id;
      claim->claimed_at_ms = from->claimed_at_ms;
      claim->state = from->state;
      claim->http_status = from->http_status;
      claim->billed_tokens = from->billed_tokens;
      claim->body_bytes = from->body.body_len;
      claim->body = malloc (claim->body_bytes + 1);
      memcpy (claim->body, from->body.body_val, claim->body_bytes);
      add_claim (claims, claim);
    }
}
