#include "router_poll.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <glib.h>

#include "base_clock.h"
#include "http_early_end.h"

#define READY_MAX 128
/* Interval at which closed connections are looked for while other events are
   handled, in milliseconds. */
#define CLOSES_INTERVAL_MS 10
#define NO_TIMER UINT64_MAX
/* Maximum number of such reads in one look at the events. */
#define READS_MAX 32
/* Set in the data of an epoll event that holds a pointer to a router_watch;
   clear when the data is a file descriptor. */
#define WATCH_MARK (UINT64_C (1) << 63)
/* Maximum number of idle connections to targets that are kept open. */
#define IDLE_CONNECTIONS_MAX 1024L

/* A socket of libcurl. */
struct transfer_socket
{
  /* Events that libcurl waits for. */
  uint32_t events;
  bool is_paused;
  /* The socket is registered with epoll. */
  bool is_watched;
};

struct router_poll
{
  CURLM *multi;
  int epoll;
  /* Reports connections that their peers closed, each once; it is in epoll
     itself. */
  int closes;
  /* Time of the last look at them, later by the time for which the loop has
     waited for events since. */
  uint64_t closes_looked_ms;
  /* Sockets of libcurl (struct transfer_socket) by file descriptor, and file
     descriptors by transfer: libcurl tells the socket of a transfer only when
     that has ended. */
  GHashTable *sockets;
  GHashTable *transfers;
  /* Whether the connection ended early (int), by transfer; of those for which
     that is to be noted. */
  GHashTable *ends;
  int wake;
  uint64_t timer_ms;
  /* Time of the last look at the events, and time between the one before and
     that. */
  uint64_t looked_ms;
  uint64_t gap_ms;
  void (*done) (CURL *easy, CURLcode code);
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* Registers the socket with epoll for what libcurl waits for, unless it is
   paused.  epoll reports errors of a registered socket in any case. */
static void
update_watch (struct router_poll *loop, curl_socket_t fd,
              struct transfer_socket *socket)
{
  struct epoll_event event = { 0 };
  event.events = socket->events;
  event.data.u64 = (uint32_t)fd;
  if (!socket->is_paused)
    epoll_ctl (loop->epoll, socket->is_watched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
               fd, &event);
  else if (socket->is_watched)
    epoll_ctl (loop->epoll, EPOLL_CTL_DEL, fd, NULL);
  socket->is_watched = !socket->is_paused;
}

static struct transfer_socket *
find_socket (struct router_poll *loop, curl_socket_t fd)
{
  return g_hash_table_lookup (loop->sockets, GINT_TO_POINTER (fd));
}

int
router_poll_socket (const struct router_poll *loop, CURL *easy)
{
  gpointer fd;
  return g_hash_table_lookup_extended (loop->transfers, easy, NULL, &fd)
             ? GPOINTER_TO_INT (fd)
             : -1;
}

void
router_poll_note_end (struct router_poll *loop, CURL *easy)
{
  g_hash_table_insert (loop->ends, easy, GINT_TO_POINTER (false));
}

bool
router_poll_ended_early (const struct router_poll *loop, CURL *easy)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (loop->ends, easy));
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *context,
              void *known)
{
  struct router_poll *loop = context;
  struct transfer_socket *socket = find_socket (loop, fd);
  (void)known;
  if (what == CURL_POLL_REMOVE)
    {
      if (router_poll_socket (loop, easy) == fd)
        {
          if (g_hash_table_contains (loop->ends, easy))
            g_hash_table_insert (loop->ends, easy,
                                 GINT_TO_POINTER (http_early_end (fd)));
          g_hash_table_remove (loop->transfers, easy);
        }
      if (socket && socket->is_watched)
        epoll_ctl (loop->epoll, EPOLL_CTL_DEL, fd, NULL);
      g_hash_table_remove (loop->sockets, GINT_TO_POINTER (fd));
      return 0;
    }
  if (!socket)
    {
      socket = g_new0 (struct transfer_socket, 1);
      g_hash_table_insert (loop->sockets, GINT_TO_POINTER (fd), socket);
    }
  g_hash_table_insert (loop->transfers, easy, GINT_TO_POINTER (fd));
  socket->events = (what & CURL_POLL_IN ? EPOLLIN : 0u)
                   | (what & CURL_POLL_OUT ? EPOLLOUT : 0u);
  update_watch (loop, fd, socket);
  return 0;
}

void
router_poll_pause (struct router_poll *loop, CURL *easy, bool pause)
{
  int fd = router_poll_socket (loop, easy);
  struct transfer_socket *socket = find_socket (loop, fd);
  if (!socket || socket->is_paused == pause)
    return;
  socket->is_paused = pause;
  update_watch (loop, fd, socket);
}

static int
set_timer (CURLM *multi, long timeout_ms, void *context)
{
  struct router_poll *loop = context;
  (void)multi;
  loop->timer_ms
      = timeout_ms < 0 ? NO_TIMER : now_ms () + (uint64_t)timeout_ms;
  return 0;
}

struct router_poll *
router_poll_create (void (*done) (CURL *easy, CURLcode code))
{
  struct router_poll *loop = g_new0 (struct router_poll, 1);
  struct epoll_event event = { 0 };
  loop->done = done;
  loop->timer_ms = NO_TIMER;
  loop->sockets = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  loop->transfers = g_hash_table_new (NULL, NULL);
  loop->ends = g_hash_table_new (NULL, NULL);
  loop->multi = curl_multi_init ();
  loop->epoll = epoll_create1 (EPOLL_CLOEXEC);
  loop->closes = epoll_create1 (EPOLL_CLOEXEC);
  loop->closes_looked_ms = now_ms ();
  loop->wake = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (!loop->multi || loop->epoll < 0 || loop->closes < 0 || loop->wake < 0)
    {
      router_poll_destroy (loop);
      return NULL;
    }
  event.events = EPOLLIN;
  event.data.u64 = (uint32_t)loop->wake;
  epoll_ctl (loop->epoll, EPOLL_CTL_ADD, loop->wake, &event);
  event.data.u64 = (uint32_t)loop->closes;
  epoll_ctl (loop->epoll, EPOLL_CTL_ADD, loop->closes, &event);
  curl_multi_setopt (loop->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (loop->multi, CURLMOPT_SOCKETDATA, loop);
  curl_multi_setopt (loop->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (loop->multi, CURLMOPT_TIMERDATA, loop);
  curl_multi_setopt (loop->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS_MAX);
  return loop;
}

void
router_poll_destroy (struct router_poll *loop)
{
  if (!loop)
    return;
  if (loop->multi)
    curl_multi_cleanup (loop->multi);
  g_hash_table_unref (loop->sockets);
  g_hash_table_unref (loop->transfers);
  g_hash_table_unref (loop->ends);
  if (loop->closes >= 0)
    close (loop->closes);
  if (loop->epoll >= 0)
    close (loop->epoll);
  if (loop->wake >= 0)
    close (loop->wake);
  g_free (loop);
}

int
router_poll_add (struct router_poll *loop, CURL *easy)
{
  return curl_multi_add_handle (loop->multi, easy) == CURLM_OK ? 0 : -1;
}

void
router_poll_remove (struct router_poll *loop, CURL *easy)
{
  curl_multi_remove_handle (loop->multi, easy);
  g_hash_table_remove (loop->transfers, easy);
  g_hash_table_remove (loop->ends, easy);
}

int
router_poll_watch (struct router_poll *loop, int fd, uint32_t events,
                   struct router_watch *watch)
{
  struct epoll_event event = { 0 };
  event.events = events;
  event.data.u64 = (uint64_t)(uintptr_t)watch | WATCH_MARK;
  return epoll_ctl (loop->epoll, EPOLL_CTL_ADD, fd, &event);
}

void
router_poll_rewatch (struct router_poll *loop, int fd, uint32_t events,
                     struct router_watch *watch)
{
  struct epoll_event event = { 0 };
  event.events = events;
  event.data.u64 = (uint64_t)(uintptr_t)watch | WATCH_MARK;
  epoll_ctl (loop->epoll, EPOLL_CTL_MOD, fd, &event);
}

void
router_poll_unwatch (struct router_poll *loop, int fd)
{
  epoll_ctl (loop->epoll, EPOLL_CTL_DEL, fd, NULL);
}

int
router_poll_watch_close (struct router_poll *loop, int fd,
                         struct router_watch *watch)
{
  struct epoll_event event = { 0 };
  event.events = EPOLLRDHUP | EPOLLHUP | EPOLLERR | EPOLLET;
  event.data.ptr = watch;
  return epoll_ctl (loop->closes, EPOLL_CTL_ADD, fd, &event);
}

void
router_poll_unwatch_close (struct router_poll *loop, int fd)
{
  epoll_ctl (loop->closes, EPOLL_CTL_DEL, fd, NULL);
}

static void
read_closes (struct router_poll *loop)
{
  struct epoll_event ready[READY_MAX];
  int count;
  do
    {
      count = epoll_wait (loop->closes, ready, READY_MAX, 0);
      for (int i = 0; i < count; i++)
        {
          struct router_watch *watch = ready[i].data.ptr;
          watch->ready (watch, ready[i].events);
        }
    }
  while (count == READY_MAX);
  loop->closes_looked_ms = now_ms ();
}

bool
router_poll_closes_are_due (const struct router_poll *loop)
{
  return now_ms () >= loop->closes_looked_ms + CLOSES_INTERVAL_MS;
}

void
router_poll_read_due_closes (struct router_poll *loop)
{
  if (router_poll_closes_are_due (loop))
    read_closes (loop);
}

static void
handle_done (struct router_poll *loop)
{
  int left;
  CURLMsg *message;
  while ((message = curl_multi_info_read (loop->multi, &left)))
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      CURL *easy = message->easy_handle;
      CURLcode code = message->data.result;
      curl_multi_remove_handle (loop->multi, easy);
      loop->done (easy, code);
      g_hash_table_remove (loop->ends, easy);
    }
}

static void
handle_ready (struct router_poll *loop, const struct epoll_event *event)
{
  uint64_t count;
  int running;
  int what = 0;
  if (event->data.u64 & WATCH_MARK)
    {
      uint64_t pointer = event->data.u64 & ~WATCH_MARK;
      struct router_watch *watch = (struct router_watch *)(uintptr_t)pointer;
      watch->ready (watch, event->events);
      return;
    }
  if (event->data.fd == loop->closes)
    return;
  if (event->data.fd == loop->wake)
    {
      ssize_t got = read (loop->wake, &count, sizeof count);
      (void)got;
      return;
    }
  if (event->events & (EPOLLIN | EPOLLHUP))
    what |= CURL_CSELECT_IN;
  if (event->events & EPOLLOUT)
    what |= CURL_CSELECT_OUT;
  if (event->events & EPOLLERR)
    what |= CURL_CSELECT_ERR;
  curl_multi_socket_action (loop->multi, event->data.fd, what, &running);
}

static int
wait_timeout_ms (const struct router_poll *loop, uint32_t wait_ms)
{
  uint64_t now = now_ms ();
  if (loop->timer_ms <= now)
    return 0;
  return (int)MIN (loop->timer_ms - now, wait_ms);
}

void
router_poll_run (struct router_poll *loop, uint32_t wait_ms)
{
  struct epoll_event ready[READY_MAX];
  int running;
  uint64_t former_ms = loop->looked_ms;
  loop->gap_ms = former_ms > 0 ? now_ms () - former_ms : 0;
  int reads = 1;
  int count = epoll_wait (loop->epoll, ready, READY_MAX,
                          wait_timeout_ms (loop, wait_ms));
  uint64_t called_ms = former_ms + loop->gap_ms;
  loop->looked_ms = now_ms ();
  if (former_ms > 0)
    loop->closes_looked_ms += loop->looked_ms - called_ms;
  /* First of all, since the first event of a transfer starts all transfers
     that are due, those of callers that have left among them. */
  read_closes (loop);
  while (count > 0)
    {
      for (int i = 0; i < count; i++)
        {
          handle_ready (loop, &ready[i]);
          router_poll_read_due_closes (loop);
        }
      bool has_more = count == READY_MAX && reads++ < READS_MAX;
      count = has_more ? epoll_wait (loop->epoll, ready, READY_MAX, 0) : 0;
    }
  if (loop->timer_ms <= now_ms ())
    {
      loop->timer_ms = NO_TIMER;
      curl_multi_socket_action (loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  handle_done (loop);
}

uint64_t
router_poll_looked_ms (const struct router_poll *loop)
{
  return loop->looked_ms;
}

uint64_t
router_poll_gap_ms (const struct router_poll *loop)
{
  return loop->gap_ms;
}

uint64_t
router_poll_unread_max_ms (const struct router_poll *loop)
{
  return now_ms () - loop->closes_looked_ms;
}

void
router_poll_wake (struct router_poll *loop)
{
  uint64_t one = 1;
  ssize_t sent = write (loop->wake, &one, sizeof one);
  (void)sent;
}
