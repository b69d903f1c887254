/* Finalizes jobs that have ended: a transaction deletes a job's live records and writes its terminal state.
 * Chunks of tasks that don't fit into this transaction are deleted by later transactions. */
#include "core/leader/leader_internal.h"

#define FREE_WRITES_MIN 3       /* with fewer available writes, only jobs with dependents are finalized */
#define JOB_WRITES_MIN 3        /* least writes for a job: its record, its terminal state, and one chunk */
#define ORPHAN_DELETES_MAX 12   /* most orphan chunks deleted by one transaction */
#define FINALIZE_INTERVAL_S 0.3 /* delay after a scan that found nothing to do */

#define FINALIZE_INTERVAL_MAX_S 2.0 /* longest delay after a transaction */
#define FINALIZE_WRITE_SHARE 0.4    /* share of the store's write rate for finalization */

static void on_finalization_reply(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch,
                                  GPtrArray *failed) {
  c->leader.finalizing = FALSE;
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->leader.finalize_wait_rev = epoch;
}

static void send_transaction(FkController *c, FkOutput *transaction) {
  c->leader.finalizing = TRUE;
  fk_transaction_send(c, transaction, on_finalization_reply, NULL, NULL);
}

/* Adds the job to the transaction, with as many of its chunks as there are operations left. Returns FALSE,
 * without adding anything, if too few operations are left. */
static gboolean add_job(FkController *c, FkOutput *transaction, FkJob *job) {
  guint operations_left = c->settings->transaction_ops_max - transaction->writes->len;
  return fk_transaction_finalize_job(c, transaction, job, operations_left);
}

/* Returns a transaction that finalizes complete jobs that other jobs depend on, or NULL if there are none.
 * This transaction is sent first, without waiting for the finalization interval or for available writes,
 * because the dependents can't start until the terminal states are written. */
static FkOutput *finalize_dependencies(FkController *c) {
  if (!fk_dependency_graph_size(c->view->dependencies))
    return NULL;
  FkOutput *transaction = NULL;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkJob *job = value;
    if (job->allocated || job->cancelled || !fk_job_is_complete(job) ||
        !fk_dependency_graph_has_dependents(c->view->dependencies, job->spec->id))
      continue;
    if (!transaction)
      transaction = fk_transaction_new(c, FK_PRIORITY_SHARD);
    if (!add_job(c, transaction, job) ||
        transaction->writes->len + JOB_WRITES_MIN > c->settings->transaction_ops_max)
      break;
  }
  return transaction;
}

/* Returns a transaction that finalizes ended jobs, or NULL if there are none. Jobs are added while at least
 * JOB_WRITES_MIN of `writes_max` writes are left. The last job's writes may exceed `writes_max`. */
static FkOutput *finalize_jobs(FkController *c, guint writes_max) {
  FkOutput *transaction = NULL;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkJob *job = value;
    /* While services have priority for the store's writes, cancelled jobs are skipped: their records already
     * show the cancellation, so that their terminal states can be written later. */
    if (job->allocated || !(job->cancelled ? !fk_services_have_priority(c) : fk_job_is_complete(job)))
      continue;
    if (!transaction)
      transaction = fk_transaction_new(c, FK_PRIORITY_RESULT);
    if (!add_job(c, transaction, job) || transaction->writes->len + JOB_WRITES_MIN > writes_max)
      break;
  }
  return transaction;
}

/* Returns a transaction that deletes up to ORPHAN_DELETES_MAX chunks whose job has no live record, or NULL if
 * there are none. */
static FkOutput *delete_orphan_chunks(FkController *c) {
  if (!g_hash_table_size(c->view->orphan_chunks))
    return NULL;
  FkOutput *transaction = fk_transaction_new(c, FK_PRIORITY_RESULT);
  GHashTableIter it;
  gpointer path, rev;
  g_hash_table_iter_init(&it, c->view->orphan_chunks);
  while (transaction->writes->len < MIN(c->settings->transaction_ops_max, ORPHAN_DELETES_MAX) &&
         g_hash_table_iter_next(&it, &path, &rev)) {
    g_autofree char *job_id = NULL;
    guint32 chunk;
    fk_store_key_parse(path, &job_id, &chunk);
    fk_transaction_guard(transaction, g_strdup(path), *(FkRev *)rev);
    /* This guard makes the store confirm that the job has no live record. The view isn't enough: the store is
     * listed page by page, and a job that is accepted during the listing can be missing from the view
     * although its first chunk is listed. Deleting that chunk would start the job's tasks a second time. */
    fk_transaction_guard(transaction, fk_store_key_path(FK_STORE_KEY_JOB, job_id), (FkRev){0});
    fk_transaction_delete(transaction, g_strdup(path));
  }
  return transaction;
}

void fk_job_finalization_tick(FkController *c) {
  if (c->leader.finalizing || c->view->applied.n < c->leader.finalize_wait_rev.n)
    return;
  FkOutput *transaction = finalize_dependencies(c);
  if (transaction) {
    send_transaction(c, transaction);
    return;
  }
  if (!fk_time_reached(c->now, c->leader.next_finalization_at) ||
      c->launches.launch_writes_available < FREE_WRITES_MIN)
    return;
  c->leader.next_finalization_at = fk_time_add(c->now, FINALIZE_INTERVAL_S);
  transaction =
      finalize_jobs(c, (guint)MIN(c->settings->transaction_ops_max, c->launches.launch_writes_available));
  if (!transaction)
    transaction = delete_orphan_chunks(c);
  if (!transaction)
    return;
  double interval_s = transaction->writes->len / (FINALIZE_WRITE_SHARE * c->settings->store_write_rps);
  c->leader.next_finalization_at = fk_time_add(c->now, MIN(FINALIZE_INTERVAL_MAX_S, interval_s));
  send_transaction(c, transaction);
}
