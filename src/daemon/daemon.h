/* The controller as a process: the core's inputs come from sockets, timers and clocks, and its outputs go to
 * the other services. */
#pragma once
#include "core/controller.h"

typedef struct FkDaemon FkDaemon;

/* Listens and runs the core's first tick. `settings` is kept by reference. NULL: an address can't be listened
 * on, and `error` says which. */
FkDaemon *fk_daemon_new(const FkSettings *settings, GError **error);
/* Runs the main loop until the process is killed. One daemon a process. */
void fk_daemon_run(FkDaemon *daemon);
/* NULL is fine. */
void fk_daemon_free(FkDaemon *daemon);
