/** @file
 *  Tests of a router's reads of documents from members that stop responding,
 *  fall back to an older document, or send pieces that don't fit. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"
#include "control_documents.h"
#include "edge_dialect.h"
#include "edge_reader.h"
#include "test_control_fake.h"

#define PIECE_BYTES 200
#define WAIT_MAX_MS 5000
#define ROUTES 200

/* A fake member.  Its fields are set before the reader is told of it. */
struct member
{
  struct control_fake fake;
  GMutex mutex;
  struct control_documents *documents;
  /* Number of pieces that it still sends; it refuses later calls. */
  uint32_t pieces_left;
  /* Version that it sends in place of its newest one, or 0. */
  uint64_t sent_version;
  /* Bytes that each piece is too long. */
  uint32_t excess_bytes;
  /* Offset of the first call, or UINT32_MAX. */
  uint32_t first_offset;
};

static enum control_status
fill_piece (struct member *member, const struct control_fetch_args *args,
            struct control_fetch_result *result)
{
  gsize size = 0;
  uint64_t newest = control_documents_version (member->documents);
  result->from_version = args->from_version;
  result->to_version = args->to_version       ? args->to_version
                       : member->sent_version ? member->sent_version
                                              : newest;
  GBytes *transfer = control_documents_transfer (
      member->documents, result->from_version, result->to_version);
  if (!transfer)
    return CONTROL_NOT_FOUND;
  const char *data = g_bytes_get_data (transfer, &size);
  gsize start = MIN (args->offset, size);
  gsize bytes = MIN (size - start, PIECE_BYTES);
  result->digest = base_hash64 (data, size);
  result->transfer_bytes = (u_int)size;
  result->piece.piece_len = (u_int)bytes + member->excess_bytes;
  result->piece.piece_val = calloc (1, bytes + member->excess_bytes + 1);
  memcpy (result->piece.piece_val, data + start, bytes);
  return CONTROL_OK;
}

static void
answer_fetch (struct control_fake *fake, struct wire_call *call)
{
  struct member *member = fake->context;
  struct control_fetch_args args = { 0 };
  struct control_fetch_result result = { 0 };
  g_assert_cmpuint (wire_call_procedure (call), ==, CONTROL_FETCH);
  g_assert_true (
      wire_call_args (call, (xdrproc_t)xdr_control_fetch_args, &args));
  g_mutex_lock (&member->mutex);
  if (member->first_offset == UINT32_MAX)
    member->first_offset = args.offset;
  bool sends = member->pieces_left > 0;
  if (sends)
    {
      member->pieces_left--;
      result.answer.leader_address = strdup ("");
      result.answer.text = strdup ("");
      result.answer.status = fill_piece (member, &args, &result);
    }
  g_mutex_unlock (&member->mutex);
  if (sends)
    wire_call_reply (call, (xdrproc_t)xdr_control_fetch_result, &result);
  else
    wire_call_fail (call);
  xdr_free ((xdrproc_t)xdr_control_fetch_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_control_fetch_args, (char *)&args);
}

/* Adds a document of many routes, the same ones in each version. */
static void
put (struct member *member, uint64_t version)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "{\"version\":%u}", (unsigned)version);
  for (uint64_t i = 0; i < ROUTES; i++)
    g_string_append_printf (text, "{\"route\":%" G_GUINT64_FORMAT "}",
                            i * 2654435761u % 1000003);
  GBytes *bytes = g_string_free_to_bytes (text);
  g_mutex_lock (&member->mutex);
  control_documents_put (member->documents, version, bytes);
  g_mutex_unlock (&member->mutex);
  g_bytes_unref (bytes);
}

static void
start_member (struct member *member, uint32_t pieces)
{
  memset (member, 0, sizeof *member);
  g_mutex_init (&member->mutex);
  member->documents = control_documents_create ();
  member->pieces_left = pieces;
  member->first_offset = UINT32_MAX;
  control_fake_start (&member->fake, answer_fetch, member);
}

static void
stop_member (struct member *member)
{
  control_fake_stop (&member->fake);
  control_documents_destroy (member->documents);
  g_mutex_clear (&member->mutex);
}

static struct edge_table *
read_table (const struct edge_dialect *dialect, uint64_t version,
            const char *document, size_t bytes)
{
  char *start = g_strdup_printf ("{\"version\":%u}", (unsigned)version);
  (void)dialect;
  g_assert_cmpuint (bytes, >, strlen (start));
  g_assert_cmpmem (document, strlen (start), start, strlen (start));
  g_free (start);
  return edge_table_create (version);
}

static void
ignore_wake (void *context)
{
  (void)context;
}

/* A reader and the parts of a router that it uses. */
struct fixture
{
  struct edge_dialect dialect;
  struct edge edge;
  struct edge_reader *reader;
};

static void
set_up (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  struct edge *edge = &fixture->edge;
  fixture->dialect.read_table = read_table;
  edge->options.cluster = "test";
  edge->options.dialect = &fixture->dialect;
  edge->metrics = base_metrics_create ();
  edge->counters.documents_read
      = base_metrics_counter (edge->metrics, "read", NULL);
  edge->counters.document_reads_restarted
      = base_metrics_counter (edge->metrics, "restarted", NULL);
  edge->counters.document_reads_failed
      = base_metrics_counter (edge->metrics, "failed", NULL);
  edge->counters.document_bytes
      = base_metrics_counter (edge->metrics, "bytes", NULL);
  fixture->reader = edge_reader_create (edge, ignore_wake, NULL);
}

static void
tear_down (struct fixture *fixture)
{
  edge_reader_destroy (fixture->reader);
  base_metrics_destroy (fixture->edge.metrics);
}

static void
report (struct fixture *fixture, uint32_t source, struct member *member,
        uint64_t version)
{
  edge_reader_report (fixture->reader, source, "127.0.0.1",
                      wire_server_port (member->fake.server), true, version);
}

/* Waits for the table of @p version, after tables of earlier ones. */
static void
check_table (struct fixture *fixture, uint64_t version)
{
  uint64_t found = 0;
  for (uint32_t i = 0; found < version && i < WAIT_MAX_MS; i++)
    {
      struct edge_table *table = edge_reader_take_table (fixture->reader);
      if (table)
        {
          g_assert_cmpuint (edge_table_version (table), >, found);
          found = edge_table_version (table);
        }
      edge_table_unref (table);
      g_usleep (1000);
    }
  g_assert_cmpuint (found, ==, version);
}

/* Starts two members and a reader that has read two pieces of version 1 from
   the first one, which then refuses further calls. */
static void
begin_read (struct fixture *fixture, struct member *first,
            struct member *second)
{
  start_member (first, 2);
  start_member (second, UINT32_MAX);
  put (first, 1);
  set_up (fixture);
  report (fixture, 0, first, 1);
  while (base_counter_value (fixture->edge.counters.document_reads_failed)
         == 0)
    g_usleep (1000);
}

static void
end_read (struct fixture *fixture, struct member *first, struct member *second)
{
  tear_down (fixture);
  stop_member (first);
  stop_member (second);
}

static void
test_read_begun_anew_at_another_member (void)
{
  struct fixture fixture;
  struct member first;
  struct member second;
  begin_read (&fixture, &first, &second);
  put (&second, 1);
  /* A newer document must not discard what was read either. */
  put (&second, 2);
  struct base_counter *restarted
      = fixture.edge.counters.document_reads_restarted;
  report (&fixture, 1, &second, 2);
  check_table (&fixture, 2);
  g_assert_cmpuint (first.first_offset, ==, 0);
  g_assert_cmpuint (second.first_offset, ==, 2 * PIECE_BYTES);
  g_assert_cmpuint (base_counter_value (restarted), ==, 0);
  end_read (&fixture, &first, &second);
}

/* A member without the documents of the read makes the router begin again. */
static void
test_member_without_history (void)
{
  struct fixture fixture;
  struct member first;
  struct member second;
  begin_read (&fixture, &first, &second);
  put (&second, 2);
  struct base_counter *restarted
      = fixture.edge.counters.document_reads_restarted;
  report (&fixture, 1, &second, 2);
  check_table (&fixture, 2);
  g_assert_cmpuint (base_counter_value (restarted), ==, 1);
  end_read (&fixture, &first, &second);
}

/* A member that has lost its newest documents must not take the router back.
 */
static void
test_older_document_taken (void)
{
  struct fixture fixture;
  struct member member;
  start_member (&member, UINT32_MAX);
  put (&member, 3);
  put (&member, 4);
  set_up (&fixture);
  report (&fixture, 0, &member, 4);
  check_table (&fixture, 4);
  g_mutex_lock (&member.mutex);
  member.sent_version = 3;
  g_mutex_unlock (&member.mutex);
  report (&fixture, 0, &member, 5);
  while (base_counter_value (fixture.edge.counters.document_reads_failed) < 2)
    g_usleep (1000);
  g_assert_null (edge_reader_take_table (fixture.reader));
  put (&member, 5);
  g_mutex_lock (&member.mutex);
  member.sent_version = 0;
  g_mutex_unlock (&member.mutex);
  check_table (&fixture, 5);
  tear_down (&fixture);
  stop_member (&member);
}

/* A transfer that grew too long can't be completed: it must not be kept. */
static void
test_pieces_too_long (void)
{
  struct fixture fixture;
  struct member member;
  start_member (&member, UINT32_MAX);
  put (&member, 1);
  member.excess_bytes = 1;
  set_up (&fixture);
  report (&fixture, 0, &member, 1);
  while (atomic_load (&member.fake.calls) < 20)
    g_usleep (1000);
  g_mutex_lock (&member.mutex);
  member.excess_bytes = 0;
  g_mutex_unlock (&member.mutex);
  check_table (&fixture, 1);
  tear_down (&fixture);
  stop_member (&member);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-reader/read-begun-anew-at-another-member",
                   test_read_begun_anew_at_another_member);
  g_test_add_func ("/edge-reader/member-without-history",
                   test_member_without_history);
  g_test_add_func ("/edge-reader/older-document-taken",
                   test_older_document_taken);
  g_test_add_func ("/edge-reader/pieces-too-long", test_pieces_too_long);
  return g_test_run ();
}
