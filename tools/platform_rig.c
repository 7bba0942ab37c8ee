#include "platform_rig.h"

#include <string.h>

#include <curl/curl.h>
#include <glib/gstdio.h>

#include "tool_folder.h"

#define HOST_HEADER "Host: h.example"
#define CALL_TIMEOUT_MS 15000L
#define TRIES_MAX 200
#define RETRY_INTERVAL_US 50000

static void
core_address (uint32_t core, char address[16])
{
  g_snprintf (address, 16, "127.0.0.%u", core + 2);
}

/* Where a process is. */
struct place
{
  const char *address;
  const char *zone;
  const char *region;
};

/* Writes a settings file in the format of the deployment template. */
static char *
write_settings (struct platform_rig *rig, const char *name,
                const struct place *place, const char *listen,
                bool is_first_start)
{
  unsigned rpc_port = rig->rpc_port;
  char *path = g_strdup_printf ("%s/%s.settings", rig->folder, name);
  char *data = g_strdup_printf ("%s/%s", rig->folder, name);
  char *text = g_strdup_printf (
      "[process]\nhost=%s\naddress=%s\navailability-zone=%s\nregion=%s\n"
      "bootstrap=%s\ndata-dir=%s\nfirst-port=%u\nlast-port=%u\n"
      "members=127.0.0.2:1,127.0.0.3:1,127.0.0.4:1\nannounce-ms=1000\n"
      "tolerated-hosts=1\n[listen]\n%s[limits]\ngrace-s=8\n"
      "retry-ratio=0.5\nretry-window-s=10\nretry-slack=100\nevacuate-ms="
      "5000\ncold-overage=1.5\ncold-slack=5\n%s"
      "[regions]\nz1=r1\nz2=r2\n",
      name, place->address, place->zone, place->region,
      is_first_start ? "true" : "false", data, rpc_port, rpc_port + 9, listen,
      rig->limits ? rig->limits : "");
  g_mkdir_with_parents (data, 0700);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
  g_free (data);
  return path;
}

static struct fleet_process *
start_process (struct platform_rig *rig, const char *name, const char *program,
               char *settings)
{
  const char *const arguments[] = { settings, NULL };
  struct fleet_process *process
      = fleet_process_create (name, program, arguments, rig->folder);
  g_assert_cmpint (fleet_process_start (process), ==, 0);
  g_free (settings);
  return process;
}

static struct fleet_process *
start_entry (struct platform_rig *rig, const char *name,
             const struct place *place)
{
  char *listen = g_strdup_printf ("callers=%s:%u\nready=%s:%u\n",
                                  place->address, (unsigned)rig->callers_port,
                                  place->address, (unsigned)rig->ready_port);
  struct fleet_process *process
      = start_process (rig, name, rig->entry_program,
                       write_settings (rig, name, place, listen, true));
  g_free (listen);
  return process;
}

static struct fleet_process *
start_core (struct platform_rig *rig, uint32_t core, bool is_first_start)
{
  char address[16];
  char name[16];
  const struct place place = { address, "z1", "r1" };
  core_address (core, address);
  g_snprintf (name, sizeof name, "core-%u", core);
  char *listen = g_strdup_printf ("control=%s:%u\n", address,
                                  (unsigned)rig->control_port);
  struct fleet_process *process = start_process (
      rig, name, rig->core_program,
      write_settings (rig, name, &place, listen, is_first_start));
  g_free (listen);
  return process;
}

void
platform_rig_add_core (struct platform_rig *rig)
{
  g_assert_true (!rig->more_core && rig->more_entry_count == 0);
  rig->more_core = start_core (rig, PLATFORM_RIG_CORES, false);
}

void
platform_rig_add_entry (struct platform_rig *rig, char address[16])
{
  platform_rig_add_entry_in (rig, "z1", "r1", address);
}

void
platform_rig_add_entry_in (struct platform_rig *rig, const char *zone,
                           const char *region, char address[16])
{
  const struct place place = { address, zone, region };
  char name[16];
  uint32_t index = rig->more_entry_count++;
  g_assert_cmpuint (index, <, PLATFORM_RIG_ENTRIES_MAX);
  g_assert_null (rig->more_core);
  g_snprintf (address, 16, "127.0.0.%u", PLATFORM_RIG_CORES + 2 + index);
  g_snprintf (name, sizeof name, "entry-%u", index + 2);
  rig->more_entries[index] = start_entry (rig, name, &place);
}

struct platform_rig *
platform_rig_create_with (const char *entry_program)
{
  return platform_rig_create_programs ("cactus-core", entry_program);
}

struct platform_rig *
platform_rig_create (void)
{
  return platform_rig_create_with ("cactus-entry");
}

/* Writes the file SETTINGS.@p kind of a process; NULL removes it. */
static void
write_fault (const struct platform_rig *rig, const char *name,
             const char *kind, const char *text)
{
  char *path = g_strdup_printf ("%s/%s.settings.%s", rig->folder, name, kind);
  if (text)
    g_assert_true (g_file_set_contents (path, text, -1, NULL));
  else
    g_unlink (path);
  g_free (path);
}

void
platform_rig_fill (struct platform_rig *rig, uint32_t core, const char *how)
{
  char name[16];
  g_snprintf (name, sizeof name, "core-%u", core);
  write_fault (rig, name, "full", how);
}

void
platform_rig_cut (struct platform_rig *rig, uint32_t entry, const char *cut)
{
  char name[16] = "entry";
  if (entry > 0)
    g_snprintf (name, sizeof name, "entry-%u", entry + 1);
  write_fault (rig, name, "cut", cut);
}

static struct platform_rig *
create_rig (const char *core_program, const char *entry_program,
            const char *limits)
{
  struct platform_rig *rig = g_new0 (struct platform_rig, 1);
  rig->limits = limits;
  rig->core_program = core_program;
  rig->entry_program = entry_program;
  rig->folder = g_dir_make_tmp ("platform-XXXXXX", NULL);
  rig->rpc_port = fleet_free_port ("127.0.0.2");
  rig->control_port = fleet_free_port ("127.0.0.2");
  rig->callers_port = fleet_free_port ("127.0.0.1");
  rig->ready_port = fleet_free_port ("127.0.0.1");
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    rig->cores[i] = start_core (rig, i, true);
  rig->entry
      = start_entry (rig, "entry", &(struct place){ "127.0.0.1", "z1", "r1" });
  return rig;
}

struct platform_rig *
platform_rig_create_programs (const char *core_program,
                              const char *entry_program)
{
  return create_rig (core_program, entry_program, NULL);
}

struct platform_rig *
platform_rig_create_limited (const char *limits)
{
  return create_rig ("cactus-core", "cactus-entry", limits);
}

void
platform_rig_destroy (struct platform_rig *rig)
{
  fleet_process_destroy (rig->entry);
  for (uint32_t i = 0; i < rig->more_entry_count; i++)
    fleet_process_destroy (rig->more_entries[i]);
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    fleet_process_destroy (rig->cores[i]);
  if (rig->more_core)
    fleet_process_destroy (rig->more_core);
  tool_folder_remove (rig->folder);
  g_free (rig->folder);
  g_free (rig);
}

static size_t
append_data (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

struct platform_reply
platform_rig_call (const char *method, const char *url, const char *body,
                   const char *const *lines)
{
  struct platform_reply reply
      = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  CURL *easy = curl_easy_init ();
  for (; lines && *lines; lines++)
    headers = curl_slist_append (headers, *lines);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  if (body)
    curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, append_data);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, reply.head);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, reply.body);
  reply.whole = curl_easy_perform (easy) == CURLE_OK;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &reply.status);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  return reply;
}

double
platform_reply_retry_after_s (const struct platform_reply *reply)
{
  static const char name[] = "\r\nRetry-After: ";
  const char *line = strstr (reply->head->str, name);
  return line ? g_ascii_strtod (line + sizeof name - 1, NULL) : 0.0;
}

void
platform_reply_clear (struct platform_reply *reply)
{
  g_string_free (reply->head, TRUE);
  g_string_free (reply->body, TRUE);
}

long
platform_rig_call_control (struct platform_rig *rig, uint32_t core,
                           const char *method, const char *path,
                           const char *body)
{
  char address[16];
  core_address (core, address);
  char *url = g_strdup_printf ("http://%s:%u%s", address,
                               (unsigned)rig->control_port, path);
  struct platform_reply reply = platform_rig_call (method, url, body, NULL);
  long status = reply.whole ? reply.status : 0;
  platform_reply_clear (&reply);
  g_free (url);
  return status;
}

struct platform_reply
platform_rig_read_control (struct platform_rig *rig, uint32_t core,
                           const char *path)
{
  char address[16];
  core_address (core, address);
  char *url = g_strdup_printf ("http://%s:%u%s", address,
                               (unsigned)rig->control_port, path);
  struct platform_reply reply = platform_rig_call ("GET", url, NULL, NULL);
  g_free (url);
  return reply;
}

void
platform_rig_configure (struct platform_rig *rig, const char *body)
{
  long status = 0;
  for (uint32_t i = 0; status != 200 && i < TRIES_MAX; i++)
    {
      status = platform_rig_call_control (rig, i % PLATFORM_RIG_CORES, "PUT",
                                          "/v1/config", body);
      if (status != 200)
        g_usleep (RETRY_INTERVAL_US);
    }
  g_assert_cmpint (status, ==, 200);
}

void
platform_rig_announce (struct platform_rig *rig, const char *id,
                       const char *service, uint16_t port, const char *state,
                       uint32_t sequence)
{
  char *path = g_strdup_printf ("/v1/replicas/%s", id);
  char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
      "\"slots\":8,\"state\":\"%s\",\"seq\":%u,\"born\":5}",
      service, (unsigned)port, state, sequence);
  g_assert_cmpint (platform_rig_call_control (rig, 0, "PUT", path, body), ==,
                   200);
  g_free (body);
  g_free (path);
}

bool
platform_rig_announce_to (struct platform_rig *rig, uint32_t core,
                          const struct platform_rig_target *target)
{
  char *path = g_strdup_printf ("/v1/replicas/%s", target->id);
  char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
      "\"version\":\"%s\",\"slots\":64,\"state\":\"ready\",\"seq\":%u,"
      "\"coldLeftMs\":%u,\"born\":%" G_GUINT64_FORMAT "}",
      target->service, (unsigned)target->port,
      target->zone ? target->zone : "z1", target->version, target->sequence,
      target->cold_left_ms, target->born_ms);
  long status = platform_rig_call_control (rig, core, "PUT", path, body);
  g_free (body);
  g_free (path);
  return status == 200;
}

struct platform_reply
platform_rig_request (struct platform_rig *rig, const char *path,
                      const char *key, const char *tokens)
{
  static uint32_t number;
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s",
                               (unsigned)rig->callers_port, path);
  char *id = g_strdup_printf ("X-Request-Id: r%u", ++number);
  char *credential = g_strdup_printf ("X-Credential: %s", key);
  char *count = g_strdup_printf ("X-Token-Count: %s", tokens ? tokens : "0,0");
  const char *const lines[] = { HOST_HEADER,
                                "X-Deadline-Ms: 9000",
                                "X-Tenant: forged",
                                id,
                                credential,
                                count,
                                NULL };
  struct platform_reply reply = platform_rig_call ("POST", url, "abc", lines);
  g_free (count);
  g_free (credential);
  g_free (id);
  g_free (url);
  return reply;
}

bool
platform_rig_wait_status (struct platform_rig *rig, const char *path,
                          const char *key, long status)
{
  for (uint32_t i = 0; i < TRIES_MAX; i++)
    {
      struct platform_reply reply
          = platform_rig_request (rig, path, key, NULL);
      bool found = reply.whole && reply.status == status;
      platform_reply_clear (&reply);
      if (found)
        return true;
      g_usleep (RETRY_INTERVAL_US);
    }
  return false;
}
