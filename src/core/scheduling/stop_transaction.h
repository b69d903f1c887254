/* A transaction that asks booked tasks to leave; their bookings stay until they have. */
#pragma once
#include "core/controller_internal.h"

typedef struct {
  FkOut *txn;         /* NULL: nobody is asked yet */
  GHashTable *chunks; /* path -> FkChunk, the transaction's */
} FkStops;

/* FALSE: it has no room for another chunk. */
gboolean fk_stops_add(FkController *c, FkStops *s, FkJob *j, guint32 task);
void fk_stops_all_of(FkController *c, FkStops *s, FkJob *j);
/* Sends what there is, and clears it. */
void fk_stops_send(FkController *c, FkStops *s);

/* reclaim.c: borrowed room is given back to who has a better claim and waits, where the least work is lost.
 */
void fk_reclaim(FkController *c, FkStops *s);
