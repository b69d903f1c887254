/* What it would cost to make capacity for a task by stopping tasks of a lower priority, and on which machine
 * it costs least. Costs are in core-seconds of work lost. */
#pragma once
#include "core/controller_internal.h"

/* Work that is lost when a task that has run since then is stopped: all of it, or what it has done since its
 * last checkpoint at most. */
double fk_preemption_work_lost(FkController *c, const FkSpec *spec, FkTime since);

/* The machine on which a task of the job costs least, among those where it costs less than `cost_max`; NULL:
 * there is none. A machine without the job's image counts as 1000 core-seconds more. `immediate_only`: only
 * tasks that stop as soon as they are asked, and a few of them. Whom to stop is put into `victims`
 * (FkAllocationRef), in place of what it held. */
FkMachine *fk_preemption_best_machine(FkController *c, const FkJob *job, GPtrArray *machines,
                                      gboolean immediate_only, double cost_max, GArray *victims);
