/* The running sums and indexes of the view, computed anew from its records. */
#include "simulation/check_view.h"

#include <math.h>
#include <string.h>

typedef struct {
  double cpus, gpus, mem_gb, long_cpus;
  guint allocations;
} Totals;

static gboolean nearly_equal(double a, double b) { return fabs(a - b) < 1e-3; }

/* What the page's entries have of the chunk: what is done, or what has ended without a result. */
static void apply_completions(FkChunk *c, const FkCompletionPage *page, const char *key, gboolean done) {
  for (guint i = 0; i < page->records->len; i++) {
    const FkCompletionRecord *e = page->records->pdata[i];
    if (!g_str_equal(e->chunk, key))
      continue;
    for (guint k = 0; done && k < MIN(e->done->len, c->task_count); k++) {
      FkAllocation *b =
          e->done->data[k] && !c->done[k] ? fk_chunk_find_allocation(c, c->first_task + k) : NULL;
      if (b)
        fk_chunk_finish(c, b->task, b->attempt);
    }
    for (guint k = 0; !done && k < e->released->len; k++) {
      FkReleasedAttempt *t = &g_array_index(e->released, FkReleasedAttempt, k);
      fk_chunk_release(c, t->task, t->attempt);
    }
  }
}

/* The chunk's record less all ends that pages have of it; a result counts whichever came first. */
static FkChunk *recompute_chunk(FkView *v, const FkJob *j, guint32 index) {
  FkChunk *c = fk_chunk_copy(j->base_chunks[index]);
  g_autofree char *key = g_strdup_printf("%s/%u", j->spec->id, index);
  for (int done = 1; done >= 0; done--) {
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, v->completion_pages);
    while (g_hash_table_iter_next(&it, NULL, &p))
      apply_completions(c, p, key, done);
  }
  return c;
}

static void check_chunk(const FkChunk *is, const FkChunk *should) {
  g_assert_cmpuint(is->done_count, ==, should->done_count);
  g_assert_cmpuint(is->allocations->len, ==, should->allocations->len);
  g_assert_cmpint(memcmp(is->done, should->done, is->task_count), ==, 0);
  for (guint i = 0; i < should->allocations->len; i++) {
    FkAllocation *b = &g_array_index(should->allocations, FkAllocation, i),
                 *have = fk_chunk_find_allocation(is, b->task);
    g_assert_nonnull(have);
    g_assert_cmpuint(have->attempt.n, ==, b->attempt.n);
    g_assert_true(have->machine == b->machine && have->launched_by == b->launched_by &&
                  have->stop_requested == b->stop_requested);
  }
}

static Totals *totals_for(GHashTable *sums, const char *key) {
  Totals *s = g_hash_table_lookup(sums, key);
  if (!s) {
    s = g_new0(Totals, 1);
    g_hash_table_insert(sums, (gpointer)key, s);
  }
  return s;
}

static void check_job(FkView *v, const FkJob *j, GHashTable *machines, GHashTable *teams) {
  const FkSpec *s = j->spec;
  gboolean is_long = s->shape != FK_SHAPE_ARRAY || s->estimate_s >= v->settings->tuning.short_cutoff_s;
  guint32 allocated = 0, done = 0;
  for (guint32 i = 0; i < j->chunk_count; i++) {
    if (!j->chunks[i])
      continue;
    g_autoptr(FkChunk) should = recompute_chunk(v, j, i);
    check_chunk(j->chunks[i], should);
    allocated += should->allocations->len;
    done += should->done_count;
    for (guint k = 0; k < should->allocations->len; k++) {
      const FkAllocation *b = &g_array_index(should->allocations, FkAllocation, k);
      Totals *both[] = {totals_for(machines, b->machine), totals_for(teams, s->team)};
      for (guint n = 0; n < 2; n++) {
        both[n]->cpus += s->cpus;
        both[n]->gpus += s->gpus;
        both[n]->mem_gb += s->mem_gb;
        both[n]->long_cpus += is_long ? s->cpus : 0;
        both[n]->allocations++;
      }
      gboolean found = FALSE;
      FkMachine *m = fk_view_find_machine(v, b->machine);
      g_assert_nonnull(m);
      for (guint n = 0; n < m->allocations->len; n++) {
        FkAllocationRef *r = &g_array_index(m->allocations, FkAllocationRef, n);
        found |= r->job == j && r->task == b->task && r->attempt.n == b->attempt.n &&
                 r->stop_requested == b->stop_requested;
      }
      g_assert_true(found);
    }
  }
  g_assert_cmpuint(j->allocated, ==, allocated);
  g_assert_cmpuint(j->done, ==, done);
}

void sim_check_view(FkView *v) {
  g_autoptr(GHashTable) machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  g_autoptr(GHashTable) teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  GHashTableIter it;
  gpointer key, p;
  g_hash_table_iter_init(&it, v->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p))
    check_job(v, p, machines, teams);
  g_hash_table_iter_init(&it, v->machines);
  while (g_hash_table_iter_next(&it, &key, &p)) {
    FkMachine *m = p;
    Totals *s = totals_for(machines, key);
    g_assert_cmpuint(m->allocations->len, ==, s->allocations);
    g_assert_true(nearly_equal(m->allocated_cpus, s->cpus) && nearly_equal(m->allocated_gpus, s->gpus) &&
                  nearly_equal(m->allocated_mem_gb, s->mem_gb) &&
                  nearly_equal(m->allocated_long_cpus, s->long_cpus));
  }
  g_hash_table_iter_init(&it, v->teams);
  while (g_hash_table_iter_next(&it, &key, &p)) {
    FkTeamUsage *t = p;
    Totals *s = totals_for(teams, key);
    double by = 0;
    GHashTableIter b;
    gpointer cpus;
    g_hash_table_iter_init(&b, t->cpus_by_controller);
    while (g_hash_table_iter_next(&b, NULL, &cpus))
      by += *(double *)cpus;
    g_assert_true(nearly_equal(t->cpus, s->cpus) && nearly_equal(t->gpus, s->gpus) &&
                  nearly_equal(by, s->cpus));
  }
}
