/** @file
 *  Tests readers of the registry against writers on other threads. */

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "pick.h"
#include "registry.h"

#define READERS 4
#define WRITERS 2
#define MERGES 20000
#define TARGETS 20

struct shared
{
  struct registry *registry;
  atomic_uint writers_left;
  atomic_ulong picks;
};

struct writer
{
  struct shared *shared;
  uint32_t index;
};

/* A record whose fields derive from its sequence number, so that a torn or
   freed record is detected. */
static struct registry_record
record_of (uint32_t target, uint64_t sequence, uint64_t incarnation)
{
  struct registry_record record = { .incarnation = incarnation,
                                    .sequence = sequence,
                                    .last_report_ms = 1000,
                                    .slots = 64,
                                    .weight = 100 };
  record.port = (uint16_t)(1 + sequence % 60000);
  record.running = (uint32_t)(sequence % 50);
  record.leaving = sequence % 16 == 15;
  g_snprintf (record.target, sizeof record.target, "t%u", target);
  g_strlcpy (record.service, "s", sizeof record.service);
  g_strlcpy (record.availability_zone, "z1", CACTUS_NAME_BYTES);
  g_strlcpy (record.region, "r1", CACTUS_NAME_BYTES);
  g_strlcpy (record.address, "10.0.0.1", sizeof record.address);
  return record;
}

static gpointer
write_records (gpointer data)
{
  const struct writer *writer = data;
  struct shared *shared = writer->shared;
  for (uint64_t i = 1; i <= MERGES; i++)
    {
      uint32_t target = (uint32_t)(i % TARGETS) * WRITERS + writer->index;
      struct registry_record record = record_of (target, i, 1 + i / 100);
      registry_merge (shared->registry, &record, 1000);
      if (i % 64 == 0)
        registry_lapse (shared->registry, 1000);
    }
  atomic_fetch_sub (&shared->writers_left, 1);
  return NULL;
}

static void
check_view (const struct registry_view *view)
{
  for (size_t i = 0; view && i < view->count; i++)
    {
      const struct registry_record *record = &view->targets[i].record;
      g_assert_cmpuint (record->port, ==, 1 + record->sequence % 60000);
      g_assert_cmpuint (record->running, ==, record->sequence % 50);
      g_assert_false (record->leaving);
    }
}

static gpointer
read_views (gpointer data)
{
  struct shared *shared = data;
  struct registry_reader *reader = registry_reader_create (shared->registry);
  struct base_random random = { 5 };
  struct registry_load *held_load = NULL;
  struct pick_request request = { .availability_zone = "z1",
                                  .region = "r1",
                                  .slot_percent = 100,
                                  .prefix_hash = 9,
                                  .now_ms = 1000 };
  while (atomic_load (&shared->writers_left) > 0)
    {
      const struct registry_target *chosen = NULL;
      const struct registry_view *view = registry_read (reader, "s");
      check_view (view);
      if (pick_target (PICK_TWO_CHOICES_AFFINITY, view, &request, &random,
                       &chosen)
          == PICK_FOUND)
        {
          pick_acquire (chosen->load);
          if (held_load)
            {
              pick_release (held_load, false, 1000);
              registry_load_unref (held_load);
            }
          held_load = registry_load_ref (chosen->load);
          atomic_fetch_add (&shared->picks, 1);
        }
      registry_read_end (reader);
    }
  registry_load_unref (held_load);
  registry_reader_destroy (reader);
  return NULL;
}

static void
test_readers_and_writers (void)
{
  struct shared shared = { .registry = registry_create (3000) };
  struct writer writers[WRITERS];
  GThread *threads[READERS + WRITERS];
  atomic_store (&shared.writers_left, WRITERS);
  for (uint32_t i = 0; i < WRITERS; i++)
    {
      writers[i] = (struct writer){ &shared, i };
      threads[i] = g_thread_new ("writer", write_records, &writers[i]);
    }
  for (uint32_t i = 0; i < READERS; i++)
    threads[WRITERS + i] = g_thread_new ("reader", read_views, &shared);
  for (uint32_t i = 0; i < READERS + WRITERS; i++)
    g_thread_join (threads[i]);
  g_test_message ("%lu picks", atomic_load (&shared.picks));
  registry_destroy (shared.registry);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/registry-threads/readers-and-writers",
                   test_readers_and_writers);
  return g_test_run ();
}
