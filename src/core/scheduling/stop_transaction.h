/* A transaction that asks running tasks to stop. The allocations of these tasks remain until the tasks have
 * stopped. */
#pragma once
#include "core/controller_internal.h"

/* Must be zero-initialized. */
typedef struct {
  FkOutput *txn;      /* the transaction; NULL until a chunk is added */
  GHashTable *chunks; /* path -> FkChunk as it will be written, owned by the transaction */
} FkStopTransaction;

/* Asks one task to stop. Returns FALSE if the transaction can't take another chunk. Skips the task and
 * returns TRUE if its chunk can't be written at present. */
gboolean fk_stop_transaction_add(FkController *c, FkStopTransaction *stops, FkJob *job, guint32 task);
/* Asks all allocated tasks of the job to stop, as far as the transaction can take their chunks. */
void fk_stop_transaction_add_job(FkController *c, FkStopTransaction *stops, FkJob *job);
/* Sends the transaction, unless it is empty, and clears it. */
void fk_stop_transaction_send(FkController *c, FkStopTransaction *stops);
