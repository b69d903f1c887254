/* Starvation: which classes of jobs and which teams get less than half of what they have requested. Every
 * controller checks it once a second; the scheduling queue raises the priority of the affected jobs. */
#pragma once
#include "core/controller_internal.h"

/* Recomputes the service levels and which of them starve, at most once a second. */
void fk_starvation_tick(FkController *c);
/* Logs a line for each class, for the largest jobs of each class and for each team, unless it has no live
 * jobs: at level message if it starves, otherwise at level info. */
void fk_starvation_log(FkController *c);
/* Returns whether the job is one of the largest of its class, and the largest jobs of the class starve. */
gboolean fk_starvation_affects_largest(FkController *c, const FkJob *job);
/* Returns whether the job's class starves. */
gboolean fk_starvation_affects_class(FkController *c, const FkJob *job);
/* Returns whether the job's priority is raised: its class or team starves and runs on less than the floor, a
 * share of `cluster_cpus`. */
gboolean fk_starvation_raises_priority(FkController *c, const FkJob *job, double cluster_cpus);
