/** @file
 *  Tests of the admission queue: priority, ageing, fair shares of accounts,
 *  limits. */

#include <string.h>

#include <glib.h>

#include "admission.h"

#define SERVICE 77

static struct admission_entry
entry_of (uint64_t account_id, uint32_t class_hash, uint32_t priority)
{
  struct admission_entry entry = { .service_hash = SERVICE,
                                   .account_id = account_id,
                                   .account_weight = 100,
                                   .priority = priority,
                                   .class_hash = class_hash,
                                   .queue_limit = 1000,
                                   .queue_ms = 10000 };
  return entry;
}

static void
push (struct admission *admission, struct admission_entry *entry,
      uint64_t now_ms)
{
  uint32_t retry_after_ms = 0;
  g_assert_cmpint (admission_push (admission, entry, now_ms, &retry_after_ms),
                   ==, ADMISSION_QUEUED);
}

static void
test_priority (void)
{
  struct admission *admission = admission_create ();
  struct admission_entry slow = entry_of (1, 2, 5);
  struct admission_entry quick = entry_of (1, 1, 0);
  push (admission, &slow, 0);
  push (admission, &quick, 1);
  g_assert_true (admission_pop (admission, SERVICE, 2) == &quick);
  g_assert_null (admission_pop (admission, SERVICE + 1, 2));
  g_assert_true (admission_pop (admission, SERVICE, 2) == &slow);
  g_assert_null (admission_pop (admission, SERVICE, 2));
  g_assert_cmpuint (admission_count (admission), ==, 0);
  admission_destroy (admission);
}

static void
test_ageing (void)
{
  struct admission *admission = admission_create ();
  struct admission_entry slow[2] = { entry_of (1, 2, 2), entry_of (1, 2, 2) };
  struct admission_entry quick[100];
  int turns = 0;
  slow[0].ageing_ms = 1000;
  slow[1].ageing_ms = 1000;
  push (admission, &slow[0], 0);
  push (admission, &slow[1], 0);
  /* Urgent requests arrive without pause; the slow class is served once
     every 2 s. */
  for (int i = 0; i < 100; i++)
    {
      uint64_t now_ms = (uint64_t)i * 100;
      quick[i] = entry_of (2, 1, 0);
      admission_served (admission, SERVICE, now_ms);
      push (admission, &quick[i], now_ms);
      const struct admission_entry *entry
          = admission_pop (admission, SERVICE, now_ms);
      if (entry->class_hash == 2)
        {
          turns++;
          g_assert_cmpint (i, ==, turns * 20);
        }
    }
  g_assert_cmpint (turns, ==, 2);
  admission_destroy (admission);
}

static void
test_fair_turns (void)
{
  struct admission *admission = admission_create ();
  struct admission_entry light_entries[60];
  struct admission_entry heavy_entries[60];
  int heavy_pops = 0;
  for (int i = 0; i < 60; i++)
    {
      light_entries[i] = entry_of (1, 1, 0);
      push (admission, &light_entries[i], 0);
    }
  for (int i = 0; i < 60; i++)
    {
      heavy_entries[i] = entry_of (2, 1, 0);
      heavy_entries[i].account_weight = 200;
      push (admission, &heavy_entries[i], 0);
    }
  for (int i = 0; i < 30; i++)
    heavy_pops += admission_pop (admission, SERVICE, 0)->account_id == 2;
  g_assert_cmpint (heavy_pops, ==, 20);
  admission_destroy (admission);
}

static void
test_unpop (void)
{
  struct admission *admission = admission_create ();
  struct admission_entry entries[3];
  for (int i = 0; i < 3; i++)
    {
      entries[i] = entry_of ((uint64_t)i / 2, 1, 0);
      push (admission, &entries[i], 0);
    }
  for (int i = 0; i < 5; i++)
    {
      struct admission_entry *entry = admission_pop (admission, SERVICE, 10);
      g_assert_true (entry == &entries[0]);
      admission_unpop (admission, entry);
      g_assert_cmpuint (admission_count (admission), ==, 3);
    }
  g_assert_true (admission_pop (admission, SERVICE, 10) == &entries[0]);
  g_assert_true (admission_pop (admission, SERVICE, 10) == &entries[2]);
  g_assert_true (admission_pop (admission, SERVICE, 10) == &entries[1]);
  admission_destroy (admission);
}

/* A class for which no target is free doesn't block the others. */
static void
test_pop_except (void)
{
  struct admission *admission = admission_create ();
  struct admission_entry quick = entry_of (1, 1, 0);
  struct admission_entry slow = entry_of (1, 2, 1);
  uint32_t skip[2] = { 1, 2 };
  push (admission, &quick, 0);
  push (admission, &slow, 0);
  g_assert_true (admission_pop_except (admission, SERVICE, 0, skip, 1)
                 == &slow);
  g_assert_null (admission_pop_except (admission, SERVICE, 0, skip, 2));
  g_assert_true (admission_pop (admission, SERVICE, 0) == &quick);
  admission_destroy (admission);
}

static void
test_limits (void)
{
  struct admission *admission = admission_create ();
  struct admission_entry entries[4];
  uint32_t retry_after_ms = 0;
  for (int i = 0; i < 4; i++)
    {
      entries[i] = entry_of (1, 1, 0);
      entries[i].queue_limit = 3;
      entries[i].queue_ms = 100 * (uint32_t)(i + 1);
    }
  for (int i = 0; i < 3; i++)
    push (admission, &entries[i], 0);
  g_assert_cmpint (admission_push (admission, &entries[3], 0, &retry_after_ms),
                   ==, ADMISSION_FULL);
  g_assert_cmpuint (retry_after_ms, >=, 1000);
  admission_remove (admission, &entries[0]);
  push (admission, &entries[3], 0);
  g_assert_null (admission_expire (admission, 199));
  g_assert_true (admission_expire (admission, 200) == &entries[1]);
  g_assert_null (admission_expire (admission, 200));
  g_assert_true (admission_expire (admission, 1000) == &entries[2]);
  g_assert_true (admission_expire (admission, 1000) == &entries[3]);
  g_assert_null (admission_expire (admission, 1000));
  g_assert_cmpuint (admission_count (admission), ==, 0);
  admission_destroy (admission);
}

/* With one request served every 100 ms, the 21st can't be served within 2
   s. */
static void
test_too_late (void)
{
  struct admission *admission = admission_create ();
  static struct admission_entry entries[100];
  uint32_t retry_after_ms = 0;
  int queued = 0;
  uint64_t now_ms = 0;
  for (int i = 0; i < 10; i++)
    {
      entries[queued] = entry_of (1, 1, 0);
      push (admission, &entries[queued++], now_ms);
    }
  for (int i = 0; i < 20; i++)
    {
      now_ms += 100;
      entries[queued] = entry_of (1, 1, 0);
      push (admission, &entries[queued++], now_ms);
      admission_served (admission, SERVICE, now_ms);
      g_assert_nonnull (admission_pop (admission, SERVICE, now_ms));
    }
  g_assert_cmpuint (admission_retry_after_ms (admission, SERVICE), <=, 1200);
  while (queued < 100)
    {
      entries[queued] = entry_of (1, 1, 0);
      entries[queued].queue_ms = 2000;
      if (admission_push (admission, &entries[queued], now_ms, &retry_after_ms)
          == ADMISSION_TOO_LATE)
        break;
      queued++;
    }
  g_assert_cmpuint (admission_count (admission), >=, 18);
  g_assert_cmpuint (admission_count (admission), <=, 22);
  g_assert_cmpuint (retry_after_ms, >=, 1000);
  /* A request of another account is served sooner by its fair share, and
     is queued. */
  struct admission_entry other = entry_of (2, 1, 0);
  other.queue_ms = 2000;
  push (admission, &other, now_ms);
  admission_destroy (admission);
}

/* Once the queue of a stalled service is empty again, the next request is
   queued, so that a recovery is noticed. */
static void
test_stalled (void)
{
  struct admission *admission = admission_create ();
  struct admission_entry entries[3];
  uint32_t retry_after_ms = 0;
  for (int i = 0; i < 3; i++)
    entries[i] = entry_of (1, 1, 0);
  push (admission, &entries[0], 0);
  g_assert_cmpint (
      admission_push (admission, &entries[1], 5000, &retry_after_ms), ==,
      ADMISSION_TOO_LATE);
  g_assert_cmpuint (retry_after_ms, ==, 60000);
  g_assert_true (admission_expire (admission, 10000) == &entries[0]);
  push (admission, &entries[2], 10001);
  admission_destroy (admission);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admission/priority", test_priority);
  g_test_add_func ("/admission/ageing", test_ageing);
  g_test_add_func ("/admission/fair-turns", test_fair_turns);
  g_test_add_func ("/admission/unpop", test_unpop);
  g_test_add_func ("/admission/pop-except", test_pop_except);
  g_test_add_func ("/admission/limits", test_limits);
  g_test_add_func ("/admission/too-late", test_too_late);
  g_test_add_func ("/admission/stalled", test_stalled);
  return g_test_run ();
}
