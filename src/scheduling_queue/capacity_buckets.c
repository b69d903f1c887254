#include "scheduling_queue/capacity_buckets.h"

#define BUCKETS_PER_CPU 4
#define BUCKET_MAX 1024 /* more than so many count as so many */

typedef struct {
  gpointer item;
  guint step, at; /* its bucket, and its place there */
  guint listed;   /* its place among all */
} Entry;

struct FkCapacityBuckets {
  GPtrArray *buckets[BUCKET_MAX + 1]; /* Entry; NULL: none yet */
  GPtrArray *items;
  GHashTable *index; /* item -> Entry */
  guint highest;     /* no bucket above has any */
};

FkCapacityBuckets *fk_capacity_buckets_new(void) {
  FkCapacityBuckets *c = g_new0(FkCapacityBuckets, 1);
  c->items = g_ptr_array_new();
  c->index = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
  return c;
}

void fk_capacity_buckets_clear(FkCapacityBuckets *c) {
  for (guint i = 0; i <= BUCKET_MAX; i++)
    if (c->buckets[i])
      g_ptr_array_set_size(c->buckets[i], 0);
  g_ptr_array_set_size(c->items, 0);
  g_hash_table_remove_all(c->index);
  c->highest = 0;
}

void fk_capacity_buckets_free(FkCapacityBuckets *c) {
  if (!c)
    return;
  for (guint i = 0; i <= BUCKET_MAX; i++)
    g_clear_pointer(&c->buckets[i], g_ptr_array_unref);
  g_ptr_array_unref(c->items);
  g_hash_table_unref(c->index);
  g_free(c);
}

static guint bucket_of(double cpus) { return (guint)CLAMP(cpus * BUCKETS_PER_CPU + 1e-6, 0, BUCKET_MAX); }

static void enter_bucket(FkCapacityBuckets *c, Entry *e, guint step) {
  if (!c->buckets[step])
    c->buckets[step] = g_ptr_array_new();
  e->step = step;
  e->at = c->buckets[step]->len;
  g_ptr_array_add(c->buckets[step], e);
  c->highest = MAX(c->highest, step);
}

static void leave_bucket(FkCapacityBuckets *c, Entry *e) {
  GPtrArray *bucket = c->buckets[e->step];
  g_ptr_array_remove_index_fast(bucket, e->at);
  if (e->at < bucket->len)
    ((Entry *)bucket->pdata[e->at])->at = e->at;
  while (c->highest && (!c->buckets[c->highest] || !c->buckets[c->highest]->len))
    c->highest--;
}

void fk_capacity_buckets_put(FkCapacityBuckets *c, gpointer item, double cpus) {
  guint step = bucket_of(cpus);
  Entry *e = g_hash_table_lookup(c->index, item);
  if (e && e->step == step)
    return;
  if (e) {
    leave_bucket(c, e);
  } else {
    e = g_new0(Entry, 1);
    e->item = item;
    e->listed = c->items->len;
    g_ptr_array_add(c->items, item);
    g_hash_table_insert(c->index, item, e);
  }
  enter_bucket(c, e, step);
}

void fk_capacity_buckets_remove(FkCapacityBuckets *c, gpointer item) {
  Entry *e = g_hash_table_lookup(c->index, item);
  if (!e)
    return;
  leave_bucket(c, e);
  g_ptr_array_remove_index_fast(c->items, e->listed);
  if (e->listed < c->items->len) {
    Entry *moved = g_hash_table_lookup(c->index, c->items->pdata[e->listed]);
    moved->listed = e->listed;
  }
  g_hash_table_remove(c->index, item);
}

const GPtrArray *fk_capacity_buckets_items(const FkCapacityBuckets *c) { return c->items; }

guint fk_capacity_buckets_find(const FkCapacityBuckets *c, double cpus, guint most,
                               gboolean (*wanted)(gpointer item, gpointer data), gpointer data,
                               GPtrArray *out) {
  guint looked_at = 0, taken = 0;
  for (guint step = bucket_of(cpus); step <= c->highest && taken < most; step++) {
    const GPtrArray *bucket = c->buckets[step];
    for (guint i = 0; bucket && i < bucket->len && taken < most; i++) {
      gpointer item = ((Entry *)bucket->pdata[i])->item;
      looked_at++;
      if (!wanted(item, data))
        continue;
      g_ptr_array_add(out, item);
      taken++;
    }
  }
  return looked_at;
}
