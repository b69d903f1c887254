#include "net/soup_listener.h"

static void accept_stream(gpointer data, GIOStream *stream, GSocketAddress *local, GSocketAddress *remote) {
  g_autoptr(GError) error = NULL;
  if (!soup_server_accept_iostream(data, stream, local, remote, &error))
    g_warning("door: %s", error->message);
}

/* A server that listens nowhere closes each connection after one answer, whatever the client asked for. So it
 * is shown the door's own socket, in a main context that is never run: it believes that it listens, and
 * accepts nothing. */
static gboolean register_socket(SoupServer *server, GSocket *socket, GError **error) {
  g_autoptr(GMainContext) nowhere = g_main_context_new();
  g_main_context_push_thread_default(nowhere);
  gboolean done = soup_server_listen_socket(server, socket, 0, error);
  g_main_context_pop_thread_default(nowhere);
  return done;
}

gboolean fk_soup_listener_open(FkServer *d, SoupServer *server, const char *where, FkConnectionClass guest,
                               FkRequestClass (*ask)(const char *method, const char *path),
                               char *(*refusal)(const char *why), GError **error) {
  const FkListenerHandler keeper = {FALSE, guest, ask, refusal, accept_stream, server};
  GSocket *socket = fk_server_listen(d, where, &keeper, error);
  return socket && register_socket(server, socket, error);
}
