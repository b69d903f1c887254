/* The plan's faults of machines: rack and zone failures, restarts, and churn. */
#pragma once
#include "simulation/scale/simulated_workers.h"

/* Schedules them; the workers of the start must exist. */
void fk_worker_faults_schedule(FkSimulatedWorkers *workers);
