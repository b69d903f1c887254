/* The processes of a scale run: started, watched, hit by the plan's faults of controllers, and stopped. */
#pragma once
#include "simulation/scale/plan.h"

typedef struct FkProcesses FkProcesses;

/* Starts all processes; NULL with an error when one couldn't be started (the others are killed). */
FkProcesses *fk_processes_start(const FkScalePlan *plan, GError **error);
/* Runs the main loop until the plan's duration is over. NULL, or why the run was aborted, to be freed: a
 * process exited, a controller didn't become ready, or the memory limit was exceeded. */
char *fk_processes_run(FkProcesses *processes);
/* Kills what still runs and waits for it. After a whole run, stand-ins first get time to write their last
 * lines. */
void fk_processes_stop(FkProcesses *processes);
/* Kills what still runs. */
void fk_processes_free(FkProcesses *processes);
/* Highest total resident memory of all processes. */
double fk_processes_peak_memory_mb(const FkProcesses *processes);
guint fk_processes_count(const FkProcesses *processes);
