/* The cost of freeing capacity for a task by stopping tasks of a lower priority, and the machine on which
 * this cost is lowest. Costs are core-seconds of lost work. */
#pragma once
#include "core/controller_internal.h"

/* Returns the work (core-seconds) that is lost if a task that has run since `since` is stopped: all work
 * since then or, if the task writes checkpoints, at most the work of one checkpoint interval. */
double fk_preemption_work_lost(FkController *c, const FkSpec *spec, FkTime since);

/* Returns the machine on which the cost of placing a task of the job is lowest and below `cost_max`; NULL if
 * there is none. A machine without the job's image costs 1000 core-seconds more. With `immediate_only`, the
 * victims are at most three tasks of arrays that stop without delay. `victims` is overwritten with the tasks
 * to stop on the returned machine (FkAllocationRef). */
FkMachine *fk_preemption_best_machine(FkController *c, const FkJob *job, GPtrArray *machines,
                                      gboolean immediate_only, double cost_max, GArray *victims);
