/* The shell round the core: sockets, timers and clocks. */
#pragma once
#include "core/controller.h"

typedef struct FkDaemon FkDaemon;
FkDaemon *fk_daemon_new(const FkSettings *s, GError **error);
/* Until the process is killed. */
void fk_daemon_run(FkDaemon *s);
void fk_daemon_free(FkDaemon *s);
