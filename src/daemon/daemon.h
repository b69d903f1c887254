/* The controller as a process. Passes input from sockets, timers and clocks to the core, and carries out the
 * core's outputs: replies to users and workers, and calls to other services. */
#pragma once
#include "core/controller.h"

typedef struct FkDaemon FkDaemon;

/* Opens the listening sockets and runs the core's first tick. `settings` is borrowed and must outlive the
 * daemon. Returns NULL and an error that names the address if listening on an address fails. */
FkDaemon *fk_daemon_new(const FkSettings *settings, GError **error);
/* Runs the main loop until the process is killed. A process may run only one daemon. */
void fk_daemon_run(FkDaemon *daemon);
/* Frees the daemon; `daemon` may be NULL. */
void fk_daemon_free(FkDaemon *daemon);
