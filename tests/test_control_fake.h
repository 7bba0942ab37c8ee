#ifndef TEST_CONTROL_FAKE_H
#define TEST_CONTROL_FAKE_H

/** @file
 *  A fake control: a server thread that answers every call with a function of
 *  the test.  A test simulates several members with relays in front of it,
 *  which can refuse connections and drop answers. */

#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "wire_control.h"
#include "wire_server.h"

/** The fake; its fields are set by control_fake_start. */
struct control_fake
{
  struct wire_handler base;
  struct wire_server *server;
  GThread *thread;
  atomic_bool stopping;
  /** Answers a call of any procedure; runs on the fake's thread. */
  void (*answer) (struct control_fake *fake, struct wire_call *call);
  /** Number of calls received. */
  atomic_uint calls;
  /** The test's own data. */
  void *context;
};

static inline void
control_fake_call (struct wire_handler *handler, struct wire_call *call)
{
  struct control_fake *fake = (struct control_fake *)handler;
  atomic_fetch_add (&fake->calls, 1);
  fake->answer (fake, call);
}

static inline gpointer
control_fake_run (gpointer data)
{
  struct control_fake *fake = data;
  while (!atomic_load (&fake->stopping))
    wire_server_round (fake->server, 10);
  return NULL;
}

/** Starts the fake on a port that the kernel picks. */
static inline void
control_fake_start (struct control_fake *fake,
                    void (*answer) (struct control_fake *, struct wire_call *),
                    void *context)
{
  const struct wire_program program = { CONTROL_PROGRAM, CONTROL_VERSION };
  memset (fake, 0, sizeof *fake);
  fake->base.call = control_fake_call;
  fake->answer = answer;
  fake->context = context;
  fake->server = wire_server_create ("127.0.0.1", 0, &program, 1, &fake->base);
  g_assert_nonnull (fake->server);
  fake->thread = g_thread_new ("fake", control_fake_run, fake);
}

/** Stops the fake and closes its connections. */
static inline void
control_fake_stop (struct control_fake *fake)
{
  atomic_store (&fake->stopping, true);
  wire_server_wake (fake->server);
  g_thread_join (fake->thread);
  wire_server_destroy (fake->server);
}

/** Returns the endpoint of the fake; the caller frees it with g_free. */
static inline char *
control_fake_endpoint (const struct control_fake *fake)
{
  return g_strdup_printf ("127.0.0.1:%u", wire_server_port (fake->server));
}

#endif
