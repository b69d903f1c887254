/* The view of jobs: their records, their chunks, and the ends that homes write down, applied one by one. */
#include "core/state/view_internal.h"

#include <string.h>

static void list_job(FkView *v, FkJob *j) {
  j->list_index = v->live_jobs->len;
  g_ptr_array_add(v->live_jobs, j);
}

static void unlist_job(FkView *v, FkJob *j) {
  g_ptr_array_remove_index_fast(v->live_jobs, j->list_index);
  if (j->list_index < v->live_jobs->len)
    ((FkJob *)v->live_jobs->pdata[j->list_index])->list_index = j->list_index;
}

static gboolean is_long(const FkSpec *s, const FkView *v) {
  return s->shape != FK_SHAPE_ARRAY || s->estimate_s >= v->settings->tuning.short_cutoff_s;
}

#define CORRECTION_EWMA_WEIGHT 0.08
#define CORRECTION_MIN 0.2
#define CORRECTION_MAX 8.0

/* Estimates are biased, by class and by day: one ratio a class, learnt from finished tasks. */
static void learn_estimate_correction(FkView *v, const FkSpec *s, double took_s) {
  if (s->shape == FK_SHAPE_SERVICE || s->estimate_s < 0.1)
    return;
  v->finished_run_s += took_s;
  v->finished_count++;
  double ratio = CLAMP(took_s / s->estimate_s, CORRECTION_MIN, CORRECTION_MAX);
  double *known = g_hash_table_lookup(v->estimate_corrections, s->class_name);
  if (!known) {
    known = g_new(double, 1);
    *known = 1;
    g_hash_table_insert(v->estimate_corrections, g_strdup(s->class_name), known);
  }
  *known += CORRECTION_EWMA_WEIGHT * (ratio - *known);
}

#define SERVICE_RATE_WINDOW_S 20.0
#define SERVICE_RATE_GROWTH_MAX 2.0 /* a crowd isn't taken for the way things go on */

void fk_view_update_service_rate(FkView *v) {
  double dt = fk_time_between(v->service_rate_at, v->now);
  if (dt < 1)
    return;
  double seen = MIN(v->services_since_rate / dt, SERVICE_RATE_GROWTH_MAX * v->service_rate + 0.5);
  v->service_rate += (seen - v->service_rate) * MIN(1, dt / SERVICE_RATE_WINDOW_S);
  v->services_since_rate = 0;
  v->service_rate_at = v->now;
}

double fk_view_expected_run_s(FkView *v, const FkSpec *s) {
  double *known = g_hash_table_lookup(v->estimate_corrections, s->class_name);
  return s->estimate_s * (known ? *known : 1);
}

/* The sums of bookings are kept by difference: a chunk's old bookings go, its new ones come. */
static void add_controller_cpus(FkTeamUsage *team, const char *by, double cpus) {
  double *used = g_hash_table_lookup(team->cpus_by_controller, by);
  if (!used) {
    used = g_new0(double, 1);
    g_hash_table_insert(team->cpus_by_controller, (gpointer)by, used);
  }
  *used += cpus;
}

static void count_allocation(FkView *v, FkJob *j, const FkAllocation *b, int sign) {
  const FkSpec *s = j->spec;
  FkTeamUsage *team = fk_view_ensure_team(v, s->team);
  FkMachine *m = fk_view_ensure_machine(v, b->machine);
  add_controller_cpus(team, b->launched_by, sign * s->cpus);
  team->cpus += sign * s->cpus;
  team->gpus += sign * s->gpus;
  m->allocated_cpus += sign * s->cpus;
  m->allocated_gpus += sign * s->gpus;
  m->allocated_mem_gb += sign * s->mem_gb;
  if (is_long(s, v))
    m->allocated_long_cpus += sign * s->cpus;
  if (sign > 0) {
    FkAllocationRef ref = {j, b->task, b->attempt, b->stop_requested, b->first_seen_at};
    g_array_append_val(m->allocations, ref);
    g_hash_table_add(m->images, (gpointer)g_intern_string(s->image));
  } else {
    for (guint k = 0; k < m->allocations->len; k++) {
      FkAllocationRef *ref = &g_array_index(m->allocations, FkAllocationRef, k);
      if (ref->job == j && ref->task == b->task && ref->attempt.n == b->attempt.n) {
        g_array_remove_index_fast(m->allocations, k);
        break;
      }
    }
    if (!m->allocations->len) {
      /* no drift from adding and subtracting fractions */
      m->allocated_cpus = m->allocated_gpus = m->allocated_mem_gb = m->allocated_long_cpus = 0;
      m->idle_since = v->now;
    }
  }
  j->allocated += (guint32)sign;
  fk_view_mark_job_changed(v, j);
  v->allocation_updates++;
  fk_view_mark_machine_changed(v, m);
}

/* The longest that a task of the job has been going on. */
static double longest_run_s(const FkView *v, const FkJob *j) {
  double s = 0;
  for (guint32 i = 0; i < j->chunk_count; i++)
    for (guint k = 0; j->chunks[i] && k < j->chunks[i]->allocations->len; k++) {
      const FkAllocation *b = &g_array_index(j->chunks[i]->allocations, FkAllocation, k);
      if (!b->stop_requested && b->start_observed)
        s = MAX(s, fk_time_between(b->first_seen_at, v->now));
    }
  return s;
}

/* Every controller sees the same failures, in the homes' pages, and draws the same conclusions: a job that
 * fails everywhere is slowed by all, and no home takes its machines for faulty. */
static void attempt_failed(FkView *v, FkJob *j, const FkAllocation *b) {
  const char *id = j->spec->id;
  double took_s = b->start_observed ? fk_time_between(b->first_seen_at, v->now) : 0;
  fk_fault_attribution_task_failed(v->fault_attribution, id, b->machine, took_s, j->done > 0, v->now);
  fk_fault_attribution_task_survives(v->fault_attribution, id, longest_run_s(v, j));
  j->has_failed = TRUE;
  j->failing = fk_fault_attribution_job_is_failing(v->fault_attribution, id);
  j->retry_at = fk_time_add(v->now, fk_fault_attribution_retry_delay_s(v->fault_attribution, id));
}

static void attempt_succeeded(FkView *v, FkJob *j, const FkAllocation *b) {
  fk_fault_attribution_task_succeeded(v->fault_attribution, j->spec->id, b->machine);
  if (j->failing)
    j->retry_at = v->now;
  j->failing = FALSE;
}

#define FAILING_REVIEW_INTERVAL_S 1.0

void fk_view_review_failing_jobs(FkView *v) {
  if (fk_time_between(v->failing_reviewed_at, v->now) < FAILING_REVIEW_INTERVAL_S ||
      !fk_fault_attribution_job_count(v->fault_attribution))
    return;
  v->failing_reviewed_at = v->now;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, v->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    FkJob *j = p;
    if (!j->failing)
      continue;
    fk_fault_attribution_task_survives(v->fault_attribution, j->spec->id, longest_run_s(v, j));
    j->failing = fk_fault_attribution_job_is_failing(v->fault_attribution, j->spec->id);
    if (!j->failing)
      j->retry_at = v->now;
    fk_view_mark_job_changed(v, j);
  }
}

static void remove_chunk(FkView *v, FkJob *j, const FkChunk *c) {
  for (guint i = 0; i < c->allocations->len; i++)
    count_allocation(v, j, &g_array_index(c->allocations, FkAllocation, i), -1);
  j->done -= c->done_count;
}

static gboolean is_same_allocation(const FkAllocation *a, const FkAllocation *b) {
  return a->task == b->task && a->attempt.n == b->attempt.n && a->machine == b->machine &&
         a->launched_by == b->launched_by && a->stop_requested == b->stop_requested;
}

/* Keeps when each booking was first seen, and learns from those that have ended well. */
static void carry_first_seen(FkView *v, FkJob *j, const FkChunk *old, FkChunk *c) {
  for (guint i = 0; i < c->allocations->len; i++) {
    FkAllocation *b = &g_array_index(c->allocations, FkAllocation, i);
    FkAllocation *was = old ? fk_chunk_find_allocation(old, b->task) : NULL;
    gboolean same = was && was->attempt.n == b->attempt.n;
    b->first_seen_at = same ? was->first_seen_at : v->now;
    b->start_observed = same ? was->start_observed : v->caught_up;
  }
  for (guint i = 0; old && i < old->allocations->len; i++) {
    const FkAllocation *b = &g_array_index(old->allocations, FkAllocation, i);
    if (!c->done[b->task - c->first_task] || old->done[b->task - c->first_task])
      continue;
    attempt_succeeded(v, j, b);
    if (b->start_observed)
      learn_estimate_correction(v, j->spec, fk_time_between(b->first_seen_at, v->now));
  }
}

/* What homes have written down counts as long as the chunk has the booking. */
static void apply_completed(FkChunk *c, const FkCompletionRecord *e) {
  for (guint i = 0; i < MIN(e->done->len, c->task_count); i++) {
    const FkAllocation *b =
        e->done->data[i] && !c->done[i] ? fk_chunk_find_allocation(c, c->first_task + i) : NULL;
    if (b)
      fk_chunk_finish(c, b->task, b->attempt);
  }
}

static void apply_released(FkChunk *c, const FkCompletionRecord *e) {
  for (guint i = 0; i < e->released->len; i++) {
    const FkReleasedAttempt *t = &g_array_index(e->released, FkReleasedAttempt, i);
    fk_chunk_release(c, t->task, t->attempt);
  }
}

/* The chunk's record with all that pages have of it. A home may write down that a task is done while another,
 * or the leader on the cloud's word, writes down that the same attempt ended: the result counts, whichever
 * came first. Were it the order, who has read both pages from a list would see another state than who saw
 * them written. */
static FkChunk *effective_chunk(FkView *v, const FkJob *j, guint32 index) {
  FkChunk *c = fk_chunk_copy(j->base_chunks[index]);
  g_autofree char *key = g_strdup_printf("%s/%u", j->spec->id, index);
  GPtrArray *all = g_hash_table_lookup(v->completions_by_chunk, key);
  for (guint i = 0; all && i < all->len; i++)
    apply_completed(c, all->pdata[i]);
  for (guint i = 0; all && i < all->len; i++)
    apply_released(c, all->pdata[i]);
  return c;
}

/* Only the bookings in which the two differ are counted: most of a chunk stays as it was. */
static void set_effective_chunk(FkView *v, FkJob *j, guint32 index, FkChunk *c) {
  FkChunk *old = j->chunks[index];
  if (c)
    carry_first_seen(v, j, old, c);
  if (index < j->unstarted_hint)
    j->unstarted_hint = index;
  j->chunks[index] = c;
  if (!old || !c) {
    if (old)
      remove_chunk(v, j, old);
    for (guint i = 0; c && i < c->allocations->len; i++)
      count_allocation(v, j, &g_array_index(c->allocations, FkAllocation, i), +1);
    j->done += c ? c->done_count : 0;
    fk_view_mark_job_changed(v, j);
    fk_chunk_free(old);
    return;
  }
  g_autofree const FkAllocation **kept =
      g_new0(const FkAllocation *, c->task_count); /* by task: what was there */
  for (guint i = 0; i < old->allocations->len; i++) {
    const FkAllocation *b = &g_array_index(old->allocations, FkAllocation, i);
    kept[b->task - old->first_task] = b;
  }
  for (guint i = 0; i < c->allocations->len; i++) {
    const FkAllocation *b = &g_array_index(c->allocations, FkAllocation, i),
                       **was = &kept[b->task - c->first_task];
    if (*was && is_same_allocation(*was, b)) {
      *was = NULL;
      continue;
    }
    if (*was)
      count_allocation(v, j, *was, -1);
    *was = NULL;
    count_allocation(v, j, b, +1);
  }
  for (guint32 i = 0; i < c->task_count; i++)
    if (kept[i])
      count_allocation(v, j, kept[i], -1);
  j->done += c->done_count - old->done_count;
  fk_view_mark_job_changed(v, j);
  fk_chunk_free(old);
}

void fk_view_set_chunk(FkView *v, FkJob *j, guint32 index, FkChunk *c, FkRev rev) {
  if (index >= j->chunk_count || (c && c->task_count != fk_spec_chunk_tasks(j->spec, index)) ||
      (j->base_chunks[index] && j->base_chunks[index]->rev.n >= rev.n)) {
    fk_chunk_free(c);
    return;
  }
  fk_chunk_free(j->base_chunks[index]);
  j->base_chunks[index] = c;
  if (!c) {
    set_effective_chunk(v, j, index, NULL);
    return;
  }
  c->rev = rev;
  set_effective_chunk(v, j, index, effective_chunk(v, j, index));
}

/* A booking has ended, as a home has written down. */
static void end_allocation(FkView *v, FkJob *j, FkChunk *c, const FkAllocation *ended, FkCompletionKind how) {
  FkAllocation b = *ended; /* it goes from the chunk below */
  gboolean done = how == FK_COMPLETION_DONE;
  if (done && b.start_observed)
    learn_estimate_correction(v, j->spec, fk_time_between(b.first_seen_at, v->now));
  if (done)
    attempt_succeeded(v, j, &b);
  count_allocation(v, j, &b, -1);
  if (done)
    fk_chunk_finish(c, b.task, b.attempt);
  else
    fk_chunk_release(c, b.task, b.attempt);
  if (!done) {
    j->attempt_lost_at = v->now;
    if (b.start_observed && j->spec->shape != FK_SHAPE_SERVICE)
      v->lost_cpu_s += fk_time_between(b.first_seen_at, v->now) * j->spec->cpus;
  }
  j->done += done;
  if (how == FK_COMPLETION_FAILED)
    attempt_failed(v, j, &b);
}

/* What is new in it counts at once, booking by booking. */
static void apply_completion_record(FkView *v, const FkCompletionRecord *e) {
  const char *slash = strrchr(e->chunk, '/');
  g_autofree char *id = slash ? g_strndup(e->chunk, slash - e->chunk) : NULL;
  FkJob *j = id ? fk_view_find_job(v, id) : NULL;
  guint64 index = slash ? g_ascii_strtoull(slash + 1, NULL, 10) : 0;
  if (!j || index >= j->chunk_count || !j->chunks[index])
    return;
  FkChunk *c = j->chunks[index];
  gboolean released_before = FALSE;
  for (guint i = 0; i < MIN(e->done->len, c->task_count); i++) {
    if (!e->done->data[i] || c->done[i])
      continue;
    const FkAllocation *b = fk_chunk_find_allocation(c, c->first_task + i);
    if (b)
      end_allocation(v, j, c, b, FK_COMPLETION_DONE);
    else
      released_before |= fk_chunk_find_allocation(j->base_chunks[index], c->first_task + i) != NULL;
  }
  if (released_before) {
    set_effective_chunk(v, j, (guint32)index, effective_chunk(v, j, (guint32)index));
    c = j->chunks[index];
  }
  for (guint i = 0; i < e->released->len; i++) {
    const FkReleasedAttempt *t = &g_array_index(e->released, FkReleasedAttempt, i);
    const FkAllocation *b = fk_chunk_find_allocation(c, t->task);
    if (b && b->attempt.n == t->attempt.n)
      end_allocation(v, j, c, b, t->task_failed ? FK_COMPLETION_FAILED : FK_COMPLETION_RELEASED);
  }
  if (index < j->unstarted_hint)
    j->unstarted_hint = (guint32)index;
}

static gboolean is_same_completion_record(const FkCompletionRecord *a, const FkCompletionRecord *b) {
  return a->done->len == b->done->len && a->released->len == b->released->len &&
         (!a->done->len || !memcmp(a->done->data, b->done->data, a->done->len)) &&
         (!a->released->len ||
          !memcmp(a->released->data, b->released->data, a->released->len * sizeof(FkReleasedAttempt)));
}

/* The place of a page's entry among those for its chunk, or -1. */
static gint index_in_page(const GPtrArray *all, const FkCompletionPage *page) {
  for (guint i = 0; page && all && i < all->len; i++)
    if (((FkCompletionRecord *)all->pdata[i])->page == page)
      return (gint)i;
  return -1;
}

/* A home's page of ends replaces the one before it. It is written twice a second and mostly says what it said
 * before: only entries that differ are worked on. */
void fk_view_set_completions(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  FkCompletionPage *old = g_hash_table_lookup(v->completion_pages, id), *page = NULL;
  if (old && old->rev.n >= rev.n)
    return;
  if (r) {
    page = g_new0(FkCompletionPage, 1);
    page->rev = rev;
    page->ends = g_steal_pointer(&r->completions);
  }
  for (guint i = 0; page && i < page->ends->len; i++) {
    FkCompletionRecord *e = page->ends->pdata[i];
    GPtrArray *all = g_hash_table_lookup(v->completions_by_chunk, e->chunk);
    e->page = page;
    gint at = index_in_page(all, old);
    if (at >= 0) {
      FkCompletionRecord *before = all->pdata[at];
      gboolean same = is_same_completion_record(before, e);
      before->page = NULL; /* replaced */
      all->pdata[at] = e;
      if (!same)
        apply_completion_record(v, e);
      continue;
    }
    if (!all) {
      all = g_ptr_array_new();
      g_hash_table_insert(v->completions_by_chunk, g_strdup(e->chunk), all);
    }
    g_ptr_array_add(all, e);
    apply_completion_record(v, e);
  }
  for (guint i = 0; old && i < old->ends->len; i++) {
    FkCompletionRecord *e = old->ends->pdata[i];
    GPtrArray *all = e->page ? g_hash_table_lookup(v->completions_by_chunk, e->chunk) : NULL;
    if (all && g_ptr_array_remove_fast(all, e) && !all->len)
      g_hash_table_remove(v->completions_by_chunk, e->chunk);
  }
  if (page)
    g_hash_table_replace(v->completion_pages, g_strdup(id), page);
  else
    g_hash_table_remove(v->completion_pages, id);
}

static void remove_job(FkView *v, const char *id, FkJob *j) {
  for (guint32 i = 0; i < j->chunk_count; i++)
    if (j->chunks[i]) {
      /* the last results of a small job end it in the same transaction */
      for (guint k = 0; !j->cancelled && k < j->chunks[i]->allocations->len; k++) {
        const FkAllocation *b = &g_array_index(j->chunks[i]->allocations, FkAllocation, k);
        fk_fault_attribution_task_succeeded(v->fault_attribution, id, b->machine);
        if (b->start_observed)
          learn_estimate_correction(v, j->spec, fk_time_between(b->first_seen_at, v->now));
      }
      remove_chunk(v, j, j->chunks[i]);
      char *path = fk_key_chunk_path(id, i);
      g_hash_table_replace(v->orphan_chunks, path, g_memdup2(&j->base_chunks[i]->rev, sizeof(FkRev)));
    }
  if (!j->cancelled)
    fk_service_level_job_ended(v->service_level, j->spec->class_name, j->spec->team,
                               fk_spec_cpu_seconds(j->spec));
  fk_fault_attribution_remove_job(v->fault_attribution, id);
  fk_dependency_graph_set_state(v->dependencies, id, FK_DEPENDENCY_UNKNOWN,
                                0); /* its final comes with it, or is known already */
  fk_dependency_graph_remove(v->dependencies, id);
  fk_view_mark_job_changed(v, j);
  unlist_job(v, j);
  g_hash_table_remove(v->jobs, id);
}

/* It waits for those of its dependencies that aren't known to be done. */
static void add_dependencies(FkView *v, FkJob *j) {
  char **needs = j->spec->dependencies;
  if (!needs)
    return;
  j->blocked = TRUE;
  fk_dependency_graph_add(v->dependencies, j->spec->id, needs);
  for (guint i = 0; needs[i]; i++) {
    FkPhase phase;
    guint32 tasks;
    const FkJob *d = fk_view_find_job(v, needs[i]);
    if (d)
      fk_dependency_graph_set_state(v->dependencies, needs[i],
                                    d->cancelled ? FK_DEPENDENCY_CANCELLED : FK_DEPENDENCY_LIVE, 0);
    else if (fk_view_find_terminal_job(v, needs[i], &phase, &tasks))
      fk_dependency_graph_set_state(v->dependencies, needs[i],
                                    phase == FK_PHASE_DONE ? FK_DEPENDENCY_DONE : FK_DEPENDENCY_CANCELLED, 0);
  }
}

void fk_view_set_job(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  FkJob *j = fk_view_find_job(v, id);
  if (j && j->rev.n >= rev.n)
    return;
  if (!r) {
    if (j)
      remove_job(v, id, j);
    return;
  }
  if (!j) {
    j = g_new0(FkJob, 1);
    j->ref_count = 1;
    j->spec = fk_spec_ref(r->spec);
    j->chunk_count = fk_spec_chunk_count(j->spec);
    j->chunks = g_new0(FkChunk *, j->chunk_count);
    j->base_chunks = g_new0(FkChunk *, j->chunk_count);
    j->first_seen_at = v->now;
    j->submitted_us = j->spec->submitted_ms * 1000 - v->wall_offset_us;
    if (j->submitted_us > v->now.us)
      j->submitted_us = v->now.us;
    j->startable_us = j->submitted_us;
    j->deadline_us = fk_job_own_deadline_us(j);
    j->inherited_priority = j->spec->priority;
    g_hash_table_insert(v->jobs, j->spec->id, j);
    list_job(v, j);
    fk_dependency_graph_set_state(v->dependencies, id, FK_DEPENDENCY_LIVE,
                                  0); /* somebody may have come before it, and name it */
    add_dependencies(v, j);
    if (j->spec->shape == FK_SHAPE_SERVICE) {
      fk_spec_unref(v->latest_service);
      v->latest_service = fk_spec_ref(j->spec);
      v->services_since_rate += MIN(j->spec->tasks, 8);
    }
  }
  if (r->cancelled && !j->cancelled) {
    j->cancelled_at = v->now;
    for (guint32 i = 0; i < j->chunk_count; i++)
      if (j->chunks[i])
        for (guint k = 0; k < j->chunks[i]->allocations->len; k++)
          fk_view_mark_machine_changed(
              v,
              fk_view_ensure_machine(v, g_array_index(j->chunks[i]->allocations, FkAllocation, k).machine));
  }
  j->cancelled = r->cancelled || j->ancestor_cancelled;
  j->rev = rev;
  fk_view_mark_job_changed(v, j);
  if (j->cancelled)
    fk_dependency_graph_set_state(v->dependencies, id, FK_DEPENDENCY_CANCELLED, 0);
}
