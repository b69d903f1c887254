/* Copies of direct commands. After a restart, the commands that a worker had executed before reach it once
 * more; it executes those whose token and incarnation match. */
#pragma once
#include "simulation/scale/simulated_workers.h"

/* Remembers the body of direct commands that the worker has executed. */
void fk_late_copies_remember(FkSimulatedWorker *worker, const char *body, gsize len);
/* Lets what the worker had executed before its restart reach it again, seconds after it is back. */
void fk_late_copies_schedule(FkSimulatedWorkers *workers, FkSimulatedWorker *worker);
