/* The view of jobs: their records, their chunks, and the ends that homes write down, applied one by one. */
#include "core/state/view_internal.h"

#include <string.h>

static void list_job(FkView *v, FkJob *j) {
  j->listed = v->job_list->len;
  g_ptr_array_add(v->job_list, j);
}

static void unlist_job(FkView *v, FkJob *j) {
  g_ptr_array_remove_index_fast(v->job_list, j->listed);
  if (j->listed < v->job_list->len)
    ((FkJob *)v->job_list->pdata[j->listed])->listed = j->listed;
}

static gboolean is_long(const FkSpec *s, const FkView *v) {
  return s->shape != FK_SHAPE_ARRAY || s->estimate_s >= v->settings->tuning.cutoff_s;
}

#define LEARN 0.08
#define RATIO_MIN 0.2
#define RATIO_MAX 8.0

/* Estimates are biased, by class and by day: one ratio a class, learnt from finished tasks. */
static void learn(FkView *v, const FkSpec *s, double took_s) {
  if (s->shape == FK_SHAPE_SERVICE || s->estimate_s < 0.1)
    return;
  v->took_s += took_s;
  v->took_count++;
  double ratio = CLAMP(took_s / s->estimate_s, RATIO_MIN, RATIO_MAX);
  double *known = g_hash_table_lookup(v->corrections, s->class_name);
  if (!known) {
    known = g_new(double, 1);
    *known = 1;
    g_hash_table_insert(v->corrections, g_strdup(s->class_name), known);
  }
  *known += LEARN * (ratio - *known);
}

#define SERVICES_OVER_S 20.0
#define SERVICES_GROWTH 2.0 /* a crowd isn't taken for the way things go on */

void fk_view_rate_services(FkView *v) {
  double dt = fk_time_between(v->service_rated, v->now);
  if (dt < 1)
    return;
  double seen = MIN(v->services_seen / dt, SERVICES_GROWTH * v->service_rate + 0.5);
  v->service_rate += (seen - v->service_rate) * MIN(1, dt / SERVICES_OVER_S);
  v->services_seen = 0;
  v->service_rated = v->now;
}

double fk_view_run_s(FkView *v, const FkSpec *s) {
  double *known = g_hash_table_lookup(v->corrections, s->class_name);
  return s->estimate_s * (known ? *known : 1);
}

/* The sums of bookings are kept by difference: a chunk's old bookings go, its new ones come. */
static void count_by(FkTeamUse *team, const char *by, double cpus) {
  double *used = g_hash_table_lookup(team->by, by);
  if (!used) {
    used = g_new0(double, 1);
    g_hash_table_insert(team->by, (gpointer)by, used);
  }
  *used += cpus;
}

static void book_count(FkView *v, FkJob *j, const FkBooking *b, int sign) {
  const FkSpec *s = j->spec;
  FkTeamUse *team = fk_view_team(v, s->team);
  FkMachine *m = fk_view_machine_ensure(v, b->machine);
  count_by(team, b->by, sign * s->cpus);
  team->cpus += sign * s->cpus;
  team->gpus += sign * s->gpus;
  m->cpus += sign * s->cpus;
  m->gpus += sign * s->gpus;
  m->mem_gb += sign * s->mem_gb;
  if (is_long(s, v))
    m->long_cpus += sign * s->cpus;
  if (sign > 0) {
    FkBookRef ref = {j, b->task, b->attempt, b->stop, b->since};
    g_array_append_val(m->books, ref);
    g_hash_table_add(m->images, (gpointer)g_intern_string(s->image));
  } else {
    for (guint k = 0; k < m->books->len; k++) {
      FkBookRef *ref = &g_array_index(m->books, FkBookRef, k);
      if (ref->job == j && ref->task == b->task && ref->attempt.n == b->attempt.n) {
        g_array_remove_index_fast(m->books, k);
        break;
      }
    }
    if (!m->books->len) {
      /* no drift from adding and subtracting fractions */
      m->cpus = m->gpus = m->mem_gb = m->long_cpus = 0;
      m->idle_since = v->now;
    }
  }
  j->booked += (guint32)sign;
  fk_view_touch_job(v, j);
  v->work++;
  fk_view_touch(v, m);
}

/* The longest that a task of the job has been going on. */
static double oldest_s(const FkView *v, const FkJob *j) {
  double s = 0;
  for (guint32 i = 0; i < j->n_chunks; i++)
    for (guint k = 0; j->chunks[i] && k < j->chunks[i]->bookings->len; k++) {
      const FkBooking *b = &g_array_index(j->chunks[i]->bookings, FkBooking, k);
      if (!b->stop && b->from_start)
        s = MAX(s, fk_time_between(b->since, v->now));
    }
  return s;
}

/* Every controller sees the same failures, in the homes' pages, and draws the same conclusions: a job that
 * fails everywhere is slowed by all, and no home takes its machines for faulty. */
static void failed(FkView *v, FkJob *j, const FkBooking *b) {
  const char *id = j->spec->id;
  double took_s = b->from_start ? fk_time_between(b->since, v->now) : 0;
  fk_blame_failed(v->blame, id, b->machine, took_s, j->done > 0, v->now);
  fk_blame_goes_on(v->blame, id, oldest_s(v, j));
  j->faulted = TRUE;
  j->doubted = fk_blame_doubted(v->blame, id);
  j->retry_at = fk_time_add(v->now, fk_blame_pause_s(v->blame, id));
}

static void succeeded(FkView *v, FkJob *j, const FkBooking *b) {
  fk_blame_succeeded(v->blame, j->spec->id, b->machine);
  if (j->doubted)
    j->retry_at = v->now;
  j->doubted = FALSE;
}

#define REVIEW_S 1.0

void fk_view_review_doubts(FkView *v) {
  if (fk_time_between(v->doubts_reviewed, v->now) < REVIEW_S || !fk_blame_jobs(v->blame))
    return;
  v->doubts_reviewed = v->now;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, v->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    if (!j->doubted)
      continue;
    fk_blame_goes_on(v->blame, j->spec->id, oldest_s(v, j));
    j->doubted = fk_blame_doubted(v->blame, j->spec->id);
    if (!j->doubted)
      j->retry_at = v->now;
    fk_view_touch_job(v, j);
  }
}

static void chunk_drop(FkView *v, FkJob *j, const FkChunk *c) {
  for (guint i = 0; i < c->bookings->len; i++)
    book_count(v, j, &g_array_index(c->bookings, FkBooking, i), -1);
  j->done -= c->done_count;
}

static gboolean same_booking(const FkBooking *a, const FkBooking *b) {
  return a->task == b->task && a->attempt.n == b->attempt.n && a->machine == b->machine && a->by == b->by &&
         a->stop == b->stop;
}

/* Keeps when each booking was first seen, and learns from those that have ended well. */
static void carry_times(FkView *v, FkJob *j, const FkChunk *old, FkChunk *c) {
  for (guint i = 0; i < c->bookings->len; i++) {
    FkBooking *b = &g_array_index(c->bookings, FkBooking, i);
    FkBooking *was = old ? fk_chunk_find(old, b->task) : NULL;
    gboolean same = was && was->attempt.n == b->attempt.n;
    b->since = same ? was->since : v->now;
    b->from_start = same ? was->from_start : v->live;
  }
  for (guint i = 0; old && i < old->bookings->len; i++) {
    const FkBooking *b = &g_array_index(old->bookings, FkBooking, i);
    if (!c->done[b->task - c->first] || old->done[b->task - c->first])
      continue;
    succeeded(v, j, b);
    if (b->from_start)
      learn(v, j->spec, fk_time_between(b->since, v->now));
  }
}

/* What homes have written down counts as long as the chunk has the booking. */
static void apply_done(FkChunk *c, const FkEnds *e) {
  for (guint i = 0; i < MIN(e->done->len, c->count); i++) {
    const FkBooking *b = e->done->data[i] && !c->done[i] ? fk_chunk_find(c, c->first + i) : NULL;
    if (b)
      fk_chunk_finish(c, b->task, b->attempt);
  }
}

static void apply_released(FkChunk *c, const FkEnds *e) {
  for (guint i = 0; i < e->released->len; i++) {
    const FkTry *t = &g_array_index(e->released, FkTry, i);
    fk_chunk_release(c, t->task, t->attempt);
  }
}

/* The chunk's record with all that pages have of it. A home may write down that a task is done while another,
 * or the leader on the cloud's word, writes down that the same attempt ended: the result counts, whichever
 * came first. Were it the order, who has read both pages from a list would see another state than who saw
 * them written. */
static FkChunk *effective(FkView *v, const FkJob *j, guint32 index) {
  FkChunk *c = fk_chunk_copy(j->bases[index]);
  g_autofree char *key = g_strdup_printf("%s/%u", j->spec->id, index);
  GPtrArray *all = g_hash_table_lookup(v->ends, key);
  for (guint i = 0; all && i < all->len; i++)
    apply_done(c, all->pdata[i]);
  for (guint i = 0; all && i < all->len; i++)
    apply_released(c, all->pdata[i]);
  return c;
}

/* Only the bookings in which the two differ are counted: most of a chunk stays as it was. */
static void put_effective(FkView *v, FkJob *j, guint32 index, FkChunk *c) {
  FkChunk *old = j->chunks[index];
  if (c)
    carry_times(v, j, old, c);
  if (index < j->unstarted_hint)
    j->unstarted_hint = index;
  j->chunks[index] = c;
  if (!old || !c) {
    if (old)
      chunk_drop(v, j, old);
    for (guint i = 0; c && i < c->bookings->len; i++)
      book_count(v, j, &g_array_index(c->bookings, FkBooking, i), +1);
    j->done += c ? c->done_count : 0;
    fk_view_touch_job(v, j);
    fk_chunk_free(old);
    return;
  }
  g_autofree const FkBooking **kept = g_new0(const FkBooking *, c->count); /* by task: what was there */
  for (guint i = 0; i < old->bookings->len; i++) {
    const FkBooking *b = &g_array_index(old->bookings, FkBooking, i);
    kept[b->task - old->first] = b;
  }
  for (guint i = 0; i < c->bookings->len; i++) {
    const FkBooking *b = &g_array_index(c->bookings, FkBooking, i), **was = &kept[b->task - c->first];
    if (*was && same_booking(*was, b)) {
      *was = NULL;
      continue;
    }
    if (*was)
      book_count(v, j, *was, -1);
    *was = NULL;
    book_count(v, j, b, +1);
  }
  for (guint32 i = 0; i < c->count; i++)
    if (kept[i])
      book_count(v, j, kept[i], -1);
  j->done += c->done_count - old->done_count;
  fk_view_touch_job(v, j);
  fk_chunk_free(old);
}

void fk_view_set_chunk(FkView *v, FkJob *j, guint32 index, FkChunk *c, FkRev rev) {
  if (index >= j->n_chunks || (c && c->count != fk_spec_chunk_tasks(j->spec, index)) ||
      (j->bases[index] && j->bases[index]->rev.n >= rev.n)) {
    fk_chunk_free(c);
    return;
  }
  fk_chunk_free(j->bases[index]);
  j->bases[index] = c;
  if (!c) {
    put_effective(v, j, index, NULL);
    return;
  }
  c->rev = rev;
  put_effective(v, j, index, effective(v, j, index));
}

/* A booking has ended, as a home has written down. */
static void end_booking(FkView *v, FkJob *j, FkChunk *c, const FkBooking *ended, FkEndHow how) {
  FkBooking b = *ended; /* it goes from the chunk below */
  gboolean done = how == FK_END_DONE;
  if (done && b.from_start)
    learn(v, j->spec, fk_time_between(b.since, v->now));
  if (done)
    succeeded(v, j, &b);
  book_count(v, j, &b, -1);
  if (done)
    fk_chunk_finish(c, b.task, b.attempt);
  else
    fk_chunk_release(c, b.task, b.attempt);
  if (!done) {
    j->lost_at = v->now;
    if (b.from_start && j->spec->shape != FK_SHAPE_SERVICE)
      v->lost_cpu_s += fk_time_between(b.since, v->now) * j->spec->cpus;
  }
  j->done += done;
  if (how == FK_END_FAILED)
    failed(v, j, &b);
}

/* What is new in it counts at once, booking by booking. */
static void ends_news(FkView *v, const FkEnds *e) {
  const char *slash = strrchr(e->chunk, '/');
  g_autofree char *id = slash ? g_strndup(e->chunk, slash - e->chunk) : NULL;
  FkJob *j = id ? fk_view_job(v, id) : NULL;
  guint64 index = slash ? g_ascii_strtoull(slash + 1, NULL, 10) : 0;
  if (!j || index >= j->n_chunks || !j->chunks[index])
    return;
  FkChunk *c = j->chunks[index];
  gboolean released_before = FALSE;
  for (guint i = 0; i < MIN(e->done->len, c->count); i++) {
    if (!e->done->data[i] || c->done[i])
      continue;
    const FkBooking *b = fk_chunk_find(c, c->first + i);
    if (b)
      end_booking(v, j, c, b, FK_END_DONE);
    else
      released_before |= fk_chunk_find(j->bases[index], c->first + i) != NULL;
  }
  if (released_before) {
    put_effective(v, j, (guint32)index, effective(v, j, (guint32)index));
    c = j->chunks[index];
  }
  for (guint i = 0; i < e->released->len; i++) {
    const FkTry *t = &g_array_index(e->released, FkTry, i);
    const FkBooking *b = fk_chunk_find(c, t->task);
    if (b && b->attempt.n == t->attempt.n)
      end_booking(v, j, c, b, t->failed ? FK_END_FAILED : FK_END_RELEASED);
  }
  if (index < j->unstarted_hint)
    j->unstarted_hint = (guint32)index;
}

static gboolean same_ends(const FkEnds *a, const FkEnds *b) {
  return a->done->len == b->done->len && a->released->len == b->released->len &&
         (!a->done->len || !memcmp(a->done->data, b->done->data, a->done->len)) &&
         (!a->released->len ||
          !memcmp(a->released->data, b->released->data, a->released->len * sizeof(FkTry)));
}

/* The place of a page's entry among those for its chunk, or -1. */
static gint entry_of(const GPtrArray *all, const FkEndPage *page) {
  for (guint i = 0; page && all && i < all->len; i++)
    if (((FkEnds *)all->pdata[i])->page == page)
      return (gint)i;
  return -1;
}

/* A home's page of ends replaces the one before it. It is written twice a second and mostly says what it said
 * before: only entries that differ are worked on. */
void fk_view_set_ends(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  FkEndPage *old = g_hash_table_lookup(v->end_pages, id), *page = NULL;
  if (old && old->rev.n >= rev.n)
    return;
  if (r) {
    page = g_new0(FkEndPage, 1);
    page->rev = rev;
    page->ends = g_steal_pointer(&r->ends);
  }
  for (guint i = 0; page && i < page->ends->len; i++) {
    FkEnds *e = page->ends->pdata[i];
    GPtrArray *all = g_hash_table_lookup(v->ends, e->chunk);
    e->page = page;
    gint at = entry_of(all, old);
    if (at >= 0) {
      FkEnds *before = all->pdata[at];
      gboolean same = same_ends(before, e);
      before->page = NULL; /* replaced */
      all->pdata[at] = e;
      if (!same)
        ends_news(v, e);
      continue;
    }
    if (!all) {
      all = g_ptr_array_new();
      g_hash_table_insert(v->ends, g_strdup(e->chunk), all);
    }
    g_ptr_array_add(all, e);
    ends_news(v, e);
  }
  for (guint i = 0; old && i < old->ends->len; i++) {
    FkEnds *e = old->ends->pdata[i];
    GPtrArray *all = e->page ? g_hash_table_lookup(v->ends, e->chunk) : NULL;
    if (all && g_ptr_array_remove_fast(all, e) && !all->len)
      g_hash_table_remove(v->ends, e->chunk);
  }
  if (page)
    g_hash_table_replace(v->end_pages, g_strdup(id), page);
  else
    g_hash_table_remove(v->end_pages, id);
}

static void drop_job(FkView *v, const char *id, FkJob *j) {
  for (guint32 i = 0; i < j->n_chunks; i++)
    if (j->chunks[i]) {
      /* the last results of a small job end it in the same transaction */
      for (guint k = 0; !j->cancelled && k < j->chunks[i]->bookings->len; k++) {
        const FkBooking *b = &g_array_index(j->chunks[i]->bookings, FkBooking, k);
        fk_blame_succeeded(v->blame, id, b->machine);
        if (b->from_start)
          learn(v, j->spec, fk_time_between(b->since, v->now));
      }
      chunk_drop(v, j, j->chunks[i]);
      char *path = fk_key_chunk(id, i);
      g_hash_table_replace(v->orphans, path, g_memdup2(&j->bases[i]->rev, sizeof(FkRev)));
    }
  if (!j->cancelled)
    fk_served_ended(v->served, j->spec->class_name, j->spec->team, fk_spec_size(j->spec));
  fk_blame_job_gone(v->blame, id);
  fk_deps_note(v->deps, id, FK_DEP_UNKNOWN, 0); /* its final comes with it, or is known already */
  fk_deps_remove(v->deps, id);
  fk_view_touch_job(v, j);
  unlist_job(v, j);
  g_hash_table_remove(v->jobs, id);
}

/* It waits for those of its dependencies that aren't known to be done. */
static void take_dependencies(FkView *v, FkJob *j) {
  char **needs = j->spec->needs;
  if (!needs)
    return;
  j->held = TRUE;
  fk_deps_add(v->deps, j->spec->id, needs);
  for (guint i = 0; needs[i]; i++) {
    FkPhase phase;
    guint32 tasks;
    const FkJob *d = fk_view_job(v, needs[i]);
    if (d)
      fk_deps_note(v->deps, needs[i], d->cancelled ? FK_DEP_CANCELLED : FK_DEP_LIVE, 0);
    else if (fk_view_final(v, needs[i], &phase, &tasks))
      fk_deps_note(v->deps, needs[i], phase == FK_PHASE_DONE ? FK_DEP_DONE : FK_DEP_CANCELLED, 0);
  }
}

void fk_view_set_job(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  FkJob *j = fk_view_job(v, id);
  if (j && j->rev.n >= rev.n)
    return;
  if (!r) {
    if (j)
      drop_job(v, id, j);
    return;
  }
  if (!j) {
    j = g_new0(FkJob, 1);
    j->refs = 1;
    j->spec = fk_spec_ref(r->spec);
    j->n_chunks = fk_spec_chunks(j->spec);
    j->chunks = g_new0(FkChunk *, j->n_chunks);
    j->bases = g_new0(FkChunk *, j->n_chunks);
    j->seen = v->now;
    j->submitted_us = j->spec->submitted_ms * 1000 - v->wall_offset_us;
    if (j->submitted_us > v->now.us)
      j->submitted_us = v->now.us;
    j->could_us = j->submitted_us;
    j->due_us = fk_job_own_due(j);
    j->pulled_rank = j->spec->rank;
    g_hash_table_insert(v->jobs, j->spec->id, j);
    list_job(v, j);
    fk_deps_note(v->deps, id, FK_DEP_LIVE, 0); /* somebody may have come before it, and name it */
    take_dependencies(v, j);
    if (j->spec->shape == FK_SHAPE_SERVICE) {
      fk_spec_unref(v->service);
      v->service = fk_spec_ref(j->spec);
      v->services_seen += MIN(j->spec->tasks, 8);
    }
  }
  if (r->cancelled && !j->cancelled) {
    j->cancel_seen = v->now;
    for (guint32 i = 0; i < j->n_chunks; i++)
      if (j->chunks[i])
        for (guint k = 0; k < j->chunks[i]->bookings->len; k++)
          fk_view_touch(
              v, fk_view_machine_ensure(v, g_array_index(j->chunks[i]->bookings, FkBooking, k).machine));
  }
  j->cancelled = r->cancelled || j->withdrawn;
  j->rev = rev;
  fk_view_touch_job(v, j);
  if (j->cancelled)
    fk_deps_note(v->deps, id, FK_DEP_CANCELLED, 0);
}
