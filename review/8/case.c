/* All processes are killed right after a replica's sign-off was acknowledged.
   The replica goes on serving for a while, as the pages say.  Once all
   processes are back and in touch, no request may reach it. */

#include "../6/rig.h"

#include <signal.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WORK_MS 60
#define QUEUE 4
#define CLIENTS 8
/* Time after the ack for which the leaving replica still serves. */
#define LINGER_MS 18000
/* Time from the last start of a process to the requests that are judged: more
   than twice contactMs, so that every machine is in touch after a fault that
   took the core. */
#define SETTLE_MS (2 * CONTACT_MS + 1000)
#define LOAD_MS 3000

static struct rig rig;
static struct replica leaving = { .rig = &rig,
                                  .id = "i-leaves01",
                                  .address = "127.0.3.1",
                                  .service = "mostrador",
                                  .zone = "santander",
                                  .version = "v1",
                                  .slots = 2 };
static struct replica staying = { .rig = &rig,
                                  .id = "i-stays002",
                                  .address = "127.0.3.2",
                                  .service = "mostrador",
                                  .zone = "vigo",
                                  .version = "v1",
                                  .slots = 2 };
static volatile int64_t acked_ms;
/* All machines are in touch from here on. */
static volatile int64_t settled_ms;
static volatile int late;
static volatile int served;
static volatile int refused;
static volatile bool stops;

static const char config[]
    = "{\"version\":5,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
      "\"pathPrefix\":\"/quote/\",\"kind\":\"safe\",\"timeoutMs\":1200,"
      "\"targetLatencyMs\":400,\"priority\":2,\"service\":\"mostrador\","
      "\"maxAttempts\":2,\"public\":false,\"sticky\":false,"
      "\"resumable\":false}],\"services\":[{\"name\":\"mostrador\","
      "\"healthPath\":\"/health\",\"maxConns\":96,\"protocol\":\"h1\","
      "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\","
      "\"apiKeys\":[\"k1\"],\"priority\":1}]}";

static bool
serve (struct replica *replica, int fd, struct request *request)
{
  char expected[64] = "";
  char id[64] = "";
  if (strcmp (request->path, "/health") == 0)
    {
      answer (fd, request, 200, "", "ok");
      return true;
    }
  header_value (request->head, "X-Expected-Replica", expected, 64);
  header_value (request->head, "X-Request-Id", id, 64);
  if (*expected && strcmp (expected, replica->id) != 0)
    {
      answer (fd, request, 421, "X-Not-Executed: 1\r\n", "");
      return true;
    }
  int64_t arrived_ms = now_ms ();
  if (__sync_fetch_and_add (&replica->running, 1) >= replica->slots + QUEUE)
    {
      __sync_fetch_and_sub (&replica->running, 1);
      answer (fd, request, 503, "X-Not-Executed: 1\r\n", "");
      return true;
    }
  bool is_judged = replica == &leaving && acked_ms > 0
                   && arrived_ms > acked_ms + DRAIN_MS && settled_ms > 0
                   && arrived_ms > settled_ms;
  if (is_judged)
    __sync_fetch_and_add (&late, 1);
  if (replica == &leaving || is_judged)
    record ("replica %s runs %s%s", replica->id, id,
            is_judged ? ", which it must not get" : "");
  sleep_ms (WORK_MS * (replica->running > replica->slots ? 2 : 1));
  __sync_fetch_and_sub (&replica->running, 1);
  answer (fd, request, 200, "", "whole");
  return true;
}

static void *
run_client (void *data)
{
  int number = (int)(intptr_t)data;
  for (int i = 0; !stops; i++)
    {
      char headers[512];
      char address[16];
      front_address (number % FRONTS, address);
      snprintf (headers, sizeof headers,
                "Host: a.example\r\nX-Request-Id: c%02dn%06d\r\n"
                "X-Deadline-Ms: 2500\r\nX-Credential: k1\r\n"
                "Connection: close\r\n",
                number, i);
      struct reply reply = call (address, rig.front_port, "GET", "/quote/1",
                                 headers, "", 0, 2500);
      if (reply.status == 200)
        __sync_fetch_and_add (&served, 1);
      else
        {
          __sync_fetch_and_add (&refused, 1);
          sleep_ms (20);
        }
      reply_clear (&reply);
    }
  return NULL;
}

static void
send_load (int64_t ms)
{
  pthread_t threads[CLIENTS];
  stops = false;
  served = refused = 0;
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&threads[i], NULL, run_client, (void *)(intptr_t)i);
  sleep_ms (ms);
  stops = true;
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  record ("clients: %d served, %d not", served, refused);
}

static void
kill_all (void)
{
  record ("SIGKILL of all processes");
  for (int i = 0; i < CORES; i++)
    kill (rig.cores[i], SIGKILL);
  for (int i = 0; i < FRONTS; i++)
    kill (rig.fronts[i], SIGKILL);
  for (int i = 0; i < CORES; i++)
    kill_process (&rig.cores[i]);
  for (int i = 0; i < FRONTS; i++)
    kill_process (&rig.fronts[i]);
  sleep_ms (500);
  for (int i = 0; i < CORES; i++)
    start_core (&rig, i, false);
  for (int i = 0; i < FRONTS; i++)
    start_front (&rig, i, false);
  record ("all processes started again");
}

int
main (void)
{
  int result = 2;
  if (!rig_start (&rig) || !put_config (&rig, config, 20000)
      || !await_ready (&rig, 20000))
    goto done;
  leaving.serve = staying.serve = serve;
  replica_start (&leaving);
  replica_start (&staying);
  sleep_ms (4000);
  send_load (1000);
  if (served == 0)
    goto done;
  acked_ms = replica_sign_off (&leaving, 0);
  if (acked_ms == 0)
    goto done;
  if (trouble ())
    kill_all ();
  if (!await_ready (&rig, 10000))
    {
      record ("a front process isn't ready");
      goto done;
    }
  sleep_ms (SETTLE_MS);
  settled_ms = now_ms ();
  record (
      "all machines are in touch; the sign-off was acknowledged %lld ms ago",
      (long long)(settled_ms - acked_ms));
  send_load (LOAD_MS);
  if (now_ms () > acked_ms + LINGER_MS)
    record ("the load took longer than planned");
  record ("requests that reached the leaving replica: %d", late);
  result = served == 0 ? 2 : late > 0 ? 1 : 0;
done:
  rig_stop (&rig);
  record ("result %d", result);
  return result;
}
