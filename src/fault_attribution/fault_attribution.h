/* Fault attribution decides whether a task failed because of its job, which may have been submitted with a
 * mistake and then fails on every machine, or because of its machine, which may be faulty and then fails
 * every job. The module only turns evidence into verdicts: it has no access to a clock, the store or
 * placement. For the alternatives considered see docs/best-effort-teams.md, "Fault attribution". */
#pragma once
#include "common/types.h"

typedef struct FkFaultAttribution FkFaultAttribution;

FkFaultAttribution *fk_fault_attribution_new(void);
void fk_fault_attribution_free(FkFaultAttribution *attribution);
/* Discards all evidence, because the view will be read again from the start. */
void fk_fault_attribution_clear(FkFaultAttribution *attribution);

/* ---- evidence; ids are copied ---- */

/* Records that a task of the job failed on the machine, `duration_s` seconds after its allocation.
 * `succeeded`: whether a task of the job has succeeded. */
void fk_fault_attribution_task_failed(FkFaultAttribution *attribution, const char *job, const char *machine,
                                      double duration_s, gboolean succeeded, FkTime now);
/* Records that the job's longest-running task was allocated `oldest_s` seconds ago. If it has run for much
 * longer than the failed tasks did, the job counts as working for as long as that holds. Does nothing for a
 * job without failures. */
void fk_fault_attribution_task_survives(FkFaultAttribution *attribution, const char *job, double oldest_s);
/* Records that a task of the job succeeded on the machine, which discards the machine's failures. */
void fk_fault_attribution_task_succeeded(FkFaultAttribution *attribution, const char *job,
                                         const char *machine);
/* Discards the evidence about a job that has ended, or about a machine that is gone. */
void fk_fault_attribution_remove_job(FkFaultAttribution *attribution, const char *job);
void fk_fault_attribution_remove_machine(FkFaultAttribution *attribution, const char *machine);

/* ---- verdicts ---- */

/* Returns whether the job fails everywhere: it has failed on at least two machines that don't fail other
 * jobs, no task of it has succeeded, and none runs for much longer than the failed ones did. The tasks of
 * such a job should be started one at a time, with growing delays, until one succeeds or the job is
 * cancelled. */
gboolean fk_fault_attribution_job_is_failing(const FkFaultAttribution *attribution, const char *job);
/* Returns for how many seconds after the job's latest failure the next attempt must wait: 0 after the first
 * few failures of a job that isn't failing everywhere, then a growing, bounded delay. */
double fk_fault_attribution_retry_delay_s(const FkFaultAttribution *attribution, const char *job);
/* Returns whether the job has failed on the machine recently, so that an attempt on another machine would
 * give more evidence. */
gboolean fk_fault_attribution_job_avoids(const FkFaultAttribution *attribution, const char *job,
                                         const char *machine, FkTime now);
/* Returns whether the machine is faulty: it has three consecutive failures that aren't their jobs' fault.
 * Failures of a job that hasn't worked on any machine yet count half, and at most two of them count. */
gboolean fk_fault_attribution_machine_is_faulty(const FkFaultAttribution *attribution, const char *machine);

/* Return the number of jobs and of machines with recorded failures. */
guint fk_fault_attribution_job_count(const FkFaultAttribution *attribution);
guint fk_fault_attribution_machine_count(const FkFaultAttribution *attribution);
