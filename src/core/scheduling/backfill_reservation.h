/* Jobs that wait too long to begin: whose turn it is by age, and what room is kept for them. Without this the
 * largest of a class starve under a steady stream of small ones, which are complete sooner and fill each gap
 * as it opens: an array of whole machines waited for 400 s and more (simulated machines, sim_large). */
#pragma once
#include "core/controller_internal.h"

FkBackfillReservations *fk_backfill_reservation_new(void);
void fk_backfill_reservation_free(FkBackfillReservations *o);
/* None of its tasks has begun, and the time in which one must is more than half over. */
gboolean fk_backfill_reservation_is_aged(FkController *c, const FkJob *j);
/* For how many seconds that has been so; negative: it isn't. */
double fk_backfill_reservation_aged_s(FkController *c, const FkJob *j);
/* Works out for whom room is kept, and where; `jobs` are those that wait, in their order. */
void fk_backfill_reservation_refresh(FkController *c, GPtrArray *jobs);
/* The job must leave the machine alone: it is kept for another, and the job wouldn't have ended by the time
 * that the other can begin there. */
gboolean fk_backfill_reservation_blocks(FkController *c, const FkJob *j, const FkMachine *m);
/* FkMachine: those that are kept for somebody. */
GPtrArray *fk_backfill_reservation_machines(FkController *c);
/* For whom the machine is kept, or NULL; borrowed from the view. */
FkJob *fk_backfill_reservation_holder(FkController *c, const FkMachine *m);
/* Logs who waits too long to begin, and for want of what. */
void fk_backfill_reservation_log(FkController *c);
