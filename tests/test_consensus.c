/** @file
 *  Tests of single rules of the replicated log, and a run compared with a
 *  golden file. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "consensus_harness.h"

#define ELECTION_MS 300
#define GOLDEN_FILE "tests/golden/consensus-run.txt"

/* Creates member 1 of three voters with incarnations 10, 20 and 30. */
static struct consensus *
make_member (void)
{
  struct consensus_options options = { .member_id = 1,
                                       .incarnation = 10,
                                       .seed = 1,
                                       .election_ms = ELECTION_MS,
                                       .heartbeat_ms = 75 };
  struct consensus_configuration members = { 0 };
  struct consensus_wire_entry entry
      = { .term = 1, .index = 1, .kind = CONSENSUS_ENTRY_CONFIGURATION };
  for (uint64_t id = 1; id <= 3; id++)
    {
      struct consensus_member member
          = { .id = id, .incarnation = 10 * id, .role = CONSENSUS_VOTER };
      consensus_configuration_add (&members, &member);
    }
  entry.data.data_val
      = consensus_configuration_encode (&members, &entry.data.data_len);
  struct consensus *consensus = consensus_create (&options);
  consensus_load_entry (consensus, &entry);
  return consensus;
}

static void
finish_round (struct consensus *consensus, uint64_t now_ms)
{
  consensus_flush (consensus, now_ms);
  consensus_mark_persisted (consensus, now_ms);
  consensus_effects_clear (consensus);
}

/* Passes in a granted answer of another member. */
static void
answer (struct consensus *consensus, uint64_t now_ms,
        enum consensus_message_kind kind, uint64_t from, uint64_t incarnation,
        uint64_t term, uint64_t log_index)
{
  struct consensus_wire_message message = { .kind = kind,
                                            .from_member = from,
                                            .from_incarnation = incarnation,
                                            .to_member = 1,
                                            .to_incarnation = 10,
                                            .term = term,
                                            .log_index = log_index,
                                            .granted = true };
  consensus_step (consensus, now_ms, &message);
}

/* Lets the election timeout pass and a peer grant the pre-vote.  Returns the
   term of the election. */
static uint64_t
start_election (struct consensus *consensus, uint64_t *now_ms)
{
  uint64_t term = consensus_term (consensus) + 1;
  *now_ms += 2 * ELECTION_MS + 1;
  consensus_tick (consensus, *now_ms);
  finish_round (consensus, *now_ms);
  answer (consensus, *now_ms, CONSENSUS_PRE_VOTE_ANSWER, 2, 20, term, 0);
  finish_round (consensus, *now_ms);
  g_assert_cmpuint (consensus_term (consensus), ==, term);
  return term;
}

/* Passes in an append of member 2 with @p count empty entries of its term
   behind @p log_index, and applies what is committed. */
static void
append (struct consensus *consensus, uint64_t now_ms, uint64_t term,
        uint64_t log_index, uint64_t log_term, uint32_t count,
        uint64_t commit_index)
{
  struct consensus_wire_entry entry = { .term = term, .index = log_index + 1 };
  struct consensus_wire_message message = { .kind = CONSENSUS_APPEND,
                                            .from_member = 2,
                                            .from_incarnation = 20,
                                            .to_member = 1,
                                            .to_incarnation = 10,
                                            .term = term,
                                            .log_index = log_index,
                                            .log_term = log_term,
                                            .commit_index = commit_index,
                                            .entries = { count, &entry } };
  entry.data.data_val = calloc (1, 1);
  consensus_step (consensus, now_ms, &message);
  free (entry.data.data_val);
  finish_round (consensus, now_ms);
  while (consensus_next_committed (consensus))
    continue;
}

/* A follower is up to date only while it hears a leader that has committed an
   entry of its term, and has applied all that this one told as committed. */
static void
test_current (void)
{
  uint64_t now_ms = 0;
  struct consensus *consensus = make_member ();
  consensus_start (consensus, now_ms);
  g_assert_false (consensus_is_current (consensus));
  append (consensus, now_ms, 5, 1, 1, 0, 1);
  g_assert_false (consensus_is_current (consensus));
  append (consensus, now_ms, 5, 1, 1, 1, 1);
  g_assert_false (consensus_is_current (consensus));
  append (consensus, now_ms, 5, 2, 5, 0, 2);
  g_assert_true (consensus_is_current (consensus));
  append (consensus, now_ms, 5, 2, 5, 0, 3);
  g_assert_false (consensus_is_current (consensus));
  append (consensus, now_ms, 5, 2, 5, 1, 3);
  g_assert_true (consensus_is_current (consensus));
  append (consensus, now_ms, 6, 3, 5, 0, 3);
  g_assert_false (consensus_is_current (consensus));
  append (consensus, now_ms, 6, 3, 5, 1, 4);
  g_assert_true (consensus_is_current (consensus));
  start_election (consensus, &now_ms);
  g_assert_false (consensus_is_current (consensus));
  consensus_destroy (consensus);
}

/* A leader is up to date once it has committed an entry of its term. */
static void
test_current_leader (void)
{
  uint64_t now_ms = 0;
  struct consensus *consensus = make_member ();
  consensus_start (consensus, now_ms);
  uint64_t term = start_election (consensus, &now_ms);
  answer (consensus, now_ms, CONSENSUS_VOTE_ANSWER, 2, 20, term, 0);
  finish_round (consensus, now_ms);
  g_assert_true (consensus_is_leader (consensus));
  g_assert_false (consensus_is_current (consensus));
  answer (consensus, now_ms, CONSENSUS_APPEND_ANSWER, 2, 20, term, 2);
  g_assert_false (consensus_is_current (consensus));
  while (consensus_next_committed (consensus))
    continue;
  g_assert_true (consensus_is_current (consensus));
  consensus_destroy (consensus);
}

/* A vote counts only from the incarnation in the configuration. */
static void
test_votes_of_other_folders (void)
{
  uint64_t now_ms = 0;
  struct consensus *consensus = make_member ();
  consensus_start (consensus, now_ms);
  uint64_t term = start_election (consensus, &now_ms);
  /* Member 2 has a new data folder, so this vote is a different member's. */
  answer (consensus, now_ms, CONSENSUS_VOTE_ANSWER, 2, 21, term, 0);
  g_assert_false (consensus_is_leader (consensus));
  answer (consensus, now_ms, CONSENSUS_VOTE_ANSWER, 2, 20, term, 0);
  g_assert_true (consensus_is_leader (consensus));
  consensus_destroy (consensus);
}

/* An entry of an earlier term is committed only with one of the leader's. */
static void
test_earlier_terms_not_counted (void)
{
  uint64_t now_ms = 0;
  struct consensus *consensus = make_member ();
  struct consensus_wire_entry entry = { .term = 2, .index = 2 };
  entry.data.data_val = calloc (1, 1);
  consensus_load_entry (consensus, &entry);
  consensus_start (consensus, now_ms);
  uint64_t term = start_election (consensus, &now_ms);
  answer (consensus, now_ms, CONSENSUS_VOTE_ANSWER, 2, 20, term, 0);
  finish_round (consensus, now_ms);
  /* A majority holds the entry of term 2, but another leader may still replace
     it. */
  answer (consensus, now_ms, CONSENSUS_APPEND_ANSWER, 2, 20, term, 2);
  g_assert_cmpuint (consensus_commit_index (consensus), ==, 0);
  answer (consensus, now_ms, CONSENSUS_APPEND_ANSWER, 2, 20, term, 3);
  g_assert_cmpuint (consensus_commit_index (consensus), ==, 3);
  consensus_destroy (consensus);
}

/* An acknowledgement counts only from the incarnation in the configuration. */
static void
test_acknowledgements_of_other_folders (void)
{
  uint64_t now_ms = 0;
  struct consensus *consensus = make_member ();
  consensus_start (consensus, now_ms);
  uint64_t term = start_election (consensus, &now_ms);
  answer (consensus, now_ms, CONSENSUS_VOTE_ANSWER, 2, 20, term, 0);
  finish_round (consensus, now_ms);
  answer (consensus, now_ms, CONSENSUS_APPEND_ANSWER, 2, 21, term, 2);
  g_assert_cmpuint (consensus_commit_index (consensus), ==, 0);
  answer (consensus, now_ms, CONSENSUS_APPEND_ANSWER, 2, 20, term, 2);
  g_assert_cmpuint (consensus_commit_index (consensus), ==, 2);
  consensus_destroy (consensus);
}

/* A leader without responses of a majority steps down after the shortest
   election timeout. */
static void
test_leader_steps_down_alone (void)
{
  uint64_t now_ms = 0;
  struct consensus *consensus = make_member ();
  consensus_start (consensus, now_ms);
  uint64_t term = start_election (consensus, &now_ms);
  answer (consensus, now_ms, CONSENSUS_VOTE_ANSWER, 2, 20, term, 0);
  finish_round (consensus, now_ms);
  answer (consensus, now_ms, CONSENSUS_APPEND_ANSWER, 2, 20, term, 2);
  now_ms += ELECTION_MS - 1;
  consensus_tick (consensus, now_ms);
  g_assert_true (consensus_is_leader (consensus));
  now_ms += 1;
  consensus_tick (consensus, now_ms);
  g_assert_false (consensus_is_leader (consensus));
  g_assert_cmpuint (consensus_propose (consensus, "x", 1), ==, 0);
  consensus_destroy (consensus);
}

/* A read is confirmed once a majority answers a heartbeat round that started
   after it. */
static void
test_reads_wait_for_majority (void)
{
  uint64_t now_ms = 0;
  struct consensus *consensus = make_member ();
  GArray *reads = consensus_effects (consensus)->reads;
  consensus_start (consensus, now_ms);
  uint64_t term = start_election (consensus, &now_ms);
  answer (consensus, now_ms, CONSENSUS_VOTE_ANSWER, 2, 20, term, 0);
  finish_round (consensus, now_ms);
  g_assert_cmpuint (consensus_read_begin (consensus, now_ms), ==, 0);
  answer (consensus, now_ms, CONSENSUS_APPEND_ANSWER, 2, 20, term, 2);
  g_assert_cmpuint (consensus_read_begin (consensus, now_ms), ==, 1);
  finish_round (consensus, now_ms);
  /* An answer to an earlier round does not confirm the read. */
  answer (consensus, now_ms, CONSENSUS_APPEND_ANSWER, 2, 20, term, 2);
  g_assert_cmpuint (reads->len, ==, 0);
  struct consensus_wire_message message = { .kind = CONSENSUS_APPEND_ANSWER,
                                            .from_member = 3,
                                            .from_incarnation = 30,
                                            .to_member = 1,
                                            .term = term,
                                            .round = UINT64_MAX,
                                            .granted = true };
  consensus_step (consensus, now_ms, &message);
  g_assert_cmpuint (reads->len, ==, 1);
  g_assert_true (g_array_index (reads, struct consensus_read, 0).confirmed);
  consensus_destroy (consensus);
}

/* A fixed run: the members create the log, commands are committed, and the
   leader loses its disk and rejoins, first without a vote, then as a voter. */
static void
run_golden (struct consensus_harness *sim)
{
  consensus_harness_run_without_faults (sim, 2000);
  uint64_t leader = consensus_harness_leader (sim);
  for (int i = 0; i < 3; i++)
    consensus_harness_propose (sim, leader);
  consensus_harness_run_without_faults (sim, 200);
  consensus_harness_compact (sim, leader);
  consensus_harness_crash (sim, leader);
  consensus_harness_wipe (sim, leader);
  consensus_harness_start (sim, leader);
  consensus_harness_run_without_faults (sim, 4000);
  consensus_harness_propose (sim, consensus_harness_leader (sim));
  consensus_harness_run_without_faults (sim, 500);
}

static void
test_golden (void)
{
  char *golden = NULL;
  const char *source = g_getenv ("CACTUS_SOURCE");
  char *path = g_build_filename (source ? source : ".", GOLDEN_FILE, NULL);
  struct consensus_harness *sim = consensus_harness_create (42, 3);
  sim->trace = g_string_new (NULL);
  run_golden (sim);
  if (g_getenv ("CACTUS_WRITE_GOLDEN"))
    g_assert_true (g_file_set_contents (path, sim->trace->str, -1, NULL));
  g_assert_true (g_file_get_contents (path, &golden, NULL, NULL));
  g_assert_cmpstr (sim->trace->str, ==, golden);
  g_free (golden);
  g_free (path);
  consensus_harness_destroy (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/consensus/current", test_current);
  g_test_add_func ("/consensus/current-leader", test_current_leader);
  g_test_add_func ("/consensus/votes_of_other_folders",
                   test_votes_of_other_folders);
  g_test_add_func ("/consensus/acknowledgements_of_other_folders",
                   test_acknowledgements_of_other_folders);
  g_test_add_func ("/consensus/earlier_terms_not_counted",
                   test_earlier_terms_not_counted);
  g_test_add_func ("/consensus/leader_steps_down_alone",
                   test_leader_steps_down_alone);
  g_test_add_func ("/consensus/reads_wait_for_majority",
                   test_reads_wait_for_majority);
  g_test_add_func ("/consensus/golden", test_golden);
  return g_test_run ();
}
