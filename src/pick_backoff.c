#include "pick.h"

/* Backoff after the first failure; it doubles with each further one. */
#define BACKOFF_MIN_MS 250
#define BACKOFF_MAX_MS 16000
/* Time after which another probe may be sent if the last one showed no
   success. */
#define PROBE_TIMEOUT_MS 2000

static uint64_t
backoff_ms (uint32_t failures)
{
  uint64_t delay_ms = BACKOFF_MIN_MS;
  for (uint32_t i = 1; i < failures && delay_ms < BACKOFF_MAX_MS; i++)
    delay_ms *= 2;
  return delay_ms < BACKOFF_MAX_MS ? delay_ms : BACKOFF_MAX_MS;
}

bool
pick_claim_probe (struct registry_load *load, uint64_t now_ms)
{
  if (__atomic_load_n (&load->failures, __ATOMIC_ACQUIRE) == 0)
    return true;
  uint64_t until = __atomic_load_n (&load->backoff_until_ms, __ATOMIC_ACQUIRE);
  if (until > now_ms)
    return false;
  if (!__atomic_compare_exchange_n (&load->backoff_until_ms, &until,
                                    now_ms + PROBE_TIMEOUT_MS, false,
                                    __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE))
    return false;
  __atomic_store_n (&load->probing, 1, __ATOMIC_RELEASE);
  return true;
}

void
pick_acquire (struct registry_load *load)
{
  __atomic_add_fetch (&load->open, 1, __ATOMIC_RELAXED);
  __atomic_add_fetch (&load->sent_since_report, 1, __ATOMIC_RELAXED);
}

void
pick_note_success (struct registry_load *load)
{
  if (__atomic_load_n (&load->failures, __ATOMIC_ACQUIRE) == 0)
    return;
  if (__atomic_exchange_n (&load->probing, 0, __ATOMIC_ACQ_REL) == 0)
    return;
  __atomic_store_n (&load->failures, 0, __ATOMIC_RELEASE);
  __atomic_store_n (&load->backoff_until_ms, 0, __ATOMIC_RELEASE);
}

/* Counts a failure.  During backoff, failures of requests that were sent
   before it don't count, unless a probe is in progress, which may be the one
   that failed. */
static void
count_failure (struct registry_load *load, uint64_t now_ms)
{
  uint64_t until = __atomic_load_n (&load->backoff_until_ms, __ATOMIC_ACQUIRE);
  bool probed = __atomic_exchange_n (&load->probing, 0, __ATOMIC_ACQ_REL) != 0;
  if (until > now_ms && !probed)
    return;
  uint32_t failures
      = __atomic_add_fetch (&load->failures, 1, __ATOMIC_ACQ_REL);
  __atomic_store_n (&load->backoff_until_ms, now_ms + backoff_ms (failures),
                    __ATOMIC_RELEASE);
}

void
pick_release (struct registry_load *load, bool failed, uint64_t now_ms)
{
  __atomic_sub_fetch (&load->open, 1, __ATOMIC_RELAXED);
  if (failed)
    count_failure (load, now_ms);
  else
    pick_note_success (load);
}
