#include "simulation/event_queue.h"

#define CLOCK_MS 5

typedef struct {
  gint64 at;
  guint64 order;
  FkAgendaFn fn;
  gpointer data;
} Entry;

struct FkAgenda {
  gpointer owner;
  GSequence *entries;
  guint64 order;
  guint timer;
};

FkAgenda *fk_agenda_new(gpointer owner) {
  FkAgenda *a = g_new0(FkAgenda, 1);
  a->owner = owner;
  a->entries = g_sequence_new(g_free);
  return a;
}

void fk_agenda_free(FkAgenda *a) {
  if (!a)
    return;
  g_clear_handle_id(&a->timer, g_source_remove);
  g_sequence_free(a->entries);
  g_free(a);
}

void fk_agenda_drop(FkAgenda *a, GDestroyNotify data_free) {
  GSequenceIter *first;
  while (!g_sequence_iter_is_end(first = g_sequence_get_begin_iter(a->entries))) {
    data_free(((Entry *)g_sequence_get(first))->data);
    g_sequence_remove(first);
  }
}

static int by_time(gconstpointer a, gconstpointer b, gpointer unused) {
  const Entry *x = a, *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

void fk_agenda_add(FkAgenda *a, gint64 at, FkAgendaFn fn, gpointer data) {
  Entry *e = g_new0(Entry, 1);
  *e = (Entry){at, ++a->order, fn, data};
  g_sequence_insert_sorted(a->entries, e, by_time, NULL);
}

gint64 fk_agenda_next(const FkAgenda *a) {
  GSequenceIter *first = g_sequence_get_begin_iter(a->entries);
  return g_sequence_iter_is_end(first) ? G_MAXINT64 : ((Entry *)g_sequence_get(first))->at;
}

void fk_agenda_run_next(FkAgenda *a) {
  GSequenceIter *first = g_sequence_get_begin_iter(a->entries);
  Entry e = *(Entry *)g_sequence_get(first);
  g_sequence_remove(first);
  e.fn(a->owner, e.data);
}

void fk_agenda_run_until(FkAgenda *a, gint64 now) {
  while (fk_agenda_next(a) <= now)
    fk_agenda_run_next(a);
}

static gboolean on_clock(gpointer agenda) {
  fk_agenda_run_until(agenda, g_get_monotonic_time());
  return G_SOURCE_CONTINUE;
}

void fk_agenda_start_clock(FkAgenda *a) { a->timer = g_timeout_add(CLOCK_MS, on_clock, a); }
