/** @file
 *  Time until control members acknowledge targets' reports and sign-offs, one
 *  at a time and many at once, with real processes on this machine's disk. */

#include <stdlib.h>

#include <glib.h>

#include "bench_slope.h"
#include "platform_rig.h"

#define PORT 9
#define ROUNDS 60
#define AT_ONCE_MAX 40
#define SETTLE_US (2 * G_USEC_PER_SEC)

/* A sign-off or report, on a thread of its own. */
struct call
{
  struct platform_rig *rig;
  uint32_t number;
  const char *state;
  double took_ms;
};

static gpointer
run_call (gpointer data)
{
  struct call *call = data;
  char *path = g_strdup_printf ("/v1/replicas/t%u", call->number);
  char *body = g_strdup_printf (
      "{\"service\":\"shop\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
      "\"slots\":8,\"state\":\"%s\",\"seq\":%" G_GINT64_FORMAT ",\"born\":5}",
      PORT + call->number, call->state ? call->state : "ready",
      g_get_monotonic_time ());
  gint64 start_us = g_get_monotonic_time ();
  long status = platform_rig_call_control (
      call->rig, call->number % PLATFORM_RIG_CORES,
      call->state ? "PUT" : "DELETE", path, body);
  call->took_ms = (double)(g_get_monotonic_time () - start_us) / 1000.0;
  g_assert_cmpint (status, ==, 200);
  g_free (body);
  g_free (path);
  return NULL;
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return (left > right) - (left < right);
}

static void
print_quantile (const char *name, const char *quantile, const GArray *times,
                guint index, uint32_t at_once)
{
  char slope[64];
  char sizes[64];
  g_snprintf (slope, sizeof slope, "%s_ack_%s", name, quantile);
  g_snprintf (sizes, sizeof sizes, "members=%d at_once=%u", PLATFORM_RIG_CORES,
              at_once);
  bench_slope_print (slope, "ms", g_array_index (times, double, index), sizes);
}

/* Makes @p at_once calls at a time and prints how long they take; state NULL
   signs off. */
static void
measure (struct platform_rig *rig, const char *name, const char *state,
         uint32_t at_once, uint32_t *number)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (double));
  for (uint32_t done = 0; done < ROUNDS; done += at_once)
    {
      struct call calls[AT_ONCE_MAX];
      GThread *threads[AT_ONCE_MAX];
      for (uint32_t i = 0; i < at_once; i++)
        calls[i] = (struct call){ rig, (*number)++, "ready", 0 };
      for (uint32_t i = 0; i < at_once; i++)
        run_call (&calls[i]);
      g_usleep (G_USEC_PER_SEC / 10);
      for (uint32_t i = 0; i < at_once; i++)
        {
          calls[i].state = state;
          threads[i] = g_thread_new ("call", run_call, &calls[i]);
        }
      for (uint32_t i = 0; i < at_once; i++)
        {
          g_thread_join (threads[i]);
          g_array_append_val (times, calls[i].took_ms);
        }
    }
  g_array_sort (times, compare);
  print_quantile (name, "p50", times, times->len / 2, at_once);
  print_quantile (name, "p90", times, times->len * 9 / 10, at_once);
  g_array_unref (times);
}

int
main (int argc, char **argv)
{
  static const uint32_t at_once[] = { 1, 3, AT_ONCE_MAX };
  uint32_t number = 0;
  bench_slope_init (argc, argv);
  struct platform_rig *rig = platform_rig_create ();
  g_usleep (SETTLE_US);
  for (size_t i = 0; i < G_N_ELEMENTS (at_once); i++)
    {
      measure (rig, "report", "ready", at_once[i], &number);
      measure (rig, "leaving", "draining", at_once[i], &number);
      measure (rig, "sign_off", NULL, at_once[i], &number);
    }
  platform_rig_destroy (rig);
  return EXIT_SUCCESS;
}
