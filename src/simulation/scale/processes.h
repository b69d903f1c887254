/* The processes of a run: started, measured, hit by the plan's faults, and all ended again. */
#pragma once
#include "simulation/scale/plan.h"

typedef struct FkProcesses FkProcesses;

/* Starts them all; NULL: one couldn't be, and what had been started is ended. */
FkProcesses *fk_processes_start(const FkScalePlan *p, GError **error);
/* Runs until the plan is over. NULL, or what went wrong before that (to be freed): a process that ended by
 * itself, a controller that didn't come up, too much memory. */
char *fk_processes_run(FkProcesses *ps);
/* Ends what still runs, and waits for it; the stand-ins of a run that is over write their last lines. */
void fk_processes_stop(FkProcesses *ps);
void fk_processes_free(FkProcesses *ps);
/* The most that all had together at a moment. */
double fk_processes_peak_memory_mb(const FkProcesses *ps);
guint fk_processes_count(const FkProcesses *ps);
