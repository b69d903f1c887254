/* The long path: the leader places services, gangs and long arrays, each task on the machine with the lowest
 * cost. A machine that is blacklisted for long jobs is used only as a last resort. The other controllers
 * don't use the capacity that they expect the leader to take for services and gangs. */
#pragma once
#include "core/scheduling/launch_batch.h"

/* Returns the best machine for a task of the job among `machines` (FkMachine), limited to `zone` (NULL: any
 * zone); NULL if no machine is suitable now. */
FkMachine *fk_long_path_best_machine(FkController *c, const FkJob *job, GPtrArray *machines,
                                     const char *zone);
/* Returns whether the blacklist keeps the job off the machine: the machine is blacklisted, the job is long,
 * and it may not use such machines as a last resort yet. */
gboolean fk_long_path_is_blacklisted(FkController *c, const FkJob *job, const FkMachine *machine);
/* Adds tasks of services, gangs and long arrays among `jobs` to the batch, as many as can be placed. Only the
 * leader calls this function. */
void fk_long_path_place(FkController *c, FkLaunchBatch *batch, GPtrArray *jobs, GPtrArray *machines);
/* Reserves the capacity and quota that the leader is expected to take for waiting services and gangs.
 * Otherwise the long and the short path would allocate the same capacity, and the worker would reject one of
 * the tasks as "full". On the leader, this function reserves only the quota of gangs. The reservations are
 * appended to `reserved` (FkReservation). */
void fk_long_path_reserve(FkController *c, GPtrArray *jobs, GPtrArray *machines, GArray *reserved);
/* Ends the reservations made by fk_long_path_reserve(). */
void fk_long_path_release(FkController *c, GArray *reserved);
