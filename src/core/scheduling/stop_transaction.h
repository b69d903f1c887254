/* A transaction that asks running tasks to stop. Their allocations stay until they have stopped. */
#pragma once
#include "core/controller_internal.h"

/* Start with all members zero. */
typedef struct {
  FkOutput *txn;      /* NULL while it is empty */
  GHashTable *chunks; /* path -> FkChunk as it will be written, owned by the transaction */
} FkStopTransaction;

/* Asks one task to stop. FALSE: the transaction has no room for another chunk. A task whose chunk can't be
 * written at present is passed over. */
gboolean fk_stop_transaction_add(FkController *c, FkStopTransaction *stops, FkJob *job, guint32 task);
/* The same for all tasks of the job that run, as far as there is room. */
void fk_stop_transaction_add_job(FkController *c, FkStopTransaction *stops, FkJob *job);
/* Sends the transaction, unless it is empty, and clears it. */
void fk_stop_transaction_send(FkController *c, FkStopTransaction *stops);
