/* An ordered queue of waiting items. An item moves when its key changes, and the first items are read without
 * examining the others. Pure data structure; items are pointers that are neither dereferenced nor owned. */
#pragma once
#include <glib.h>

/* The sort key of an item; the members are compared in this order. Lower values come first, and TRUE before
 * FALSE. */
typedef struct {
  int priority, standing;
  gboolean urgent, feasible; /* feasible: the item can still meet a deadline or objective */
  double remaining_work;     /* compared among feasible items only */
  gint64 since_us;           /* start of the wait */
} FkWaitKey;

/* Returns a value < 0, 0 or > 0 if `a` comes before, is equal to or comes after `b`. */
int fk_wait_key_compare(const FkWaitKey *a, const FkWaitKey *b);

typedef struct FkWaitQueue FkWaitQueue;

FkWaitQueue *fk_wait_queue_new(void);
void fk_wait_queue_free(FkWaitQueue *queue);
void fk_wait_queue_clear(FkWaitQueue *queue);
guint fk_wait_queue_size(const FkWaitQueue *queue);
/* Inserts the item, or moves it if its key has changed. */
void fk_wait_queue_put(FkWaitQueue *queue, gpointer item, const FkWaitKey *key);
/* Removes the item. Returns FALSE if it wasn't in the queue. */
gboolean fk_wait_queue_remove(FkWaitQueue *queue, gpointer item);
/* Returns the item's position, from 1; 0 if it isn't in the queue. */
guint fk_wait_queue_position(const FkWaitQueue *queue, gpointer item);
/* Appends the first `count_max` items that satisfy `wanted` to `items`, in queue order; examines at most
 * `examined_max` items. */
void fk_wait_queue_first(const FkWaitQueue *queue, guint count_max, guint examined_max,
                         gboolean (*wanted)(gpointer item, gpointer data), gpointer data, GPtrArray *items);
