#include "target_engine.h"

#include <string.h>
#include <sys/socket.h>

#include "base_clock.h"

#define TICK_US 1000
/* Ticks between two checks for callers that disconnected. */
#define DISCONNECT_CHECK_TICKS 50
#define US_PER_SECOND 1000000u

struct target_engine
{
  struct target_engine_options options;
  struct target_faults *faults;
  struct target_oracle *oracle;
  GMutex mutex;
  GThread *thread;
  GQueue running;
  GQueue queued;
  bool stopping;
};

static void
resume_job (struct target_job *job)
{
  if (!job->suspended)
    return;
  job->suspended = false;
  MHD_resume_connection (job->connection);
}

static void
suspend_job (struct target_job *job)
{
  job->suspended = true;
  MHD_suspend_connection (job->connection);
}

/* Records the end of a run in the oracle, once. */
static void
record_end (struct target_engine *engine, struct target_job *job,
            bool complete)
{
  if (!job->running || job->recorded)
    return;
  job->recorded = true;
  uint64_t tokens = job->kind == TARGET_JOB_PLAIN
                        ? 0
                        : job->prompt_tokens + job->generated_tokens;
  target_oracle_end (engine->oracle, job->key, job->account, tokens, complete);
}

static void
finish_job (struct target_engine *engine, struct target_job *job, bool cut)
{
  job->cut = cut;
  job->done = true;
  record_end (engine, job, !cut);
  resume_job (job);
}

static void
start_job (struct target_engine *engine, struct target_job *job,
           uint64_t now_us)
{
  job->running = true;
  job->started_us = now_us;
  job->delay_ms = atomic_load (&engine->faults->delay_ms);
  job->run = target_oracle_start (engine->oracle, job->key, job->account,
                                  job->budget);
  g_queue_push_tail_link (&engine->running, &job->link);
}

static void
fill_slots (struct target_engine *engine, uint64_t now_us)
{
  while (engine->running.length < engine->options.slots
         && engine->queued.length > 0)
    {
      GList *link = g_queue_pop_head_link (&engine->queued);
      start_job (engine, link->data, now_us);
    }
}

/* Tokens of the answer that are due by now. */
static uint32_t
due_tokens (const struct target_engine *engine, const struct target_job *job,
            uint64_t now_us)
{
  uint64_t wait_us
      = (uint64_t)(engine->options.first_token_ms + job->delay_ms) * 1000;
  if (now_us < job->started_us + wait_us)
    return 0;
  uint64_t since_us = now_us - job->started_us - wait_us;
  uint64_t due = 1 + since_us * engine->options.token_rate / US_PER_SECOND;
  return (uint32_t)MIN (due, job->tokens);
}

static void
step_plain (struct target_engine *engine, struct target_job *job,
            uint64_t now_us)
{
  uint64_t wait_us
      = (uint64_t)(engine->options.call_ms + job->delay_ms) * 1000;
  if (now_us >= job->started_us + wait_us)
    finish_job (engine, job, false);
}

/* Generates the tokens that are due, within the faults. */
static void
step_tokens (struct target_engine *engine, struct target_job *job,
             uint64_t now_us)
{
  uint32_t due = due_tokens (engine, job, now_us);
  uint32_t stall = atomic_load (&engine->faults->stall_after_tokens);
  uint32_t reset = atomic_load (&engine->faults->reset_after_tokens);
  bool added = false;
  while (job->generated_tokens < due)
    {
      if (stall > 0 && job->generated_tokens >= stall)
        break;
      if (reset > 0 && job->generated_tokens >= reset)
        {
          finish_job (engine, job, true);
          return;
        }
      if (job->stream)
        target_job_append_token (job);
      job->generated_tokens++;
      added = true;
    }
  if (job->generated_tokens == job->tokens)
    {
      if (job->stream)
        target_job_append_end (job);
      finish_job (engine, job, false);
    }
  else if (added && job->stream)
    resume_job (job);
}

/* Looks at the socket itself, as libmicrohttpd does not notice the end of a
   suspended connection. */
static bool
caller_disconnected (const struct target_job *job)
{
  char byte;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      job->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info
         && recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Cuts the jobs of callers that disconnected. */
static void
cut_disconnected (struct target_engine *engine, GQueue *queue)
{
  for (GList *link = queue->head; link; link = link->next)
    {
      struct target_job *job = link->data;
      if (job->suspended && job->kind != TARGET_JOB_PLAIN && !job->done
          && caller_disconnected (job))
        finish_job (engine, job, true);
    }
}

static void
tick (struct target_engine *engine, uint32_t count)
{
  uint64_t now_us = base_clock_now_us (base_clock_system ());
  fill_slots (engine, now_us);
  for (GList *link = engine->running.head; link; link = link->next)
    {
      struct target_job *job = link->data;
      if (job->done)
        continue;
      if (job->kind == TARGET_JOB_PLAIN)
        step_plain (engine, job, now_us);
      else
        step_tokens (engine, job, now_us);
    }
  if (count % DISCONNECT_CHECK_TICKS == 0)
    {
      cut_disconnected (engine, &engine->running);
      cut_disconnected (engine, &engine->queued);
    }
}

static gpointer
run_engine (gpointer data)
{
  struct target_engine *engine = data;
  for (uint32_t count = 0;; count++)
    {
      g_mutex_lock (&engine->mutex);
      bool stopping = engine->stopping;
      if (!stopping)
        tick (engine, count);
      g_mutex_unlock (&engine->mutex);
      if (stopping)
        return NULL;
      g_usleep (TICK_US);
    }
}

struct target_engine *
target_engine_create (const struct target_engine_options *options,
                      struct target_faults *faults,
                      struct target_oracle *oracle)
{
  struct target_engine *engine = g_new0 (struct target_engine, 1);
  engine->options = *options;
  engine->faults = faults;
  engine->oracle = oracle;
  g_mutex_init (&engine->mutex);
  engine->thread = g_thread_new ("engine", run_engine, engine);
  return engine;
}

void
target_engine_destroy (struct target_engine *engine)
{
  if (!engine)
    return;
  g_mutex_lock (&engine->mutex);
  engine->stopping = true;
  g_mutex_unlock (&engine->mutex);
  g_thread_join (engine->thread);
  g_mutex_clear (&engine->mutex);
  g_free (engine);
}

bool
target_engine_submit (struct target_engine *engine, struct target_job *job,
                      bool suspend)
{
  bool accepted = true;
  g_mutex_lock (&engine->mutex);
  if (engine->running.length < engine->options.slots)
    start_job (engine, job, base_clock_now_us (base_clock_system ()));
  else if (engine->queued.length < engine->options.queue_limit)
    g_queue_push_tail_link (&engine->queued, &job->link);
  else
    accepted = false;
  job->submitted = accepted;
  if (accepted && suspend)
    suspend_job (job);
  g_mutex_unlock (&engine->mutex);
  return accepted;
}

ssize_t
target_engine_read (struct target_engine *engine, struct target_job *job,
                    char *buffer, size_t limit)
{
  ssize_t result = 0;
  g_mutex_lock (&engine->mutex);
  size_t bytes = MIN (job->pending->len, limit);
  if (bytes > 0)
    {
      memcpy (buffer, job->pending->str, bytes);
      g_string_erase (job->pending, 0, (gssize)bytes);
      result = (ssize_t)bytes;
    }
  else if (!job->done)
    suspend_job (job);
  else
    result = job->cut ? MHD_CONTENT_READER_END_WITH_ERROR
                      : MHD_CONTENT_READER_END_OF_STREAM;
  g_mutex_unlock (&engine->mutex);
  return result;
}

void
target_engine_remove (struct target_engine *engine, struct target_job *job)
{
  g_mutex_lock (&engine->mutex);
  if (job->submitted)
    {
      record_end (engine, job, false);
      g_queue_unlink (job->running ? &engine->running : &engine->queued,
                      &job->link);
      job->submitted = false;
    }
  g_mutex_unlock (&engine->mutex);
}

void
target_engine_counts (struct target_engine *engine, uint32_t *running,
                      uint32_t *queued)
{
  g_mutex_lock (&engine->mutex);
  *running = engine->running.length;
  *queued = engine->queued.length;
  g_mutex_unlock (&engine->mutex);
}
