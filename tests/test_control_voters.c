/** @file
 *  Tests of the decision which control members vote. */

#include <glib.h>

#include "control_voters.h"

#define VOTERS 3

static void
test_free_place (void)
{
  const struct control_voters_member members[]
      = { { 1, CONSENSUS_VOTER, 0, true },
          { 2, CONSENSUS_VOTER, 10, true },
          { 9, CONSENSUS_LEARNER, 10, true } };
  uint64_t id = 0;
  g_assert_cmpint (control_voters_decide (members, 3, VOTERS, &id), ==,
                   CONTROL_VOTERS_PROMOTE);
  g_assert_cmpuint (id, ==, 9);
}

static void
test_not_before_it_caught_up (void)
{
  const struct control_voters_member members[]
      = { { 1, CONSENSUS_VOTER, 0, true },
          { 2, CONSENSUS_VOTER, 5000, true },
          { 3, CONSENSUS_VOTER, 10, true },
          { 9, CONSENSUS_LEARNER, 10, false } };
  uint64_t id = 0;
  g_assert_cmpint (control_voters_decide (members, 4, VOTERS, &id), ==,
                   CONTROL_VOTERS_NONE);
}

/* Guards against a silent voter that is removed before its replacement votes:
   with two voters left of three wanted, one more that fails stops all
   changes. */
static void
test_silent_voter_yields (void)
{
  struct control_voters_member members[]
      = { { 1, CONSENSUS_VOTER, 0, true },
          { 2, CONSENSUS_VOTER, 1600, true },
          { 3, CONSENSUS_VOTER, 10, true },
          { 9, CONSENSUS_LEARNER, 10, true } };
  uint64_t id = 0;
  g_assert_cmpint (control_voters_decide (members, 4, VOTERS, &id), ==,
                   CONTROL_VOTERS_PROMOTE);
  g_assert_cmpuint (id, ==, 9);
  members[3].role = CONSENSUS_REJOINING;
  g_assert_cmpint (control_voters_decide (members, 4, VOTERS, &id), ==,
                   CONTROL_VOTERS_NONE);
  members[3].role = CONSENSUS_VOTER;
  g_assert_cmpint (control_voters_decide (members, 4, VOTERS, &id), ==,
                   CONTROL_VOTERS_REMOVE);
  g_assert_cmpuint (id, ==, 2);
}

/* A voter that is promoted is not removed in its turn, and neither is one that
   answers again meanwhile. */
static void
test_answering_voters_stay (void)
{
  const struct control_voters_member members[]
      = { { 1, CONSENSUS_VOTER, 0, true },
          { 2, CONSENSUS_VOTER, 100, true },
          { 3, CONSENSUS_VOTER, 10, true },
          { 9, CONSENSUS_VOTER, 10, true },
          { 10, CONSENSUS_LEARNER, 10, true } };
  uint64_t id = 0;
  g_assert_cmpint (control_voters_decide (members, 5, VOTERS, &id), ==,
                   CONTROL_VOTERS_NONE);
}

/* Without a learner to replace it, a voter that does not answer stays a voter:
   it may only be disconnected. */
static void
test_silent_voter_stays (void)
{
  const struct control_voters_member members[]
      = { { 1, CONSENSUS_VOTER, 0, true },
          { 2, CONSENSUS_VOTER, 60000, true },
          { 3, CONSENSUS_VOTER, 10, true } };
  uint64_t id = 0;
  g_assert_cmpint (control_voters_decide (members, 3, VOTERS, &id), ==,
                   CONTROL_VOTERS_NONE);
}

/* Guards against the removal of silent voters from more than are wanted, which
   leaves fewer that may fail. */
static void
test_silent_voter_of_five_stays (void)
{
  const struct control_voters_member members[]
      = { { 1, CONSENSUS_VOTER, 0, true },
          { 2, CONSENSUS_VOTER, 60000, true },
          { 3, CONSENSUS_VOTER, 10, true },
          { 4, CONSENSUS_VOTER, 10, true },
          { 5, CONSENSUS_VOTER, 10, true } };
  uint64_t id = 0;
  g_assert_cmpint (control_voters_decide (members, 5, VOTERS, &id), ==,
                   CONTROL_VOTERS_NONE);
}

/* No voter is removed while a majority of the voters does not answer. */
static void
test_no_removal_without_majority (void)
{
  const struct control_voters_member members[]
      = { { 1, CONSENSUS_VOTER, 0, true },
          { 2, CONSENSUS_VOTER, 9000, true },
          { 3, CONSENSUS_VOTER, 9000, true },
          { 9, CONSENSUS_LEARNER, 10, true } };
  uint64_t id = 0;
  g_assert_cmpint (control_voters_decide (members, 4, VOTERS, &id), ==,
                   CONTROL_VOTERS_NONE);
}

static void
test_lost_learner_is_forgotten (void)
{
  const struct control_voters_member members[]
      = { { 1, CONSENSUS_VOTER, 0, true },
          { 2, CONSENSUS_VOTER, 10, true },
          { 3, CONSENSUS_VOTER, 10, true },
          { 9, CONSENSUS_LEARNER, 20000, true } };
  uint64_t id = 0;
  g_assert_cmpint (control_voters_decide (members, 4, VOTERS, &id), ==,
                   CONTROL_VOTERS_REMOVE);
  g_assert_cmpuint (id, ==, 9);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-voters/free-place", test_free_place);
  g_test_add_func ("/control-voters/not-before-it-caught-up",
                   test_not_before_it_caught_up);
  g_test_add_func ("/control-voters/silent-voter-yields",
                   test_silent_voter_yields);
  g_test_add_func ("/control-voters/answering-voters-stay",
                   test_answering_voters_stay);
  g_test_add_func ("/control-voters/silent-voter-stays",
                   test_silent_voter_stays);
  g_test_add_func ("/control-voters/silent-voter-of-five-stays",
                   test_silent_voter_of_five_stays);
  g_test_add_func ("/control-voters/no-removal-without-majority",
                   test_no_removal_without_majority);
  g_test_add_func ("/control-voters/lost-learner-is-forgotten",
                   test_lost_learner_is_forgotten);
  return g_test_run ();
}
