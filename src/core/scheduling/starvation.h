/* Starvation: finds the classes of jobs and the teams whose service level (fair_share/service_level.h) is too
 * low. Every controller checks the service levels once a second; the scheduling queue raises the priority of
 * affected jobs. */
#pragma once
#include "core/controller_internal.h"

/* Recomputes the service levels and whether any of them is starved, at most once a second. */
void fk_starvation_tick(FkController *c);
/* Logs a line for each class, for the largest jobs of each class and for each team, except those without live
 * jobs. The level is message if the class or team starves, otherwise info. */
void fk_starvation_log(FkController *c);
/* Returns whether the job is one of the largest of its class, and the largest jobs of the class starve. */
gboolean fk_starvation_affects_largest(FkController *c, const FkJob *job);
/* Returns whether the job's class starves. */
gboolean fk_starvation_affects_class(FkController *c, const FkJob *job);
/* Returns whether the job's priority is raised: its class or team starves and has fewer allocated CPUs than
 * FK_SERVICE_FLOOR_SHARE of `cluster_cpus`. */
gboolean fk_starvation_raises_priority(FkController *c, const FkJob *job, double cluster_cpus);
