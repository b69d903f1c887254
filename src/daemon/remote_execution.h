/* Serves the build cache (remote_execution/cache_service.h) in a separate thread with its own main context,
 * so that disk I/O never blocks the scheduler. */
#pragma once
#include "remote_execution/settings.h"

typedef struct FkRemoteExecution FkRemoteExecution;

/* Starts the server. `settings` is borrowed and must outlive the server. Returns NULL and an error if the
 * directory, the keys file or the address can't be used. */
FkRemoteExecution *fk_remote_execution_start(const FkRemoteExecutionSettings *settings, GError **error);
/* Ends the thread, closes all connections and frees the server; calls and uploads in progress are aborted.
 * `server` may be NULL. */
void fk_remote_execution_stop(FkRemoteExecution *server);
