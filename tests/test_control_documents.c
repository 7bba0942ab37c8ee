/** @file
 *  Tests of the stored configuration documents and of the transfers by which
 *  routers get them. */

#include <string.h>

#include <glib.h>

#include "control_difference.h"
#include "control_documents.h"

#define VERSIONS 100

/* Puts a document whose text names its version. */
static bool
put (struct control_documents *documents, uint64_t version)
{
  char *text = g_strdup_printf ("{\"version\":%u},{\"a\":1},{\"b\":2}",
                                (unsigned)version);
  GBytes *bytes = g_bytes_new_take (text, strlen (text));
  bool stored = control_documents_put (documents, version, bytes);
  g_bytes_unref (bytes);
  return stored;
}

static void
check_transfer (struct control_documents *documents, GBytes *from,
                uint64_t from_version)
{
  uint64_t newest = control_documents_version (documents);
  GBytes *result = control_difference_apply (
      from, control_documents_transfer (documents, from_version, newest));
  g_assert_nonnull (result);
  g_assert_true (g_bytes_equal (result, control_documents_bytes (documents)));
  g_bytes_unref (result);
}

static void
test_highest_version_counts (void)
{
  struct control_documents *documents = control_documents_create ();
  g_assert_cmpuint (control_documents_version (documents), ==, 0);
  g_assert_null (control_documents_bytes (documents));
  g_assert_true (control_documents_has (documents, 0));
  g_assert_true (put (documents, 5));
  g_assert_false (put (documents, 5));
  g_assert_false (put (documents, 4));
  g_assert_false (control_documents_has (documents, 4));
  g_assert_cmpuint (control_documents_version (documents), ==, 5);
  control_documents_destroy (documents);
}

static void
test_transfers (void)
{
  struct control_documents *documents = control_documents_create ();
  put (documents, 1);
  GBytes *first = g_bytes_ref (control_documents_bytes (documents));
  check_transfer (documents, NULL, 0);
  put (documents, 2);
  check_transfer (documents, NULL, 0);
  check_transfer (documents, first, 1);
  g_assert_null (control_documents_transfer (documents, 7, 2));
  g_assert_null (control_documents_transfer (documents, 1, 7));
  g_bytes_unref (first);
  control_documents_destroy (documents);
}

/* A router that has begun a transfer gets it to its end, from another member
   too, while newer documents arrive. */
static void
test_transfer_outlives_newer_documents (void)
{
  struct control_documents *one = control_documents_create ();
  struct control_documents *other = control_documents_create ();
  put (one, 1);
  put (one, 2);
  GBytes *begun = g_bytes_ref (control_documents_transfer (one, 1, 2));
  put (other, 1);
  for (uint64_t version = 2; version < 12; version++)
    {
      put (one, version);
      put (other, version);
    }
  g_assert_true (
      g_bytes_equal (begun, control_documents_transfer (one, 1, 2)));
  g_assert_true (
      g_bytes_equal (begun, control_documents_transfer (other, 1, 2)));
  g_bytes_unref (begun);
  control_documents_destroy (one);
  control_documents_destroy (other);
}

static void
test_old_documents_are_dropped (void)
{
  struct control_documents *documents = control_documents_create ();
  for (uint64_t version = 1; version <= VERSIONS; version++)
    {
      put (documents, version);
      check_transfer (documents, NULL, 0);
    }
  g_assert_false (control_documents_has (documents, 1));
  g_assert_true (control_documents_has (documents, VERSIONS - 1));
  g_assert_null (control_documents_transfer (documents, 1, VERSIONS));
  control_documents_destroy (documents);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-documents/highest-version-counts",
                   test_highest_version_counts);
  g_test_add_func ("/control-documents/transfers", test_transfers);
  g_test_add_func ("/control-documents/transfer-outlives-newer-documents",
                   test_transfer_outlives_newer_documents);
  g_test_add_func ("/control-documents/old-documents-are-dropped",
                   test_old_documents_are_dropped);
  return g_test_run ();
}
