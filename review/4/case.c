/** @file
 *  A replica signs off at another core machine than that which gets its
 *  liveness reports, and serves on for some seconds, as the pages allow.
 *  Front machines that are stopped and started meanwhile send it requests. */

#include "../common/rig.h"

#include <signal.h>
#include <string.h>

#define FRONTS 7
/* Front machines that are stopped, one after the other, and the pause. */
#define ROLLED 5
#define ROLL_GAP_MS 1000
/* Core machines: that of the liveness reports, and that of the sign-off. */
#define REPORT_CORE 2
#define SIGN_OFF_CORE 0
/* Places of the replica that stays, and time that a request takes. */
#define PLACES 2
#define WORK_MS 150
/* Requests of clients at one time to each front machine. */
#define BURST 8
/* Time after the acknowledged sign-off at which the requests come when no
   machine is stopped: as late as they come otherwise. */
#define CALM_MS 11500
/* Time for which the leaving replica serves on after that. */
#define SERVES_ON_MS 15000

#define CONFIG                                                                \
  "{\"version\":3,\"routes\":["                                               \
  "{\"name\":\"look\",\"host\":\"shop.example\",\"pathPrefix\":\"/look/\","   \
  "\"kind\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":400,"             \
  "\"priority\":1,\"service\":\"ledger\",\"maxAttempts\":2,\"public\":false," \
  "\"sticky\":false,\"resumable\":false}],"                                   \
  "\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/health\","            \
  "\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}],"                     \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"            \
  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
#define LEAVING_ID "i-leaving"

static gint running;
/* Time of the acknowledged sign-off, or 0. */
static int64_t signed_off_ms;
static gint late;

static bool
serve (struct rig_replica *replica, const struct rig_exchange *exchange)
{
  bool is_leaving = strcmp (rig_replica_id (replica), LEAVING_ID) == 0;
  int64_t after_ms = rig_now_ms () - signed_off_ms;
  if (is_leaving && signed_off_ms > 0)
    {
      rig_record ("%s runs %s, %.3f s after its acknowledged sign-off",
                  LEAVING_ID, exchange->request_id, (double)after_ms / 1000.0);
      if (after_ms > SERVES_ON_MS)
        return false;
      if (after_ms > RIG_DRAIN_MS)
        g_atomic_int_inc (&late);
    }
  bool has_place = is_leaving || g_atomic_int_add (&running, 1) < PLACES;
  if (has_place)
    rig_sleep_ms (WORK_MS);
  bool sent = has_place ? rig_reply (exchange, "200 OK", "", "{}")
                        : rig_reply (exchange, "503 Service Unavailable",
                                     "X-Not-Executed: 1\r\n", "");
  if (!is_leaving)
    g_atomic_int_add (&running, -1);
  return sent;
}

/* One request of a client. */
struct request
{
  uint32_t front;
  char id[24];
};

static gpointer
make_request (gpointer data)
{
  const struct request *request = data;
  struct rig_answer answer
      = rig_request (request->front, "GET", "/look/a", request->id, "", 2500);
  rig_record ("client: %s to front-%u gets %d", request->id,
              request->front + 1, answer.status);
  rig_answer_clear (&answer);
  return NULL;
}

/* Sends a burst of requests to a front machine. */
static void
send_burst (uint32_t front)
{
  struct request requests[BURST];
  GThread *threads[BURST];
  for (uint32_t i = 0; i < BURST; i++)
    {
      requests[i].front = front;
      g_snprintf (requests[i].id, sizeof requests[i].id, "b%u-%u",
                  (unsigned)front, (unsigned)i);
      threads[i] = g_thread_new ("client", make_request, &requests[i]);
    }
  for (uint32_t i = 0; i < BURST; i++)
    g_thread_join (threads[i]);
}

/* Stops the front machines in turn and starts them again.  Returns when they
   have been in touch for long enough. */
static void
roll_fronts (void)
{
  for (uint32_t front = 0; front < ROLLED; front++)
    {
      rig_signal_front (front, SIGTERM);
      rig_sleep_ms (ROLL_GAP_MS);
    }
  for (uint32_t front = 0; front < ROLLED; front++)
    rig_restart_front (front);
  int64_t in_touch_ms = rig_front_started_ms (ROLLED - 1) + RIG_CONTACT_MS;
  rig_sleep_ms (in_touch_ms + 200 - rig_now_ms ());
}

int
main (int argc, char **argv)
{
  struct rig_replica_options options = { .id = LEAVING_ID,
                                         .service = "ledger",
                                         .core = REPORT_CORE,
                                         .other_core = REPORT_CORE,
                                         .serve = serve };
  rig_create (argc > 1 ? argv[1] : ".", FRONTS);
  rig_configure (CONFIG);
  struct rig_replica *leaving = rig_replica_create (&options);
  options.id = "i-staying";
  rig_replica_create (&options);
  rig_wait_served ("/look/a", "");
  rig_sleep_ms (RIG_CONTACT_MS);
  rig_replica_stop_reports (leaving);
  int status = rig_control (SIGN_OFF_CORE, "DELETE",
                            "/v1/replicas/" LEAVING_ID, NULL);
  signed_off_ms = rig_now_ms ();
  rig_record ("sign-off of %s at core-%d: %d", LEAVING_ID, SIGN_OFF_CORE + 1,
              status);
  if (status != 200)
    rig_give_up ("the sign-off was not acknowledged");
  if (rig_has_trouble ())
    roll_fronts ();
  else
    rig_sleep_ms (CALM_MS);
  for (uint32_t front = 0; front < FRONTS; front++)
    send_burst (front);
  int count = g_atomic_int_get (&late);
  rig_record ("%d requests reached %s later than %d ms after its acknowledged "
              "sign-off",
              count, LEAVING_ID, RIG_DRAIN_MS);
  return rig_end (count > 0 ? RIG_BROKEN : RIG_HELD);
}
