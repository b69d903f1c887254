#include "simulation/event_queue.h"

#define CLOCK_INTERVAL_MS 5

typedef struct {
  gint64 at;
  guint64 order;
  FkEventQueueFn fn;
  gpointer data;
} Entry;

struct FkEventQueue {
  gpointer owner;
  GSequence *entries;
  guint64 sequence;
  guint timer;
};

FkEventQueue *fk_event_queue_new(gpointer owner) {
  FkEventQueue *a = g_new0(FkEventQueue, 1);
  a->owner = owner;
  a->entries = g_sequence_new(g_free);
  return a;
}

void fk_event_queue_free(FkEventQueue *a) {
  if (!a)
    return;
  g_clear_handle_id(&a->timer, g_source_remove);
  g_sequence_free(a->entries);
  g_free(a);
}

void fk_event_queue_clear(FkEventQueue *a, GDestroyNotify data_free) {
  GSequenceIter *first;
  while (!g_sequence_iter_is_end(first = g_sequence_get_begin_iter(a->entries))) {
    data_free(((Entry *)g_sequence_get(first))->data);
    g_sequence_remove(first);
  }
}

static int compare_events(gconstpointer a, gconstpointer b, gpointer unused) {
  const Entry *x = a, *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

void fk_event_queue_add(FkEventQueue *a, gint64 at, FkEventQueueFn fn, gpointer data) {
  Entry *e = g_new0(Entry, 1);
  *e = (Entry){at, ++a->sequence, fn, data};
  g_sequence_insert_sorted(a->entries, e, compare_events, NULL);
}

gint64 fk_event_queue_next_due(const FkEventQueue *a) {
  GSequenceIter *first = g_sequence_get_begin_iter(a->entries);
  return g_sequence_iter_is_end(first) ? G_MAXINT64 : ((Entry *)g_sequence_get(first))->at;
}

void fk_event_queue_run_next(FkEventQueue *a) {
  GSequenceIter *first = g_sequence_get_begin_iter(a->entries);
  Entry e = *(Entry *)g_sequence_get(first);
  g_sequence_remove(first);
  e.fn(a->owner, e.data);
}

void fk_event_queue_run_until(FkEventQueue *a, gint64 now) {
  while (fk_event_queue_next_due(a) <= now)
    fk_event_queue_run_next(a);
}

static gboolean on_clock(gpointer queue) {
  fk_event_queue_run_until(queue, g_get_monotonic_time());
  return G_SOURCE_CONTINUE;
}

void fk_event_queue_start_clock(FkEventQueue *a) { a->timer = g_timeout_add(CLOCK_INTERVAL_MS, on_clock, a); }
