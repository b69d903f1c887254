/* Serves the API requests of users and workers, and health checks. Valid requests of users and workers are
 * passed to the core, which replies either immediately or later. */
#include <string.h>

#include "daemon/daemon_internal.h"
#include "daemon/log.h"
#include "wire/route.h"
#include "wire/user.h"
#include "wire/worker.h"

#define HEALTH_RETRY_AFTER_S 1
#define LOGGED_BODY_BYTES 200
/* Key of a paused message's GObject data. The value is the id of the message's request (guint64). */
#define REQUEST_ID_KEY "fk-request"

/* ------------------------------------------------------------------ responses */

void fk_daemon_respond(SoupServerMessage *message, guint status, char *body, double retry_after_s) {
  SoupMessageHeaders *headers = soup_server_message_get_response_headers(message);
  if (retry_after_s > 0 && status >= 429) {
    g_autofree char *seconds = g_strdup_printf("%d", (int)MAX(1, retry_after_s));
    soup_message_headers_replace(headers, "Retry-After", seconds);
  }
  soup_server_message_set_status(message, status, NULL);
  soup_server_message_set_response(message, "application/json", SOUP_MEMORY_TAKE, body, strlen(body));
}

static void respond_error(SoupServerMessage *message, guint status, const char *reason) {
  fk_daemon_respond(message, status, fk_user_print_error(reason), 0);
}

void fk_daemon_reply(FkDaemon *daemon, const FkOutput *output) {
  FkOpenRequests *requests = &daemon->requests;
  gboolean is_current = requests->current && output->request.n == requests->last_id;
  SoupServerMessage *message =
      is_current ? requests->current : g_hash_table_lookup(requests->paused, &output->request.n);
  if (!message)
    return; /* the client has disconnected */
  gboolean to_worker = output->kind == FK_OUTPUT_HEARTBEAT_REPLY;
  char *body = to_worker ? fk_worker_print_reply(output) : fk_user_print_reply(output);
  fk_daemon_respond(message, (guint)output->status, body, output->retry_s);
  /* Workers' connections are closed after the reply. There are many workers, and each worker sends heartbeats
   * infrequently. Every open connection lengthens each iteration of the main loop, which polls all
   * connections. */
  if (to_worker)
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
  if (is_current) {
    requests->current = NULL;
    return;
  }
  soup_server_message_unpause(message);
  g_hash_table_remove(requests->paused, &output->request.n);
}

/* ------------------------------------------------------------------ open requests */

void fk_open_requests_init(FkOpenRequests *requests) {
  requests->paused = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_object_unref);
}

void fk_open_requests_clear(FkOpenRequests *requests) { g_hash_table_unref(requests->paused); }

static void on_disconnected(SoupServerMessage *message, gpointer data) {
  FkDaemon *daemon = data;
  guint64 *id = g_object_get_data(G_OBJECT(message), REQUEST_ID_KEY);
  if (!id || !g_hash_table_contains(daemon->requests.paused, id))
    return;
  FkRequestId request = {*id};
  g_hash_table_remove(daemon->requests.paused, id);
  fk_controller_request_closed(daemon->core, request);
}

static FkRequestId open_request(FkDaemon *daemon, SoupServerMessage *message) {
  daemon->requests.current = message;
  return (FkRequestId){++daemon->requests.last_id};
}

static void pause_current(FkDaemon *daemon) {
  FkOpenRequests *requests = &daemon->requests;
  SoupServerMessage *message = g_steal_pointer(&requests->current);
  guint64 id = requests->last_id;
  g_hash_table_insert(requests->paused, g_memdup2(&id, sizeof id), g_object_ref(message));
  g_object_set_data_full(G_OBJECT(message), REQUEST_ID_KEY, g_memdup2(&id, sizeof id), g_free);
  g_signal_connect(message, "disconnected", G_CALLBACK(on_disconnected), daemon);
  soup_server_message_pause(message);
}

/* Dispatches the core's queued outputs, which usually include the reply to the current request. Pauses the
 * current request if the core hasn't replied yet. */
static void finish_handling(FkDaemon *daemon) {
  fk_daemon_dispatch_outputs(daemon);
  if (daemon->requests.current)
    pause_current(daemon);
}

/* ------------------------------------------------------------------ handlers */

static void on_health_check(FkDaemon *daemon, SoupServerMessage *message) {
  gboolean is_serving = fk_controller_is_serving(daemon->core, fk_daemon_now());
  fk_daemon_respond(message, is_serving ? 200 : 503, fk_user_print_health(is_serving),
                    is_serving ? 0 : HEALTH_RETRY_AFTER_S);
}

static void on_submission(FkDaemon *daemon, SoupServerMessage *message, const char *body, gsize len) {
  const char *reason = NULL;
  FkCpuPurpose previous = fk_daemon_profile_enter(daemon, FK_CPU_USER_REQUESTS);
  FkSpec *spec = fk_user_parse_submission(body, len, &reason);
  if (spec) {
    FkRequestId request = open_request(daemon, message);
    fk_controller_submission_received(daemon->core, fk_daemon_now(), request, spec);
  } else {
    g_autofree char *text = g_strdup_printf("malformed: %s", reason);
    respond_error(message, 400, text);
  }
  fk_daemon_profile_leave(daemon, previous);
  finish_handling(daemon);
}

static void on_heartbeat(FkDaemon *daemon, SoupServerMessage *message, const char *body, gsize len) {
  FkCpuPurpose previous = fk_daemon_profile_enter(daemon, FK_CPU_HEARTBEATS);
  FkHeartbeat *heartbeat = fk_worker_parse_heartbeat(body, len);
  if (heartbeat) {
    FkRequestId request = open_request(daemon, message);
    fk_controller_heartbeat_received(daemon->core, fk_daemon_now(), request, heartbeat);
  } else {
    g_warning(FK_LOG_MALFORMED_HEARTBEAT "%.*s", (int)MIN(len, LOGGED_BODY_BYTES), body);
    respond_error(message, 400, "malformed report");
  }
  fk_daemon_profile_leave(daemon, previous);
  finish_handling(daemon);
}

static void on_job_request(FkDaemon *daemon, SoupServerMessage *message, FkRoute route, const char *id) {
  if (!fk_user_id_is_valid(id)) {
    respond_error(message, 404, "no such job");
    return;
  }
  FkCpuPurpose previous = fk_daemon_profile_enter(daemon, FK_CPU_USER_REQUESTS);
  FkRequestId request = open_request(daemon, message);
  if (route == FK_ROUTE_CANCEL)
    fk_controller_cancellation_received(daemon->core, fk_daemon_now(), request, id);
  else
    fk_controller_poll_received(daemon->core, fk_daemon_now(), request, id);
  fk_daemon_profile_leave(daemon, previous);
  finish_handling(daemon);
}

void fk_daemon_on_api_request(SoupServer *server, SoupServerMessage *message, const char *path,
                              GHashTable *query, gpointer data) {
  FkDaemon *daemon = data;
  const SoupMessageBody *request = soup_server_message_get_request_body(message);
  const char *body = request->data ? request->data : "";
  gsize len = (gsize)request->length;
  const char *job = NULL;
  gsize job_len = 0;
  FkRoute route = fk_route_match(soup_server_message_get_method(message), path, &job, &job_len);
  g_autofree char *job_id = g_strndup(job, job_len);
  switch (route) {
  case FK_ROUTE_HEALTH:
    on_health_check(daemon, message);
    break;
  case FK_ROUTE_HEARTBEAT:
    on_heartbeat(daemon, message, body, len);
    break;
  case FK_ROUTE_SUBMIT:
    on_submission(daemon, message, body, len);
    break;
  case FK_ROUTE_POLL:
  case FK_ROUTE_CANCEL:
    on_job_request(daemon, message, route, job_id);
    break;
  case FK_ROUTE_WRONG_METHOD:
    respond_error(message, 405, "wrong method");
    break;
  case FK_ROUTE_NONE:
    respond_error(message, 404, "no such path");
    break;
  }
}
