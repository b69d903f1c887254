/* The shell round the core: sockets, timers and clocks. */
#pragma once
#include "core/controller.h"

typedef struct FkShell FkShell;
FkShell *fk_shell_new(const FkSettings *s, GError **error);
/* Until the process is killed. */
void fk_shell_run(FkShell *s);
void fk_shell_free(FkShell *s);
