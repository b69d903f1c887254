/* Fault attribution decides whether a task failed because of its job or because of its machine. A job that
 * was submitted with a mistake fails on every machine; on a faulty machine every job fails. The module only
 * turns evidence into verdicts: it has no access to a clock, the store or placement. For the alternatives
 * considered see docs/best-effort-teams.md, "Fault attribution". */
#pragma once
#include "common/types.h"

typedef struct FkFaultAttribution FkFaultAttribution;

FkFaultAttribution *fk_fault_attribution_new(void);
void fk_fault_attribution_free(FkFaultAttribution *attribution);
/* Discards all evidence, because the view will be read again from the start. */
void fk_fault_attribution_clear(FkFaultAttribution *attribution);

/* ---- evidence; ids are copied ---- */

/* Records that a task of the job failed on the machine. `duration_s`: seconds from the task's allocation to
 * its failure, 0 if the start wasn't observed. `succeeded`: whether any task of the job has succeeded. */
void fk_fault_attribution_task_failed(FkFaultAttribution *attribution, const char *job, const char *machine,
                                      double duration_s, gboolean succeeded, FkTime now);
/* Records the time since the allocation of the job's longest-running task. `oldest_s`: this time in seconds,
 * 0 if no running task's start was observed. If the time is much longer than the failed tasks ran, the job
 * counts as working until a later call shows otherwise. Does nothing for a job without failures. */
void fk_fault_attribution_task_survives(FkFaultAttribution *attribution, const char *job, double oldest_s);
/* Records that a task of the job succeeded on the machine. Discards the machine's failures, and ends the
 * job's consecutive failures. */
void fk_fault_attribution_task_succeeded(FkFaultAttribution *attribution, const char *job,
                                         const char *machine);
/* Discards the evidence about a job that has ended, or about a machine that is gone. */
void fk_fault_attribution_remove_job(FkFaultAttribution *attribution, const char *job);
void fk_fault_attribution_remove_machine(FkFaultAttribution *attribution, const char *machine);

/* ---- verdicts ---- */

/* Returns whether the job fails everywhere: it has failed on at least two machines on which other jobs don't
 * fail, none of its tasks has succeeded, and none has run for much longer than its failed tasks did. The
 * tasks of a job that fails everywhere should be started one at a time, with growing delays, until one
 * succeeds or the job is cancelled. */
gboolean fk_fault_attribution_job_is_failing(const FkFaultAttribution *attribution, const char *job);
/* Returns for how many seconds after the job's latest failure the next attempt must wait. The delay grows
 * with the failures and is bounded; it is 0 if the job has had no failure since its last success, or only a
 * few and isn't failing everywhere. */
double fk_fault_attribution_retry_delay_s(const FkFaultAttribution *attribution, const char *job);
/* Returns whether the job has failed on the machine recently, so that an attempt on another machine would
 * give more evidence. */
gboolean fk_fault_attribution_job_avoids(const FkFaultAttribution *attribution, const char *job,
                                         const char *machine, FkTime now);
/* Returns whether the machine is faulty: the failures on the machine since its last success add up to at
 * least three. Failures of a job that fails everywhere aren't counted. Failures of any other job that hasn't
 * worked on any machine yet count half, and at most two failures of each of those jobs are counted. */
gboolean fk_fault_attribution_machine_is_faulty(const FkFaultAttribution *attribution, const char *machine);

/* Return the number of jobs and of machines with recorded failures. */
guint fk_fault_attribution_job_count(const FkFaultAttribution *attribution);
guint fk_fault_attribution_machine_count(const FkFaultAttribution *attribution);
