/* The short path: batch sampling with late binding, by each controller on its own machines. Waiting jobs put
 * probes into the queues of sampled machines; a machine with room takes tasks from its queue. */
#pragma once
#include "core/scheduling/launch_batch.h"

/* Adds as many tasks of short jobs to the batch as can be placed. `jobs` are in the order of the queue. */
void fk_short_path_place(FkController *c, FkLaunchBatch *batch, GPtrArray *jobs);
