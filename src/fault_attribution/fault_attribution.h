/* Fault attribution: whether a failed task is its job's fault, which may have been submitted with a mistake
 * and fails on every machine, or its machine's, which may be faulty and fails every job. Pure: evidence in,
 * verdicts out; without a clock, the store or placement. Alternatives weighed: docs/best-effort-teams.md,
 * "Fault attribution". */
#pragma once
#include "common/types.h"

typedef struct FkFaultAttribution FkFaultAttribution;

FkFaultAttribution *fk_fault_attribution_new(void);
void fk_fault_attribution_free(FkFaultAttribution *attribution);
/* Forgets everything: the view is going to be read again. */
void fk_fault_attribution_clear(FkFaultAttribution *attribution);

/* Evidence. Ids are copied. */

/* A task of the job has failed on the machine, `took_s` seconds after its allocation. `succeeded`: the job
 * has tasks that are done. */
void fk_fault_attribution_task_failed(FkFaultAttribution *attribution, const char *job, const char *machine,
                                      double took_s, gboolean succeeded, FkTime now);
/* The job's longest-running task was allocated `oldest_s` seconds ago. That it has outlived the failed ones
 * speaks for the job while it lasts. Does nothing for a job without failures. */
void fk_fault_attribution_task_survives(FkFaultAttribution *attribution, const char *job, double oldest_s);
/* A task of the job has succeeded on the machine: that clears the machine. */
void fk_fault_attribution_task_succeeded(FkFaultAttribution *attribution, const char *job,
                                         const char *machine);
/* Forgets a job that has ended, or a machine that is gone. */
void fk_fault_attribution_remove_job(FkFaultAttribution *attribution, const char *job);
void fk_fault_attribution_remove_machine(FkFaultAttribution *attribution, const char *machine);

/* Verdicts. */

/* The job fails everywhere: it has failed on two machines at least that don't fail other jobs, has never
 * succeeded, and no task of it has outlived the failed ones. Its tasks are to be started one at a time, after
 * growing delays, until one succeeds or the job is cancelled. */
gboolean fk_fault_attribution_job_is_failing(const FkFaultAttribution *attribution, const char *job);
/* For how many seconds after the job's latest failure the next attempt must wait: 0 for the first few of a
 * job that isn't failing everywhere, then growing, bounded. */
double fk_fault_attribution_retry_delay_s(const FkFaultAttribution *attribution, const char *job);
/* The job has failed on the machine lately: an attempt elsewhere tells more. */
gboolean fk_fault_attribution_job_avoids(const FkFaultAttribution *attribution, const char *job,
                                         const char *machine, FkTime now);
/* The machine is faulty: three failures in a row that aren't their jobs' fault. Those of jobs that have
 * worked nowhere yet count half. */
gboolean fk_fault_attribution_machine_is_faulty(const FkFaultAttribution *attribution, const char *machine);

/* How many jobs and machines have failures on record. */
guint fk_fault_attribution_job_count(const FkFaultAttribution *attribution);
guint fk_fault_attribution_machine_count(const FkFaultAttribution *attribution);
