/** @file
 *  Request smuggling: requests whose end two HTTP parsers could see in
 * different places are answered 400 and their connection is closed, on the
 * callers' addresses of both interfaces and on the operators' address. */

#include <string.h>

#include <glib.h>

#include "platform_rig.h"
#include "raw_call.h"
#include "router_rig.h"

#define WAIT_MS 3000
/* A second request inside the first one, which must not be answered. */
#define SMUGGLED_REQUEST "GET /hidden HTTP/1.1\r\nHost: h.example\r\n\r\n"

struct malformed_request
{
  const char *name;
  const char *request;
};

static const struct malformed_request malformed_requests[] = {
  { "length and chunks",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" SMUGGLED_REQUEST },
  { "two lengths",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"
    "Content-Length: 40\r\n\r\nabcd" SMUGGLED_REQUEST },
  { "a list of lengths",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4, 40\r\n"
    "\r\nabcd" SMUGGLED_REQUEST },
  { "a folded header",
    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-A: b\r\n c\r\n\r\n" },
  { "a folded length",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length:\r\n 4\r\n"
    "\r\nabcd" SMUGGLED_REQUEST },
  { "no host", "GET /safe/x HTTP/1.1\r\nX-A: b\r\n\r\n" },
  { "two hosts",
    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nHost: g.example\r\n\r\n" },
  { "a space before the colon",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length : 48\r\n"
    "\r\n" SMUGGLED_REQUEST },
  { "a space in a name",
    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX A: b\r\n\r\n" },
  { "an unknown coding",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" SMUGGLED_REQUEST },
  { "two codings",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
    "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" SMUGGLED_REQUEST },
  { "two coding headers",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: "
    "chunked\r\n"
    "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n" SMUGGLED_REQUEST },
  { "a signed length",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: +4\r\n\r\n"
    "abcd" SMUGGLED_REQUEST },
  { "a length with letters",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4x\r\n\r\n"
    "abcd" SMUGGLED_REQUEST },
  { "an empty length",
    "POST /safe/x HTTP/1.1\r\nHost: "
    "h.example\r\nContent-Length: \r\n\r\n" SMUGGLED_REQUEST },
  { "a line without a colon",
    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nabc\r\n\r\n" },
  { "a chunk's length with a sign",
    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked"
    "\r\n\r\n+4\r\nabcd\r\n0\r\n\r\n" },
};

static bool
is_rejected (const char *address, uint16_t port,
             const struct malformed_request *framing)
{
  struct raw_reply reply = raw_call (address, port, framing->request, WAIT_MS);
  bool rejected = reply.status == 400 && reply.answers == 1 && reply.closed;
  if (!rejected)
    g_test_message ("%s: status %u, %u answers, %s", framing->name,
                    reply.status, reply.answers,
                    reply.closed ? "closed" : "open");
  g_free (reply.text);
  return rejected;
}

static void
check_malformed (const char *address, uint16_t port)
{
  uint32_t rejected = 0;
  for (uint32_t i = 0; i < G_N_ELEMENTS (malformed_requests); i++)
    rejected += is_rejected (address, port, &malformed_requests[i]);
  g_assert_cmpuint (rejected, ==, G_N_ELEMENTS (malformed_requests));
}

/* Valid requests on one connection are answered one after the other. */
static void
check_valid (const char *address, uint16_t port)
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
  check_valid ("127.0.0.1", rig->callers_port);
  check_malformed ("127.0.0.1", rig->callers_port);
  check_valid ("127.0.0.2", rig->control_port);
  check_malformed ("127.0.0.2", rig->control_port);
  platform_rig_destroy (rig);
}

static void
test_own_callers (void)
{
  static const char *const no_arguments[] = { NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  check_valid ("127.0.0.1", router_rig_port (rig));
  check_malformed ("127.0.0.1", router_rig_port (rig));
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
