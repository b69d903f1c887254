/* Items by the capacity that they have free, in an index that is kept: those with enough of it are found
 * without a look at the others. Pure; an item is any pointer, which the index neither reads nor owns. Amounts
 * are CPUs. */
#pragma once
#include <glib.h>

typedef struct FkCapacity FkCapacity;

FkCapacity *fk_capacity_new(void);
void fk_capacity_free(FkCapacity *c);
void fk_capacity_clear(FkCapacity *c);
/* Inserts the item, or moves it to what it has free now. */
void fk_capacity_put(FkCapacity *c, gpointer item, double cpus);
void fk_capacity_remove(FkCapacity *c, gpointer item);
/* All items, in no order; borrowed until the next change. */
const GPtrArray *fk_capacity_items(const FkCapacity *c);
/* Appends items with at least so much, up to `most` that are wanted, the fullest first; what has somewhat
 * less than a quarter CPU too little may be among them. Returns how many were looked at. */
guint fk_capacity_at_least(const FkCapacity *c, double cpus, guint most,
                           gboolean (*wanted)(gpointer item, gpointer data), gpointer data, GPtrArray *out);
