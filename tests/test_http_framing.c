/** @file
 *  Requests whose end two readers could see in different places: refused with
 *  400, and the connection closed, on the callers' addresses of both
 *  interfaces and on the operator's. */

#include <string.h>

#include <glib.h>

#include "platform_rig.h"
#include "raw_call.h"
#include "router_rig.h"

#define WAIT_MS 3000
/* A second request that must not be seen as one. */
#define HIDDEN "GET /hidden HTTP/1.1\r\nHost: h.example\r\n\r\n"

struct framing_case
{
  const char *name;
  const char *request;
};

static const struct framing_case unsound[] = {
  { "length and chunks",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" HIDDEN },
  { "two lengths",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"
    "Content-Length: 40\r\n\r\nabcd" HIDDEN },
  { "a list of lengths",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4, 40\r\n"
    "\r\nabcd" HIDDEN },
  { "a folded header",
    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-A: b\r\n c\r\n\r\n" },
  { "a folded length",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length:\r\n 4\r\n"
    "\r\nabcd" HIDDEN },
  { "no host", "GET /safe/x HTTP/1.1\r\nX-A: b\r\n\r\n" },
  { "two hosts",
    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nHost: g.example\r\n\r\n" },
  { "a space before the colon",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length : 48\r\n"
    "\r\n" HIDDEN },
  { "a space in a name",
    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX A: b\r\n\r\n" },
  { "an unknown coding",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" HIDDEN },
  { "two codings",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
    "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" HIDDEN },
  { "two coding headers",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: "
    "chunked\r\n"
    "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n" HIDDEN },
  { "a signed length",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: +4\r\n\r\n"
    "abcd" HIDDEN },
  { "a length with letters",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4x\r\n\r\n"
    "abcd" HIDDEN },
  { "an empty length", "POST /safe/x HTTP/1.1\r\nHost: "
                       "h.example\r\nContent-Length: \r\n\r\n" HIDDEN },
  { "a line without a colon",
    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nabc\r\n\r\n" },
  { "a chunk's length with a sign",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked"
    "\r\n\r\n+4\r\nabcd\r\n0\r\n\r\n" },
};

static bool
is_refused (const char *address, uint16_t port,
            const struct framing_case *framing)
{
  struct raw_reply reply = raw_call (address, port, framing->request, WAIT_MS);
  bool refused = reply.status == 400 && reply.answers == 1 && reply.closed;
  if (!refused)
    g_test_message ("%s: status %u, %u answers, %s", framing->name,
                    reply.status, reply.answers,
                    reply.closed ? "closed" : "open");
  g_free (reply.text);
  return refused;
}

static void
check_all (const char *address, uint16_t port)
{
  uint32_t refused = 0;
  for (uint32_t i = 0; i < G_N_ELEMENTS (unsound); i++)
    refused += is_refused (address, port, &unsound[i]);
  g_assert_cmpuint (refused, ==, G_N_ELEMENTS (unsound));
}

/* Sound requests on one connection are answered one by one. */
static void
check_sound (const char *address, uint16_t port)
{
  struct raw_reply reply = raw_call (
      address, port,
      "POST /nowhere HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\n"
      "abcdPOST /nowhere HTTP/1.1\r\nHost: h.example\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
      "GET /nowhere HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n",
      WAIT_MS);
  g_assert_cmpuint (reply.answers, ==, 3);
  g_assert_cmpuint (reply.status, !=, 400);
  g_assert_true (reply.closed);
  g_free (reply.text);
}

static void
test_platform (void)
{
  struct platform_rig *rig = platform_rig_create ();
  platform_rig_configure (rig,
                          "{\"version\":1,\"routes\":[],\"services\":[]}");
  check_sound ("127.0.0.1", rig->callers_port);
  check_all ("127.0.0.1", rig->callers_port);
  check_sound ("127.0.0.2", rig->control_port);
  check_all ("127.0.0.2", rig->control_port);
  platform_rig_destroy (rig);
}

static void
test_own_callers (void)
{
  static const char *const no_arguments[] = { NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  check_sound ("127.0.0.1", router_rig_port (rig));
  check_all ("127.0.0.1", router_rig_port (rig));
  router_rig_destroy (rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http-framing/platform", test_platform);
  g_test_add_func ("/http-framing/own-callers", test_own_callers);
  return g_test_run ();
}
