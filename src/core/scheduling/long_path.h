/* The long path: the leader places services, gangs and long arrays, each task on the best machine that isn't
 * blacklisted for long jobs; the other controllers leave it the capacity that it would take. */
#pragma once
#include "core/scheduling/launch_batch.h"

/* Where a task of the job would go now, among the machines (FkMachine) and in the zone (NULL: any); NULL:
 * nowhere. */
FkMachine *fk_long_path_best_machine(FkController *c, const FkJob *job, GPtrArray *machines,
                                     const char *zone);
/* Adds as many tasks of the jobs to the batch as can be placed; the leader only. */
void fk_long_path_place(FkController *c, FkLaunchBatch *batch, GPtrArray *jobs, GPtrArray *machines);
/* Reserves what the long path would take from the same view: both paths would else allocate it, and the
 * worker reject one of the tasks as "full". What was reserved is added to `reserved` (FkReservation). */
void fk_long_path_reserve(FkController *c, GPtrArray *jobs, GPtrArray *machines, GArray *reserved);
/* Ends these reservations. */
void fk_long_path_release(FkController *c, GArray *reserved);
