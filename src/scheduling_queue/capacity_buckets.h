/* Items in buckets by free capacity: a search skips the buckets of items with too little free capacity. Pure
 * data structure; items are pointers that are neither dereferenced nor owned. Amounts are in CPUs. */
#pragma once
#include <glib.h>

typedef struct FkCapacityBuckets FkCapacityBuckets;

FkCapacityBuckets *fk_capacity_buckets_new(void);
void fk_capacity_buckets_free(FkCapacityBuckets *buckets);
void fk_capacity_buckets_clear(FkCapacityBuckets *buckets);
/* Inserts the item, or updates its free capacity. */
void fk_capacity_buckets_put(FkCapacityBuckets *buckets, gpointer item, double cpus);
/* Removes the item; does nothing if the item isn't in a bucket. */
void fk_capacity_buckets_remove(FkCapacityBuckets *buckets, gpointer item);
/* Returns all items, in no particular order; borrowed until the next change. */
const GPtrArray *fk_capacity_buckets_items(const FkCapacityBuckets *buckets);
/* Appends to `items` up to `count_max` items that satisfy `wanted` and have at least `cpus` free, bucket by
 * bucket, the buckets with the least free capacity first. Amounts are rounded down: an item may have up to a
 * quarter CPU less than `cpus`, and all items with 256 CPUs or more count as equal. Returns how many items
 * were examined. */
guint fk_capacity_buckets_find(const FkCapacityBuckets *buckets, double cpus, guint count_max,
                               gboolean (*wanted)(gpointer item, gpointer data), gpointer data,
                               GPtrArray *items);
