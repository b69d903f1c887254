/* A priority queue of waiting items whose order is maintained: an item moves when its key changes, and the
 * first ones are read without going through the others. Pure; an item is any pointer, which the queue neither
 * dereferences nor owns. */
#pragma once
#include <glib.h>

/* What an item is ordered by, the first member first. Lower values go first, and TRUE before FALSE. */
typedef struct {
  int priority, standing;
  gboolean urgent, feasible; /* feasible: a deadline or objective can still be met */
  double remaining_work;     /* counts among feasible items only */
  gint64 since_us;           /* waiting since */
} FkWaitKey;

/* < 0, 0 or > 0, as for sorting. */
int fk_wait_key_compare(const FkWaitKey *a, const FkWaitKey *b);

typedef struct FkWaitQueue FkWaitQueue;

FkWaitQueue *fk_wait_queue_new(void);
void fk_wait_queue_free(FkWaitQueue *queue);
void fk_wait_queue_clear(FkWaitQueue *queue);
guint fk_wait_queue_size(const FkWaitQueue *queue);
/* Inserts the item, or moves it if its key has changed. */
void fk_wait_queue_put(FkWaitQueue *queue, gpointer item, const FkWaitKey *key);
/* FALSE: it wasn't in the queue. */
gboolean fk_wait_queue_remove(FkWaitQueue *queue, gpointer item);
/* Its position, from 1; 0: it isn't in the queue. */
guint fk_wait_queue_position(const FkWaitQueue *queue, gpointer item);
/* Appends the first `count_max` wanted items to `items`, in their order; examines `examined_max` at most. */
void fk_wait_queue_first(const FkWaitQueue *queue, guint count_max, guint examined_max,
                         gboolean (*wanted)(gpointer item, gpointer data), gpointer data, GPtrArray *items);
