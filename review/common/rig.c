#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>

#define PROCESSES_MAX (RIG_CORES + RIG_FRONTS_MAX)
#define ADDRESS_BYTES 16
#define HEAD_MAX_BYTES 65536
#define CALL_TIMEOUT_MS 3000
#define TRIES_MAX 200
#define TRY_INTERVAL_MS 50
/* Ports of each machine, as offsets from the first of its range: the range for
   the nodes' own talk, and the addresses that the platform uses. */
#define RANGE_LAST 15
#define CONTROL_OFFSET 16
#define FRONT_OFFSET 17
#define READY_OFFSET 18
#define METRICS_OFFSET 19
#define PORTS 20
#define PORT_FIRST 20000
#define PORT_LAST 32000

/* One machine's process. */
struct machine
{
  char name[16];
  char address[ADDRESS_BYTES];
  const char *program;
  pid_t pid;
  int64_t started_ms;
};

struct rig_replica
{
  struct rig_replica_options options;
  uint16_t port;
  int listener;
  GMutex mutex;
  bool reports;
  const char *state;
  uint32_t sequence;
  int64_t born_ms;
};

static struct
{
  char *folder;
  FILE *record;
  GMutex mutex;
  int64_t begin_us;
  uint16_t first_port;
  uint32_t fronts;
  struct machine machines[PROCESSES_MAX];
} rig;

bool
rig_has_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

int64_t
rig_now_ms (void)
{
  return (g_get_monotonic_time () - rig.begin_us) / 1000;
}

void
rig_sleep_ms (int64_t ms)
{
  if (ms > 0)
    g_usleep ((gulong)ms * 1000);
}

void
rig_record (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_mutex_lock (&rig.mutex);
  fprintf (rig.record, "%8.3f %s\n", (double)rig_now_ms () / 1000.0, text);
  fflush (rig.record);
  g_mutex_unlock (&rig.mutex);
  g_free (text);
}

static void
remove_folder (const char *path)
{
  GDir *folder = g_dir_open (path, 0, NULL);
  const char *name;
  while (folder && (name = g_dir_read_name (folder)))
    {
      char *entry = g_build_filename (path, name, NULL);
      if (g_file_test (entry, G_FILE_TEST_IS_DIR))
        remove_folder (entry);
      else
        g_unlink (entry);
      g_free (entry);
    }
  if (folder)
    g_dir_close (folder);
  g_rmdir (path);
}

static void
end_processes (void)
{
  for (uint32_t i = 0; i < PROCESSES_MAX; i++)
    if (rig.machines[i].pid > 0)
      {
        kill (rig.machines[i].pid, SIGKILL);
        waitpid (rig.machines[i].pid, NULL, 0);
        rig.machines[i].pid = 0;
      }
  if (rig.folder && !g_getenv ("KEEP"))
    remove_folder (rig.folder);
}

int
rig_end (enum rig_verdict verdict)
{
  static const char *const texts[]
      = { "the rule held", "the rule was broken", "the case could not run" };
  rig_record ("%s", texts[verdict]);
  end_processes ();
  return (int)verdict;
}

void
rig_give_up (const char *reason)
{
  rig_record ("unable: %s", reason);
  _exit (rig_end (RIG_UNABLE));
}

/* Returns a TCP socket bound to the address, or -1. */
static int
bind_socket (const char *address, uint16_t port)
{
  int yes = 1;
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (inet_pton (AF_INET, address, &name.sin_addr) == 1
      && bind (fd, (struct sockaddr *)&name, sizeof name) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Returns whether all ports from the first on are free on all machines. */
static bool
are_free (uint16_t first_port)
{
  for (uint32_t i = 0; i < RIG_CORES + rig.fronts; i++)
    for (uint16_t port = first_port; port < first_port + PORTS; port++)
      {
        int fd = bind_socket (rig.machines[i].address, port);
        if (fd < 0)
          return false;
        close (fd);
      }
  return true;
}

static void
choose_ports (void)
{
  for (uint32_t i = 0; i < TRIES_MAX; i++)
    {
      rig.first_port = (uint16_t)g_random_int_range (PORT_FIRST, PORT_LAST);
      if (are_free (rig.first_port))
        return;
    }
  rig_give_up ("no free ports");
}

/* Writes the settings in the form of deploy/node.template, with the values of
   the krua-counter sheet. */
static void
write_settings (const struct machine *machine, bool is_core)
{
  unsigned port = rig.first_port;
  char *path = g_strdup_printf ("%s/%s.settings", rig.folder, machine->name);
  char *listen
      = is_core ? g_strdup_printf ("callers=\nready=\ncontrol=%s:%u\n",
                                   machine->address, port + CONTROL_OFFSET)
                : g_strdup_printf ("callers=%s:%u\nready=%s:%u\ncontrol=\n",
                                   machine->address, port + FRONT_OFFSET,
                                   machine->address, port + READY_OFFSET);
  char *text = g_strdup_printf (
      "[process]\nhost=%s\naddress=%s\navailability-zone=cnx-a\n"
      "region=th-north\nbootstrap=true\ndata-dir=%s/%s\nfirst-port=%u\n"
      "last-port=%u\nmembers=%s:%u,%s:%u,%s:%u\nannounce-ms=%d\n"
      "tolerated-hosts=1\n\n[listen]\n%smetrics-port=%u\n\n[limits]\n"
      "grace-s=8\nretry-ratio=0.2\nretry-window-s=10\nretry-slack=54\n\n"
      "[regions]\ncnx-a=th-north\nbkk-a=th-central\ncnx-b=th-north\n",
      machine->name, machine->address, rig.folder, machine->name, port,
      port + RANGE_LAST, rig.machines[0].address, port + CONTROL_OFFSET,
      rig.machines[1].address, port + CONTROL_OFFSET, rig.machines[2].address,
      port + CONTROL_OFFSET, RIG_HEARTBEAT_MS, listen, port + METRICS_OFFSET);
  if (!g_file_set_contents (path, text, -1, NULL))
    rig_give_up ("the settings can't be written");
  g_free (text);
  g_free (listen);
  g_free (path);
}

/* Runs in the new process. */
static void
become_program (const struct machine *machine, const char *settings, int log)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (log, STDOUT_FILENO);
  dup2 (log, STDERR_FILENO);
  setenv ("CACTUSSPOOL_NODE_FILE", settings, 1);
  execl (machine->program, machine->program, (char *)NULL);
  _exit (127);
}

static void
start_machine (struct machine *machine)
{
  char *settings
      = g_strdup_printf ("%s/%s.settings", rig.folder, machine->name);
  char *path = g_strdup_printf ("%s/%s.log", rig.folder, machine->name);
  int log = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  machine->started_ms = rig_now_ms ();
  machine->pid = fork ();
  if (machine->pid == 0)
    become_program (machine, settings, log);
  rig_record ("start %s pid=%d", machine->name, (int)machine->pid);
  close (log);
  g_free (path);
  g_free (settings);
}

void
rig_create (const char *folder, uint32_t fronts)
{
  char *path = g_build_filename (folder, "record.txt", NULL);
  signal (SIGPIPE, SIG_IGN);
  rig.begin_us = g_get_monotonic_time ();
  rig.fronts = fronts;
  rig.record = fopen (path, "w");
  g_free (path);
  if (!rig.record)
    exit (RIG_UNABLE);
  rig_record ("trouble=%d", (int)rig_has_trouble ());
  rig.folder = g_dir_make_tmp ("review-XXXXXX", NULL);
  if (!rig.folder)
    rig_give_up ("no temporary folder");
  for (uint32_t i = 0; i < RIG_CORES + fronts; i++)
    {
      struct machine *machine = &rig.machines[i];
      bool is_core = i < RIG_CORES;
      uint32_t number = is_core ? i + 1 : i - RIG_CORES + 1;
      machine->program
          = is_core ? "target/bin/cactus-core" : "target/bin/cactus-entry";
      g_snprintf (machine->name, sizeof machine->name, "%s-%u",
                  is_core ? "core" : "front", (unsigned)number);
      g_snprintf (machine->address, ADDRESS_BYTES, "127.0.%d.%u",
                  is_core ? 11 : 12, (unsigned)number);
    }
  if (access (rig.machines[0].program, X_OK) != 0
      || access (rig.machines[RIG_CORES].program, X_OK) != 0)
    rig_give_up ("the build of the deploy file is missing");
  choose_ports ();
  for (uint32_t i = 0; i < RIG_CORES + fronts; i++)
    {
      write_settings (&rig.machines[i], i < RIG_CORES);
      start_machine (&rig.machines[i]);
    }
}

static struct machine *
front_machine (uint32_t front)
{
  return &rig.machines[RIG_CORES + front];
}

void
rig_signal_front (uint32_t front, int signal_number)
{
  struct machine *machine = front_machine (front);
  rig_record ("signal %d to %s", signal_number, machine->name);
  kill (machine->pid, signal_number);
}

static void
restart (struct machine *machine)
{
  int status = 0;
  waitpid (machine->pid, &status, 0);
  rig_record ("%s has ended, exit=%d signal=%d", machine->name,
              WIFEXITED (status) ? WEXITSTATUS (status) : -1,
              WIFSIGNALED (status) ? WTERMSIG (status) : 0);
  start_machine (machine);
}

void
rig_restart_front (uint32_t front)
{
  restart (front_machine (front));
}

void
rig_roll_core (uint32_t core)
{
  struct machine *machine = &rig.machines[core];
  rig_record ("signal %d to %s", SIGTERM, machine->name);
  kill (machine->pid, SIGTERM);
  restart (machine);
}

void
rig_kill_all (void)
{
  rig_record ("signal %d to all machines", SIGKILL);
  for (uint32_t i = 0; i < RIG_CORES + rig.fronts; i++)
    kill (rig.machines[i].pid, SIGKILL);
  for (uint32_t i = 0; i < RIG_CORES + rig.fronts; i++)
    restart (&rig.machines[i]);
}

int64_t
rig_front_started_ms (uint32_t front)
{
  return front_machine (front)->started_ms;
}

char *
rig_front_log (uint32_t front)
{
  char *text = NULL;
  char *path
      = g_strdup_printf ("%s/%s.log", rig.folder, front_machine (front)->name);
  if (!g_file_get_contents (path, &text, NULL, NULL))
    text = g_strdup ("");
  g_free (path);
  return text;
}

bool
rig_send (int fd, const char *data, size_t bytes)
{
  while (bytes > 0)
    {
      ssize_t sent = send (fd, data, bytes, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      data += sent;
      bytes -= (size_t)sent;
    }
  return true;
}

/* Reads more bytes within the time left.  Returns 1, 0 at the orderly end of
   the channel, or -1 after a reset or at the deadline. */
static int
read_more (int fd, GString *to, int64_t due_ms)
{
  char piece[16384];
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  int64_t left_ms = due_ms - rig_now_ms ();
  if (left_ms <= 0 || poll (&wait, 1, (int)left_ms) <= 0)
    return -1;
  ssize_t got = recv (fd, piece, sizeof piece, 0);
  if (got > 0)
    g_string_append_len (to, piece, got);
  return got > 0 ? 1 : (int)got;
}

/* Returns the value of a header, freed by the caller, or NULL. */
static char *
find_header (const char *head, const char *name)
{
  size_t bytes = strlen (name);
  for (const char *line = strstr (head, "\r\n"); line;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, bytes) != 0 || line[bytes] != ':')
        continue;
      const char *value = line + bytes + 1;
      return g_strstrip (g_strndup (value, strcspn (value, "\r")));
    }
  return NULL;
}

/* Decodes the chunks in @p raw.  Returns 1 when the last one is there, 0 when
   some are missing. */
static int
decode_chunks (const GString *raw, GString *body)
{
  const char *at = raw->str;
  const char *end = raw->str + raw->len;
  g_string_truncate (body, 0);
  while (at < end)
    {
      char *line_end = g_strstr_len (at, end - at, "\r\n");
      if (!line_end)
        return 0;
      size_t bytes = (size_t)g_ascii_strtoull (at, NULL, 16);
      const char *data = line_end + 2;
      if (bytes == 0)
        return 1;
      size_t there = MIN (bytes, (size_t)(end - data));
      g_string_append_len (body, data, (gssize)there);
      if (there < bytes || end - data < (gssize)bytes + 2)
        return 0;
      at = data + bytes + 2;
    }
  return 0;
}

static void
read_answer (int fd, int64_t due_ms, struct rig_answer *answer)
{
  GString *raw = g_string_new (NULL);
  const char *end = NULL;
  int got = 1;
  while (got > 0 && !(end = strstr (raw->str, "\r\n\r\n"))
         && raw->len < HEAD_MAX_BYTES)
    got = read_more (fd, raw, due_ms);
  if (end)
    {
      char *head = g_strndup (raw->str, (gsize)(end - raw->str));
      char *length = find_header (head, "Content-Length");
      char *coding = find_header (head, "Transfer-Encoding");
      size_t bytes = length ? (size_t)g_ascii_strtoull (length, NULL, 10) : 0;
      answer->status = atoi (head + strcspn (head, " "));
      answer->signature = find_header (head, "X-Replica-Signature");
      g_string_erase (raw, 0, end + 4 - raw->str);
      for (;;)
        {
          if (coding)
            answer->is_complete = decode_chunks (raw, answer->body) == 1;
          else if (length)
            answer->is_complete = raw->len >= bytes;
          else
            answer->is_complete = got == 0;
          if (answer->is_complete || got <= 0)
            break;
          got = read_more (fd, raw, due_ms);
        }
      if (!coding)
        g_string_append_len (answer->body, raw->str, (gssize)raw->len);
      g_free (head);
      g_free (length);
      g_free (coding);
    }
  g_string_free (raw, TRUE);
}

static int
connect_to (const char *address, uint16_t port)
{
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  inet_pton (AF_INET, address, &name.sin_addr);
  if (connect (fd, (struct sockaddr *)&name, sizeof name) == 0)
    return fd;
  close (fd);
  return -1;
}

static struct rig_answer
call (const char *address, uint16_t port, const char *text, uint32_t limit_ms)
{
  struct rig_answer answer = { .body = g_string_new (NULL) };
  int fd = connect_to (address, port);
  if (fd < 0)
    return answer;
  if (rig_send (fd, text, strlen (text)))
    read_answer (fd, rig_now_ms () + limit_ms, &answer);
  close (fd);
  return answer;
}

void
rig_answer_clear (struct rig_answer *answer)
{
  g_free (answer->signature);
  g_string_free (answer->body, TRUE);
}

int
rig_control (uint32_t core, const char *method, const char *path,
             const char *body)
{
  const struct machine *machine = &rig.machines[core];
  char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
      "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
      method, path, machine->address, body ? strlen (body) : 0,
      body ? body : "");
  struct rig_answer answer
      = call (machine->address, (uint16_t)(rig.first_port + CONTROL_OFFSET),
              text, CALL_TIMEOUT_MS);
  int status = answer.is_complete ? answer.status : 0;
  rig_answer_clear (&answer);
  g_free (text);
  return status;
}

void
rig_configure (const char *config)
{
  for (uint32_t i = 0; i < TRIES_MAX; i++)
    {
      int status = rig_control (i % RIG_CORES, "PUT", "/v1/config", config);
      if (status == 200)
        {
          rig_record ("configuration acknowledged by core-%u: %.12s",
                      (unsigned)(i % RIG_CORES + 1), config);
          return;
        }
      if (status / 100 == 4)
        rig_give_up ("the configuration was refused");
      rig_sleep_ms (TRY_INTERVAL_MS);
    }
  rig_give_up ("the configuration was not acknowledged");
}

struct rig_answer
rig_request (uint32_t front, const char *method, const char *path,
             const char *id, const char *lines, uint32_t deadline_ms)
{
  char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\n"
      "X-Deadline-Ms: %u\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n",
      method, path, id, (unsigned)deadline_ms, lines);
  struct rig_answer answer
      = call (front_machine (front)->address,
              (uint16_t)(rig.first_port + FRONT_OFFSET), text, deadline_ms);
  g_free (text);
  return answer;
}

void
rig_wait_served (const char *path, const char *lines)
{
  static uint32_t number;
  for (uint32_t front = 0; front < rig.fronts; front++)
    for (uint32_t i = 0;; i++)
      {
        char id[24];
        g_snprintf (id, sizeof id, "first-%u", (unsigned)++number);
        struct rig_answer answer
            = rig_request (front, "GET", path, id, lines, 2500);
        bool served = answer.is_complete && answer.status == 200;
        rig_answer_clear (&answer);
        if (served)
          break;
        if (i == TRIES_MAX)
          rig_give_up ("a front machine doesn't serve");
        rig_sleep_ms (TRY_INTERVAL_MS);
      }
}

/* Reads the next request's head and body.  Returns false at the end. */
static bool
read_request (int fd, GString *in, char **head)
{
  const char *end;
  while (!(end = strstr (in->str, "\r\n\r\n")))
    if (read_more (fd, in, rig_now_ms () + 60000) <= 0)
      return false;
  gsize head_bytes = (gsize)(end - in->str);
  *head = g_strndup (in->str, head_bytes);
  char *length = find_header (*head, "Content-Length");
  gsize bytes = length ? (gsize)g_ascii_strtoull (length, NULL, 10) : 0;
  g_free (length);
  while (in->len < head_bytes + 4 + bytes)
    if (read_more (fd, in, rig_now_ms () + 60000) <= 0)
      {
        g_free (*head);
        return false;
      }
  g_string_erase (in, 0, (gssize)(head_bytes + 4 + bytes));
  return true;
}

bool
rig_reply (const struct rig_exchange *exchange, const char *status,
           const char *lines, const char *body)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Replica-Signature: proof.%s\r\n"
      "%sContent-Length: %zu\r\n\r\n%s",
      status, exchange->request_id ? exchange->request_id : "",
      exchange->request_id ? exchange->request_id : "", lines, strlen (body),
      body);
  bool sent = rig_send (exchange->fd, text, strlen (text));
  g_free (text);
  return sent;
}

static bool
serve_request (struct rig_replica *replica, int fd, const char *head)
{
  char **words = g_strsplit (head, " ", 3);
  char *id = find_header (head, "X-Request-Id");
  char *expected = find_header (head, "X-Expected-Replica");
  char *tenant = find_header (head, "X-Tenant");
  char *event = find_header (head, "Last-Event-Id");
  bool stays = false;
  struct rig_exchange exchange = { fd, words[0], words[1], id, tenant, event };
  char *health = g_strdup_printf ("X-Replica-Id: %s\r\n", replica->options.id);
  if (g_strcmp0 (words[1], "/health") == 0)
    stays = rig_reply (&exchange, "200 OK", health, "");
  else if (expected && strcmp (expected, replica->options.id) != 0)
    stays = rig_reply (&exchange, "421 Misdirected Request",
                       "X-Not-Executed: 1\r\n", "");
  else
    stays = replica->options.serve (replica, &exchange);
  g_free (health);
  g_free (event);
  g_free (tenant);
  g_free (expected);
  g_free (id);
  g_strfreev (words);
  return stays;
}

/* One channel of a replica. */
struct channel
{
  struct rig_replica *replica;
  int fd;
};

static gpointer
serve_channel (gpointer data)
{
  struct channel *channel = data;
  GString *in = g_string_new (NULL);
  char *head = NULL;
  bool stays = true;
  while (stays && read_request (channel->fd, in, &head))
    {
      stays = serve_request (channel->replica, channel->fd, head);
      g_free (head);
    }
  close (channel->fd);
  g_string_free (in, TRUE);
  g_free (channel);
  return NULL;
}

/* Context of the thread that takes channels. */
struct acceptor
{
  struct rig_replica *replica;
  int listener;
};

static gpointer
accept_channels (gpointer data)
{
  struct acceptor *acceptor = data;
  int fd;
  while ((fd = accept4 (acceptor->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct channel *channel = g_new0 (struct channel, 1);
      channel->replica = acceptor->replica;
      channel->fd = fd;
      g_thread_unref (g_thread_new ("channel", serve_channel, channel));
    }
  close (acceptor->listener);
  g_free (acceptor);
  return NULL;
}

void
rig_replica_open_port (struct rig_replica *replica)
{
  struct sockaddr_in name = { 0 };
  socklen_t bytes = sizeof name;
  replica->listener = bind_socket ("127.0.13.1", replica->port);
  if (replica->listener < 0 || listen (replica->listener, 512) != 0)
    rig_give_up ("a replica can't listen");
  getsockname (replica->listener, (struct sockaddr *)&name, &bytes);
  replica->port = ntohs (name.sin_port);
  struct acceptor *acceptor = g_new0 (struct acceptor, 1);
  acceptor->replica = replica;
  acceptor->listener = replica->listener;
  g_thread_unref (g_thread_new ("accept", accept_channels, acceptor));
}

void
rig_replica_close_port (struct rig_replica *replica)
{
  /* The accepting thread closes the socket. */
  shutdown (replica->listener, SHUT_RDWR);
}

/* Sends one liveness report.  Called with the mutex held. */
static void
report (struct rig_replica *replica)
{
  char *path = g_strdup_printf ("/v1/replicas/%s", replica->options.id);
  char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.13.1:%u\",\"zone\":\"cnx-a\","
      "\"version\":\"%s\",\"slots\":64,\"state\":\"%s\",\"coldLeftMs\":0,"
      "\"seq\":%u,\"born\":%" G_GINT64_FORMAT "}",
      replica->options.service, (unsigned)replica->port,
      replica->options.version ? replica->options.version : "v1",
      replica->state, (unsigned)++replica->sequence, replica->born_ms);
  uint32_t core = replica->sequence % 2 == 1 ? replica->options.core
                                             : replica->options.other_core;
  int status = rig_control (core, "PUT", path, body);
  if (status != 200 || replica->sequence <= 2
      || strcmp (replica->state, "ready") != 0)
    rig_record ("liveness report of %s to core-%u, state=%s seq=%u: %d",
                replica->options.id, (unsigned)core + 1, replica->state,
                (unsigned)replica->sequence, status);
  g_free (body);
  g_free (path);
}

static gpointer
send_reports (gpointer data)
{
  struct rig_replica *replica = data;
  bool reports = true;
  while (reports)
    {
      g_mutex_lock (&replica->mutex);
      if (replica->reports)
        report (replica);
      reports = replica->reports;
      g_mutex_unlock (&replica->mutex);
      rig_sleep_ms (RIG_HEARTBEAT_MS);
    }
  return NULL;
}

struct rig_replica *
rig_replica_create (const struct rig_replica_options *options)
{
  struct rig_replica *replica = g_new0 (struct rig_replica, 1);
  replica->options = *options;
  g_mutex_init (&replica->mutex);
  replica->reports = true;
  replica->state = "ready";
  replica->born_ms = g_get_real_time () / 1000;
  rig_replica_open_port (replica);
  g_thread_unref (g_thread_new ("reports", send_reports, replica));
  return replica;
}

const char *
rig_replica_id (const struct rig_replica *replica)
{
  return replica->options.id;
}

void
rig_replica_stop_reports (struct rig_replica *replica)
{
  g_mutex_lock (&replica->mutex);
  replica->reports = false;
  g_mutex_unlock (&replica->mutex);
}

void
rig_replica_set_state (struct rig_replica *replica, const char *state)
{
  g_mutex_lock (&replica->mutex);
  replica->state = state;
  report (replica);
  g_mutex_unlock (&replica->mutex);
}
