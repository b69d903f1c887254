/* The long path: the leader places services, gangs and long arrays, each task on the best machine that isn't
 * blacklisted for long jobs. The other controllers reserve the capacity that the leader would take, and leave
 * it free. */
#pragma once
#include "core/scheduling/launch_batch.h"

/* Returns the best machine for a task of the job among `machines` (FkMachine), limited to `zone` (NULL: any
 * zone); NULL if no machine is suitable now. */
FkMachine *fk_long_path_best_machine(FkController *c, const FkJob *job, GPtrArray *machines,
                                     const char *zone);
/* Adds as many tasks of the jobs to the batch as can be placed. Only the leader calls this. */
void fk_long_path_place(FkController *c, FkLaunchBatch *batch, GPtrArray *jobs, GPtrArray *machines);
/* Reserves what the long path would take from the same view. Otherwise both paths would allocate the same
 * capacity, and the worker would reject one of the tasks as "full". The reservations are appended to
 * `reserved` (FkReservation). */
void fk_long_path_reserve(FkController *c, GPtrArray *jobs, GPtrArray *machines, GArray *reserved);
/* Ends the reservations made by fk_long_path_reserve(). */
void fk_long_path_release(FkController *c, GArray *reserved);
