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
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->standing != b->standing)
    return a->standing < b->standing ? -1 : 1;
  if (a->urgent != b->urgent)
    return a->urgent ? -1 : 1;
  if (a->feasible != b->feasible)
    return a->feasible ? -1 : 1;
  if (a->feasible && a->remaining_work != b->remaining_work)
    return a->remaining_work < b->remaining_work ? -1 : 1;
  return a->since_us < b->since_us ? -1 : a->since_us > b->since_us;
}

static int compare_by_key(gconstpointer a, gconstpointer b, gpointer unused) {
  return fk_wait_key_compare(&((const Entry *)a)->key, &((const Entry *)b)->key);
}

FkWaitQueue *fk_wait_queue_new(void) {
  FkWaitQueue *queue = g_new0(FkWaitQueue, 1);
  queue->entries = g_sequence_new(g_free);
  queue->index = g_hash_table_new(g_direct_hash, g_direct_equal);
  return queue;
}

void fk_wait_queue_free(FkWaitQueue *queue) {
  if (!queue)
    return;
  g_hash_table_unref(queue->index);
  g_sequence_free(queue->entries);
  g_free(queue);
}

void fk_wait_queue_clear(FkWaitQueue *queue) {
  g_hash_table_remove_all(queue->index);
  g_sequence_remove_range(g_sequence_get_begin_iter(queue->entries), g_sequence_get_end_iter(queue->entries));
}

guint fk_wait_queue_size(const FkWaitQueue *queue) { return g_hash_table_size(queue->index); }

static void insert(FkWaitQueue *queue, gpointer item, const FkWaitKey *key) {
  Entry *entry = g_new0(Entry, 1);
  *entry = (Entry){item, *key};
  g_hash_table_insert(queue->index, item,
                      g_sequence_insert_sorted(queue->entries, entry, compare_by_key, NULL));
}

void fk_wait_queue_put(FkWaitQueue *queue, gpointer item, const FkWaitKey *key) {
  GSequenceIter *position = g_hash_table_lookup(queue->index, item);
  if (!position) {
    insert(queue, item, key);
    return;
  }
  Entry *entry = g_sequence_get(position);
  if (fk_wait_key_compare(&entry->key, key) == 0)
    return;
  entry->key = *key;
  g_sequence_sort_changed(position, compare_by_key, NULL);
}

gboolean fk_wait_queue_remove(FkWaitQueue *queue, gpointer item) {
  GSequenceIter *position = g_hash_table_lookup(queue->index, item);
  if (!position)
    return FALSE;
  g_hash_table_remove(queue->index, item);
  g_sequence_remove(position);
  return TRUE;
}

guint fk_wait_queue_position(const FkWaitQueue *queue, gpointer item) {
  GSequenceIter *position = g_hash_table_lookup(queue->index, item);
  return position ? (guint)g_sequence_iter_get_position(position) + 1 : 0;
}

void fk_wait_queue_first(const FkWaitQueue *queue, guint count_max, guint examined_max,
                         gboolean (*wanted)(gpointer item, gpointer data), gpointer data, GPtrArray *items) {
  GSequenceIter *position = g_sequence_get_begin_iter(queue->entries);
  guint found = 0;
  for (guint i = 0; i < examined_max && found < count_max && !g_sequence_iter_is_end(position); i++) {
    const Entry *entry = g_sequence_get(position);
    if (wanted(entry->item, data)) {
      g_ptr_array_add(items, entry->item);
      found++;
    }
    position = g_sequence_iter_next(position);
  }
}
