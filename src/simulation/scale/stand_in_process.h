/* The life of a stand-in's process. */
#pragma once
#include "simulation/scale/plan.h"

/* Runs the default main loop until the plan's duration is over, and a moment longer. */
void fk_stand_in_run(const FkScalePlan *plan);
/* Prints that the process couldn't start; returns its exit status. `error` may be NULL. */
int fk_stand_in_start_failed(const char *process, const GError *error);
