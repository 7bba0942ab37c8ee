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

/* Returns whether the request may be sent; one that needs trials waits for
   control's answer. */
static bool
may_send (struct pair *pair, const char *account,
          const struct place_request *placement, uint64_t now_ms)
{
  uint64_t left_ms = 0;
  uint64_t parts[PLACE_PARTS_MAX];
  struct control_request_reports requests = { 0 };
  struct control_router_result result = { 0 };
  bool has_all = true;
  if (edge_quarantine_check_parts (pair->router, account, placement, now_ms,
                                   &left_ms)
      == EDGE_QUARANTINE_BLOCKED)
    return false;
  uint32_t count = edge_quarantine_find_trials (pair->router, account,
                                                placement, now_ms, parts);
  for (uint32_t i = 0; i < count; i++)
    edge_quarantine_ask_trial (pair->router, parts[i]);
  edge_quarantine_fill_requests (pair->router, now_ms, now_ms, &requests);
  control_quarantine_call (pair->control, &requests, now_ms, now_ms, &result);
  edge_quarantine_apply_trials (pair->router, &result);
  for (uint32_t i = 0; i < count; i++)
    has_all = edge_quarantine_take_trial (pair->router, parts[i]) && has_all;
  xdr_free ((xdrproc_t)xdr_control_request_reports, (char *)&requests);
  xdr_free ((xdrproc_t)xdr_control_router_result, (char *)&result);
  return has_all;
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
      if (may_send (&pair, account, &bad, now_ms))
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

/* Crashes targets under the part with one account after the other, before the
   responses begin. */
static void
crash_targets (struct pair *pair, uint32_t first, uint32_t count,
               uint32_t accounts)
{
  for (uint32_t i = first; i < first + count; i++)
    {
      char account[8];
      char target[8];
      struct place_request bad = prompt (1, 900);
      g_snprintf (account, sizeof account, "a%u", i % accounts);
      g_snprintf (target, sizeof target, "t%u", i);
      edge_quarantine_note_open (pair->router, target, account, &bad,
                                 BEGIN_MS + (uint64_t)i * INTERVAL_MS);
      edge_quarantine_confirm (pair->router, target);
      struct place_request sound = prompt (1, 2);
      edge_quarantine_note_sound (pair->router, &sound);
      exchange (pair, BEGIN_MS + (uint64_t)i * INTERVAL_MS + 100);
    }
}

static enum edge_quarantine_verdict
check (const struct edge_quarantine *router, const char *account,
       uint64_t second, uint64_t now_ms)
{
  uint64_t left_ms = 0;
  struct place_request placement = prompt (1, second);
  return edge_quarantine_check_parts (router, account, &placement, now_ms,
                                      &left_ms);
}

/* One account, whatever it does at any moment of responses, blocks no other;
   crashes under others as well block all. */
static void
test_no_account_blocks_another (void)
{
  struct pair pair
      = { control_quarantine_create (), edge_quarantine_create () };
  const uint64_t now_ms = BEGIN_MS + 20 * INTERVAL_MS;
  crash_targets (&pair, 0, 20, 1);
  g_assert_cmpint (check (pair.router, "a0", 900, now_ms), ==,
                   EDGE_QUARANTINE_BLOCKED);
  g_assert_cmpint (check (pair.router, "b", 900, now_ms), ==,
                   EDGE_QUARANTINE_FREE);
  crash_targets (&pair, 21, 3, 64);
  g_assert_cmpint (check (pair.router, "b", 900, now_ms + 4 * INTERVAL_MS), ==,
                   EDGE_QUARANTINE_BLOCKED);
  g_assert_cmpint (check (pair.router, "b", 2, now_ms + 4 * INTERVAL_MS), ==,
                   EDGE_QUARANTINE_FREE);
  edge_quarantine_destroy (pair.router);
  control_quarantine_destroy (pair.control);
}

/* Targets that end together have one cause: the loss of a zone blocks nothing,
   however many requests of however many accounts it cut off; nor do answers
   that are lost while their targets run. */
static void
test_lost_zone_blocks_nothing (void)
{
  struct pair pair
      = { control_quarantine_create (), edge_quarantine_create () };
  for (uint32_t i = 0; i < 40; i++)
    {
      char account[8];
      char target[8];
      struct place_request placement = prompt (1, 900);
      g_snprintf (account, sizeof account, "a%u", i % 12);
      g_snprintf (target, sizeof target, "t%u", i);
      edge_quarantine_note_open (pair.router, target, account, &placement,
                                 BEGIN_MS + 7 * i);
      edge_quarantine_confirm (pair.router, target);
      exchange (&pair, BEGIN_MS + 7 * i);
      edge_quarantine_note_open (pair.router, "alive", account, &placement,
                                 BEGIN_MS + 1000 * i);
      edge_quarantine_dismiss (pair.router, "alive");
      exchange (&pair, BEGIN_MS + 1000 * i);
    }
  g_assert_cmpint (check (pair.router, "a0", 900, BEGIN_MS + 40000), ==,
                   EDGE_QUARANTINE_FREE);
  g_assert_cmpint (check (pair.router, "b", 900, BEGIN_MS + 40000), ==,
                   EDGE_QUARANTINE_FREE);
  edge_quarantine_destroy (pair.router);
  control_quarantine_destroy (pair.control);
}

/* A part that is completed a moment ago, or anything while no target is left,
   isn't suspected of a crash beside it. */
static void
test_served_part_is_not_suspected (void)
{
  struct pair pair
      = { control_quarantine_create (), edge_quarantine_create () };
  struct place_request sound = prompt (1, 2);
  edge_quarantine_note_served (pair.router, &sound, BEGIN_MS);
  edge_quarantine_note_open (pair.router, "t", "a", &sound, BEGIN_MS + 5000);
  edge_quarantine_confirm (pair.router, "t");
  struct control_part_reports reports = { 0 };
  edge_quarantine_fill_call (pair.router, 0, 0, &reports);
  g_assert_cmpuint (reports.crashes.crashes_len, ==, 1);
  g_assert_cmpuint (reports.crashes.crashes_val[0].part, ==,
                    sound.parts[2].id);
  xdr_free ((xdrproc_t)xdr_control_part_reports, (char *)&reports);
  edge_quarantine_destroy (pair.router);
  control_quarantine_destroy (pair.control);
}

/* The crashes, the block and the trial that is due survive a snapshot; routers
   that know no trials get a longer block. */
static void
test_snapshot (void)
{
  struct pair pair
      = { control_quarantine_create (), edge_quarantine_create () };
  struct control_quarantine_image image = { 0 };
  struct control_routers_image routers = { 0 };
  struct pair loaded
      = { control_quarantine_create (), edge_quarantine_create () };
  const uint64_t now_ms = BEGIN_MS + 5 * INTERVAL_MS;
  uint64_t left_ms = 0;
  crash_targets (&pair, 0, 5, 5);
  control_quarantine_save (pair.control, &image, &routers);
  control_quarantine_load (loaded.control, &image, &routers);
  exchange (&loaded, now_ms);
  g_assert_cmpint (check (loaded.router, "b", 900, now_ms), ==,
                   EDGE_QUARANTINE_BLOCKED);
  g_assert_cmpint (check (loaded.router, "b", 900, now_ms + 5000), ==,
                   EDGE_QUARANTINE_NEEDS_TRIAL);
  struct place_request bad = prompt (1, 900);
  g_assert_true (edge_quarantine_is_blocked (loaded.router, "b", &bad,
                                             now_ms + 5000, &left_ms));
  g_assert_true (may_send (&loaded, "b", &bad, now_ms + 5000));
  exchange (&loaded, now_ms + 5000);
  g_assert_false (may_send (&loaded, "b", &bad, now_ms + 5100));
  xdr_free ((xdrproc_t)xdr_control_quarantine_image, (char *)&image);
  xdr_free ((xdrproc_t)xdr_control_routers_image, (char *)&routers);
  edge_quarantine_destroy (loaded.router);
  control_quarantine_destroy (loaded.control);
  edge_quarantine_destroy (pair.router);
  control_quarantine_destroy (pair.control);
}

/* Builds that keep four accounts of a part find theirs first in a snapshot,
   and their snapshots are read as before. */
static void
test_old_snapshots (void)
{
  struct pair pair
      = { control_quarantine_create (), edge_quarantine_create () };
  struct control_quarantine_image image = { 0 };
  struct control_routers_image routers = { 0 };
  for (uint32_t i = 0; i < 3; i++)
    {
      char target[8];
      struct place_request bad = prompt (1, 900);
      g_snprintf (target, sizeof target, "t%u", i);
      edge_quarantine_note_lost (pair.router, target, "a", &bad,
                                 BEGIN_MS + 1000 * i);
      edge_quarantine_confirm (pair.router, target);
      exchange (&pair, BEGIN_MS + 1000 * i);
    }
  control_quarantine_save (pair.control, &image, &routers);
  struct control_suspect_image *suspect = image.suspects.suspects_val;
  while (suspect->part != 900)
    suspect++;
  g_assert_cmpstr (suspect->accounts.accounts_val[0].account, ==, "a");
  g_assert_cmpuint (suspect->accounts.accounts_val[0].crash_ms.crash_ms_len,
                    ==, 3);
  /* As an old build writes it. */
  u_int all = suspect->accounts.accounts_len;
  suspect->accounts.accounts_len = 1;
  struct pair loaded
      = { control_quarantine_create (), edge_quarantine_create () };
  control_quarantine_load (loaded.control, &image, &routers);
  suspect->accounts.accounts_len = all;
  exchange (&loaded, BEGIN_MS + 3000);
  g_assert_cmpint (check (loaded.router, "a", 900, BEGIN_MS + 3000), ==,
                   EDGE_QUARANTINE_BLOCKED);
  xdr_free ((xdrproc_t)xdr_control_quarantine_image, (char *)&image);
  xdr_free ((xdrproc_t)xdr_control_routers_image, (char *)&routers);
  edge_quarantine_destroy (loaded.router);
  control_quarantine_destroy (loaded.control);
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
  g_test_add_func ("/edge-crashing-by-turns/no-account-blocks-another",
                   test_no_account_blocks_another);
  g_test_add_func ("/edge-crashing-by-turns/lost-zone-blocks-nothing",
                   test_lost_zone_blocks_nothing);
  g_test_add_func ("/edge-crashing-by-turns/served-part-is-not-suspected",
                   test_served_part_is_not_suspected);
  g_test_add_func ("/edge-crashing-by-turns/snapshot", test_snapshot);
  g_test_add_func ("/edge-crashing-by-turns/old-snapshots",
                   test_old_snapshots);
  return g_test_run ();
}
