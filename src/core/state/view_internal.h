/* What the files of the view share. */
#pragma once
#include "core/state/view.h"

/* view.c */
void fk_view_join_group(FkMachine *m, FkGroup *g);
/* The machine's bookings, description or home have changed. */
void fk_view_touch(FkView *v, FkMachine *m);
/* The job's waiting may have changed. */
void fk_view_touch_job(FkView *v, FkJob *j);

/* view_jobs.c: jobs, their chunks and what homes write down of ends, applied one record at a time */

void fk_view_set_job(FkView *v, const char *id, FkRecord *r, FkRev rev);
void fk_view_set_chunk(FkView *v, FkJob *j, guint32 index, FkChunk *c /* taken */, FkRev rev);
void fk_view_set_ends(FkView *v, const char *id, FkRecord *r, FkRev rev);
