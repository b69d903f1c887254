/* Dispatches the core's outputs: sends replies to the requests of users and workers, and passes each call to
 * the client for the store, the cloud, a peer or a worker. */
#include "daemon/daemon_internal.h"

static void dispatch_output(FkDaemon *daemon, FkOutput *output) {
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

void fk_daemon_dispatch_outputs(FkDaemon *daemon) {
  if (daemon->dispatching_outputs)
    return;
  daemon->dispatching_outputs = TRUE;
  FkOutput *output;
  while ((output = fk_controller_next_output(daemon->core)))
    dispatch_output(daemon, output);
  daemon->dispatching_outputs = FALSE;
}
