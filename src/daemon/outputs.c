/* Dispatches each output of the core to the client of the service that it is for. */
#include "daemon/daemon_internal.h"

static void run_output(FkDaemon *daemon, FkOutput *output) {
  switch (output->kind) {
  case FK_OUTPUT_USER_REPLY:
  case FK_OUTPUT_HEARTBEAT_REPLY:
    fk_daemon_reply(daemon, output);
    fk_output_free(output);
    break;
  case FK_OUTPUT_COMMIT:
  case FK_OUTPUT_GET:
  case FK_OUTPUT_LIST:
  case FK_OUTPUT_WATCH:
  case FK_OUTPUT_LEASE_GRANT:
  case FK_OUTPUT_LEASE_KEEPALIVE:
    fk_store_client_send(daemon, output);
    break;
  case FK_OUTPUT_PEER_QUERY:
    fk_peer_client_send(daemon, output);
    break;
  case FK_OUTPUT_COMMANDS:
    fk_worker_client_send(daemon, output);
    break;
  case FK_OUTPUT_LIST_INSTANCE_TYPES:
  case FK_OUTPUT_LIST_MACHINES:
  case FK_OUTPUT_PROVISION:
  case FK_OUTPUT_TERMINATE:
    fk_cloud_client_send(daemon, output);
    break;
  }
}

void fk_daemon_run_outputs(FkDaemon *daemon) {
  if (daemon->running_outputs)
    return;
  daemon->running_outputs = TRUE;
  FkOutput *output;
  while ((output = fk_controller_next_output(daemon->core)))
    run_output(daemon, output);
  daemon->running_outputs = FALSE;
}
