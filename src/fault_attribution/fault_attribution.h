/* Who is to blame for a failed task: its job, which may have been submitted with a mistake and fails on every
 * machine, or its machine, which may be faulty and fails every job. Evidence in, verdicts out; no clock, no
 * store, no placement. Ways weighed: docs/guests.md, "Blame". */
#pragma once
#include "core/types.h"

typedef struct FkFaultAttribution FkFaultAttribution;

FkFaultAttribution *fk_fault_attribution_new(void);
void fk_fault_attribution_free(FkFaultAttribution *b);
/* Forgets everything: the view is read again. */
void fk_fault_attribution_clear(FkFaultAttribution *b);

/* Evidence. Ids are copied. */
/* `took_s`: from its booking to its failure. `succeeded`: the job has tasks that are done. */
void fk_fault_attribution_task_failed(FkFaultAttribution *b, const char *job, const char *machine,
                                      double took_s, gboolean succeeded, FkTime now);
/* Whether a task of the job that was booked so long ago still goes on: that speaks for the job while it
 * lasts. Nothing where the job has no failure on record. */
void fk_fault_attribution_task_survives(FkFaultAttribution *b, const char *job, double oldest_s);
void fk_fault_attribution_task_succeeded(FkFaultAttribution *b, const char *job, const char *machine);
void fk_fault_attribution_remove_job(FkFaultAttribution *b, const char *job);
void fk_fault_attribution_remove_machine(FkFaultAttribution *b, const char *machine);

/* It has failed on two machines at the least that nothing else speaks against, never succeeded, and no task
 * of it goes on: started one task at a time, the next one later each time, until one succeeds or its user
 * cancels it. */
gboolean fk_fault_attribution_job_is_failing(const FkFaultAttribution *b, const char *job);
/* How long after its latest failure the job's next try is to wait, in seconds: nothing for a sound job's
 * first few, then growing; bounded. */
double fk_fault_attribution_retry_delay_s(const FkFaultAttribution *b, const char *job);
/* The job failed there lately: elsewhere its next try tells more. */
gboolean fk_fault_attribution_job_avoids(const FkFaultAttribution *b, const char *job, const char *machine,
                                         FkTime now);
/* Three failures there in a row that their jobs can't be blamed for; those of jobs that have worked nowhere
 * yet count half. */
gboolean fk_fault_attribution_machine_is_faulty(const FkFaultAttribution *b, const char *machine);

/* Entries held, for the log. */
guint fk_fault_attribution_job_count(const FkFaultAttribution *b);
guint fk_fault_attribution_machine_count(const FkFaultAttribution *b);
