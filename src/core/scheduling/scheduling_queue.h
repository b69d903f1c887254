/* The scheduling queue: the order in which waiting jobs are placed, which jobs must yield free capacity to
 * others, and each team's fair share. A blocked job is an array of the normal priority or above that lacks
 * nothing but free capacity and that this controller has known for at least a second. */
#pragma once
#include "core/controller_internal.h"

FkSchedulingQueue *fk_scheduling_queue_new(const FkSettings *settings);
void fk_scheduling_queue_free(FkSchedulingQueue *queue);
/* Empties the queue. Called before the view is read from the store again. */
void fk_scheduling_queue_reset(FkSchedulingQueue *queue);

/* Selects the jobs of one scheduling cycle: those with tasks that may start now, in queue order (FkJob,
 * borrowed from the view; the caller frees the array). If there are too many, these are the first jobs of the
 * queue and some of the others in rotation. Also updates the fair shares, the fleet's capacity and the
 * blocked jobs. */
GPtrArray *fk_scheduling_queue_select_jobs(FkController *c);
/* Returns whether a job whose inherited priority is above normal has waiting tasks, quota and no pending
 * retry delay. Long jobs count only on the leader. Free capacity isn't checked. Looks only at the first job
 * of the queue and at the jobs that have changed since the last cycle. FkJob.urgent has another meaning: it
 * marks aged jobs and the largest jobs of starving classes. */
gboolean fk_scheduling_queue_has_high_priority(FkController *c);
/* Returns how many times a job's queue position has been updated so far: a measure of what the cycles
 * cost. */
guint64 fk_scheduling_queue_refreshed_count(const FkSchedulingQueue *queue);
/* Returns whether the job must leave the machine's free capacity to another job: to the holder of a backfill
 * reservation or, if the job's priority is below normal and it is neither urgent nor a service, to a blocked
 * array of normal or higher priority that is expected to be able to use the machine before a task of the job
 * would have ended there. Capacity that a blocked job can't use isn't left to it, and none is left for longer
 * than a minute in which nothing starts or ends on the machine. Without this rule, small tasks of a low
 * priority fill every gap as it opens, and larger ones never start: with 7,000 tasks of two CPUs waiting,
 * arrays of four-CPU tasks waited for 400 s. */
gboolean fk_scheduling_queue_must_yield(FkController *c, const FkJob *job, FkMachine *machine);
/* Returns whether no expensive machine may be provisioned for the job. This applies only to arrays without a
 * deadline whose team has no guarantee and whose class has no objective, and only while at least half of the
 * class is served and the job's priority isn't raised because of starvation. The job may still run on
 * expensive machines that exist. */
gboolean fk_scheduling_queue_is_low_cost_only(FkController *c, const FkJob *job);
/* Returns the team's use, demand and fair share, in CPUs, as of the latest cycle. The team must be in the
 * settings. */
const FkFairShareDemand *fk_scheduling_queue_team_share(FkController *c, const char *team);
/* Returns the CPUs of all registered machines that aren't draining, as of the latest cycle. */
double fk_scheduling_queue_cluster_cpus(FkController *c);
/* Returns the first blocked job of the latest cycle (borrowed until the next cycle); NULL if there is none or
 * none of its tasks waits any more. */
const FkJob *fk_scheduling_queue_first_blocked(FkController *c);
/* Returns the CPUs that the blocked jobs of the latest cycle wait for. Sets `wait_s` to the time for which
 * this controller has known the first of these jobs; 0 if there are none. */
double fk_scheduling_queue_blocked_cpus(FkController *c, double *wait_s);
