#include "core/scheduling/stop_transaction.h"

#define CHUNKS_MAX 8 /* a transaction */

static void stop_done(FkController *c, gpointer data, FkOutcome o, FkRev epoch, GPtrArray *failed) {
  c->stopping = FALSE;
  c->stop_after = fk_time_add(c->now, 0.3);
  if (o == FK_OK || o == FK_CONFLICT)
    c->stop_wait = epoch;
}

gboolean fk_stops_add(FkController *c, FkStops *s, FkJob *j, guint32 task) {
  guint32 index = task / j->spec->chunk;
  /* one that is larger than the limits allow can't be written before some of it has ended */
  if (!j->chunks[index] || !fk_chunk_fits(j->chunks[index], c->settings->value_kb, NULL, NULL))
    return TRUE;
  if (!s->txn) {
    s->txn = fk_txn_new(c, FK_PRIO_LAUNCH);
    s->chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  }
  g_autofree char *path = fk_key_chunk(j->spec->id, index);
  FkChunk *copy = g_hash_table_lookup(s->chunks, path);
  if (!copy) {
    if (s->txn->writes->len >= MIN(CHUNKS_MAX, c->settings->txn_ops))
      return FALSE;
    copy = fk_chunk_copy(j->chunks[index]);
    FkRecord *r = fk_record_new(FK_KEY_CHUNK);
    r->chunk = copy;
    fk_txn_guard(s->txn, g_strdup(path), copy->rev);
    fk_txn_put(s->txn, g_strdup(path), r, (FkRev){0});
    g_hash_table_insert(s->chunks, g_strdup(path), copy);
  }
  fk_chunk_stop(copy, task);
  return TRUE;
}

void fk_stops_all_of(FkController *c, FkStops *s, FkJob *j) {
  for (guint32 i = 0; i < j->n_chunks; i++)
    for (guint k = 0; j->chunks[i] && k < j->chunks[i]->bookings->len; k++) {
      const FkBooking *b = &g_array_index(j->chunks[i]->bookings, FkBooking, k);
      if (!b->stop)
        fk_stops_add(c, s, j, b->task);
    }
}

void fk_stops_send(FkController *c, FkStops *s) {
  if (!s->txn)
    return;
  g_clear_pointer(&s->chunks, g_hash_table_unref);
  if (!s->txn->writes->len) {
    g_clear_pointer(&s->txn, fk_out_free);
    return;
  }
  c->stopping = TRUE;
  fk_txn_send(c, g_steal_pointer(&s->txn), stop_done, NULL, NULL);
}
