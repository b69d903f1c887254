/* Prints the result of a scale run and writes its summary.json. */
#pragma once
#include "simulation/scale/processes.h"
#include "simulation/scale/summary.h"

/* Returns the exit status of the run. */
int fk_scale_report(const FkScalePlan *plan, FkScaleSummary *summary, const FkProcesses *processes);
