#include "registry_load.h"

#include <glib.h>

/* Number of samples kept; one each 100 ms covers lapse_ms.  It is a power of
   two so that indexes stay in sequence when sample_count overflows. */
#define SAMPLES 32
#define SAMPLE_INTERVAL_MS 100

/* Counts of this router's requests at one moment. */
struct load_sample
{
  uint64_t time_ms;
  uint32_t open;
  uint32_t sent;
};

/* A load with the members that only references and the registry's writer
   use. */
struct load_holder
{
  struct registry_load load;
  uint32_t references;
  /* Number of this router's requests sent up to the last report;
     sent_since_report counts from there. */
  uint32_t sent_before;
  uint32_t sample_count;
  struct load_sample samples[SAMPLES];
};

struct registry_load *
registry_load_create (void)
{
  struct load_holder *holder = g_new0 (struct load_holder, 1);
  holder->references = 1;
  return &holder->load;
}

struct registry_load *
registry_load_ref (struct registry_load *load)
{
  struct load_holder *holder = (struct load_holder *)load;
  __atomic_add_fetch (&holder->references, 1, __ATOMIC_RELAXED);
  return load;
}

void
registry_load_unref (struct registry_load *load)
{
  struct load_holder *holder = (struct load_holder *)load;
  if (!load)
    return;
  if (__atomic_sub_fetch (&holder->references, 1, __ATOMIC_ACQ_REL) == 0)
    g_free (holder);
}

static struct load_sample
current_sample (const struct load_holder *holder, uint64_t now_ms)
{
  struct load_sample sample = { .time_ms = now_ms };
  sample.open = __atomic_load_n (&holder->load.open, __ATOMIC_RELAXED);
  sample.sent
      = holder->sent_before
        + __atomic_load_n (&holder->load.sent_since_report, __ATOMIC_RELAXED);
  return sample;
}

void
registry_load_sample (struct registry_load *load, uint64_t now_ms)
{
  struct load_holder *holder = (struct load_holder *)load;
  uint32_t count = holder->sample_count;
  if (count > 0
      && now_ms < holder->samples[(count - 1) % SAMPLES].time_ms
                      + SAMPLE_INTERVAL_MS)
    return;
  holder->samples[count % SAMPLES] = current_sample (holder, now_ms);
  holder->sample_count++;
}

/* Returns the newest sample not later than last_report_ms, else the oldest one
   kept.  When there is no sample, returns the present counts. */
static struct load_sample
sample_at (const struct load_holder *holder, uint64_t last_report_ms,
           uint64_t now_ms)
{
  struct load_sample found = current_sample (holder, now_ms);
  if (found.time_ms <= last_report_ms)
    return found;
  for (uint32_t i = 1; i <= SAMPLES && i <= holder->sample_count; i++)
    {
      found = holder->samples[(holder->sample_count - i) % SAMPLES];
      if (found.time_ms <= last_report_ms)
        break;
    }
  return found;
}

void
registry_load_apply_report (struct registry_load *load,
                            uint64_t last_report_ms, uint64_t now_ms)
{
  struct load_holder *holder = (struct load_holder *)load;
  struct load_sample at_report = sample_at (holder, last_report_ms, now_ms);
  uint32_t sent_between = at_report.sent - holder->sent_before;
  if (at_report.sent - holder->sent_before > UINT32_MAX / 2)
    sent_between = 0;
  __atomic_sub_fetch (&load->sent_since_report, sent_between,
                      __ATOMIC_RELAXED);
  holder->sent_before += sent_between;
  __atomic_store_n (&load->open_at_report, at_report.open, __ATOMIC_RELAXED);
  registry_load_sample (load, now_ms);
}
