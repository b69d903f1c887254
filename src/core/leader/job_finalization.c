/* Finalization of jobs: one transaction replaces the live records of ended jobs by their terminal states.
 * Chunks of tasks that didn't fit into that transaction are deleted by later ones. */
#include "core/leader/leader_internal.h"

#define FREE_WRITES_MIN 3     /* writes that must be free before a transaction is made */
#define JOB_WRITES_MIN 3      /* of a job in a transaction: its record, its terminal state, a chunk */
#define ORPHAN_DELETES_MAX 12 /* a transaction */
#define FINALIZE_INTERVAL_S 0.3
#define FINALIZE_INTERVAL_MAX_S 2.0
#define FINALIZE_WRITE_SHARE 0.4 /* of the store's write rate */

static void on_finalized(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch, GPtrArray *failed) {
  c->leader.finalizing = FALSE;
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->leader.finalize_wait_rev = epoch;
}

static void send_transaction(FkController *c, FkOutput *transaction) {
  c->leader.finalizing = TRUE;
  fk_transaction_send(c, transaction, on_finalized, NULL, NULL);
}

/* Adds the job, with as many of its chunks as there are operations left. FALSE: it didn't fit. */
static gboolean add_job(FkController *c, FkOutput *transaction, FkJob *job) {
  guint operations_left = c->settings->transaction_ops_max - transaction->writes->len;
  return fk_transaction_finalize_job(c, transaction, job, operations_left);
}

/* Complete jobs that others depend on, ahead of all else: until their terminal states are written, their
 * dependents can't start. NULL: there are none. */
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

/* All ended jobs, as far as they fit into `writes_max` writes. NULL: there are none. */
static FkOutput *finalize_jobs(FkController *c, guint writes_max) {
  FkOutput *transaction = NULL;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkJob *job = value;
    /* a cancellation is visible in the job's record: its terminal state can wait */
    if (job->allocated || !(job->cancelled ? !fk_services_have_priority(c) : fk_job_is_complete(job)))
      continue;
    if (!transaction)
      transaction = fk_transaction_new(c, FK_PRIORITY_RESULT);
    if (!add_job(c, transaction, job) || transaction->writes->len + JOB_WRITES_MIN > writes_max)
      break;
  }
  return transaction;
}

/* Chunks whose job is gone. NULL: there are none. */
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
    /* Only the store can say that there is no such job: in a list that was read page by page, a job that was
     * accepted meanwhile is missing although its first chunk isn't. To delete that chunk would start the
     * job's tasks a second time. */
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
  if (!fk_time_reached(c->now, c->leader.next_sweep) || c->launches.launch_writes_available < FREE_WRITES_MIN)
    return;
  c->leader.next_sweep = fk_time_add(c->now, FINALIZE_INTERVAL_S);
  transaction =
      finalize_jobs(c, (guint)MIN(c->settings->transaction_ops_max, c->launches.launch_writes_available));
  if (!transaction)
    transaction = delete_orphan_chunks(c);
  if (!transaction)
    return;
  double paced_s = transaction->writes->len / (FINALIZE_WRITE_SHARE * c->settings->store_write_rps);
  c->leader.next_sweep = fk_time_add(c->now, MIN(FINALIZE_INTERVAL_MAX_S, paced_s));
  send_transaction(c, transaction);
}
