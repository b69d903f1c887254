/* Starvation: which classes of jobs and which teams get less than half of what they have asked for. Checked
 * once a second by every controller; the scheduling queue raises the priority of those concerned. */
#pragma once
#include "core/controller_internal.h"

/* Recomputes the service levels, once a second. */
void fk_starvation_tick(FkController *c);
/* Logs a line for each class and team; those that starve as a message, the others as information. */
void fk_starvation_log(FkController *c);
/* The job is one of the largest of its class, and these starve. */
gboolean fk_starvation_affects_largest(FkController *c, const FkJob *job);
/* The job's class starves. */
gboolean fk_starvation_affects_class(FkController *c, const FkJob *job);
/* The job's class or team starves, and runs on less than the floor of `cluster_cpus`: its priority is raised.
 */
gboolean fk_starvation_raises_priority(FkController *c, const FkJob *job, double cluster_cpus);
