/* Serves the build tools' cache (remote_execution/cache_service.h) in a thread of its own with a main context
 * of its own, so that the disk never holds up the scheduler. */
#pragma once
#include "remote_execution/settings.h"

typedef struct FkRemoteExecution FkRemoteExecution;

/* Listens and serves from now on. NULL and an error when the directory, the keys or the address can't be had.
 * `settings` is kept by reference. */
FkRemoteExecution *fk_remote_execution_start(const FkRemoteExecutionSettings *settings, GError **error);
/* Ends the thread and closes all connections; what is half done is given up. NULL is fine. */
void fk_remote_execution_stop(FkRemoteExecution *server);
