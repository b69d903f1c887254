/* Aging, and backfill reservations: machines are reserved for jobs that have waited too long to start, and
 * others are backfilled there only if they end before such a job could start. Without this, the largest jobs
 * of a class starve under a steady stream of small ones, which end sooner and fill each gap as it opens: an
 * array of tasks as large as a machine waited for 400 s and more. */
#pragma once
#include "core/controller_internal.h"

FkBackfillReservations *fk_backfill_reservation_new(void);
void fk_backfill_reservation_free(FkBackfillReservations *reservations);

/* Whether the job is aged: no task of it has started, and more than half of the time in which one must is
 * over. */
gboolean fk_backfill_reservation_is_aged(FkController *c, const FkJob *job);
/* For how many seconds it has been aged; negative: it isn't. */
double fk_backfill_reservation_aged_s(FkController *c, const FkJob *job);

/* Decides anew, every few seconds, which machines are reserved for which jobs. `jobs` are the cycle's, in the
 * order of the queue. */
void fk_backfill_reservation_refresh(FkController *c, GPtrArray *jobs);
/* Whether the job must leave the machine alone: it is reserved for another, and the job isn't expected to end
 * before that one can start there. */
gboolean fk_backfill_reservation_blocks(FkController *c, const FkJob *job, const FkMachine *machine);
/* All reserved machines (FkMachine, borrowed); free the array. */
GPtrArray *fk_backfill_reservation_machines(FkController *c);
/* The waiting job that the machine is reserved for, or NULL; borrowed from the view. */
FkJob *fk_backfill_reservation_holder(FkController *c, const FkMachine *machine);
/* Logs the aged jobs, and what blocks them. */
void fk_backfill_reservation_log(FkController *c);
