#include "platform_share.h"

#include <signal.h>
#include <stdatomic.h>

#include <glib.h>

struct platform_share
{
  struct fleet_process **processes;
  uint32_t count;
  uint32_t run_us;
  uint32_t pause_us;
  atomic_bool stops;
  GThread *thread;
};

static void
signal_all (struct platform_share *share, int signal_number)
{
  for (uint32_t i = 0; i < share->count; i++)
    fleet_process_signal (share->processes[i], signal_number);
}

static gpointer
run_share (gpointer data)
{
  struct platform_share *share = data;
  while (!atomic_load (&share->stops))
    {
      signal_all (share, SIGSTOP);
      g_usleep (share->pause_us);
      signal_all (share, SIGCONT);
      g_usleep (share->run_us);
    }
  return NULL;
}

struct platform_share *
platform_share_create (struct fleet_process *const *processes, uint32_t count,
                       uint32_t run_us, uint32_t pause_us)
{
  struct platform_share *share = g_new0 (struct platform_share, 1);
  share->processes = g_new (struct fleet_process *, count);
  for (uint32_t i = 0; i < count; i++)
    share->processes[i] = processes[i];
  share->count = count;
  share->run_us = run_us;
  share->pause_us = pause_us;
  share->thread = g_thread_new ("share", run_share, share);
  return share;
}

void
platform_share_destroy (struct platform_share *share)
{
  atomic_store (&share->stops, true);
  g_thread_join (share->thread);
  g_free (share->processes);
  g_free (share);
}
