/* Who is to blame for a failed task: its job, which may have been submitted with a mistake and fails on every
 * machine, or its machine, which may be faulty and fails every job. Evidence in, verdicts out; no clock, no
 * store, no placement. Ways weighed: docs/guests.md, "Blame". */
#pragma once
#include "core/types.h"

typedef struct FkBlame FkBlame;

FkBlame *fk_blame_new(void);
void fk_blame_free(FkBlame *b);
/* Forgets everything: the view is read again. */
void fk_blame_clear(FkBlame *b);

/* Evidence. Ids are copied. */
/* `took_s`: from its booking to its failure. `succeeded`: the job has tasks that are done. */
void fk_blame_failed(FkBlame *b, const char *job, const char *machine, double took_s, gboolean succeeded,
                     FkTime now);
/* Whether a task of the job that was booked so long ago still goes on: that speaks for the job while it
 * lasts. Nothing where the job has no failure on record. */
void fk_blame_goes_on(FkBlame *b, const char *job, double oldest_s);
void fk_blame_succeeded(FkBlame *b, const char *job, const char *machine);
void fk_blame_job_gone(FkBlame *b, const char *job);
void fk_blame_machine_gone(FkBlame *b, const char *machine);

/* It has failed on two machines at the least that nothing else speaks against, never succeeded, and no task
 * of it goes on: started one task at a time, the next one later each time, until one succeeds or its user
 * cancels it. */
gboolean fk_blame_doubted(const FkBlame *b, const char *job);
/* How long after its latest failure the job's next try is to wait, in seconds: nothing for a sound job's
 * first few, then growing; bounded. */
double fk_blame_pause_s(const FkBlame *b, const char *job);
/* The job failed there lately: elsewhere its next try tells more. */
gboolean fk_blame_avoids(const FkBlame *b, const char *job, const char *machine, FkTime now);
/* Three failures there in a row that their jobs can't be blamed for; those of jobs that have worked nowhere
 * yet count half. */
gboolean fk_blame_sick(const FkBlame *b, const char *machine);

/* Entries held, for the log. */
guint fk_blame_jobs(const FkBlame *b);
guint fk_blame_machines(const FkBlame *b);
