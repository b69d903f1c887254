/* The short path: batch sampling with late binding. Each controller places short jobs on the machines that it
 * owns. Waiting jobs add probes to the queues of sampled machines. A machine with free capacity takes tasks
 * of the jobs in its queue. */
#pragma once
#include "core/scheduling/launch_batch.h"

/* Adds tasks of short jobs to the batch, as many as can be placed. `jobs` are in queue order. */
void fk_short_path_place(FkController *c, FkLaunchBatch *batch, GPtrArray *jobs);
