/* Items by their free capacity, in buckets: those with enough of it are found without going through the
 * others. Pure; an item is any pointer, which the index neither dereferences nor owns. Amounts are CPUs. */
#pragma once
#include <glib.h>

typedef struct FkCapacityBuckets FkCapacityBuckets;

FkCapacityBuckets *fk_capacity_buckets_new(void);
void fk_capacity_buckets_free(FkCapacityBuckets *buckets);
void fk_capacity_buckets_clear(FkCapacityBuckets *buckets);
/* Inserts the item, or updates its free capacity. */
void fk_capacity_buckets_put(FkCapacityBuckets *buckets, gpointer item, double cpus);
/* Does nothing if the item isn't there. */
void fk_capacity_buckets_remove(FkCapacityBuckets *buckets, gpointer item);
/* All items, in no order; borrowed until the next change. */
const GPtrArray *fk_capacity_buckets_items(const FkCapacityBuckets *buckets);
/* Appends up to `count_max` wanted items with so much free capacity to `items`, the fullest first; some may
 * have up to a quarter CPU less. Returns how many were examined. */
guint fk_capacity_buckets_find(const FkCapacityBuckets *buckets, double cpus, guint count_max,
                               gboolean (*wanted)(gpointer item, gpointer data), gpointer data,
                               GPtrArray *items);
