/* Sends commands directly to a worker, instead of with the reply to the worker's next heartbeat. */
#include "daemon/daemon_internal.h"
#include "wire/worker.h"

#define CALL_DEADLINE_S 2.0

/* Handles a worker's response. If the status is 200, or 409 (the worker rejected the commands), the body is a
 * heartbeat. An FkHttpCallback. */
static void on_response(gpointer data, guint status, const char *body, gsize len) {
  FkPendingCall *call = data;
  FkDaemon *daemon = call->daemon;
  FkCpuPurpose previous = fk_daemon_profile_enter(daemon, FK_CPU_HEARTBEATS);
  FkHeartbeat *heartbeat = status == 200 || status == 409 ? fk_worker_parse_heartbeat(body, len) : NULL;
  fk_controller_command_reply_received(daemon->core, fk_daemon_now(), call->output->call,
                                       fk_outcome_from_status(status), heartbeat);
  fk_daemon_profile_leave(daemon, previous);
  fk_pending_call_finish(call);
}

void fk_worker_client_send(FkDaemon *daemon, FkOutput *output) {
  g_autofree char *body = fk_worker_print_commands(output);
  fk_http_client_call(daemon->workers, "POST", output->addr, "/commands", body, CALL_DEADLINE_S, on_response,
                      fk_pending_call_new(daemon, output));
}
