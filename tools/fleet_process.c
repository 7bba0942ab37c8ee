#include "fleet_process.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include "base_clock.h"
#include "base_random.h"

#define POLL_INTERVAL_US 2000
/* Maximum number of child processes that are killed when this process ends. */
#define CHILDREN_MAX 512

extern char **environ;

/* Range of fleet_free_port(), below the kernel's ephemeral ports, so that no
   outgoing connection takes a port between its choice and the start of the
   process that will listen on it. */
#define PORT_FIRST 20000
#define PORT_COUNT 12000
#define PORT_TRIES 100
/* End of a log that is printed. */
#define LOG_TAIL_BYTES 2000

struct fleet_process
{
  char *name;
  char **arguments;
  char *log_path;
  char *ready_path;
  pid_t id;
  int status;
  uint16_t rpc_port;
  uint16_t http_port;
};

/* Process ids of the running children; 0 marks a free slot. */
static volatile pid_t running_ids[CHILDREN_MAX];

static void
replace_running_id (pid_t old_id, pid_t id)
{
  for (size_t i = 0; i < CHILDREN_MAX; i++)
    if (running_ids[i] == old_id)
      {
        running_ids[i] = id;
        return;
      }
}

/* Kills all running children. */
static void
kill_all (void)
{
  for (size_t i = 0; i < CHILDREN_MAX; i++)
    if (running_ids[i] != 0)
      kill (running_ids[i], SIGKILL);
}

/* Kills all children, then ends this process by the signal's default
   action. */
static void
on_signal (int number)
{
  kill_all ();
  signal (number, SIG_DFL);
  raise (number);
}

/* Makes sure that all children are killed when this process exits or is ended
   by a signal. */
static void
install_end_handlers (void)
{
  static bool registered;
  static const int numbers[] = { SIGABRT, SIGTERM, SIGINT };
  struct sigaction action = { .sa_handler = on_signal };
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    sigaction (numbers[i], &action, NULL);
  if (!registered)
    atexit (kill_all);
  registered = true;
}

const char *
fleet_binary_folder (void)
{
  const char *folder = getenv ("CACTUS_BIN");
  return folder ? folder : "build/bin";
}

static bool
is_free (const char *address, uint16_t port)
{
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  bool is_free = inet_pton (AF_INET, address, &name.sin_addr) == 1
                 && bind (fd, (struct sockaddr *)&name, sizeof name) == 0;
  close (fd);
  return is_free;
}

uint16_t
fleet_free_port (const char *address)
{
  /* Ports that were returned before: their processes may not listen yet. */
  static atomic_bool taken[PORT_COUNT];
  struct base_random random;
  base_random_seed (&random, base_random_system_seed ());
  for (uint32_t i = 0; i < PORT_TRIES; i++)
    {
      uint64_t index = base_random_below (&random, PORT_COUNT);
      uint16_t port = (uint16_t)(PORT_FIRST + index);
      if (!atomic_exchange (&taken[index], true) && is_free (address, port))
        return port;
    }
  return 0;
}

struct fleet_process *
fleet_process_create (const char *name, const char *program,
                      const char *const *arguments, const char *folder)
{
  struct fleet_process *process = g_new0 (struct fleet_process, 1);
  GPtrArray *list = g_ptr_array_new ();
  process->name = g_strdup (name);
  process->log_path = g_strdup_printf ("%s/%s.log", folder, name);
  process->ready_path = g_strdup_printf ("%s/%s.ready", folder, name);
  g_ptr_array_add (list,
                   g_build_filename (fleet_binary_folder (), program, NULL));
  for (const char *const *argument = arguments; *argument; argument++)
    g_ptr_array_add (list, g_strdup (*argument));
  g_ptr_array_add (list, g_strdup ("--ready-file"));
  g_ptr_array_add (list, g_strdup (process->ready_path));
  g_ptr_array_add (list, NULL);
  process->arguments = (char **)g_ptr_array_free (list, FALSE);
  return process;
}

void
fleet_process_destroy (struct fleet_process *process)
{
  if (!process)
    return;
  fleet_process_kill (process);
  g_free (process->name);
  g_strfreev (process->arguments);
  g_free (process->log_path);
  g_free (process->ready_path);
  g_free (process);
}

void
fleet_process_set_program (struct fleet_process *process, const char *path)
{
  g_free (process->arguments[0]);
  process->arguments[0] = g_strdup (path);
}

int
fleet_process_start (struct fleet_process *process)
{
  posix_spawn_file_actions_t actions;
  g_return_val_if_fail (process->id == 0, -1);
  unlink (process->ready_path);
  process->rpc_port = 0;
  process->http_port = 0;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDIN_FILENO, "/dev/null",
                                    O_RDONLY, 0);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, process->log_path,
                                    O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  int error = posix_spawn (&process->id, process->arguments[0], &actions, NULL,
                           process->arguments, environ);
  posix_spawn_file_actions_destroy (&actions);
  if (error == 0)
    {
      install_end_handlers ();
      replace_running_id (0, process->id);
      return 0;
    }
  process->id = 0;
  errno = error;
  return -1;
}

/* Reads the ports from the ready file; false while there is none. */
static bool
read_ready (struct fleet_process *process)
{
  json_t *ready = json_load_file (process->ready_path, 0, NULL);
  if (!ready)
    return false;
  json_t *rpc_port = json_object_get (ready, "rpc_port");
  json_t *http_port = json_object_get (ready, "http_port");
  process->rpc_port = (uint16_t)json_integer_value (rpc_port);
  process->http_port = (uint16_t)json_integer_value (http_port);
  json_decref (ready);
  return true;
}

/* Collects the exit status of the process, if it has ended. */
static void
reap (struct fleet_process *process)
{
  int status;
  if (process->id == 0 || waitpid (process->id, &status, WNOHANG) <= 0)
    return;
  replace_running_id (process->id, 0);
  process->id = 0;
  process->status
      = WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* Prints the end of the log of a process that did not become ready. */
static void
print_log (const struct fleet_process *process)
{
  gsize bytes = 0;
  char *text = NULL;
  if (!g_file_get_contents (process->log_path, &text, &bytes, NULL))
    return;
  g_printerr ("%s is not ready:\n%s\n", process->name,
              text + (bytes > LOG_TAIL_BYTES ? bytes - LOG_TAIL_BYTES : 0));
  g_free (text);
}

bool
fleet_process_wait_ready (struct fleet_process *process, uint32_t timeout_ms)
{
  uint64_t end_ms = now_ms () + timeout_ms;
  while (now_ms () < end_ms && fleet_process_running (process))
    {
      if (read_ready (process))
        return true;
      g_usleep (POLL_INTERVAL_US);
    }
  print_log (process);
  return false;
}

bool
fleet_process_signal (struct fleet_process *process, int signal_number)
{
  reap (process);
  return process->id != 0 && kill (process->id, signal_number) == 0;
}

int
fleet_process_wait (struct fleet_process *process, uint32_t timeout_ms)
{
  uint64_t end_ms = now_ms () + timeout_ms;
  while (fleet_process_running (process))
    {
      if (now_ms () >= end_ms)
        return -1;
      g_usleep (POLL_INTERVAL_US);
    }
  return process->status;
}

void
fleet_process_kill (struct fleet_process *process)
{
  int status;
  reap (process);
  if (process->id == 0)
    return;
  kill (process->id, SIGKILL);
  waitpid (process->id, &status, 0);
  replace_running_id (process->id, 0);
  process->id = 0;
  process->status = 128 + SIGKILL;
}

bool
fleet_process_running (struct fleet_process *process)
{
  reap (process);
  return process->id != 0;
}

pid_t
fleet_process_id (const struct fleet_process *process)
{
  return process->id;
}

const char *
fleet_process_name (const struct fleet_process *process)
{
  return process->name;
}

uint16_t
fleet_process_rpc_port (const struct fleet_process *process)
{
  return process->rpc_port;
}

uint16_t
fleet_process_http_port (const struct fleet_process *process)
{
  return process->http_port;
}
