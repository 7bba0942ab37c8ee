/** @file
 *  Tests of the quarantine with prompt parts that crash targets under several
 *  accounts by turns. */

#include <glib.h>

#include "base_log.h"
#include "control_quarantine.h"
#include "edge_quarantine.h"

#define BEGIN_MS 100000
#define INTERVAL_MS 650
/* Crashes after which a part is known, and the later ones that may be. */
#define CRASHES_KNOWN 5
#define STRAYS_MAX 3
#define CONTACT_MS 4000
#define REQUESTS 60

struct pair
{
  struct control_quarantine *control;
  struct edge_quarantine *router;
};

static struct place_request
prompt (uint64_t first, uint64_t second)
{
  static uint64_t own = UINT64_C (1) << 40;
  return (struct place_request){
    .parts = { { first, 100 }, { second, 100 }, { ++own, 10 } },
    .part_count = 3
  };
}

static void
exchange (struct pair *pair, uint64_t now_ms)
{
  struct control_part_reports reports = { 0 };
  struct control_suspects suspects = { 0 };
  edge_quarantine_fill_call (pair->router, now_ms, now_ms, &reports);
  control_quarantine_report (pair->control, &reports, now_ms, now_ms);
  xdr_free ((xdrproc_t)xdr_control_part_reports, (char *)&reports);
  control_quarantine_list (pair->control, now_ms, &suspects);
  edge_quarantine_apply (pair->router, &suspects, now_ms);
  xdr_free ((xdrproc_t)xdr_control_suspects, (char *)&suspects);
}

/* Sends requests with the part under accounts by turns; each that is sent
   crashes a target.  Sound ones with the first part complete in between. */
static void
check_turns (gconstpointer data)
{
  const uint32_t accounts = GPOINTER_TO_UINT (data);
  struct pair pair
      = { control_quarantine_create (), edge_quarantine_create () };
  uint32_t crashes = 0;
  uint32_t strays = 0;
  uint64_t known_ms = 0;
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      char account[8];
      char target[8];
      uint64_t left_ms = 0;
      uint64_t now_ms = BEGIN_MS + (uint64_t)i * INTERVAL_MS;
      struct place_request bad = prompt (1, 900);
      struct place_request sound = prompt (1, 2);
      g_snprintf (account, sizeof account, "a%u", i % accounts);
      g_snprintf (target, sizeof target, "t%u", i);
      if (!edge_quarantine_is_blocked (pair.router, account, &bad, now_ms,
                                       &left_ms))
        {
          edge_quarantine_note_lost (pair.router, target, account, &bad,
                                     now_ms);
          edge_quarantine_confirm (pair.router, target);
          exchange (&pair, now_ms + 100);
          if (++crashes == CRASHES_KNOWN)
            known_ms = now_ms + CONTACT_MS;
          strays += crashes > CRASHES_KNOWN && now_ms > known_ms;
        }
      edge_quarantine_note_sound (pair.router, &sound);
      exchange (&pair, now_ms + 200);
      g_assert_false (edge_quarantine_is_blocked (pair.router, account, &sound,
                                                  now_ms + 200, &left_ms));
    }
  g_test_message ("%u accounts: %u crashes, %u too late", accounts, crashes,
                  strays);
  g_assert_cmpuint (strays, <=, STRAYS_MAX);
  edge_quarantine_destroy (pair.router);
  control_quarantine_destroy (pair.control);
}

int
main (int argc, char **argv)
{
  static const uint32_t accounts[] = { 1, 2, 4, 6, 12 };
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  base_log_set_level (BASE_LOG_ERROR);
  for (uint32_t i = 0; i < G_N_ELEMENTS (accounts); i++)
    {
      char *path = g_strdup_printf ("/edge-crashing-by-turns/%u-accounts",
                                    accounts[i]);
      g_test_add_data_func (path, GUINT_TO_POINTER (accounts[i]), check_turns);
      g_free (path);
    }
  return g_test_run ();
}
