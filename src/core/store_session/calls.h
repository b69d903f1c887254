/* Calls to the store that wait for an answer: transactions and reads. */
#pragma once
#include "core/messages.h"

/* The outcome of a transaction. `epoch`: the store's revision at the answer; `failed`: the paths (char*) of
 * the guards that did not hold, or NULL. */
typedef void (*FkTransactionCallback)(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                      GPtrArray *failed);
/* The outcome of a read. `event`: what was read, valid during the call; NULL unless the outcome is OK. */
typedef void (*FkReadCallback)(FkController *c, gpointer data, FkOutcome outcome, FkStoreEvent *event);

/* GDestroyNotify of the tables of calls. */
void fk_call_free(gpointer call);
/* Sends again each transaction that has waited for its answer for too long. */
void fk_calls_retry_overdue(FkController *c);

/* An empty transaction, owned by the caller until it is sent. */
FkOutput *fk_transaction_new(FkController *c, FkTransactionPriority priority);
/* The transaction is only carried out if the key at `path` still has that revision; 0: if there is none. The
 * first guard of a path counts. `path` is taken. */
void fk_transaction_guard(FkOutput *transaction, char *path, FkRev rev);
/* Writes the record, with the life of a lease (0: none). `path` and `record` are taken. */
void fk_transaction_put(FkOutput *transaction, char *path, FkRecord *record, FkRev lease);
/* Deletes the key. `path` is taken. */
void fk_transaction_delete(FkOutput *transaction, char *path);
/* Moves a job whose tasks are all done, or that is cancelled with no allocation left, to its terminal state.
 * Chunks beyond `writes_left` stay for later. FALSE: too few writes are left, nothing was added. */
gboolean fk_transaction_finalize_job(FkController *c, FkOutput *transaction, FkJob *job, guint writes_left);
/* Sends the transaction, which is taken; `done` is called once, unless the controller is freed before.
 * `data` is freed by `free_data` (NULL: not at all). */
void fk_transaction_send(FkController *c, FkOutput *transaction, FkTransactionCallback done, gpointer data,
                         GDestroyNotify free_data);
/* Reads one key. `path` is taken; the rest as for a transaction. */
void fk_read_send(FkController *c, char *path, FkReadCallback done, gpointer data, GDestroyNotify free_data);

/* The record of a live job, owned by the caller. */
FkRecord *fk_job_record_new(const FkJob *job, gboolean cancelled);
