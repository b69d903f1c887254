/* flaxknot serve: runs a controller, and the build cache in the same process if the cache is switched on. */
#include <stdio.h>

#include "cmd/commands.h"
#include "cmd/settings_files.h"
#include "daemon/daemon.h"
#include "daemon/remote_execution.h"

FkExitStatus fk_cmd_serve(const FkSettingsFiles *files) {
  g_autoptr(FkSettings) settings = NULL;
  g_autoptr(FkRemoteExecutionSettings) remote_execution_settings = NULL;
  g_autoptr(GError) error = NULL;
  if (!fk_settings_files_load(files, &settings, &remote_execution_settings, &error)) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return FK_EXIT_STATUS_FAILED;
  }
  FkDaemon *daemon = fk_daemon_new(settings, &error);
  if (!daemon) {
    fprintf(stderr, "flaxknot: %s\n", error->message);
    return FK_EXIT_STATUS_FAILED;
  }
  FkRemoteExecution *remote_execution =
      remote_execution_settings ? fk_remote_execution_start(remote_execution_settings, &error) : NULL;
  if (remote_execution_settings && !remote_execution) {
    fprintf(stderr, "flaxknot: remote execution: %s\n", error->message);
    fk_daemon_free(daemon);
    return FK_EXIT_STATUS_FAILED;
  }
  fk_daemon_run(daemon);
  fk_remote_execution_stop(remote_execution);
  fk_daemon_free(daemon);
  return FK_EXIT_STATUS_OK;
}
