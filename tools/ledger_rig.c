#include "ledger_rig.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>
#include <jansson.h>

#include "base_clock.h"
#include "base_hash.h"
#include "escrow_pool.h"
#include "wire_server.h"
#include "tool_folder.h"

#define START_TIMEOUT_MS 20000
#define POLL_INTERVAL_US 2000
#define PROCESSES_MAX 64

extern char **environ;

struct ledger_rig
{
  struct wire_handler base;
  struct wire_server *wire;
  GThread *thread;
  GMutex mutex;
  struct escrow_pool *pool;
  char *folder;
  uint32_t top_ups;
  atomic_bool control_unavailable;
  atomic_bool stopping;
};

/* Running ledgers; they are killed when an assertion of the test fails or this
   process gets SIGTERM. */
static pid_t started[PROCESSES_MAX];
static int started_count;

static void
kill_started (int number)
{
  for (int i = 0; i < started_count; i++)
    if (started[i] > 0)
      kill (started[i], SIGKILL);
  signal (number, SIG_DFL);
  raise (number);
}

static void
add_running (pid_t pid)
{
  if (started_count < PROCESSES_MAX)
    started[started_count++] = pid;
}

static void
remove_running (pid_t pid)
{
  for (int i = 0; i < started_count; i++)
    if (started[i] == pid)
      started[i] = 0;
}

static uint64_t
wall_ms (void)
{
  return base_clock_wall_ms (base_clock_system ());
}

static void
handle_exchange (struct ledger_rig *rig, struct wire_call *call)
{
  struct control_ledger_args args = { 0 };
  struct control_ledger_result result = { 0 };
  if (!wire_call_args (call, (xdrproc_t)xdr_control_ledger_args, &args))
    {
      wire_call_fail (call);
      return;
    }
  if (atomic_load (&rig->control_unavailable))
    {
      result.answer.status = CONTROL_UNAVAILABLE;
      result.answer.leader_address = strdup ("");
      result.answer.text = strdup ("");
    }
  else
    {
      g_mutex_lock (&rig->mutex);
      escrow_pool_exchange (rig->pool, &args, wall_ms (), &result);
      g_mutex_unlock (&rig->mutex);
    }
  wire_call_reply (call, (xdrproc_t)xdr_control_ledger_result, &result);
  xdr_free ((xdrproc_t)xdr_control_ledger_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_control_ledger_args, (char *)&args);
}

static void
handle_call (struct wire_handler *handler, struct wire_call *call)
{
  struct control_sync_result sync = { .lease_ms = CACTUS_SESSION_LEASE_MS };
  static char empty[] = "";
  if (wire_call_procedure (call) == CONTROL_LEDGER)
    {
      handle_exchange ((struct ledger_rig *)handler, call);
      return;
    }
  sync.answer.leader_address = empty;
  sync.answer.text = empty;
  wire_call_reply (call, (xdrproc_t)xdr_control_sync_result, &sync);
}

static gpointer
run_server (gpointer data)
{
  struct ledger_rig *rig = data;
  while (!atomic_load (&rig->stopping))
    wire_server_round (rig->wire, 20);
  return NULL;
}

struct ledger_rig *
ledger_rig_create (void)
{
  struct wire_program program = { CONTROL_PROGRAM, CONTROL_VERSION };
  struct ledger_rig *rig = g_new0 (struct ledger_rig, 1);
  signal (SIGABRT, kill_started);
  signal (SIGTERM, kill_started);
  rig->base.call = handle_call;
  rig->folder = g_dir_make_tmp ("cactus-rig-XXXXXX", NULL);
  rig->pool = escrow_pool_create (ESCROW_POLICY_DEMAND_FLOOR);
  g_mutex_init (&rig->mutex);
  rig->wire = wire_server_create ("127.0.0.1", 0, &program, 1, &rig->base);
  g_assert (rig->wire);
  rig->thread = g_thread_new ("control", run_server, rig);
  return rig;
}

void
ledger_rig_destroy (struct ledger_rig *rig)
{
  atomic_store (&rig->stopping, true);
  wire_server_wake (rig->wire);
  g_thread_join (rig->thread);
  wire_server_destroy (rig->wire);
  escrow_pool_destroy (rig->pool);
  g_mutex_clear (&rig->mutex);
  tool_folder_remove (rig->folder);
  g_free (rig->folder);
  g_free (rig);
}

char *
ledger_rig_folder (const struct ledger_rig *rig, const char *host)
{
  return g_build_filename (rig->folder, host, NULL);
}

static pid_t
spawn (struct ledger_rig *rig, const char *name, const char *host,
       const char *ready_file, const char *log_file)
{
  pid_t pid = -1;
  posix_spawn_file_actions_t actions;
  const char *bin = g_getenv ("CACTUS_BIN");
  char *program = g_build_filename (bin ? bin : "build/bin", name, NULL);
  char *control
      = g_strdup_printf ("127.0.0.1:%u", wire_server_port (rig->wire));
  char *folder = ledger_rig_folder (rig, host);
  char *arguments[] = { program,
                        (char *)"--host",
                        (char *)host,
                        (char *)"--availability-zone",
                        (char *)"zone",
                        (char *)"--region",
                        (char *)"region",
                        (char *)"--control",
                        control,
                        (char *)"--data-dir",
                        folder,
                        (char *)"--ready-file",
                        (char *)ready_file,
                        NULL };
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDERR_FILENO, log_file,
                                    O_WRONLY | O_CREAT | O_APPEND, 0600);
  int error = posix_spawn (&pid, program, &actions, NULL, arguments, environ);
  posix_spawn_file_actions_destroy (&actions);
  g_assert_cmpint (error, ==, 0);
  add_running (pid);
  g_free (program);
  g_free (control);
  g_free (folder);
  return pid;
}

static bool
read_ready_file (const char *path, struct ledger_rig_process *process)
{
  json_t *root = json_load_file (path, 0, NULL);
  if (!root)
    return false;
  process->rpc_port
      = (uint16_t)json_integer_value (json_object_get (root, "rpc_port"));
  process->http_port
      = (uint16_t)json_integer_value (json_object_get (root, "http_port"));
  json_decref (root);
  return true;
}

void
ledger_rig_fill (const struct ledger_rig *rig, const char *host,
                 const char *how)
{
  char *folder = ledger_rig_folder (rig, host);
  char *path = g_strconcat (folder, ".full", NULL);
  if (how)
    g_assert_true (g_file_set_contents (path, how, -1, NULL));
  else
    g_unlink (path);
  g_free (path);
  g_free (folder);
}

bool
ledger_rig_start (struct ledger_rig *rig, const char *host,
                  struct ledger_rig_process *process, char **messages)
{
  return ledger_rig_start_program (rig, "cactus-ledger", host, process,
                                   messages);
}

bool
ledger_rig_start_program (struct ledger_rig *rig, const char *program,
                          const char *host, struct ledger_rig_process *process,
                          char **messages)
{
  int status;
  bool ready = false;
  char *ready_file = g_strconcat (rig->folder, "/", host, ".ready", NULL);
  char *log_file = g_strconcat (rig->folder, "/", host, ".log", NULL);
  g_unlink (ready_file);
  g_unlink (log_file);
  process->pid = spawn (rig, program, host, ready_file, log_file);
  for (uint32_t waited_ms = 0; waited_ms < START_TIMEOUT_MS && !ready;
       waited_ms += POLL_INTERVAL_US / 1000)
    {
      ready = read_ready_file (ready_file, process);
      if (!ready && waitpid (process->pid, &status, WNOHANG) == process->pid)
        {
          remove_running (process->pid);
          break;
        }
      if (!ready)
        g_usleep (POLL_INTERVAL_US);
    }
  if (messages)
    {
      *messages = NULL;
      g_file_get_contents (log_file, messages, NULL, NULL);
    }
  g_free (ready_file);
  g_free (log_file);
  return ready;
}

int
ledger_rig_stop (struct ledger_rig_process *process, int signal_number)
{
  int status = 0;
  kill (process->pid, signal_number);
  while (waitpid (process->pid, &status, 0) < 0 && errno == EINTR)
    continue;
  remove_running (process->pid);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

void
ledger_rig_top_up (struct ledger_rig *rig, const char *account,
                   const char *budget, uint64_t tokens)
{
  char id[32];
  struct control_top_up_result result;
  static char cluster[] = "cactus";
  g_mutex_lock (&rig->mutex);
  g_snprintf (id, sizeof id, "top-up-%u", ++rig->top_ups);
  struct control_top_up_args args = { .cluster = cluster,
                                      .top_up_id = id,
                                      .operator_name = cluster,
                                      .account = (char *)account,
                                      .budget = (char *)budget,
                                      .tokens = tokens };
  escrow_pool_top_up (rig->pool, &args, wall_ms (), &result);
  g_assert_cmpint (result.answer.status, ==, CONTROL_OK);
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  g_mutex_unlock (&rig->mutex);
}

void
ledger_rig_top_up_many (struct ledger_rig *rig, uint32_t count,
                        uint64_t tokens)
{
  char name[32];
  for (uint32_t i = 0; i < count; i++)
    {
      g_snprintf (name, sizeof name, "b%u", i);
      ledger_rig_top_up (rig, "account", name, tokens);
    }
}

void
ledger_rig_set_control_unavailable (struct ledger_rig *rig, bool unavailable)
{
  atomic_store (&rig->control_unavailable, unavailable);
}

uint64_t
ledger_rig_unallocated (struct ledger_rig *rig, uint64_t budget_id)
{
  struct control_budget_result result;
  g_mutex_lock (&rig->mutex);
  escrow_pool_budget (rig->pool, budget_id, &result);
  g_mutex_unlock (&rig->mutex);
  uint64_t tokens = result.unallocated_tokens;
  xdr_free ((xdrproc_t)xdr_control_budget_result, (char *)&result);
  return tokens;
}

struct ledger_endpoint
ledger_rig_endpoint (const char *host,
                     const struct ledger_rig_process *process)
{
  struct ledger_endpoint endpoint = { .port = process->rpc_port };
  g_strlcpy (endpoint.name, host, sizeof endpoint.name);
  g_strlcpy (endpoint.availability_zone, "zone",
             sizeof endpoint.availability_zone);
  g_strlcpy (endpoint.region, "region", sizeof endpoint.region);
  g_strlcpy (endpoint.address, "127.0.0.1", sizeof endpoint.address);
  return endpoint;
}

/* A request whose caller waits for the result. */
struct waiting_request
{
  struct ledger_request base;
  GMutex mutex;
  GCond condition;
  bool done;
};

static void
wake_caller (struct ledger_request *request)
{
  struct waiting_request *waiting = (struct waiting_request *)request;
  g_mutex_lock (&waiting->mutex);
  waiting->done = true;
  g_cond_signal (&waiting->condition);
  g_mutex_unlock (&waiting->mutex);
}

bool
ledger_rig_call (struct ledger_client *client, struct ledger_request *request)
{
  struct waiting_request waiting = { .base = *request };
  waiting.base.done = wake_caller;
  g_mutex_init (&waiting.mutex);
  g_cond_init (&waiting.condition);
  ledger_client_submit (client, &waiting.base);
  g_mutex_lock (&waiting.mutex);
  while (!waiting.done)
    g_cond_wait (&waiting.condition, &waiting.mutex);
  g_mutex_unlock (&waiting.mutex);
  g_mutex_clear (&waiting.mutex);
  g_cond_clear (&waiting.condition);
  *request = waiting.base;
  return !request->lost;
}
