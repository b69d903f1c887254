/* When machines are expected to have capacity for a task, judging by what runs there now. */
#pragma once
#include "core/controller_internal.h"

/* Most tasks end within this multiple of their expected run time. */
#define FK_RUN_TIME_MARGIN 1.5

/* Returns the expected seconds until the machine has capacity for a task of `spec` if nothing more is placed
 * on the machine; G_MAXDOUBLE if its expected releases don't suffice. Services are never expected to end
 * unless they are stopping. Other tasks are expected to end after `run_time_margin` times their expected run
 * time. One that has run for longer is expected to run on for as long as it is overdue. */
double fk_machine_available_in_s(FkController *c, const FkMachine *machine, const FkSpec *spec,
                                 double run_time_margin);
