#include "platform_crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "raw_head.h"

#define EVENTS_MAX 256
#define WAIT_MS 2
#define DEADLINE_SLACK_MS 2000

struct caller
{
  struct platform_crowd_call *call;
  int fd;
  bool is_sent;
  GString *in;
};

struct platform_crowd
{
  struct caller *callers;
  uint32_t count;
  uint32_t started;
  uint32_t ended;
  gint64 start_us;
  int epoll;
  GThread *thread;
};

static void
start_call (struct platform_crowd *crowd, struct caller *caller)
{
  struct platform_crowd_call *call = caller->call;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (call->port) };
  struct epoll_event event
      = { .events = EPOLLIN | EPOLLOUT | EPOLLET, .data.ptr = caller };
  inet_pton (AF_INET, call->address, &address.sin_addr);
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  g_assert_cmpint (caller->fd, >=, 0);
  caller->in = g_string_new (NULL);
  call->started_us = g_get_monotonic_time ();
  int result
      = connect (caller->fd, (struct sockaddr *)&address, sizeof address);
  g_assert_true (result == 0 || errno == EINPROGRESS);
  epoll_ctl (crowd->epoll, EPOLL_CTL_ADD, caller->fd, &event);
}

static void
end_call (struct platform_crowd *crowd, struct caller *caller)
{
  const struct linger reset = { 1, 0 };
  if (caller->fd < 0)
    return;
  if (caller->call->leave == PLATFORM_CROWD_RESETS)
    setsockopt (caller->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (caller->fd);
  caller->fd = -1;
  caller->call->ended_us = g_get_monotonic_time ();
  g_string_free (caller->in, TRUE);
  caller->in = NULL;
  crowd->ended++;
}

static void
send_request (struct caller *caller)
{
  const struct platform_crowd_call *call = caller->call;
  char text[512];
  int bytes = snprintf (text, sizeof text,
                        "POST %s HTTP/1.1\r\nHost: h.example\r\n"
                        "X-Request-Id: %s\r\nX-Deadline-Ms: %u\r\n"
                        "Content-Length: 3\r\n\r\nabc",
                        call->path, call->id, call->deadline_ms);
  caller->is_sent
      = send (caller->fd, text, (size_t)bytes, MSG_NOSIGNAL) == bytes;
}

/* Whether the answer is complete: by its length, or by its last chunk. */
static bool
is_whole (const struct caller *caller)
{
  char length[32];
  const char *text = caller->in->str;
  const char *end = strstr (text, "\r\n\r\n");
  if (!end)
    return false;
  if (raw_head_value (text, "Content-Length", length, sizeof length))
    return caller->in->len
           >= (size_t)(end - text) + 4
                  + (size_t)g_ascii_strtoull (length, NULL, 10);
  return g_str_has_suffix (text, "\r\n0\r\n\r\n");
}

static void
handle_event (struct platform_crowd *crowd, struct caller *caller,
              uint32_t events)
{
  char piece[4096];
  ssize_t got;
  if (caller->fd < 0)
    return;
  if (!caller->is_sent && (events & EPOLLOUT))
    send_request (caller);
  while ((got = recv (caller->fd, piece, sizeof piece, MSG_DONTWAIT)) > 0)
    g_string_append_len (caller->in, piece, got);
  bool is_closed = got == 0 || (errno != EAGAIN && errno != EINTR);
  if (caller->in->len > 12)
    caller->call->status
        = (uint32_t)g_ascii_strtoull (caller->in->str + 9, NULL, 10);
  caller->call->is_whole = is_whole (caller);
  if (caller->call->is_whole || is_closed)
    end_call (crowd, caller);
}

/* Starts the calls that are due, and ends those whose callers leave. */
static void
run_times (struct platform_crowd *crowd)
{
  gint64 now_us = g_get_monotonic_time ();
  while (
      crowd->started < crowd->count
      && now_us
             >= crowd->start_us
                    + 1000
                          * (gint64)crowd->callers[crowd->started].call->at_ms)
    start_call (crowd, &crowd->callers[crowd->started++]);
  for (uint32_t i = 0; i < crowd->started; i++)
    {
      struct caller *caller = &crowd->callers[i];
      struct platform_crowd_call *call = caller->call;
      if (caller->fd < 0)
        continue;
      if (call->leave != PLATFORM_CROWD_STAYS
          && now_us >= call->started_us + 1000 * (gint64)call->leave_ms)
        {
          end_call (crowd, caller);
          call->left_us = call->ended_us;
        }
      else if (now_us
               >= call->started_us
                      + 1000 * (gint64)(call->deadline_ms + DEADLINE_SLACK_MS))
        end_call (crowd, caller);
    }
}

static gpointer
run_crowd (gpointer data)
{
  struct platform_crowd *crowd = data;
  struct epoll_event events[EVENTS_MAX];
  while (crowd->ended < crowd->count)
    {
      int count = epoll_wait (crowd->epoll, events, EVENTS_MAX, WAIT_MS);
      for (int i = 0; i < count; i++)
        handle_event (crowd, events[i].data.ptr, events[i].events);
      run_times (crowd);
    }
  return NULL;
}

struct platform_crowd *
platform_crowd_start (struct platform_crowd_call *calls, uint32_t count,
                      const char *prefix)
{
  struct platform_crowd *crowd = g_new0 (struct platform_crowd, 1);
  crowd->callers = g_new0 (struct caller, count);
  crowd->count = count;
  crowd->epoll = epoll_create1 (EPOLL_CLOEXEC);
  for (uint32_t i = 0; i < count; i++)
    {
      crowd->callers[i].call = &calls[i];
      crowd->callers[i].fd = -1;
      g_snprintf (calls[i].id, sizeof calls[i].id, "%s%u", prefix, i);
    }
  crowd->start_us = g_get_monotonic_time ();
  crowd->thread = g_thread_new ("crowd", run_crowd, crowd);
  return crowd;
}

void
platform_crowd_join (struct platform_crowd *crowd)
{
  g_thread_join (crowd->thread);
  close (crowd->epoll);
  g_free (crowd->callers);
  g_free (crowd);
}
