/* Aging and backfill reservations. Machines are reserved for jobs that have waited too long to start and for
 * the largest jobs of a class that starves (starvation.h). A job that comes later in the queue than the
 * holder of a reservation is backfilled on the reserved machine only if it is an array that is expected to
 * end before the holder can start there. Without reservations, the largest jobs of a class starve under a
 * steady stream of small jobs, which end sooner and fill each gap as it opens: an array whose tasks each need
 * a whole machine waited for 400 s and more. */
#pragma once
#include "core/controller_internal.h"

FkBackfillReservations *fk_backfill_reservation_new(void);
void fk_backfill_reservation_free(FkBackfillReservations *reservations);

/* Returns whether the job is aged: none of its tasks is allocated, the job isn't failing, and more than 55%
 * of the start deadline (240 s) has passed since the job could start or, if some of its tasks are done, since
 * the last of its allocations ended. */
gboolean fk_backfill_reservation_is_aged(FkController *c, const FkJob *job);
/* Returns for how many seconds the job has been aged; 0 or less if the job isn't aged. */
double fk_backfill_reservation_aged_s(FkController *c, const FkJob *job);

/* Recomputes the reservations, at most every 2 s. `jobs` are the jobs of the current scheduling cycle, in
 * queue order. */
void fk_backfill_reservation_refresh(FkController *c, GPtrArray *jobs);
/* Returns whether a reservation keeps the job off the machine: the machine is reserved for another job that
 * precedes this one in the queue, still waits and is still urgent. An array that is expected to end before
 * the other job can start there isn't kept off. */
gboolean fk_backfill_reservation_blocks(FkController *c, const FkJob *job, const FkMachine *machine);
/* Returns all reserved machines (FkMachine, borrowed); the caller frees the array. */
GPtrArray *fk_backfill_reservation_machines(FkController *c);
/* Returns the job that holds the machine's reservation (borrowed from the view); NULL if there is no
 * reservation, or if the holder no longer waits or is no longer urgent. */
FkJob *fk_backfill_reservation_holder(FkController *c, const FkMachine *machine);
/* Logs up to five aged jobs that have waiting tasks, each with the reason why it can't start. If there are
 * more than five, also logs how many there are. */
void fk_backfill_reservation_log(FkController *c);
