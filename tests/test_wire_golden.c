/** @file
 *  Keeps the encoding of the messages between processes, and of what is
 *  stored, as in tests/golden/wire: builds that run side by side must read
 *  each other's messages and disks. */

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "base_random.h"
#include "test_golden.h"
#include "wire_consensus.h"
#include "wire_control.h"
#include "wire_gossip.h"
#include "wire_ledger.h"
#include "wire_loan.h"

#define PATTERN_SEED 1
#define MESSAGE_BYTES_MAX 65536
/* Encoded bytes in a line of a golden file. */
#define LINE_BYTES 32
#define NO_KIND (-1)

/* Produces a value of any type: its words are 1 or 2, its bytes letters. */
struct pattern
{
  struct base_random random;
  /* The word with this number has this value. */
  int kind_word;
  long kind;
  int words;
  uint32_t bytes;
};

/* A type, and which of its words is the kind of a union; the union is
   generated once for each kind from first to last. */
struct kind
{
  const char *name;
  xdrproc_t codec;
  size_t bytes;
  int kind_word;
  long first;
  long last;
};

#define KIND(type)                                                            \
  {                                                                           \
#type, (xdrproc_t)xdr_##type, sizeof(type), NO_KIND, 0, 0                 \
  }
#define UNION(type, word, first, last)                                        \
  {                                                                           \
#type, (xdrproc_t)xdr_##type, sizeof(type), word, first, last             \
  }

static const struct kind kinds[] = { KIND (wire_process),
                                     KIND (consensus_wire_message),
                                     KIND (consensus_wire_vote),
                                     KIND (consensus_wire_snapshot),
                                     UNION (consensus_wire_record, 0, 1, 2),
                                     KIND (control_sync_args),
                                     KIND (control_sync_result),
                                     KIND (control_push_args),
                                     KIND (control_push_result),
                                     KIND (control_bundle_args),
                                     KIND (control_bundle_result),
                                     KIND (control_top_up_args),
                                     KIND (control_top_up_result),
                                     KIND (control_ledger_args),
                                     KIND (control_ledger_result),
                                     KIND (control_claim_args),
                                     KIND (control_claim_result),
                                     KIND (control_finish_args),
                                     KIND (control_answer),
                                     KIND (control_budget_args),
                                     KIND (control_budget_result),
                                     KIND (control_drain_args),
                                     KIND (control_status_args),
                                     KIND (control_status_result),
                                     KIND (control_member_args),
                                     KIND (control_document_args),
                                     KIND (control_document_result),
                                     KIND (control_read_args),
                                     KIND (control_read_result),
                                     KIND (control_router_args),
                                     KIND (control_router_result),
                                     KIND (control_watch_args),
                                     KIND (control_watch_result),
                                     KIND (control_fetch_args),
                                     KIND (control_fetch_result),
                                     KIND (control_difference),
                                     KIND (control_streams_args),
                                     KIND (control_streams_result),
                                     KIND (control_targets_file),
                                     KIND (control_evacuation_args),
                                     KIND (control_evacuation_result),
                                     KIND (control_evacuation_list_args),
                                     KIND (control_evacuation_list_result),
                                     KIND (control_evacuations_known),
                                     KIND (control_evacuations),
                                     KIND (control_evacuations_image),
                                     UNION (control_command, 2, 1, 13),
                                     KIND (control_state_image),
                                     KIND (control_reports_image),
                                     KIND (control_routers_image),
                                     KIND (gossip_exchange_args),
                                     KIND (gossip_exchange_result),
                                     KIND (gossip_bundle_args),
                                     KIND (gossip_bundle_result),
                                     KIND (loan_message),
                                     UNION (ledger_op, 0, 1, 4),
                                     KIND (ledger_batch_args),
                                     KIND (ledger_batch_result),
                                     KIND (ledger_bills_args),
                                     KIND (ledger_bills_result),
                                     KIND (ledger_budget_args),
                                     KIND (ledger_budget_result),
                                     KIND (ledger_reconcile_args),
                                     KIND (ledger_reconcile_result) };

static bool_t
pattern_word (XDR *stream, long *value)
{
  struct pattern *pattern = (struct pattern *)stream->x_private;
  long drawn = 1 + (long)base_random_below (&pattern->random, 2);
  *value = pattern->words == pattern->kind_word ? pattern->kind : drawn;
  pattern->words++;
  return TRUE;
}

static bool_t
pattern_bytes (XDR *stream, char *bytes, u_int count)
{
  struct pattern *pattern = (struct pattern *)stream->x_private;
  for (u_int i = 0; i < count; i++)
    bytes[i] = (char)('a' + pattern->bytes++ % 26);
  return TRUE;
}

static int32_t *
pattern_inline (XDR *stream, u_int bytes)
{
  (void)stream;
  (void)bytes;
  return NULL;
}

/* Fills in a zeroed value of any type. */
static void
fill (const struct kind *kind, long union_kind, void *value)
{
  static struct xdr_ops ops = { .x_getlong = pattern_word,
                                .x_getbytes = pattern_bytes,
                                .x_inline = pattern_inline };
  struct pattern pattern
      = { .kind_word = kind->kind_word, .kind = union_kind };
  XDR stream
      = { .x_op = XDR_DECODE, .x_ops = &ops, .x_private = (char *)&pattern };
  base_random_seed (&pattern.random, PATTERN_SEED);
  g_assert_true (kind->codec (&stream, value));
}

/* Encodes a value as the lines of a golden file. */
static char *
encode (xdrproc_t codec, void *value)
{
  XDR stream;
  GString *text = g_string_new (NULL);
  char *data = g_malloc0 (MESSAGE_BYTES_MAX);
  xdrmem_create (&stream, data, MESSAGE_BYTES_MAX, XDR_ENCODE);
  g_assert_true (codec (&stream, value));
  u_int bytes = xdr_getpos (&stream);
  XDR_DESTROY (&stream);
  for (u_int i = 0; i < bytes; i++)
    {
      bool last = (i + 1) % LINE_BYTES == 0 || i + 1 == bytes;
      g_string_append_printf (text, "%02x%s", (unsigned char)data[i],
                              last ? "\n" : "");
    }
  g_free (data);
  return g_string_free (text, FALSE);
}

/* Reads the lines of a golden file. */
static GByteArray *
read_lines (const char *text)
{
  GByteArray *data = g_byte_array_new ();
  for (; *text; text++)
    if (*text != '\n')
      {
        guint8 byte = (guint8)(g_ascii_xdigit_value (text[0]) * 16
                               + g_ascii_xdigit_value (text[1]));
        g_byte_array_append (data, &byte, 1);
        text++;
      }
  return data;
}

/* Compares a value's encoding with its golden file, and decodes the file: all
   of it is read, and the same bytes come back. */
static void
check_golden (const char *name, const struct kind *kind, void *value)
{
  XDR stream;
  char *file = g_strdup_printf ("wire/%s.txt", name);
  char *text = encode (kind->codec, value);
  test_golden_check (file, text);
  GByteArray *data = read_lines (text);
  void *decoded = g_malloc0 (kind->bytes);
  xdrmem_create (&stream, (char *)data->data, data->len, XDR_DECODE);
  g_assert_true (kind->codec (&stream, decoded));
  g_assert_cmpuint (xdr_getpos (&stream), ==, data->len);
  XDR_DESTROY (&stream);
  char *again = encode (kind->codec, decoded);
  g_assert_cmpstr (again, ==, text);
  xdr_free (kind->codec, decoded);
  g_free (decoded);
  g_byte_array_unref (data);
  g_free (again);
  g_free (text);
  g_free (file);
}

/* Guards against a field that is added, removed or has another type. */
static void
test_layout (gconstpointer data)
{
  const struct kind *kind = data;
  for (long union_kind = kind->first; union_kind <= kind->last; union_kind++)
    {
      char *name = kind->kind_word == NO_KIND
                       ? g_strdup (kind->name)
                       : g_strdup_printf ("%s-%ld", kind->name, union_kind);
      void *value = g_malloc0 (kind->bytes);
      fill (kind, union_kind, value);
      check_golden (name, kind, value);
      xdr_free (kind->codec, value);
      g_free (value);
      g_free (name);
    }
}

#define CHECK_FIELDS(type, value)                                             \
  do                                                                          \
    {                                                                         \
      static const struct kind kind = KIND (type);                            \
      check_golden (#type "-fields", &kind, value);                           \
    }                                                                         \
  while (0)

/* Guards against fields of the same type that change places: each field has a
   value of its own. */
static void
test_consensus_fields (void)
{
  char cluster[] = "cluster";
  char address[] = "10.0.0.1";
  char bytes[] = "data";
  consensus_wire_entry entry
      = { 0x101, 0x102, CONSENSUS_ENTRY_COMMAND, { 4, bytes } };
  consensus_wire_message message
      = { .kind = CONSENSUS_APPEND,
          .cluster = cluster,
          .from_member = 0x201,
          .from_incarnation = UINT64_C (0xf202030405060708),
          .to_member = 0x203,
          .to_incarnation = 0x204,
          .term = 0x205,
          .log_index = 0x206,
          .log_term = 0x207,
          .commit_index = 0x208,
          .round = 0x209,
          .granted = TRUE,
          .hint_index = 0x20a,
          .entries = { 1, &entry },
          .snapshot_offset = 0x20b,
          .snapshot_bytes = 0x20c,
          .snapshot_piece = { 4, bytes } };
  consensus_wire_vote vote
      = { .term = 1, .voted_member = 2, .voted_incarnation = 3 };
  consensus_wire_member member = { .member_id = 0x301,
                                   .incarnation = 0x302,
                                   .role = CONSENSUS_VOTER,
                                   .address = address,
                                   .port = 0x303 };
  consensus_wire_snapshot snapshot = { .log_index = 0x401,
                                       .log_term = 0x402,
                                       .configuration_index = 0x403,
                                       .configuration = { { 1, &member } },
                                       .state = { 4, bytes } };
  CHECK_FIELDS (consensus_wire_entry, &entry);
  CHECK_FIELDS (consensus_wire_message, &message);
  CHECK_FIELDS (consensus_wire_vote, &vote);
  CHECK_FIELDS (consensus_wire_snapshot, &snapshot);
}

static void
test_control_fields (void)
{
  char cluster[] = "cluster";
  char router[] = "router";
  char name[] = "target";
  char service[] = "service";
  char address[] = "10.0.0.1";
  char zone[] = "zone";
  char version[] = "v2";
  char account[] = "account";
  char bytes[] = "data";
  control_prepaid_total total = { account, 0x101 };
  control_document_args document = { .cluster = cluster,
                                     .document_version = 0x102,
                                     .totals = { 1, &total },
                                     .document = { 4, bytes } };
  control_lease_ask ask = { .account = account,
                            .want_tokens = 0x201,
                            .need_tokens = 0x202,
                            .returned_tokens = 0x203,
                            .demand_tokens = 0x204,
                            .used_tokens = 0x205,
                            .tokens_per_s = 0x206,
                            .spent_tokens = 0x207,
                            .ahead_tokens = 0x208 };
  control_lease_args lease = { .cluster = cluster,
                               .router = router,
                               .router_incarnation = 0x301,
                               .sequence = 0x302,
                               .sent_ms = 0x303,
                               .uptime_ms = 0x304,
                               .asks = { 1, &ask } };
  control_lease_line line = { .account = account,
                              .granted_tokens = 0x401,
                              .total_tokens = 0x402,
                              .left_tokens = 0x403,
                              .demand_tokens = 0x404,
                              .tokens_per_s = 0x405,
                              .known = TRUE,
                              .unspent_tokens = 0x406,
                              .recalled_tokens = 0x407,
                              .recall_id = 0x408,
                              .notice = FALSE };
  control_target target = { .name = name,
                            .born_ms = 0x501,
                            .sequence = 0x502,
                            .service = service,
                            .address = address,
                            .port = 0x503,
                            .availability_zone = zone,
                            .slots = 0x504,
                            .cold_left_ms = 0x505,
                            .state = CONTROL_TARGET_LEAVING,
                            .silent = FALSE,
                            .software_version = version };
  control_watch_args watch = { .cluster = cluster,
                               .router = router,
                               .epoch = 0x601,
                               .change = 0x602,
                               .document_version = 0x603,
                               .wait_ms = 0x604,
                               .suspects_version = 0x605,
                               .limits_version = 0x606,
                               .self = { .name = name,
                                         .address = address,
                                         .relay_port = 0x607,
                                         .availability_zone = zone,
                                         .is_cut_off = TRUE,
                                         .demand = 0x608,
                                         .gone = FALSE },
                               .routers_change = 0x609 };
  control_fetch_args fetch = { .cluster = cluster,
                               .from_version = 0x701,
                               .to_version = 0x702,
                               .digest = 0x703,
                               .offset = 0x704 };
  CHECK_FIELDS (control_document_args, &document);
  CHECK_FIELDS (control_lease_args, &lease);
  CHECK_FIELDS (control_lease_line, &line);
  CHECK_FIELDS (control_target, &target);
  CHECK_FIELDS (control_watch_args, &watch);
  CHECK_FIELDS (control_fetch_args, &fetch);
}

static void
test_router_fields (void)
{
  char cluster[] = "cluster";
  char name[] = "target";
  char service[] = "service";
  char address[] = "10.0.0.1";
  char zone[] = "zone";
  char region[] = "region";
  char account[] = "account";
  gossip_target target = { .target = name,
                           .service = service,
                           .availability_zone = zone,
                           .region = region,
                           .address = address,
                           .port = 0x101,
                           .incarnation = 0x102,
                           .sequence = 0x103,
                           .leaving = TRUE,
                           .age_ms = 0x104,
                           .slots = 0x105,
                           .running = 0x106,
                           .queued = 0x107,
                           .weight = 0x108 };
  gossip_load load = { .identity = 0x201, .sequence = 0x202, .report = 0x203 };
  gossip_bundle_args bundle = { .cluster = cluster,
                                .have_version = 0x301,
                                .piece_version = 0x302,
                                .piece_offset = 0x303 };
  loan_message loan = { .protocol = LOAN_VERSION,
                        .cluster = cluster,
                        .kind = LOAN_SETTLE,
                        .borrower = name,
                        .incarnation = 0x401,
                        .number = 0x402,
                        .account = account,
                        .tokens = 0x403 };
  CHECK_FIELDS (gossip_target, &target);
  CHECK_FIELDS (gossip_load, &load);
  CHECK_FIELDS (gossip_bundle_args, &bundle);
  CHECK_FIELDS (loan_message, &loan);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      char *path = g_strdup_printf ("/wire-golden/layout/%s", kinds[i].name);
      g_test_add_data_func (path, &kinds[i], test_layout);
      g_free (path);
    }
  g_test_add_func ("/wire-golden/fields/consensus", test_consensus_fields);
  g_test_add_func ("/wire-golden/fields/control", test_control_fields);
  g_test_add_func ("/wire-golden/fields/routers", test_router_fields);
  return g_test_run ();
}
