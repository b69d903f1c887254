#include "net/server.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/connection.h"
#include "net/stream.h"

#define EPOLL_EVENTS_MAX 256
#define POLL_TIMEOUT_MAX_MS 60000
#define ACCEPT_PAUSE_US 100000 /* pause after a failed accept */
#define ACCEPT_WARNING_INTERVAL_US 10000000

/* The maximum number of complete requests of each class that are released to their handlers in one iteration
 * of the main loop, in the order of the classes. Usually it covers all of them. After all controllers have
 * crashed, hundreds of requests arrive at once. Handling them in one iteration would take a second or two,
 * and health checks and heartbeats that arrive meanwhile would wait behind submissions. Each class has a
 * quota, so that none starves. */
static const guint released_per_iteration[FK_REQUEST_CLASSES] = {
    [FK_REQUEST_CLASS_HEALTH] = G_MAXUINT, [FK_REQUEST_CLASS_PEER] = G_MAXUINT,
    [FK_REQUEST_CLASS_HEARTBEAT] = 32,     [FK_REQUEST_CLASS_CANCEL] = 16,
    [FK_REQUEST_CLASS_POLL] = 16,          [FK_REQUEST_CLASS_SUBMIT] = 16,
    [FK_REQUEST_CLASS_OTHER] = 8};

typedef struct {
  FkServer *server;
  FkListenerHandler handler;
  GSocketAddress *address;
  GSocket *socket;
  GPollFD poll;
} Listener;

struct FkServer {
  GSource source; /* must be first: g_source_new() allocates the whole structure */
  FkAdmission *admission;
  FkConnectionOwner owner; /* shared by all connections */
  GPollFD epoll;
  GPtrArray *listeners; /* Listener */
  /* The connections that have not ended: a set of FkConnection, each with a reference. */
  GHashTable *connections;
  GQueue complete[FK_REQUEST_CLASSES]; /* FkConnection with a request to be released */
  GQueue unserved;        /* FkConnection whose first request was released, waiting for serve() */
  GPtrArray *flush_list;  /* FkConnection with output to send before the main loop waits */
  gboolean accept_paused; /* TRUE for a time after a failed accept */
  gint64 accept_paused_us, accept_warned_us; /* time of the latest pause and warning; 0 if none */
};

static gint64 now_us(void) { return g_get_monotonic_time(); }

/* ------------------------------------------------------------------ callbacks of connections */

/* Pauses or resumes accepting. While paused, the listening sockets are not polled: a socket with pending
 * connections stays readable, and would wake the main loop without end. */
static void pause_accepting(FkServer *server, gboolean paused) {
  server->accept_paused = paused;
  for (guint i = 0; i < server->listeners->len; i++)
    ((Listener *)server->listeners->pdata[i])->poll.events = paused ? 0 : G_IO_IN;
}

static void on_request_complete(gpointer data, FkConnection *connection, FkRequestClass request_class) {
  FkServer *server = data;
  g_queue_push_tail(&server->complete[request_class], fk_connection_ref(connection));
}

static void on_output_pending(gpointer data, FkConnection *connection) {
  FkServer *server = data;
  g_ptr_array_add(server->flush_list, fk_connection_ref(connection));
}

static void on_socket_closed(gpointer data) {
  FkServer *server = data;
  if (server->accept_paused)
    pause_accepting(server, FALSE);
}

static void on_removed(gpointer data, FkConnection *connection) {
  FkServer *server = data;
  g_hash_table_remove(server->connections, connection);
}

/* ------------------------------------------------------------------ connections */

/* Ends the connections that have timed out or that exceed a limit. */
static void evict(FkServer *server) {
  FkRejection rejection;
  FkConnectionSlot *slot;
  while ((slot = fk_admission_next_eviction(server->admission, now_us(), &rejection))) {
    FkConnection *connection = fk_connection_from_slot(slot);
    if (slot->stage == FK_STAGE_LINGERING)
      fk_connection_send_rejection(connection, &rejection);
    else
      fk_connection_close_socket(connection);
  }
}

/* Releases complete requests to their handlers, up to the quota of each class. Queues the connections that
 * need a stream in `unserved`. */
static void release_complete(FkServer *server) {
  for (guint class = 0; class < FK_REQUEST_CLASSES; class ++) {
    FkConnection *connection;
    for (guint n = 0;
         n < released_per_iteration[class] && (connection = g_queue_pop_head(&server->complete[class])); n++)
      if (fk_connection_release(connection))
        g_queue_push_tail(&server->unserved, connection);
      else
        fk_connection_unref(connection);
  }
}

static gboolean has_complete(const FkServer *server) {
  for (guint class = 0; class < FK_REQUEST_CLASSES; class ++)
    if (server->complete[class].length)
      return TRUE;
  return FALSE;
}

static void flush_all(FkServer *server) {
  for (guint i = 0; i < server->flush_list->len; i++) {
    FkConnection *connection = server->flush_list->pdata[i];
    fk_connection_flush(connection);
    fk_connection_unref(connection);
  }
  g_ptr_array_set_size(server->flush_list, 0);
}

static void poll_connections(FkServer *server) {
  struct epoll_event events[EPOLL_EVENTS_MAX];
  int n;
  do {
    n = epoll_wait(server->epoll.fd, events, EPOLL_EVENTS_MAX, 0);
    for (int i = 0; i < n; i++)
      fk_connection_on_events(events[i].data.ptr, events[i].events);
  } while (n == EPOLL_EVENTS_MAX);
  evict(server);
}

/* ------------------------------------------------------------------ accepting */

/* Returns the IP address in `native` as text, which the caller frees; "" for another address family. */
static char *address_text(const struct sockaddr_storage *native, socklen_t len) {
  g_autoptr(GSocketAddress) address = g_socket_address_new_from_native((gpointer)native, len);
  if (!G_IS_INET_SOCKET_ADDRESS(address))
    return g_strdup("");
  return g_inet_address_to_string(g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address)));
}

static void register_connection(Listener *listener, int fd, const struct sockaddr_storage *remote,
                                socklen_t remote_len) {
  FkServer *server = listener->server;
  FkConnection *connection =
      fk_connection_new(fd, remote, listener->address, &listener->handler, &server->owner);
  struct epoll_event event = {.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, .data.ptr = connection};
  if (epoll_ctl(server->epoll.fd, EPOLL_CTL_ADD, fd, &event) < 0) {
    fk_connection_abandon(connection);
    return;
  }
  g_hash_table_add(server->connections, connection);
  g_autofree char *address = address_text(remote, remote_len);
  fk_connection_admit(connection, address);
  evict(server);
}

/* Pauses accepting after an error, which is logged at most once per ACCEPT_WARNING_INTERVAL_US. Usually no
 * file descriptor is free, because the system's limit is lower than the one that admission control assumes.
 * Pending clients are accepted when a connection is closed, or after ACCEPT_PAUSE_US. Retrying at once would
 * only use CPU time. */
static void on_accept_failed(FkServer *server, int error) {
  gint64 now = now_us();
  if (!server->accept_warned_us || now >= server->accept_warned_us + ACCEPT_WARNING_INTERVAL_US) {
    g_warning("accept failed error=\"%s\"", g_strerror(error));
    server->accept_warned_us = now;
  }
  server->accept_paused_us = now;
  pause_accepting(server, TRUE);
}

static void accept_all(Listener *listener) {
  for (;;) {
    struct sockaddr_storage remote;
    socklen_t len = sizeof remote;
    int fd = accept4(listener->poll.fd, (struct sockaddr *)&remote, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      register_connection(listener, fd, &remote, len);
    } else if (errno != EINTR && errno != ECONNABORTED) {
      if (errno != EAGAIN)
        on_accept_failed(listener->server, errno);
      return;
    }
  }
}

/* ------------------------------------------------------------------ main loop source */

static gboolean server_prepare(GSource *source, gint *timeout) {
  FkServer *server = (FkServer *)source;
  flush_all(server);
  if (has_complete(server)) {
    *timeout = 0; /* requests wait to be released: check for further events without waiting */
    return FALSE;
  }
  gint64 deadline = fk_admission_next_deadline_us(server->admission);
  if (server->accept_paused)
    deadline = MIN(deadline, server->accept_paused_us + ACCEPT_PAUSE_US);
  gint64 wait_ms = deadline == G_MAXINT64 ? -1 : MAX(0, deadline - now_us()) / 1000 + 1;
  *timeout = (gint)MIN(wait_ms, POLL_TIMEOUT_MAX_MS);
  return FALSE;
}

/* Does the work that would usually be in dispatch. The streams' sources are checked after this one, so
 * requests that are released here are handled in the same iteration. */
static gboolean server_check(GSource *source) {
  FkServer *server = (FkServer *)source;
  if (server->accept_paused && now_us() >= server->accept_paused_us + ACCEPT_PAUSE_US)
    pause_accepting(server, FALSE);
  for (guint i = 0; i < server->listeners->len; i++) {
    Listener *listener = server->listeners->pdata[i];
    if ((listener->poll.revents & G_IO_IN) && !server->accept_paused)
      accept_all(listener);
  }
  if (server->epoll.revents)
    poll_connections(server);
  else if (fk_admission_next_deadline_us(server->admission) <= now_us())
    evict(server);
  release_complete(server);
  return !g_queue_is_empty(&server->unserved);
}

static gboolean server_dispatch(GSource *source, GSourceFunc callback, gpointer data) {
  FkServer *server = (FkServer *)source;
  FkConnection *connection;
  while ((connection = g_queue_pop_head(&server->unserved))) {
    const FkListenerHandler *handler = fk_connection_handler(connection);
    g_autoptr(GSocketAddress) remote = fk_connection_remote_address(connection);
    g_autoptr(GIOStream) stream = fk_stream_new(connection);
    handler->serve(handler->data, stream, fk_connection_local_address(connection), remote);
    fk_connection_unref(connection);
  }
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs server_funcs = {
    .prepare = server_prepare, .check = server_check, .dispatch = server_dispatch};

/* ------------------------------------------------------------------ the server */

static void listener_free(gpointer data) {
  Listener *listener = data;
  g_clear_object(&listener->socket);
  g_clear_object(&listener->address);
  g_free(listener);
}

FkServer *fk_server_new(const FkAdmissionLimits *limits) {
  FkServer *server = (FkServer *)g_source_new(&server_funcs, sizeof(FkServer));
  server->admission = fk_admission_new(limits);
  server->owner = (FkConnectionOwner){.admission = server->admission,
                                      .request_complete = on_request_complete,
                                      .output_pending = on_output_pending,
                                      .socket_closed = on_socket_closed,
                                      .removed = on_removed,
                                      .server = server};
  server->listeners = g_ptr_array_new_with_free_func(listener_free);
  server->flush_list = g_ptr_array_new();
  server->connections = g_hash_table_new_full(NULL, NULL, (GDestroyNotify)fk_connection_unref, NULL);
  server->epoll = (GPollFD){.fd = epoll_create1(EPOLL_CLOEXEC), .events = G_IO_IN};
  g_source_add_poll(&server->source, &server->epoll);
  g_source_set_name(&server->source, "server");
  g_source_attach(&server->source, g_main_context_get_thread_default());
  return server;
}

static void detach_all(FkServer *server) {
  GHashTableIter iter;
  gpointer connection;
  g_hash_table_iter_init(&iter, server->connections);
  while (g_hash_table_iter_next(&iter, &connection, NULL))
    fk_connection_detach(connection); /* a stream that a handler still holds has its own reference */
}

void fk_server_free(FkServer *server) {
  if (!server)
    return;
  flush_all(server);
  g_source_destroy(&server->source);
  g_queue_clear_full(&server->unserved, (GDestroyNotify)fk_connection_unref);
  for (guint class = 0; class < FK_REQUEST_CLASSES; class ++)
    g_queue_clear_full(&server->complete[class], (GDestroyNotify)fk_connection_unref);
  detach_all(server);
  g_hash_table_unref(server->connections);
  g_ptr_array_unref(server->listeners);
  g_ptr_array_unref(server->flush_list);
  close(server->epoll.fd);
  fk_admission_free(server->admission);
  g_source_unref(&server->source);
}

static GSocket *open_socket(const char *host_port, guint backlog, GError **error) {
  const char *colon = strrchr(host_port, ':');
  g_autofree char *host = g_strndup(host_port, (gsize)(colon - host_port));
  guint port = (guint)g_ascii_strtoull(colon + 1, NULL, 10);
  g_autoptr(GSocketAddress) address = g_inet_socket_address_new_from_string(host, port);
  g_autoptr(GSocket) socket =
      g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  if (!socket)
    return NULL;
  g_socket_set_listen_backlog(socket, (gint)backlog);
  if (!g_socket_bind(socket, address, TRUE, error) || !g_socket_listen(socket, error))
    return NULL;
  return g_steal_pointer(&socket);
}

GSocket *fk_server_listen(FkServer *server, const char *address, const FkListenerHandler *handler,
                          GError **error) {
  GSocket *socket = open_socket(address, fk_admission_limits(server->admission)->backlog, error);
  if (!socket) {
    g_prefix_error(error, "%s: ", address);
    return NULL;
  }
  Listener *listener = g_new0(Listener, 1);
  listener->server = server;
  listener->handler = *handler;
  listener->socket = socket;
  listener->address = g_socket_get_local_address(socket, NULL);
  listener->poll = (GPollFD){.fd = g_socket_get_fd(socket), .events = G_IO_IN};
  g_ptr_array_add(server->listeners, listener);
  g_source_add_poll(&server->source, &listener->poll);
  return listener->socket;
}

const FkAdmission *fk_server_admission(const FkServer *server) { return server->admission; }
