/* Calls to the store, and what waits for their answers.
 *
 * A transaction without an answer is retried unchanged, after a few times the usual latency: one that got
 * lost, or is carried out much later, must not keep a user, or all launches of a controller, waiting for the
 * deadline. That is as safe as the network's own repeats (docs/design.md, "Asked again"): its guards let it
 * be carried out once at the most. */
#include "core/controller.h"
#include "core/controller_internal.h"

#define RETRY_LATENCY_FACTOR 4.0 /* times the usual latency ... */
#define RETRY_MIN_S 0.08         /* ... but not sooner than this, */
#define RETRY_MAX_S 1.0          /* nor later; doubled at each retry */
#define RETRY_LOSSLESS_MIN_S                                                                                 \
  0.4 /* while hardly any is lost: some answers are slow, and each retry costs writes */
#define LOSSY_RETRY_SHARE 0.1 /* of the transactions had to be retried */
#define SENDS_MAX 4
#define DEFAULT_LATENCY_S 0.02  /* until the first answer */
#define LATENCY_EWMA_WEIGHT 0.1 /* of the newest answer */
#define OUTAGE_S 3.0            /* the store is asked all the time: no answer for so long is an outage */

typedef struct {
  FkTransactionCallback committed;
  FkReadCallback got;
  gpointer data;
  GDestroyNotify free_data;
  FkOutput *out; /* the transaction */
  FkTime sent;   /* when it went out last; 0: it is in the queue of the budget */
  guint sends;   /* how often it was sent, or queued to be */
  guint open;    /* of those, how many are not known to have been refused */
} Call;

void fk_call_free(gpointer value) {
  Call *call = value;
  if (call->free_data)
    call->free_data(call->data);
  fk_output_free(call->out);
  g_free(call);
}

void fk_controller_transaction_sent(FkController *c, FkTime now, guint64 id) {
  Call *call = g_hash_table_lookup(c->calls.pending_transactions, &id);
  if (call)
    call->sent = now;
}

static double retry_after_s(const FkController *c, const Call *call) {
  double latency_s = c->calls.latency_ewma_s > 0 ? c->calls.latency_ewma_s : DEFAULT_LATENCY_S;
  double min_s = c->calls.lost_share > LOSSY_RETRY_SHARE ? RETRY_MIN_S : RETRY_LOSSLESS_MIN_S;
  return CLAMP(RETRY_LATENCY_FACTOR * latency_s, min_s, RETRY_MAX_S) * (1 << (call->sends - 1));
}

void fk_calls_retry_overdue(FkController *c) {
  GHashTableIter it;
  gpointer value;
  double launch_writes_available = c->launches.launch_writes_available;
  g_hash_table_iter_init(&it, c->calls.pending_transactions);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    Call *call = value;
    if (!call->sent.us || call->sends >= SENDS_MAX ||
        fk_time_between(call->sent, c->now) < retry_after_s(c, call))
      continue;
    guint writes = call->out->writes->len;
    if (call->out->priority > FK_PRIORITY_USER && writes > launch_writes_available)
      continue; /* over the budget it would only keep others waiting */
    launch_writes_available -= writes;
    call->sent.us = 0;
    call->sends++;
    call->open++;
    g_queue_push_tail(c->outputs, fk_output_ref(call->out));
  }
}

FkOutput *fk_transaction_new(FkController *c, FkTransactionPriority priority) {
  FkOutput *transaction = g_new0(FkOutput, 1);
  transaction->kind = FK_OUTPUT_COMMIT;
  transaction->priority = priority;
  transaction->guards = g_array_new(FALSE, FALSE, sizeof(FkGuard));
  transaction->writes = g_array_new(FALSE, FALSE, sizeof(FkWrite));
  return transaction;
}

void fk_transaction_guard(FkOutput *transaction, char *path, FkRev rev) {
  for (guint i = 0; i < transaction->guards->len; i++)
    if (g_str_equal(g_array_index(transaction->guards, FkGuard, i).path, path)) {
      g_free(path);
      return;
    }
  FkGuard guard = {path, rev};
  g_array_append_val(transaction->guards, guard);
}

void fk_transaction_put(FkOutput *transaction, char *path, FkRecord *record, FkRev lease) {
  FkWrite write = {path, record, lease};
  g_array_append_val(transaction->writes, write);
}

void fk_transaction_delete(FkOutput *transaction, char *path) {
  FkWrite write = {path, NULL, {0}};
  g_array_append_val(transaction->writes, write);
}

void fk_transaction_send(FkController *c, FkOutput *transaction, FkTransactionCallback done, gpointer data,
                         GDestroyNotify free_data) {
  Call *call = g_new0(Call, 1);
  call->committed = done;
  call->data = data;
  call->free_data = free_data;
  call->out = fk_output_ref(transaction);
  call->sends = call->open = 1;
  transaction->call = ++c->calls.last_id;
  c->calls.transactions[transaction->priority]++;
  c->calls.transaction_writes[transaction->priority] += transaction->writes->len;
  g_hash_table_insert(c->calls.pending_transactions, g_memdup2(&transaction->call, sizeof transaction->call),
                      call);
  g_queue_push_tail(c->outputs, transaction);
}

void fk_read_send(FkController *c, char *path, FkReadCallback done, gpointer data, GDestroyNotify free_data) {
  Call *call = g_new0(Call, 1);
  call->got = done;
  call->data = data;
  call->free_data = free_data;
  FkOutput *output = fk_output_new(c, FK_OUTPUT_GET);
  output->path = path;
  output->call = ++c->calls.last_id;
  g_hash_table_insert(c->calls.pending_reads, g_memdup2(&output->call, sizeof output->call), call);
}

static Call *take_call(GHashTable *table, guint64 id) {
  gpointer key, value;
  if (!g_hash_table_steal_extended(table, &id, &key, &value))
    return NULL;
  g_free(key);
  return value;
}

void fk_store_session_record_outcome(FkController *c, FkOutcome outcome) {
  if (outcome == FK_OUTCOME_REFUSED || outcome == FK_OUTCOME_UNKNOWN)
    return;
  if (fk_time_between(c->store_session.store_answered_at, c->now) > OUTAGE_S)
    c->store_session.store_recovered_at = c->now;
  c->store_session.store_answered_at = c->now;
}

void fk_controller_commit_received(FkController *c, FkTime now, guint64 id, FkOutcome outcome, FkRev epoch,
                                   GPtrArray *failed) {
  c->now = now;
  fk_store_session_record_outcome(c, outcome);
  if (outcome == FK_OUTCOME_OK && epoch.n > c->store_session.latest_rev_seen.n)
    c->store_session.latest_rev_seen = epoch;
  Call *call = g_hash_table_lookup(c->calls.pending_transactions, &id);
  if (!call)
    return;
  if ((outcome == FK_OUTCOME_REFUSED || outcome == FK_OUTCOME_INVALID) && --call->open)
    return; /* another of its sends may yet be carried out */
  if ((outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT) && call->sent.us) {
    c->calls.latency_ewma_s +=
        LATENCY_EWMA_WEIGHT * (fk_time_between(call->sent, now) - c->calls.latency_ewma_s);
    c->calls.lost_share += LATENCY_EWMA_WEIGHT * ((call->sends > 1) - c->calls.lost_share);
    c->calls.retried_count += call->sends > 1;
  }
  call = take_call(c->calls.pending_transactions, id);
  call->committed(c, call->data, outcome, epoch, failed);
  fk_call_free(call);
}

void fk_controller_get_received(FkController *c, FkTime now, guint64 id, FkOutcome outcome,
                                FkStoreEvent *event) {
  c->now = now;
  fk_store_session_record_outcome(c, outcome);
  Call *call = take_call(c->calls.pending_reads, id);
  if (call) {
    call->got(c, call->data, outcome, event);
    fk_call_free(call);
  }
  fk_store_event_free(event);
}

FkRecord *fk_job_record_new(const FkJob *job, gboolean cancelled) {
  FkRecord *record = fk_record_new(FK_STORE_KEY_JOB);
  record->spec = fk_spec_ref(job->spec);
  record->cancelled = cancelled;
  return record;
}

gboolean fk_transaction_finalize_job(FkController *c, FkOutput *transaction, FkJob *job, guint writes_left) {
  if (writes_left < 2)
    return FALSE;
  FkRecord *record = fk_record_new(FK_STORE_KEY_TERMINAL_JOB);
  record->phase = job->cancelled ? FK_PHASE_CANCELLED : FK_PHASE_DONE;
  record->tasks = job->cancelled ? job->done : job->spec->tasks;
  if (fk_dependency_graph_has_dependents(c->view->dependencies, job->spec->id))
    record->ended_at_ms = (c->now.us + c->view->wall_offset_us) / 1000; /* the dependents' waits begin here */
  fk_transaction_guard(transaction, fk_store_key_path(FK_STORE_KEY_JOB, job->spec->id), job->rev);
  fk_transaction_put(transaction, fk_store_key_path(FK_STORE_KEY_TERMINAL_JOB, job->spec->id), record,
                     (FkRev){0});
  fk_transaction_delete(transaction, fk_store_key_path(FK_STORE_KEY_JOB, job->spec->id));
  writes_left -= 2;
  for (guint32 i = 0; i < job->chunk_count && writes_left; i++)
    if (job->chunks[i]) {
      fk_transaction_delete(transaction, fk_store_key_chunk_path(job->spec->id, i));
      writes_left--;
    }
  return TRUE;
}
