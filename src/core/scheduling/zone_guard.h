/* Guards of the launches of jobs whose tasks' zones depend on one another (`one_zone`, `spread`).
 *
 * Such a job's launch reads where the job's other tasks are, in all of its chunks, but a launch is otherwise
 * guarded only by the chunk that it writes. Without more guards, a launch that is carried out late could
 * start a task in a zone that was right when it was decided, after all tasks that the decision saw there have
 * ended and another launch has started one of them elsewhere. Therefore:
 *
 * - Every launch of such a job writes the same chunk, the job's last one, and is guarded by it. Any two
 * launches conflict, so each one is decided by a view that shows all earlier ones. Completions that the view
 * lacks only make a zone look fuller than it is.
 * - While a controller may run a version without this guard, a launch also writes the job's record, which
 *   guards every launch of any version: launches of that version still in flight are void. It is guarded by
 *   each chunk that a launch of that version could write next, so that it is void if there was one.
 *
 * A job with one chunk needs neither: its launches write all that they have read. */
#pragma once
#include "core/scheduling/launch_batch.h"

/* What the guard of one launch adds to a transaction. */
typedef struct {
  gboolean possible; /* FALSE: the job can't be launched now */
  guint writes, guards, bytes;
} FkZoneGuardCost;

/* Returns what fk_zone_guard_add would add to the batch; zeros for a job that needs no guard. */
FkZoneGuardCost fk_zone_guard_cost(FkController *c, const FkLaunchBatch *batch, const FkJob *job);
/* Adds the guards and writes to a batch that launches a task of the job. Does nothing for a job that needs
 * none, and nothing more if they were added already. */
void fk_zone_guard_add(FkController *c, FkLaunchBatch *batch, const FkJob *job);
