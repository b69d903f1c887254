#include "net/soup_listener.h"

static void hand_over(gpointer data, GIOStream *stream, GSocketAddress *local, GSocketAddress *remote) {
  g_autoptr(GError) error = NULL;
  if (!soup_server_accept_iostream(data, stream, local, remote, &error))
    g_warning("door: %s", error->message);
}

/* A server that listens nowhere closes each connection after one answer, whatever the client asked for. So it
 * is shown the door's own socket, in a main context that is never run: it believes that it listens, and
 * accepts nothing. */
static gboolean make_believe(SoupServer *server, GSocket *socket, GError **error) {
  g_autoptr(GMainContext) nowhere = g_main_context_new();
  g_main_context_push_thread_default(nowhere);
  gboolean done = soup_server_listen_socket(server, socket, 0, error);
  g_main_context_pop_thread_default(nowhere);
  return done;
}

gboolean fk_soup_door_listen(FkDoor *d, SoupServer *server, const char *where, FkGuest guest,
                             FkAsk (*ask)(const char *method, const char *path),
                             char *(*refusal)(const char *why), GError **error) {
  const FkDoorKeeper keeper = {FALSE, guest, ask, refusal, hand_over, server};
  GSocket *socket = fk_door_listen(d, where, &keeper, error);
  return socket && make_believe(server, socket, error);
}
