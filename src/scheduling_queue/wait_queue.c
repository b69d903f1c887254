#include "scheduling_queue/wait_queue.h"

typedef struct {
  gpointer item;
  FkWaitKey key;
} Entry;

struct FkWaitQueue {
  GSequence *entries; /* Entry */
  GHashTable *index;  /* item -> GSequenceIter */
};

int fk_wait_key_compare(const FkWaitKey *a, const FkWaitKey *b) {
  if (a->rank != b->rank)
    return a->rank < b->rank ? -1 : 1;
  if (a->standing != b->standing)
    return a->standing < b->standing ? -1 : 1;
  if (a->urgent != b->urgent)
    return a->urgent ? -1 : 1;
  if (a->hopeful != b->hopeful)
    return a->hopeful ? -1 : 1;
  if (a->hopeful && a->work != b->work)
    return a->work < b->work ? -1 : 1;
  return a->since_us < b->since_us ? -1 : a->since_us > b->since_us;
}

static int compare_by_key(gconstpointer a, gconstpointer b, gpointer unused) {
  return fk_wait_key_compare(&((const Entry *)a)->key, &((const Entry *)b)->key);
}

FkWaitQueue *fk_wait_queue_new(void) {
  FkWaitQueue *o = g_new0(FkWaitQueue, 1);
  o->entries = g_sequence_new(g_free);
  o->index = g_hash_table_new(g_direct_hash, g_direct_equal);
  return o;
}

void fk_wait_queue_free(FkWaitQueue *o) {
  if (!o)
    return;
  g_hash_table_unref(o->index);
  g_sequence_free(o->entries);
  g_free(o);
}

void fk_wait_queue_clear(FkWaitQueue *o) {
  g_hash_table_remove_all(o->index);
  g_sequence_remove_range(g_sequence_get_begin_iter(o->entries), g_sequence_get_end_iter(o->entries));
}

guint fk_wait_queue_size(const FkWaitQueue *o) { return g_hash_table_size(o->index); }

static void insert(FkWaitQueue *o, gpointer item, const FkWaitKey *key) {
  Entry *e = g_new0(Entry, 1);
  *e = (Entry){item, *key};
  g_hash_table_insert(o->index, item, g_sequence_insert_sorted(o->entries, e, compare_by_key, NULL));
}

void fk_wait_queue_put(FkWaitQueue *o, gpointer item, const FkWaitKey *key) {
  GSequenceIter *at = g_hash_table_lookup(o->index, item);
  if (!at) {
    insert(o, item, key);
    return;
  }
  Entry *e = g_sequence_get(at);
  if (fk_wait_key_compare(&e->key, key) == 0)
    return;
  e->key = *key;
  g_sequence_sort_changed(at, compare_by_key, NULL);
}

gboolean fk_wait_queue_remove(FkWaitQueue *o, gpointer item) {
  GSequenceIter *at = g_hash_table_lookup(o->index, item);
  if (!at)
    return FALSE;
  g_hash_table_remove(o->index, item);
  g_sequence_remove(at);
  return TRUE;
}

guint fk_wait_queue_place(const FkWaitQueue *o, gpointer item) {
  GSequenceIter *at = g_hash_table_lookup(o->index, item);
  return at ? (guint)g_sequence_iter_get_position(at) + 1 : 0;
}

void fk_wait_queue_first(const FkWaitQueue *o, guint most, guint looked_at_most,
                         gboolean (*wanted)(gpointer item, gpointer data), gpointer data, GPtrArray *out) {
  GSequenceIter *at = g_sequence_get_begin_iter(o->entries);
  guint taken = 0;
  for (guint i = 0; i < looked_at_most && taken < most && !g_sequence_iter_is_end(at); i++) {
    const Entry *e = g_sequence_get(at);
    if (wanted(e->item, data)) {
      g_ptr_array_add(out, e->item);
      taken++;
    }
    at = g_sequence_iter_next(at);
  }
}
