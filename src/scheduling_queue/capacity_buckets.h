/* Items by the capacity that they have free, in an index that is kept: those with enough of it are found
 * without a look at the others. Pure; an item is any pointer, which the index neither reads nor owns. Amounts
 * are CPUs. */
#pragma once
#include <glib.h>

typedef struct FkCapacityBuckets FkCapacityBuckets;

FkCapacityBuckets *fk_capacity_buckets_new(void);
void fk_capacity_buckets_free(FkCapacityBuckets *c);
void fk_capacity_buckets_clear(FkCapacityBuckets *c);
/* Inserts the item, or moves it to what it has free now. */
void fk_capacity_buckets_put(FkCapacityBuckets *c, gpointer item, double cpus);
void fk_capacity_buckets_remove(FkCapacityBuckets *c, gpointer item);
/* All items, in no order; borrowed until the next change. */
const GPtrArray *fk_capacity_buckets_items(const FkCapacityBuckets *c);
/* Appends items with at least so much, up to `most` that are wanted, the fullest first; what has somewhat
 * less than a quarter CPU too little may be among them. Returns how many were looked at. */
guint fk_capacity_buckets_find(const FkCapacityBuckets *c, double cpus, guint most,
                               gboolean (*wanted)(gpointer item, gpointer data), gpointer data,
                               GPtrArray *out);
