/* What the files of the view share. */
#pragma once
#include "core/state/view.h"

/* view.c */

/* Moves the machine from its shard, if it has one, to another. */
void fk_view_join_shard(FkMachine *machine, FkShard *shard);
/* The machine's allocations, record or owner have changed. */
void fk_view_mark_machine_changed(FkView *v, FkMachine *machine);
/* The tasks of the job that wait may have changed. */
void fk_view_mark_job_changed(FkView *v, FkJob *job);

/* view_jobs.c, view_chunks.c, view_completions.c: one record applied. `record` NULL: the key was deleted. A
 * revision that is not later than what the view has is ignored. */

void fk_view_set_job(FkView *v, const char *id, FkRecord *record, FkRev rev);
void fk_view_set_chunk(FkView *v, FkJob *job, guint32 index, FkChunk *chunk /* taken */, FkRev rev);
void fk_view_set_completions(FkView *v, const char *id, FkRecord *record, FkRev rev);

/* view_chunks.c */

/* The chunk's record with all that pages of completions have of it; the caller owns it. */
FkChunk *fk_view_effective_chunk(FkView *v, const FkJob *job, guint32 index);
/* Replaces the effective chunk, which is taken; NULL: it is gone. */
void fk_view_set_effective_chunk(FkView *v, FkJob *job, guint32 index, FkChunk *chunk);
/* Takes all of the chunk's allocations and tasks done out of the sums. */
void fk_view_remove_chunk(FkView *v, FkJob *job, const FkChunk *chunk);
/* Adds an allocation to the sums of its machine, team and job, or takes it out (`sign` -1). */
void fk_view_count_allocation(FkView *v, FkJob *job, const FkAllocation *allocation, int sign);

/* failing_jobs.c */

/* The worker says that the attempt failed. */
void fk_view_attempt_failed(FkView *v, FkJob *job, const FkAllocation *allocation);
void fk_view_attempt_succeeded(FkView *v, FkJob *job, const FkAllocation *allocation);

/* run_estimates.c */

/* A task has taken so long, from its allocation to its end. */
void fk_view_learn_run_time(FkView *v, const FkSpec *spec, double took_s);
