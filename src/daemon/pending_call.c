/* Calls to other services that are in progress, and the interpretation of the calls' HTTP statuses. */
#include "daemon/daemon_internal.h"

FkPendingCall *fk_pending_call_new(FkDaemon *daemon, FkOutput *output) {
  FkPendingCall *call = g_new0(FkPendingCall, 1);
  *call = (FkPendingCall){daemon, output, fk_daemon_now()};
  return call;
}

FkOutput *fk_pending_call_steal_output(FkPendingCall *call) {
  FkOutput *output = call->output;
  g_free(call);
  return output;
}

void fk_pending_call_finish(FkPendingCall *call) {
  FkDaemon *daemon = call->daemon;
  fk_output_free(fk_pending_call_steal_output(call));
  fk_daemon_dispatch_outputs(daemon);
}

FkOutcome fk_outcome_from_status(guint status) {
  switch (status) {
  case 200:
    return FK_OUTCOME_OK;
  case 409:
    return FK_OUTCOME_CONFLICT;
  case 400:
    return FK_OUTCOME_INVALID;
  case 404:
  case 410:
    return FK_OUTCOME_GONE;
  case 429:
  case 503:
    return FK_OUTCOME_REFUSED;
  default:
    return FK_OUTCOME_UNKNOWN;
  }
}
