/* Waiting items in an order that is kept: an item moves when its key has changed, and the first ones are read
 * off without a look at the others. Pure; an item is any pointer, which the order neither reads nor owns. */
#pragma once
#include <glib.h>

/* What an item is ordered by, the first member first. Lower goes first, but for the two marks. */
typedef struct {
  int rank, standing;
  gboolean urgent, hopeful; /* who is goes before who isn't */
  double work;              /* left to do; counts among the hopeful only */
  gint64 since_us;
} FkWaitKey;

int fk_wait_key_compare(const FkWaitKey *a, const FkWaitKey *b);

typedef struct FkWaitQueue FkWaitQueue;

FkWaitQueue *fk_wait_queue_new(void);
void fk_wait_queue_free(FkWaitQueue *o);
void fk_wait_queue_clear(FkWaitQueue *o);
guint fk_wait_queue_size(const FkWaitQueue *o);
/* Inserts the item, or moves it where its key has changed. */
void fk_wait_queue_put(FkWaitQueue *o, gpointer item, const FkWaitKey *key);
/* FALSE: it wasn't there. */
gboolean fk_wait_queue_remove(FkWaitQueue *o, gpointer item);
/* Its place, from 1; 0: it isn't there. */
guint fk_wait_queue_place(const FkWaitQueue *o, gpointer item);
/* Appends the first items that are wanted, in their order, up to `most`; looks at up to `looked_at_most`. */
void fk_wait_queue_first(const FkWaitQueue *o, guint most, guint looked_at_most,
                         gboolean (*wanted)(gpointer item, gpointer data), gpointer data, GPtrArray *out);
