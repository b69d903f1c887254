/* Aging and backfill reservations. Machines are reserved for jobs that have waited too long to start; other
 * jobs are backfilled on a reserved machine only if they are expected to end before the job that holds the
 * reservation can start there. Without reservations, the largest jobs of a class starve under a steady stream
 * of small ones, which end sooner and fill each gap as it opens: an array whose tasks each need a whole
 * machine waited for 400 s and more. */
#pragma once
#include "core/controller_internal.h"

FkBackfillReservations *fk_backfill_reservation_new(void);
void fk_backfill_reservation_free(FkBackfillReservations *reservations);

/* Returns whether the job is aged: none of its tasks has started, and more than half of the start deadline
 * has passed since it could start. */
gboolean fk_backfill_reservation_is_aged(FkController *c, const FkJob *job);
/* Returns for how many seconds the job has been aged; negative if it isn't aged. */
double fk_backfill_reservation_aged_s(FkController *c, const FkJob *job);

/* Recomputes which machines are reserved for which jobs, at most every few seconds. `jobs` are the jobs of
 * the current scheduling cycle, in queue order. */
void fk_backfill_reservation_refresh(FkController *c, GPtrArray *jobs);
/* Returns whether a reservation keeps the job off the machine: the machine is reserved for another job, and
 * this job isn't expected to end before the other one can start there. */
gboolean fk_backfill_reservation_blocks(FkController *c, const FkJob *job, const FkMachine *machine);
/* Returns all reserved machines (FkMachine, borrowed); the caller frees the array. */
GPtrArray *fk_backfill_reservation_machines(FkController *c);
/* Returns the waiting job that holds the machine's reservation (borrowed from the view), or NULL if there is
 * none. */
FkJob *fk_backfill_reservation_holder(FkController *c, const FkMachine *machine);
/* Logs the aged jobs and the reason why each is blocked. */
void fk_backfill_reservation_log(FkController *c);
