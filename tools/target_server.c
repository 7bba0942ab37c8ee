#include "target_server.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTIONS_MAX 8192
/* Larger request bodies are rejected by closing the connection. */
#define BODY_MAX_BYTES (4u * 1024 * 1024)
/* Block size of streamed answers. */
#define BLOCK_BYTES 4096

struct target_server
{
  struct MHD_Daemon *daemon;
  struct target_engine *engine;
  struct target_faults *faults;
  struct target_oracle *oracle;
  uint32_t fixed_tokens;
};

/* One HTTP request. */
struct target_call
{
  struct target_server *server;
  GString *body;
  /* NULL until the request is accepted as a job. */
  struct target_job *job;
};

static enum MHD_Result
answer_text (struct MHD_Connection *connection, unsigned int code,
             const char *text, const char *run)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  if (run)
    MHD_add_response_header (response, "Cactus-Run", run);
  MHD_add_response_header (response, "Content-Type", "application/json");
  enum MHD_Result result = MHD_queue_response (connection, code, response);
  MHD_destroy_response (response);
  return result;
}

static char *
copy_header (struct MHD_Connection *connection, const char *name)
{
  const char *value
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
  return g_strdup (value ? value : "");
}

static ssize_t
read_stream (void *data, uint64_t position, char *buffer, size_t limit)
{
  struct target_call *call = data;
  (void)position;
  return target_engine_read (call->server->engine, call->job, buffer, limit);
}

static enum MHD_Result
answer_stream (struct MHD_Connection *connection, struct target_call *call)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, BLOCK_BYTES, read_stream, call, NULL);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  enum MHD_Result result
      = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer_whole (struct MHD_Connection *connection, struct target_call *call)
{
  if (call->job->cut || atomic_load (&call->server->faults->drop_answer))
    return MHD_NO;
  char *text = target_job_print (call->job);
  enum MHD_Result result = answer_text (connection, MHD_HTTP_OK, text, NULL);
  free (text);
  return result;
}

static bool
find_kind (const char *url, enum target_job_kind *kind)
{
  if (strcmp (url, "/v1/chat/completions") == 0)
    *kind = TARGET_JOB_CHAT;
  else if (strcmp (url, "/v1/completions") == 0)
    *kind = TARGET_JOB_COMPLETION;
  else if (g_str_has_prefix (url, "/services/"))
    *kind = TARGET_JOB_PLAIN;
  else
    return false;
  return true;
}

static enum MHD_Result
answer_faults (struct MHD_Connection *connection, struct target_call *call)
{
  char *problem = target_faults_read (call->server->faults, call->body->str,
                                      call->body->len);
  enum MHD_Result result = answer_text (connection, problem ? 400 : 200,
                                        problem ? problem : "{}", NULL);
  g_free (problem);
  return result;
}

static enum MHD_Result
answer_oracle (struct MHD_Connection *connection, struct target_call *call)
{
  char *text = target_oracle_print (call->server->oracle);
  enum MHD_Result result = answer_text (connection, 200, text, NULL);
  free (text);
  return result;
}

static enum MHD_Result
start_job (struct MHD_Connection *connection, struct target_call *call,
           enum target_job_kind kind)
{
  struct target_server *server = call->server;
  const char *problem = NULL;
  if (target_faults_take_refusal (server->faults))
    return answer_text (connection, 503, "{}", "not-run");
  if (atomic_load (&server->faults->nonsense))
    return answer_text (connection, 200, "\xff\xfe{nonsense", NULL);
  struct target_job *job = target_job_create (connection, kind);
  call->job = job;
  job->key = copy_header (connection, "Idempotency-Key");
  job->account = copy_header (connection, "Cactus-Account");
  job->budget = copy_header (connection, "Cactus-Budget");
  if (kind != TARGET_JOB_PLAIN)
    problem = target_job_read (job, call->body->str, call->body->len,
                               server->fixed_tokens);
  if (problem)
    return answer_text (connection, 400, problem, "not-run");
  if (atomic_load (&server->faults->drop_answer))
    job->stream = false;
  if (!target_engine_submit (server->engine, job, !job->stream))
    return answer_text (connection, 503, "{}", "not-run");
  return job->stream ? answer_stream (connection, call) : MHD_YES;
}

static enum MHD_Result
answer_call (struct MHD_Connection *connection, const char *url,
             const char *method, struct target_call *call)
{
  enum target_job_kind kind;
  bool is_post = strcmp (method, "POST") == 0;
  if (call->job)
    return answer_whole (connection, call);
  if (!is_post && strcmp (url, "/oracle") == 0)
    return answer_oracle (connection, call);
  if (is_post && strcmp (url, "/faults") == 0)
    return answer_faults (connection, call);
  if (find_kind (url, &kind) && (is_post || kind == TARGET_JOB_PLAIN))
    return start_job (connection, call, kind);
  return answer_text (connection, 404, "{}", "not-run");
}

static enum MHD_Result
handle_request (void *data, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *upload,
                size_t *upload_bytes, void **state)
{
  struct target_call *call = *state;
  (void)version;
  if (!call)
    {
      call = g_new0 (struct target_call, 1);
      call->server = data;
      call->body = g_string_new (NULL);
      *state = call;
      return MHD_YES;
    }
  if (*upload_bytes == 0)
    return answer_call (connection, url, method, call);
  if (call->body->len + *upload_bytes > BODY_MAX_BYTES)
    return MHD_NO;
  g_string_append_len (call->body, upload, (gssize)*upload_bytes);
  *upload_bytes = 0;
  return MHD_YES;
}

static void
complete_request (void *data, struct MHD_Connection *connection, void **state,
                  enum MHD_RequestTerminationCode code)
{
  struct target_call *call = *state;
  (void)data;
  (void)connection;
  (void)code;
  if (!call)
    return;
  if (call->job)
    target_engine_remove (call->server->engine, call->job);
  target_job_destroy (call->job);
  g_string_free (call->body, TRUE);
  g_free (call);
  *state = NULL;
}

struct target_server *
target_server_create (const char *address, uint16_t port, uint32_t threads,
                      uint32_t fixed_tokens, struct target_engine *engine,
                      struct target_faults *faults,
                      struct target_oracle *oracle)
{
  struct sockaddr_in listen_address = { 0 };
  listen_address.sin_family = AF_INET;
  listen_address.sin_port = htons (port);
  if (inet_pton (AF_INET, address, &listen_address.sin_addr) != 1)
    return NULL;
  struct target_server *server = g_new0 (struct target_server, 1);
  server->engine = engine;
  server->faults = faults;
  server->oracle = oracle;
  server->fixed_tokens = fixed_tokens;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_USE_INTERNAL_POLLING_THREAD
          | MHD_ALLOW_SUSPEND_RESUME,
      port, NULL, NULL, handle_request, server, MHD_OPTION_SOCK_ADDR,
      &listen_address, MHD_OPTION_THREAD_POOL_SIZE, (unsigned int)threads,
      MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
      MHD_OPTION_NOTIFY_COMPLETED, complete_request, NULL, MHD_OPTION_END);
  if (!server->daemon)
    {
      g_free (server);
      return NULL;
    }
  return server;
}

uint16_t
target_server_port (const struct target_server *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info ? info->port : 0;
}

void
target_server_destroy (struct target_server *server)
{
  if (!server)
    return;
  MHD_stop_daemon (server->daemon);
  g_free (server);
}
