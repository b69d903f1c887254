#include "scheduling_queue/capacity_buckets.h"

#define BUCKETS_PER_CPU 4
#define BUCKET_LAST 1024 /* the last bucket: all items with 256 CPUs or more */
#define ROUNDING 1e-6    /* tolerance for rounding errors: amounts are sums of fractions */

typedef struct {
  gpointer item;
  guint bucket, bucket_index; /* index of the bucket, and index in the bucket */
  guint item_index;           /* index in the list of all items */
} Entry;

struct FkCapacityBuckets {
  GPtrArray *buckets[BUCKET_LAST + 1]; /* arrays of Entry; NULL for a bucket that was never used */
  GPtrArray *items;
  GHashTable *index; /* item -> Entry */
  guint highest;     /* index of the highest bucket that isn't empty, or 0 */
};

FkCapacityBuckets *fk_capacity_buckets_new(void) {
  FkCapacityBuckets *buckets = g_new0(FkCapacityBuckets, 1);
  buckets->items = g_ptr_array_new();
  buckets->index = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
  return buckets;
}

void fk_capacity_buckets_clear(FkCapacityBuckets *buckets) {
  for (guint i = 0; i <= BUCKET_LAST; i++)
    if (buckets->buckets[i])
      g_ptr_array_set_size(buckets->buckets[i], 0);
  g_ptr_array_set_size(buckets->items, 0);
  g_hash_table_remove_all(buckets->index);
  buckets->highest = 0;
}

void fk_capacity_buckets_free(FkCapacityBuckets *buckets) {
  if (!buckets)
    return;
  for (guint i = 0; i <= BUCKET_LAST; i++)
    g_clear_pointer(&buckets->buckets[i], g_ptr_array_unref);
  g_ptr_array_unref(buckets->items);
  g_hash_table_unref(buckets->index);
  g_free(buckets);
}

static guint bucket_of(double cpus) {
  return (guint)CLAMP(cpus * BUCKETS_PER_CPU + ROUNDING, 0, BUCKET_LAST);
}

static gboolean is_empty(const FkCapacityBuckets *buckets, guint bucket) {
  return !buckets->buckets[bucket] || !buckets->buckets[bucket]->len;
}

static void add_to_bucket(FkCapacityBuckets *buckets, Entry *entry, guint bucket) {
  if (!buckets->buckets[bucket])
    buckets->buckets[bucket] = g_ptr_array_new();
  entry->bucket = bucket;
  entry->bucket_index = buckets->buckets[bucket]->len;
  g_ptr_array_add(buckets->buckets[bucket], entry);
  buckets->highest = MAX(buckets->highest, bucket);
}

static void remove_from_bucket(FkCapacityBuckets *buckets, const Entry *entry) {
  GPtrArray *entries = buckets->buckets[entry->bucket];
  g_ptr_array_remove_index_fast(entries, entry->bucket_index);
  if (entry->bucket_index < entries->len)
    ((Entry *)entries->pdata[entry->bucket_index])->bucket_index = entry->bucket_index;
  while (buckets->highest && is_empty(buckets, buckets->highest))
    buckets->highest--;
}

static Entry *add_entry(FkCapacityBuckets *buckets, gpointer item) {
  Entry *entry = g_new0(Entry, 1);
  entry->item = item;
  entry->item_index = buckets->items->len;
  g_ptr_array_add(buckets->items, item);
  g_hash_table_insert(buckets->index, item, entry);
  return entry;
}

void fk_capacity_buckets_put(FkCapacityBuckets *buckets, gpointer item, double cpus) {
  guint bucket = bucket_of(cpus);
  Entry *entry = g_hash_table_lookup(buckets->index, item);
  if (entry && entry->bucket == bucket)
    return;
  if (entry)
    remove_from_bucket(buckets, entry);
  else
    entry = add_entry(buckets, item);
  add_to_bucket(buckets, entry, bucket);
}

void fk_capacity_buckets_remove(FkCapacityBuckets *buckets, gpointer item) {
  const Entry *entry = g_hash_table_lookup(buckets->index, item);
  if (!entry)
    return;
  remove_from_bucket(buckets, entry);
  g_ptr_array_remove_index_fast(buckets->items, entry->item_index);
  if (entry->item_index < buckets->items->len) {
    Entry *moved = g_hash_table_lookup(buckets->index, buckets->items->pdata[entry->item_index]);
    moved->item_index = entry->item_index;
  }
  g_hash_table_remove(buckets->index, item);
}

const GPtrArray *fk_capacity_buckets_items(const FkCapacityBuckets *buckets) { return buckets->items; }

guint fk_capacity_buckets_find(const FkCapacityBuckets *buckets, double cpus, guint count_max,
                               gboolean (*wanted)(gpointer item, gpointer data), gpointer data,
                               GPtrArray *items) {
  guint examined = 0, found = 0;
  for (guint bucket = bucket_of(cpus); bucket <= buckets->highest && found < count_max; bucket++) {
    const GPtrArray *entries = buckets->buckets[bucket];
    for (guint i = 0; entries && i < entries->len && found < count_max; i++) {
      gpointer item = ((const Entry *)entries->pdata[i])->item;
      examined++;
      if (!wanted(item, data))
        continue;
      g_ptr_array_add(items, item);
      found++;
    }
  }
  return examined;
}
