#include "net/soup_listener.h"

static void accept_stream(gpointer data, GIOStream *stream, GSocketAddress *local, GSocketAddress *remote) {
  SoupServer *soup_server = data;
  g_autoptr(GError) error = NULL;
  if (!soup_server_accept_iostream(soup_server, stream, local, remote, &error))
    g_warning("connection not served error=\"%s\"", error->message);
}

/* Makes a SoupServer treat itself as listening without accepting connections. A SoupServer without a listener
 * closes each connection after one response, even if the client asked to keep it open. This SoupServer
 * therefore gets the real listening socket, but in a main context that is never run. */
static gboolean listen_without_accepting(SoupServer *soup_server, GSocket *socket, GError **error) {
  g_autoptr(GMainContext) never_run = g_main_context_new();
  g_main_context_push_thread_default(never_run);
  gboolean done = soup_server_listen_socket(soup_server, socket, 0, error);
  g_main_context_pop_thread_default(never_run);
  return done;
}

gboolean fk_soup_listener_open(FkServer *server, SoupServer *soup_server, const char *address,
                               FkConnectionClass connection_class,
                               FkRequestClass (*classify)(const char *method, const char *path),
                               char *(*rejection_body)(const char *reason), GError **error) {
  const FkListenerHandler handler = {.connection_class = connection_class,
                                     .classify = classify,
                                     .rejection_body = rejection_body,
                                     .serve = accept_stream,
                                     .data = soup_server};
  GSocket *socket = fk_server_listen(server, address, &handler, error);
  return socket && listen_without_accepting(soup_server, socket, error);
}
