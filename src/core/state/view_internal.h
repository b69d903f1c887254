/* Declarations shared between the source files of the view. */
#pragma once
#include "core/state/view.h"

/* view.c */

/* Moves the machine from its current shard, if it has one, to `shard`. */
void fk_view_move_to_shard(FkMachine *machine, FkShard *shard);
/* Records that the machine's allocations, record or owner have changed. */
void fk_view_mark_machine_changed(FkView *v, FkMachine *machine);
/* Records that the job's waiting tasks may have changed. */
void fk_view_mark_job_changed(FkView *v, FkJob *job);

/* view_jobs.c, view_chunks.c, view_completions.c: each function applies one record, which is NULL if the key
 * was deleted. A revision that is not later than the record's revision in the view is ignored. */

void fk_view_set_job(FkView *v, const char *id, FkRecord *record, FkRev rev);
void fk_view_set_chunk(FkView *v, FkJob *job, guint32 index,
                       FkChunk *chunk /* ownership passes to the callee */, FkRev rev);
void fk_view_set_completions(FkView *v, const char *id, FkRecord *record, FkRev rev);

/* view_chunks.c */

/* Returns a copy of the stored chunk with the completions from the view's pages applied; owned by the caller.
 * The stored chunk must exist. */
FkChunk *fk_view_effective_chunk(FkView *v, const FkJob *job, guint32 index);
/* Replaces the effective chunk. Takes ownership of `chunk`, which is NULL if the chunk was deleted. */
void fk_view_set_effective_chunk(FkView *v, FkJob *job, guint32 index, FkChunk *chunk);
/* Removes all allocations of the chunk, and subtracts its done tasks from the job's. Does not free the chunk.
 */
void fk_view_remove_chunk(FkView *v, FkJob *job, const FkChunk *chunk);
/* Adds an allocation (`sign` is 1) or removes one (-1). Updates the allocated amounts of the machine, team
 * and job and the machine's list of allocations, and marks the job and the machine as changed. */
void fk_view_add_or_remove_allocation(FkView *v, FkJob *job, const FkAllocation *allocation, int sign);

/* failing_jobs.c */

/* Updates fault attribution and the job's backoff after the worker reported that the attempt failed. */
void fk_view_attempt_failed(FkView *v, FkJob *job, const FkAllocation *allocation);
/* Updates fault attribution after the attempt succeeded, and ends the job's backoff if the job was failing.
 */
void fk_view_attempt_succeeded(FkView *v, FkJob *job, const FkAllocation *allocation);

/* run_estimates.c */

/* Updates the run-time statistics, and the correction factor of the job's class, with a task that took
 * `took_s` seconds from its allocation to its end. Ignores services and jobs with very short estimates. */
void fk_view_learn_run_time(FkView *v, const FkSpec *spec, double took_s);
