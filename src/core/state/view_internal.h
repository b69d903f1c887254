/* Declarations shared between the source files of the view. */
#pragma once
#include "core/state/view.h"

/* view.c */

/* Moves the machine into `shard`, out of its current one if any. */
void fk_view_move_to_shard(FkMachine *machine, FkShard *shard);
/* Records that the machine's allocations, record or owner have changed. */
void fk_view_mark_machine_changed(FkView *v, FkMachine *machine);
/* Records that the job's waiting tasks may have changed. */
void fk_view_mark_job_changed(FkView *v, FkJob *job);

/* view_jobs.c, view_chunks.c, view_completions.c: each function applies one record, which is NULL if the key
 * was deleted. A revision that is not later than the record's revision in the view is ignored. */

void fk_view_set_job(FkView *v, const char *id, FkRecord *record, FkRev rev);
void fk_view_set_chunk(FkView *v, FkJob *job, guint32 index, FkChunk *chunk /* taken */, FkRev rev);
void fk_view_set_completions(FkView *v, const char *id, FkRecord *record, FkRev rev);

/* view_chunks.c */

/* Returns the stored chunk with all completions of it in the view's pages applied; the caller owns it. */
FkChunk *fk_view_effective_chunk(FkView *v, const FkJob *job, guint32 index);
/* Replaces the effective chunk; takes `chunk`, which is NULL if the chunk was deleted. */
void fk_view_set_effective_chunk(FkView *v, FkJob *job, guint32 index, FkChunk *chunk);
/* Subtracts all allocations and done tasks of the chunk from the sums. */
void fk_view_remove_chunk(FkView *v, FkJob *job, const FkChunk *chunk);
/* Adds an allocation to the sums of its machine, team and job (`sign` is 1), or subtracts the allocation
 * (-1). */
void fk_view_count_allocation(FkView *v, FkJob *job, const FkAllocation *allocation, int sign);

/* failing_jobs.c */

/* Records that the worker reported the attempt as failed. */
void fk_view_attempt_failed(FkView *v, FkJob *job, const FkAllocation *allocation);
/* Records that the attempt succeeded. */
void fk_view_attempt_succeeded(FkView *v, FkJob *job, const FkAllocation *allocation);

/* run_estimates.c */

/* Learns that a task took `took_s` seconds from its allocation to its end. */
void fk_view_learn_run_time(FkView *v, const FkSpec *spec, double took_s);
