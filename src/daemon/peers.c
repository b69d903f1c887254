/* Queries between controllers. A query asks how far the other controller has followed the store's changes. */
#include "daemon/daemon_internal.h"
#include "wire/peer.h"
#include "wire/user.h"

#define CALL_DEADLINE_S 1.5

/* Handles a peer's response. An FkHttpCallback. */
static void on_response(gpointer data, guint status, const char *body, gsize len) {
  FkPendingCall *call = data;
  FkDaemon *daemon = call->daemon;
  const char *peer = call->output->name;
  gpointer dependency;
  FkPeerProgress progress;
  if (g_hash_table_lookup_extended(daemon->peers.dependencies, peer, NULL, &dependency))
    fk_daemon_record_dependency(daemon, GPOINTER_TO_UINT(dependency), status);
  g_autoptr(cJSON) json = status == 200 ? fk_json_parse(body, len) : NULL;
  if (fk_peer_parse_progress(json, &progress))
    fk_controller_peer_progress_received(daemon->core, fk_daemon_now(), peer, progress.incarnation,
                                         progress.seen, progress.applied, progress.store_age_s,
                                         call->sent_at);
  fk_pending_call_finish(call);
}

void fk_peer_client_send(FkDaemon *daemon, FkOutput *output) {
  fk_http_client_call(daemon->peers.http, "GET", output->addr, FK_PEER_PROGRESS_PATH, NULL, CALL_DEADLINE_S,
                      on_response, fk_pending_call_new(daemon, output));
}

void fk_daemon_on_peer_request(SoupServer *server, SoupServerMessage *message, const char *path,
                               GHashTable *query, gpointer data) {
  FkDaemon *daemon = data;
  if (!g_str_equal(path, FK_PEER_PROGRESS_PATH) ||
      !g_str_equal(soup_server_message_get_method(message), "GET")) {
    fk_daemon_respond(message, 404, fk_user_print_error("no such path"), 0);
    return;
  }
  FkPeerProgress progress;
  progress.incarnation = fk_controller_store_progress(daemon->core, fk_daemon_now(), &progress.seen,
                                                      &progress.applied, &progress.store_age_s);
  fk_daemon_respond(message, 200, fk_peer_print_progress(&progress), 0);
}
