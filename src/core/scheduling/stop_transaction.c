#include "core/scheduling/stop_transaction.h"

#define CHUNKS_MAX 8 /* in one transaction */
#define SEND_INTERVAL_S 0.3

static void on_committed(FkController *c, gpointer data, FkOutcome outcome, FkRev epoch, GPtrArray *failed) {
  c->leader.preempting = FALSE;
  c->leader.next_preemption_at = fk_time_add(c->now, SEND_INTERVAL_S);
  if (outcome == FK_OUTCOME_OK || outcome == FK_OUTCOME_CONFLICT)
    c->leader.preempt_wait_rev = epoch;
}

/* The job's chunk as the transaction will write it; NULL: there is no room for it. */
static FkChunk *open_chunk(FkController *c, FkStopTransaction *stops, const FkJob *job, guint32 index) {
  if (!stops->txn) {
    stops->txn = fk_transaction_new(c, FK_PRIORITY_LAUNCH);
    stops->chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  }
  g_autofree char *path = fk_store_key_chunk_path(job->spec->id, index);
  FkChunk *copy = g_hash_table_lookup(stops->chunks, path);
  if (copy)
    return copy;
  if (stops->txn->writes->len >= MIN(CHUNKS_MAX, c->settings->transaction_ops_max))
    return NULL;
  copy = fk_chunk_copy(job->chunks[index]);
  FkRecord *record = fk_record_new(FK_STORE_KEY_CHUNK);
  record->chunk = copy;
  fk_transaction_guard(stops->txn, g_strdup(path), copy->rev);
  fk_transaction_put(stops->txn, g_strdup(path), record, (FkRev){0});
  g_hash_table_insert(stops->chunks, g_steal_pointer(&path), copy);
  return copy;
}

gboolean fk_stop_transaction_add(FkController *c, FkStopTransaction *stops, FkJob *job, guint32 task) {
  guint32 index = task / job->spec->chunk_tasks;
  /* a chunk that is larger than the limits allow can't be written before some of its tasks have ended */
  if (!job->chunks[index] || !fk_chunk_fits(job->chunks[index], c->settings->value_kb, NULL, NULL))
    return TRUE;
  FkChunk *chunk = open_chunk(c, stops, job, index);
  if (!chunk)
    return FALSE;
  fk_chunk_request_stop(chunk, task);
  return TRUE;
}

void fk_stop_transaction_add_job(FkController *c, FkStopTransaction *stops, FkJob *job) {
  for (guint32 i = 0; i < job->chunk_count; i++)
    for (guint k = 0; job->chunks[i] && k < job->chunks[i]->allocations->len; k++) {
      const FkAllocation *allocation = &g_array_index(job->chunks[i]->allocations, FkAllocation, k);
      if (!allocation->stop_requested)
        fk_stop_transaction_add(c, stops, job, allocation->task);
    }
}

void fk_stop_transaction_send(FkController *c, FkStopTransaction *stops) {
  if (!stops->txn)
    return;
  g_clear_pointer(&stops->chunks, g_hash_table_unref);
  if (!stops->txn->writes->len) {
    g_clear_pointer(&stops->txn, fk_output_free);
    return;
  }
  c->leader.preempting = TRUE;
  fk_transaction_send(c, g_steal_pointer(&stops->txn), on_committed, NULL, NULL);
}
