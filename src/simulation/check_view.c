/* What the view keeps by difference, computed afresh. */
#include "simulation/check_view.h"

#include <math.h>
#include <string.h>

typedef struct {
  double cpus, gpus, mem_gb, long_cpus;
  guint books;
} Sum;

static gboolean near(double a, double b) { return fabs(a - b) < 1e-3; }

/* What the page's entries have of the chunk: what is done, or what has ended without a result. */
static void take_in(FkChunk *c, const FkEndPage *page, const char *key, gboolean done) {
  for (guint i = 0; i < page->ends->len; i++) {
    const FkEnds *e = page->ends->pdata[i];
    if (!g_str_equal(e->chunk, key))
      continue;
    for (guint k = 0; done && k < MIN(e->done->len, c->count); k++) {
      FkBooking *b = e->done->data[k] && !c->done[k] ? fk_chunk_find(c, c->first + k) : NULL;
      if (b)
        fk_chunk_finish(c, b->task, b->attempt);
    }
    for (guint k = 0; !done && k < e->released->len; k++) {
      FkTry *t = &g_array_index(e->released, FkTry, k);
      fk_chunk_release(c, t->task, t->attempt);
    }
  }
}

/* The chunk's record less all ends that pages have of it; a result counts whichever came first. */
static FkChunk *afresh(FkView *v, const FkJob *j, guint32 index) {
  FkChunk *c = fk_chunk_copy(j->bases[index]);
  g_autofree char *key = g_strdup_printf("%s/%u", j->spec->id, index);
  for (int done = 1; done >= 0; done--) {
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, v->end_pages);
    while (g_hash_table_iter_next(&it, NULL, &p))
      take_in(c, p, key, done);
  }
  return c;
}

static void check_chunk(const FkChunk *is, const FkChunk *should) {
  g_assert_cmpuint(is->done_count, ==, should->done_count);
  g_assert_cmpuint(is->bookings->len, ==, should->bookings->len);
  g_assert_cmpint(memcmp(is->done, should->done, is->count), ==, 0);
  for (guint i = 0; i < should->bookings->len; i++) {
    FkBooking *b = &g_array_index(should->bookings, FkBooking, i), *have = fk_chunk_find(is, b->task);
    g_assert_nonnull(have);
    g_assert_cmpuint(have->attempt.n, ==, b->attempt.n);
    g_assert_true(have->machine == b->machine && have->by == b->by && have->stop == b->stop);
  }
}

static Sum *sum_of(GHashTable *sums, const char *key) {
  Sum *s = g_hash_table_lookup(sums, key);
  if (!s) {
    s = g_new0(Sum, 1);
    g_hash_table_insert(sums, (gpointer)key, s);
  }
  return s;
}

static void add_up(FkView *v, const FkJob *j, GHashTable *machines, GHashTable *teams) {
  const FkSpec *s = j->spec;
  gboolean is_long = s->shape != FK_SHAPE_ARRAY || s->estimate_s >= v->settings->tuning.cutoff_s;
  guint32 booked = 0, done = 0;
  for (guint32 i = 0; i < j->n_chunks; i++) {
    if (!j->chunks[i])
      continue;
    g_autoptr(FkChunk) should = afresh(v, j, i);
    check_chunk(j->chunks[i], should);
    booked += should->bookings->len;
    done += should->done_count;
    for (guint k = 0; k < should->bookings->len; k++) {
      const FkBooking *b = &g_array_index(should->bookings, FkBooking, k);
      Sum *both[] = {sum_of(machines, b->machine), sum_of(teams, s->team)};
      for (guint n = 0; n < 2; n++) {
        both[n]->cpus += s->cpus;
        both[n]->gpus += s->gpus;
        both[n]->mem_gb += s->mem_gb;
        both[n]->long_cpus += is_long ? s->cpus : 0;
        both[n]->books++;
      }
      gboolean found = FALSE;
      FkMachine *m = fk_view_machine(v, b->machine);
      g_assert_nonnull(m);
      for (guint n = 0; n < m->books->len; n++) {
        FkBookRef *r = &g_array_index(m->books, FkBookRef, n);
        found |= r->job == j && r->task == b->task && r->attempt.n == b->attempt.n && r->stop == b->stop;
      }
      g_assert_true(found);
    }
  }
  g_assert_cmpuint(j->booked, ==, booked);
  g_assert_cmpuint(j->done, ==, done);
}

void check_view(FkView *v) {
  g_autoptr(GHashTable) machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  g_autoptr(GHashTable) teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  GHashTableIter it;
  gpointer key, p;
  g_hash_table_iter_init(&it, v->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p))
    add_up(v, p, machines, teams);
  g_hash_table_iter_init(&it, v->machines);
  while (g_hash_table_iter_next(&it, &key, &p)) {
    FkMachine *m = p;
    Sum *s = sum_of(machines, key);
    g_assert_cmpuint(m->books->len, ==, s->books);
    g_assert_true(near(m->cpus, s->cpus) && near(m->gpus, s->gpus) && near(m->mem_gb, s->mem_gb) &&
                  near(m->long_cpus, s->long_cpus));
  }
  g_hash_table_iter_init(&it, v->teams);
  while (g_hash_table_iter_next(&it, &key, &p)) {
    FkTeamUse *t = p;
    Sum *s = sum_of(teams, key);
    double by = 0;
    GHashTableIter b;
    gpointer cpus;
    g_hash_table_iter_init(&b, t->by);
    while (g_hash_table_iter_next(&b, NULL, &cpus))
      by += *(double *)cpus;
    g_assert_true(near(t->cpus, s->cpus) && near(t->gpus, s->gpus) && near(by, s->cpus));
  }
}
