#include "control_bucket.h"

#include "wire_control.h"

/* Rate at which a target gets requests even if it takes fewer, in requests per
   1,000 s, where that is allowed.  Only responses show that a limit has ended,
   and hosts must know within two seconds. */
#define RATE_MIN_MRPS 900
/* Requests beyond the rate that a target may get at once, and the time whose
   requests it may get at once. */
#define BURST_PERMITS 3
#define BURST_MS 1500
/* A target may get ALLOWED_FACTOR times what its limit allows, and
   ALLOWED_EXTRA requests, in SPAN_MS; MARGIN_PERMITS of them are left for
   requests that are held up on their way. */
#define SPAN_MS 4000
#define ALLOWED_FACTOR_PERCENT 150
#define ALLOWED_EXTRA 5
#define MARGIN_PERMITS 1
/* Time after a grant by which the router has told what became of it, unless it
   ended: the permits' lifetime and some calls. */
#define GRANT_LIFETIME_MS (CONTROL_PERMIT_MS + 2000)

/* Permits that may be used in SPAN_MS, in millionths.  Requests per 1,000 s
   times milliseconds are millionths of a request. */
static uint64_t
allowed_micro (uint64_t rate_mrps)
{
  return rate_mrps * SPAN_MS * ALLOWED_FACTOR_PERCENT / 100
         + (ALLOWED_EXTRA - MARGIN_PERMITS) * CONTROL_BUCKET_MICRO;
}

/* Leaves room for a burst of one permit. */
static uint64_t
effective_rate_mrps (uint64_t rate_mrps)
{
  uint64_t most_mrps
      = (allowed_micro (rate_mrps) - CONTROL_BUCKET_MICRO) / SPAN_MS;
  return MAX (rate_mrps, MIN (most_mrps, RATE_MIN_MRPS));
}

/* Permits that may be used at once; with those of SPAN_MS never more than the
   target may get in that time. */
static uint64_t
burst_micro (uint64_t rate_mrps)
{
  uint64_t burst = rate_mrps * BURST_MS + BURST_PERMITS * CONTROL_BUCKET_MICRO;
  return MIN (burst, allowed_micro (rate_mrps)
                         - effective_rate_mrps (rate_mrps) * SPAN_MS);
}

static uint64_t
unused_micro (const struct control_bucket *bucket)
{
  uint64_t permits = 0;
  for (guint i = 0; i < bucket->grants->len; i++)
    permits += g_array_index (bucket->grants, struct control_bucket_grant, i)
                   .permits;
  return permits * CONTROL_BUCKET_MICRO;
}

static void
cap_level (struct control_bucket *bucket)
{
  uint64_t burst = burst_micro (bucket->rate_mrps);
  uint64_t unused = unused_micro (bucket);
  bucket->level_micro
      = MIN (bucket->level_micro, burst > unused ? burst - unused : 0);
}

uint64_t
control_bucket_most_micro (uint64_t rate_mrps, uint32_t span_ms)
{
  return burst_micro (rate_mrps) + effective_rate_mrps (rate_mrps) * span_ms;
}

void
control_bucket_init (struct control_bucket *bucket, uint64_t rate_mrps,
                     uint64_t now_ms)
{
  *bucket = (struct control_bucket){
    .rate_mrps = rate_mrps,
    .refilled_ms = now_ms,
    .grants = g_array_new (FALSE, FALSE, sizeof (struct control_bucket_grant)),
  };
}

void
control_bucket_clear (struct control_bucket *bucket)
{
  g_array_unref (bucket->grants);
}

void
control_bucket_set_rate (struct control_bucket *bucket, uint64_t rate_mrps,
                         uint64_t now_ms)
{
  control_bucket_refill (bucket, now_ms);
  bucket->rate_mrps = rate_mrps;
  cap_level (bucket);
}

void
control_bucket_refill (struct control_bucket *bucket, uint64_t now_ms)
{
  GArray *grants = bucket->grants;
  while (grants->len > 0
         && g_array_index (grants, struct control_bucket_grant, 0).granted_ms
                    + GRANT_LIFETIME_MS
                <= now_ms)
    g_array_remove_index (grants, 0);
  bucket->level_micro += effective_rate_mrps (bucket->rate_mrps)
                         * (now_ms - bucket->refilled_ms);
  bucket->refilled_ms = now_ms;
  cap_level (bucket);
}

bool
control_bucket_has_permits (const struct control_bucket *bucket,
                            uint32_t permits)
{
  return bucket->level_micro >= permits * CONTROL_BUCKET_MICRO;
}

void
control_bucket_grant (struct control_bucket *bucket, uint64_t router_hash,
                      uint64_t now_ms)
{
  GArray *grants = bucket->grants;
  struct control_bucket_grant *last
      = grants->len > 0 ? &g_array_index (grants, struct control_bucket_grant,
                                          grants->len - 1)
                        : NULL;
  bucket->level_micro -= CONTROL_BUCKET_MICRO;
  if (last && last->router_hash == router_hash && last->granted_ms == now_ms)
    {
      last->permits++;
      return;
    }
  struct control_bucket_grant grant = { router_hash, now_ms, 1 };
  g_array_append_val (grants, grant);
}

/* Takes up to @p permits of the router's oldest grants away.  Returns how
   many. */
static uint32_t
take_back (struct control_bucket *bucket, uint64_t router_hash,
           uint32_t permits)
{
  uint32_t taken = 0;
  for (guint i = 0; i < bucket->grants->len && taken < permits;)
    {
      struct control_bucket_grant *grant
          = &g_array_index (bucket->grants, struct control_bucket_grant, i);
      uint32_t count = 0;
      if (grant->router_hash == router_hash)
        count = MIN (grant->permits, permits - taken);
      grant->permits -= count;
      taken += count;
      if (grant->permits == 0)
        g_array_remove_index (bucket->grants, i);
      else
        i++;
    }
  return taken;
}

void
control_bucket_record_use (struct control_bucket *bucket, uint64_t router_hash,
                           uint32_t used, uint32_t returned)
{
  take_back (bucket, router_hash, used);
  bucket->level_micro
      += take_back (bucket, router_hash, returned) * CONTROL_BUCKET_MICRO;
  cap_level (bucket);
}
