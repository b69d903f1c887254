/* What the files of the view share. */
#pragma once
#include "core/state/view.h"

/* view.c */
void fk_view_join_shard(FkMachine *m, FkShard *g);
/* The machine's bookings, description or home have changed. */
void fk_view_mark_machine_changed(FkView *v, FkMachine *m);
/* The job's waiting may have changed. */
void fk_view_mark_job_changed(FkView *v, FkJob *j);

/* view_jobs.c: jobs, their chunks and what homes write down of ends, applied one record at a time */

void fk_view_set_job(FkView *v, const char *id, FkRecord *r, FkRev rev);
void fk_view_set_chunk(FkView *v, FkJob *j, guint32 index, FkChunk *c /* taken */, FkRev rev);
void fk_view_set_completions(FkView *v, const char *id, FkRecord *r, FkRev rev);
