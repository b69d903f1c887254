/* The scheduling queue: the order in which waiting jobs are placed, which jobs must back off for others, and
 * each team's fair share. */
#pragma once
#include "core/controller_internal.h"

FkSchedulingQueue *fk_scheduling_queue_new(const FkSettings *settings);
void fk_scheduling_queue_free(FkSchedulingQueue *queue);
/* Empties the queue: the view is going to be read again. */
void fk_scheduling_queue_reset(FkSchedulingQueue *queue);

/* One scheduling cycle's jobs (FkJob, borrowed from the view; free the array): those with tasks that may
 * start now, in the order of the queue. Of very many only the first, and some of the others in rotation.
 * Updates everything that the other functions tell. */
GPtrArray *fk_scheduling_queue_select_jobs(FkController *c);
/* Whether a job of a priority above the normal one waits that this controller may place. */
gboolean fk_scheduling_queue_has_high_priority(FkController *c);
/* How many times a job's place was updated so far: what the cycles have cost. */
guint64 fk_scheduling_queue_refreshed_count(const FkSchedulingQueue *queue);
/* Whether the job must leave the machine's free capacity to a blocked job that comes before it. Otherwise
 * small tasks of a low priority fill every gap as it opens, and larger ones never start: beside 7,000 tasks
 * of two CPUs, arrays of four-CPU tasks waited for 400 s. */
gboolean fk_scheduling_queue_must_yield(FkController *c, const FkJob *job, const FkMachine *machine);
/* Whether no expensive machines are provisioned for the job: it is of a team without a guarantee, no
 * objective covers its class, and half of its class is served. It may still run on those that are there. */
gboolean fk_scheduling_queue_is_low_cost_only(FkController *c, const FkJob *job);
/* What a team uses, wants and is due as of the latest cycle, in CPUs. The team must be in the settings. */
const FkFairShareDemand *fk_scheduling_queue_team_share(FkController *c, const char *team);
/* CPUs of all machines that are up and not draining. */
double fk_scheduling_queue_cluster_cpus(FkController *c);
/* The first blocked array, or NULL; borrowed until the next cycle. */
const FkJob *fk_scheduling_queue_first_blocked(FkController *c);
/* CPUs that all blocked arrays wait for, and for how long the first of them has waited. */
double fk_scheduling_queue_blocked_cpus(FkController *c, double *wait_s);
