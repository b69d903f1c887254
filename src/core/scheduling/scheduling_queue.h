/* The scheduling queue: the order in which waiting jobs are placed, which jobs must yield free capacity to
 * others, and each team's fair share. */
#pragma once
#include "core/controller_internal.h"

FkSchedulingQueue *fk_scheduling_queue_new(const FkSettings *settings);
void fk_scheduling_queue_free(FkSchedulingQueue *queue);
/* Empties the queue, before the view is read from the store again. */
void fk_scheduling_queue_reset(FkSchedulingQueue *queue);

/* Selects the jobs of one scheduling cycle: those with tasks that may start now, in queue order (FkJob,
 * borrowed from the view; the caller frees the array). If there are too many, these are the first of the
 * queue and some of the others in rotation. Updates everything that the functions below return. */
GPtrArray *fk_scheduling_queue_select_jobs(FkController *c);
/* Returns whether there is a waiting job above the normal priority that this controller may place. */
gboolean fk_scheduling_queue_has_urgent(FkController *c);
/* Returns how many times a job's queue position has been updated so far: a measure of what the cycles
 * cost. */
guint64 fk_scheduling_queue_refreshed_count(const FkSchedulingQueue *queue);
/* Returns whether the job must leave the machine's free capacity to a blocked job that precedes it in the
 * queue. Otherwise small tasks of a low priority fill every gap as it opens, and larger ones never start:
 * with 7,000 tasks of two CPUs waiting, arrays of four-CPU tasks waited for 400 s. */
gboolean fk_scheduling_queue_must_back_off(FkController *c, const FkJob *job, const FkMachine *machine);
/* Returns whether no expensive machines are provisioned for the job: its team has no guarantee, no objective
 * covers its class, and at least half of its class is served. The job may still run on expensive machines
 * that exist. */
gboolean fk_scheduling_queue_is_low_cost_only(FkController *c, const FkJob *job);
/* Returns what a team uses and wants and its fair share, in CPUs, as of the latest cycle. The team must be in
 * the settings. */
const FkFairShareDemand *fk_scheduling_queue_team_share(FkController *c, const char *team);
/* Returns the CPUs of all machines that are up and not draining. */
double fk_scheduling_queue_cluster_cpus(FkController *c);
/* Returns the first blocked array, or NULL; borrowed until the next cycle. */
const FkJob *fk_scheduling_queue_first_blocked(FkController *c);
/* Returns the CPUs that all blocked arrays wait for; sets `wait_s` to how long the first of them has
 * waited. */
double fk_scheduling_queue_blocked_cpus(FkController *c, double *wait_s);
