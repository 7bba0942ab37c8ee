#include "load_run.h"

#include <math.h>
#include <string.h>

#include "base_clock.h"

/* Longest wait of one step for answers. */
#define POLL_MS 5

struct load_run
{
  const struct load_mix *mix;
  struct base_random random;
  char **routers;
  uint32_t router_count;
  uint32_t routers_per_zone;
  uint64_t router_mask;
  uint32_t next_router;
  CURLM *multi;
  /* Number of the next request. */
  uint64_t next_number;
  /* Mean rate of arrivals, in thousandths of a request a second. */
  uint64_t millirequests_s;
  uint64_t next_arrival_us;
  /* Calls that wait for their next attempt. */
  GQueue retries;
  /* Calls with an attempt in progress. */
  uint32_t open;
  GPtrArray *finished;
};

static void
free_call (gpointer data)
{
  load_call_destroy (data);
}

struct load_run *
load_run_create (const struct load_mix *mix, uint64_t seed,
                 const char *const *routers, uint32_t routers_per_zone)
{
  struct load_run *run = g_new0 (struct load_run, 1);
  run->mix = mix;
  base_random_seed (&run->random, seed);
  run->routers = g_strdupv ((char **)routers);
  run->router_count = g_strv_length (run->routers);
  run->routers_per_zone = routers_per_zone;
  run->router_mask = UINT64_MAX;
  run->multi = curl_multi_init ();
  run->finished = g_ptr_array_new_with_free_func (free_call);
  g_queue_init (&run->retries);
  return run;
}

void
load_run_destroy (struct load_run *run)
{
  if (!run)
    return;
  g_queue_clear_full (&run->retries, free_call);
  g_ptr_array_unref (run->finished);
  curl_multi_cleanup (run->multi);
  g_strfreev (run->routers);
  g_free (run);
}

void
load_run_set_rate (struct load_run *run, uint64_t millirequests_s)
{
  run->millirequests_s = millirequests_s;
  run->next_arrival_us = base_clock_now_us (base_clock_system ());
}

void
load_run_set_routers (struct load_run *run, uint64_t mask)
{
  run->router_mask = mask;
}

/* Next router of the zone that the mask allows, or the zone's first when it
   allows none. */
static const char *
choose_router (struct load_run *run, uint32_t zone)
{
  uint32_t first = zone * run->routers_per_zone;
  for (uint32_t i = 0; i < run->routers_per_zone; i++)
    {
      uint32_t at = first + run->next_router++ % run->routers_per_zone;
      if (run->router_mask >> at & 1)
        return run->routers[at];
    }
  return run->routers[first];
}

static void
send_call (struct load_run *run, struct load_call *call, uint64_t now_ms)
{
  load_call_prepare (call, choose_router (run, call->zone), now_ms);
  curl_multi_add_handle (run->multi, call->easy);
  run->open++;
}

/* Time to the next arrival of a Poisson process, in microseconds. */
static uint64_t
draw_gap_us (struct load_run *run)
{
  double unit = 1.0 - base_random_unit (&run->random);
  double mean_us = 1e9 / (double)run->millirequests_s;
  return (uint64_t)(-log (unit) * mean_us);
}

static void
make_arrivals (struct load_run *run, uint64_t now_us)
{
  while (run->millirequests_s > 0 && run->next_arrival_us <= now_us)
    {
      struct load_plan plan;
      load_plan_draw (run->mix, &run->random, run->next_number++, &plan);
      struct load_call *call
          = load_call_create (run->mix, &plan, now_us / 1000);
      uint32_t zones = run->router_count / run->routers_per_zone;
      call->zone = (uint32_t)base_random_below (&run->random, zones);
      send_call (run, call, now_us / 1000);
      run->next_arrival_us += draw_gap_us (run);
    }
}

static void
send_retries (struct load_run *run, uint64_t now_ms)
{
  for (guint left = run->retries.length; left > 0; left--)
    {
      struct load_call *call = g_queue_pop_head (&run->retries);
      if (call->next_attempt_ms <= now_ms)
        send_call (run, call, now_ms);
      else
        g_queue_push_tail (&run->retries, call);
    }
}

static void
collect_finished (struct load_run *run, uint64_t now_ms)
{
  CURLMsg *message;
  int left;
  while ((message = curl_multi_info_read (run->multi, &left)))
    {
      struct load_call *call = NULL;
      CURLcode code = message->data.result;
      CURL *easy = message->easy_handle;
      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&call);
      curl_multi_remove_handle (run->multi, easy);
      run->open--;
      if (load_call_finish (call, code, now_ms))
        g_ptr_array_add (run->finished, call);
      else
        g_queue_push_tail (&run->retries, call);
    }
}

static void
step (struct load_run *run)
{
  int running;
  uint64_t now_us = base_clock_now_us (base_clock_system ());
  make_arrivals (run, now_us);
  send_retries (run, now_us / 1000);
  curl_multi_perform (run->multi, &running);
  collect_finished (run, base_clock_now_ms (base_clock_system ()));
  curl_multi_poll (run->multi, NULL, 0, POLL_MS, NULL);
}

void
load_run_advance (struct load_run *run, uint64_t duration_ms)
{
  uint64_t end_ms = base_clock_now_ms (base_clock_system ()) + duration_ms;
  while (base_clock_now_ms (base_clock_system ()) < end_ms)
    step (run);
}

uint32_t
load_run_drain (struct load_run *run, uint64_t limit_ms)
{
  uint64_t end_ms = base_clock_now_ms (base_clock_system ()) + limit_ms;
  run->millirequests_s = 0;
  while (run->open + run->retries.length > 0
         && base_clock_now_ms (base_clock_system ()) < end_ms)
    step (run);
  return run->open + run->retries.length;
}

const GPtrArray *
load_run_finished_calls (const struct load_run *run)
{
  return run->finished;
}
