#include "core/scheduling/stop_transaction.h"

#define STOP_CHUNKS_MAX 8 /* a transaction */

static void on_stops_committed(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->leader.preempting = FALSE;
  c->leader.preempt_after = fk_time_add(c->now, 0.3);
  if (o == FK_OUTCOME_OK || o == FK_OUTCOME_CONFLICT)
    c->leader.preempt_wait_rev = epoch;
}

gboolean fk_stop_transaction_add(FkController *c, FkStopTransaction *s, FkJob *j, guint32 task) {
  guint32 index = task / j->spec->chunk_tasks;
  /* one that is larger than the limits allow can't be written before some of it has ended */
  if (!j->chunks[index] || !fk_chunk_fits(j->chunks[index], c->settings->value_kb, NULL, NULL))
    return TRUE;
  if (!s->txn) {
    s->txn = fk_transaction_new(c, FK_PRIORITY_LAUNCH);
    s->chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  }
  g_autofree char *path = fk_key_chunk_path(j->spec->id, index);
  FkChunk *copy = g_hash_table_lookup(s->chunks, path);
  if (!copy) {
    if (s->txn->writes->len >= MIN(STOP_CHUNKS_MAX, c->settings->transaction_ops_max))
      return FALSE;
    copy = fk_chunk_copy(j->chunks[index]);
    FkRecord *r = fk_record_new(FK_KEY_CHUNK);
    r->chunk = copy;
    fk_transaction_guard(s->txn, g_strdup(path), copy->rev);
    fk_transaction_put(s->txn, g_strdup(path), r, (FkRev){0});
    g_hash_table_insert(s->chunks, g_strdup(path), copy);
  }
  fk_chunk_request_stop(copy, task);
  return TRUE;
}

void fk_stop_transaction_add_job(FkController *c, FkStopTransaction *s, FkJob *j) {
  for (guint32 i = 0; i < j->chunk_count; i++)
    for (guint k = 0; j->chunks[i] && k < j->chunks[i]->allocations->len; k++) {
      const FkAllocation *b = &g_array_index(j->chunks[i]->allocations, FkAllocation, k);
      if (!b->stop_requested)
        fk_stop_transaction_add(c, s, j, b->task);
    }
}

void fk_stop_transaction_send(FkController *c, FkStopTransaction *s) {
  if (!s->txn)
    return;
  g_clear_pointer(&s->chunks, g_hash_table_unref);
  if (!s->txn->writes->len) {
    g_clear_pointer(&s->txn, fk_output_free);
    return;
  }
  c->leader.preempting = TRUE;
  fk_transaction_send(c, g_steal_pointer(&s->txn), on_stops_committed, NULL, NULL);
}
