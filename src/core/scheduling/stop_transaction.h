/* A transaction that asks booked tasks to leave; their bookings stay until they have. */
#pragma once
#include "core/controller_internal.h"

typedef struct {
  FkOutput *txn;      /* NULL: nobody is asked yet */
  GHashTable *chunks; /* path -> FkChunk, the transaction's */
} FkStopTransaction;

/* FALSE: it has no room for another chunk. */
gboolean fk_stop_transaction_add(FkController *c, FkStopTransaction *s, FkJob *j, guint32 task);
void fk_stop_transaction_add_job(FkController *c, FkStopTransaction *s, FkJob *j);
/* Sends what there is, and clears it. */
void fk_stop_transaction_send(FkController *c, FkStopTransaction *s);

/* reclaim.c: borrowed room is given back to who has a better claim and waits, where the least work is lost.
 */
void fk_preemption_reclaim(FkController *c, FkStopTransaction *s);
