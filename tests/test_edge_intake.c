/** @file
 *  Tests of the account of what callers make a router hold. */

#include <string.h>

#include <glib.h>

#include "edge_intake.h"

#define MIB (1024u * 1024u)
#define MEMORY_MB 84
#define DESCRIPTORS 4096
#define LARGEST_BODY_BYTES (4u * MIB)
#define CROWD 3000

static struct edge_intake *
create (uint32_t memory_mb, uint32_t descriptors)
{
  struct edge_intake_limits limits
      = edge_intake_limits_for (memory_mb, descriptors);
  return edge_intake_create (&limits);
}

/* Lets a body grow, if it fits. */
static bool
grow (struct edge_intake *intake, struct edge_intake_entry *entry,
      uint64_t bytes, uint64_t now_ms)
{
  if (!edge_intake_body_fits (intake, entry, bytes))
    return false;
  edge_intake_set_body (intake, entry, bytes);
  edge_intake_note_received (entry, bytes, now_ms);
  return true;
}

/* One request of the largest size is served on the smallest host, beside as
   many connections as may be open with ordinary ones. */
static void
test_largest (void)
{
  struct edge_intake *intake = create (MEMORY_MB, DESCRIPTORS);
  struct edge_intake_entry entry;
  edge_intake_open (intake, &entry, 0);
  edge_intake_set_state (intake, &entry, EDGE_INTAKE_READING, 0);
  g_assert_cmpuint (edge_intake_body_max (intake), >=, LARGEST_BODY_BYTES);
  g_assert_true (grow (intake, &entry, LARGEST_BODY_BYTES, 0));
  g_assert_false (edge_intake_is_over (intake));
  edge_intake_close (intake, &entry);
  g_assert_cmpuint (edge_intake_bytes (intake), ==, 0);
  edge_intake_destroy (intake);
}

/* Bodies in all stay within the bound, and leave room for ordinary ones. */
static void
test_crowd_of_bodies (void)
{
  struct edge_intake_limits limits
      = edge_intake_limits_for (MEMORY_MB, DESCRIPTORS);
  struct edge_intake *intake = edge_intake_create (&limits);
  struct edge_intake_entry *crowd = g_new0 (struct edge_intake_entry, CROWD);
  uint32_t refused = 0;
  for (uint32_t i = 0; i < CROWD; i++)
    {
      edge_intake_open (intake, &crowd[i], i);
      if (edge_intake_is_over (intake))
        {
          struct edge_intake_entry *victim
              = edge_intake_find_victim (intake, &crowd[i], false, i);
          edge_intake_set_state (intake, victim ? victim : &crowd[i],
                                 EDGE_INTAKE_GOING, i);
        }
      if (crowd[i].state == EDGE_INTAKE_GOING)
        continue;
      edge_intake_set_state (intake, &crowd[i], EDGE_INTAKE_READING, i);
      refused += !grow (intake, &crowd[i], MIB, i);
      g_assert_cmpuint (edge_intake_bytes (intake), <=, limits.bytes_max);
    }
  g_assert_cmpuint (refused, >, 0);
  g_assert_cmpuint (edge_intake_connections (intake), <=,
                    limits.connections_max);
  for (uint32_t i = 0; i < CROWD; i++)
    edge_intake_close (intake, &crowd[i]);
  g_assert_cmpuint (edge_intake_bytes (intake), ==, 0);
  g_assert_cmpuint (edge_intake_connections (intake), ==, 0);
  g_free (crowd);
  edge_intake_destroy (intake);
}

/* What has held the most for the longest without moving goes first; what
   moves, was passed on or is delivered doesn't go. */
static void
test_victims (void)
{
  struct edge_intake *intake = create (MEMORY_MB, DESCRIPTORS);
  struct edge_intake_entry entries[5];
  for (uint32_t i = 0; i < 5; i++)
    {
      edge_intake_open (intake, &entries[i], 0);
      edge_intake_set_state (intake, &entries[i], EDGE_INTAKE_READING, 0);
      g_assert_true (grow (intake, &entries[i], (i + 1) * 100000, 0));
    }
  edge_intake_set_state (intake, &entries[4], EDGE_INTAKE_HELD, 0);
  g_assert_null (edge_intake_find_victim (intake, NULL, false, 500));
  g_assert_null (edge_intake_find_victim (intake, NULL, true, 99));
  g_assert_true (edge_intake_find_victim (intake, NULL, true, 500)
                 == &entries[3]);
  edge_intake_note_received (&entries[3], 100, 1900);
  edge_intake_note_received (&entries[2], 8192, 1900);
  /* A trickle is no movement; entry 2 moved. */
  g_assert_true (edge_intake_find_victim (intake, NULL, false, 2000)
                 == &entries[3]);
  g_assert_true (edge_intake_find_victim (intake, &entries[3], false, 2000)
                 == &entries[1]);
  edge_intake_set_state (intake, &entries[3], EDGE_INTAKE_GOING, 2000);
  g_assert_true (edge_intake_find_victim (intake, NULL, false, 2000)
                 == &entries[1]);
  g_assert_true (edge_intake_find_still (intake, 29999) == NULL);
  g_assert_true (edge_intake_find_still (intake, 30000) == &entries[0]);
  for (uint32_t i = 0; i < 5; i++)
    edge_intake_close (intake, &entries[i]);
  g_assert_cmpuint (edge_intake_bytes (intake), ==, 0);
  edge_intake_destroy (intake);
}

/* Large answers wait while they would take the room of ordinary requests;
   small ones never do. */
static void
test_answers (void)
{
  struct edge_intake_limits limits
      = edge_intake_limits_for (MEMORY_MB, DESCRIPTORS);
  struct edge_intake *intake = edge_intake_create (&limits);
  struct edge_intake_entry large;
  struct edge_intake_entry small;
  edge_intake_open (intake, &large, 0);
  edge_intake_open (intake, &small, 0);
  edge_intake_set_state (intake, &large, EDGE_INTAKE_HELD, 0);
  edge_intake_set_state (intake, &small, EDGE_INTAKE_HELD, 0);
  g_assert_true (edge_intake_set_answer (intake, &large, MIB));
  g_assert_false (edge_intake_set_answer (
      intake, &large, limits.bytes_max - limits.kept_bytes));
  g_assert_true (
      edge_intake_set_answer (intake, &small, EDGE_INTAKE_ORDINARY_BYTES));
  edge_intake_set_state (intake, &large, EDGE_INTAKE_IDLE, 0);
  g_assert_true (edge_intake_set_answer (intake, &small, MIB));
  edge_intake_close (intake, &large);
  edge_intake_close (intake, &small);
  g_assert_cmpuint (edge_intake_bytes (intake), ==, 0);
  edge_intake_destroy (intake);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-intake/largest", test_largest);
  g_test_add_func ("/edge-intake/crowd-of-bodies", test_crowd_of_bodies);
  g_test_add_func ("/edge-intake/victims", test_victims);
  g_test_add_func ("/edge-intake/answers", test_answers);
  return g_test_run ();
}
