#include "simulation/scale/http_stand_in.h"

#include <errno.h>
#include <glib-unix.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 128
#define ACCEPTS_PER_ITERATION 64

static GSocketAddress *parse_address(const char *addr, GError **error) {
  g_auto(GStrv) parts = g_strsplit(addr, ":", 2);
  guint64 port;
  if (!parts[0] || !parts[1] || !g_ascii_string_to_unsigned(parts[1], 10, 1, 65535, &port, error))
    return NULL;
  return g_inet_socket_address_new_from_string(parts[0], (guint)port);
}

SoupServer *fk_stand_in_serve(const char *addr, FkStandInHandler handler, gpointer data, GError **error) {
  g_autoptr(GSocketAddress) address = parse_address(addr, error);
  g_autoptr(SoupServer) server = soup_server_new("server-header", "stand-in", NULL);
  soup_server_add_handler(server, NULL, handler, data, NULL);
  if (!address || !soup_server_listen(server, address, 0, error)) {
    g_prefix_error(error, "%s: ", addr);
    return NULL;
  }
  return g_steal_pointer(&server);
}

/* ------------------------------------------------------------------ a server on many addresses */

struct FkStandInListener {
  SoupServer *server;
  int epoll;
};

static void serve_connection(FkStandInListener *listener, int fd) {
  g_autoptr(GError) error = NULL;
  g_autoptr(GSocket) socket = g_socket_new_from_fd(fd, &error);
  if (!socket) {
    close(fd);
    return;
  }
  g_autoptr(GSocketConnection) connection = g_socket_connection_factory_create_connection(socket);
  g_autoptr(GSocketAddress) local = g_socket_get_local_address(socket, NULL),
                            remote = g_socket_get_remote_address(socket, NULL);
  if (!soup_server_accept_iostream(listener->server, G_IO_STREAM(connection), local, remote, &error))
    g_warning("connection not served error=%s", error->message);
}

static gboolean on_readable(int epoll, GIOCondition condition, gpointer data) {
  struct epoll_event ready[ACCEPTS_PER_ITERATION];
  int n = epoll_wait(epoll, ready, G_N_ELEMENTS(ready), 0);
  for (int i = 0; i < n; i++) {
    /* cppcheck-suppress nullPointer ; the peer's address isn't needed */
    int fd = accept4(ready[i].data.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0)
      serve_connection(data, fd);
  }
  return G_SOURCE_CONTINUE;
}

FkStandInListener *fk_stand_in_listener_new(FkStandInHandler handler, gpointer data) {
  FkStandInListener *listener = g_new0(FkStandInListener, 1);
  listener->epoll = epoll_create1(EPOLL_CLOEXEC);
  listener->server = soup_server_new("server-header", "stand-in", NULL);
  soup_server_add_handler(listener->server, NULL, handler, data, NULL);
  g_unix_fd_add(listener->epoll, G_IO_IN, on_readable, listener);
  return listener;
}

int fk_stand_in_listener_add(FkStandInListener *listener, const char *addr, GError **error) {
  g_autoptr(GSocketAddress) address = parse_address(addr, error);
  g_autoptr(GSocket) socket =
      address ? g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error) : NULL;
  if (!socket)
    return -1;
  g_socket_set_listen_backlog(socket, BACKLOG);
  if (!g_socket_bind(socket, address, TRUE, error) || !g_socket_listen(socket, error)) {
    g_prefix_error(error, "%s: ", addr);
    return -1;
  }
  int fd = dup(g_socket_get_fd(socket));
  struct epoll_event wanted = {.events = EPOLLIN, .data.fd = fd};
  if (fd < 0 || epoll_ctl(listener->epoll, EPOLL_CTL_ADD, fd, &wanted) < 0) {
    g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(errno), "%s: %s", addr, g_strerror(errno));
    return -1;
  }
  return fd;
}

void fk_stand_in_listener_remove(int descriptor) {
  if (descriptor >= 0)
    close(descriptor);
}

/* ------------------------------------------------------------------ requests */

char *fk_stand_in_local_addr(SoupServerMessage *message) {
  GInetSocketAddress *local = G_INET_SOCKET_ADDRESS(soup_server_message_get_local_address(message));
  g_autofree char *host = g_inet_address_to_string(g_inet_socket_address_get_address(local));
  return g_strdup_printf("%s:%u", host, g_inet_socket_address_get_port(local));
}

const char *fk_stand_in_request_body(SoupServerMessage *message, gsize *len) {
  const SoupMessageBody *body = soup_server_message_get_request_body(message);
  *len = (gsize)body->length;
  return body->data ? body->data : "";
}

const char *fk_stand_in_query(GHashTable *query, const char *name) {
  const char *value = query ? g_hash_table_lookup(query, name) : NULL;
  return value ? value : "";
}

void fk_stand_in_respond(SoupServerMessage *message, guint status, char *body) {
  soup_server_message_set_status(message, status, NULL);
  soup_server_message_set_response(message, "application/json", SOUP_MEMORY_TAKE, body, strlen(body));
}
