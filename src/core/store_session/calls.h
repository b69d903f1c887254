/* Calls to the store that wait for an answer: transactions and reads. */
#pragma once
#include "core/messages.h"

/* Calls to the store that are under way, and how quickly it has answered lately. */
typedef struct {
  guint64 last_id;       /* of all calls, to workers and the cloud as well */
  double latency_ewma_s; /* how late the store usually answers a transaction; 0: none was answered yet */
  double lost_share;     /* share of the transactions that had to be sent again, lately */
  guint retried_count;   /* answered after more than one send, in this window */
  GHashTable *pending_transactions;                 /* call id -> the call, with its callback */
  GHashTable *pending_reads;                        /* the same */
  guint transactions[FK_PRIORITY_RESULT + 1];       /* in this window, by purpose */
  guint transaction_writes[FK_PRIORITY_RESULT + 1]; /* ... and their writes */
} FkCalls;

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
