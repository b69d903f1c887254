/* Calls to the store: transactions and reads. */
#pragma once
#include "core/messages.h"

/* The calls to the store that await replies, and statistics of recent transactions. */
typedef struct {
  guint64 last_id; /* id of the latest call; calls to the store, workers and the cloud share the numbering */
  double latency_ewma_s; /* moving average of transaction latency in seconds; 0 before the first reply */
  double retried_share;  /* moving average of the share of transactions that were sent more than once */
  guint retried_count;   /* number of transactions in this window that were answered after a retry */
  GHashTable *pending_transactions;                 /* call id -> Call */
  GHashTable *pending_reads;                        /* call id -> Call */
  guint transactions[FK_PRIORITY_RESULT + 1];       /* number in this window, by priority; without retries */
  guint transaction_writes[FK_PRIORITY_RESULT + 1]; /* number of writes in `transactions`, by priority */
} FkCalls;

/* Receives the outcome of a transaction. `store_rev`: the store's revision at the reply. `failed`: paths
 * (char*) of the guards that did not hold, or NULL. */
typedef void (*FkTransactionCallback)(FkController *c, gpointer data, FkOutcome outcome, FkRev store_rev,
                                      GPtrArray *failed);
/* Receives the outcome of a read. `event`: the key's state, valid during the call; NULL unless the outcome is
 * OK. */
typedef void (*FkReadCallback)(FkController *c, gpointer data, FkOutcome outcome, FkStoreEvent *event);

/* Frees a Call; the GDestroyNotify of `pending_transactions` and `pending_reads`. */
void fk_call_free(gpointer call);
/* Retries the transactions whose replies are overdue. */
void fk_calls_retry_overdue(FkController *c);

/* Returns an empty transaction, owned by the caller until it is sent. */
FkOutput *fk_transaction_new(FkController *c, FkTransactionPriority priority);
/* Adds a guard: the transaction commits only if the key at `path` is still at `rev`, or does not exist if
 * `rev` is 0. Does nothing if the transaction already has a guard on the path. Takes ownership of `path`. */
void fk_transaction_guard(FkOutput *transaction, char *path, FkRev rev);
/* Adds a write of `record` at `path`. The key is attached to `lease`, unless `lease` is 0. Takes ownership of
 * `path` and `record`. */
void fk_transaction_put(FkOutput *transaction, char *path, FkRecord *record, FkRev lease);
/* Adds a deletion of the key. Takes ownership of `path`. */
void fk_transaction_delete(FkOutput *transaction, char *path);
/* Adds the writes that move a job to its terminal state. The job must be complete, or cancelled without
 * allocations. Adds at most `writes_left` writes; the remaining chunks are later deleted as orphans.
 * Returns FALSE, and adds nothing, if `writes_left` is too low. */
gboolean fk_transaction_finalize_job(FkController *c, FkOutput *transaction, FkJob *job, guint writes_left);
/* Sends the transaction and takes ownership of it. Calls `done` once with the outcome, unless the controller
 * is freed first. Frees `data` with `free_data`, unless `free_data` is NULL. */
void fk_transaction_send(FkController *c, FkOutput *transaction, FkTransactionCallback done, gpointer data,
                         GDestroyNotify free_data);
/* Reads one key. Takes ownership of `path`; the other arguments are as for fk_transaction_send(). */
void fk_read_send(FkController *c, char *path, FkReadCallback done, gpointer data, GDestroyNotify free_data);

/* Returns a new record of a live job, owned by the caller. */
FkRecord *fk_job_record_new(const FkJob *job, gboolean cancelled);
