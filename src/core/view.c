#include "core/view.h"

#include <string.h>

/* Finals are permanent in the store; memory keeps only the latest of them. */
#define FINALS_KEPT 20000

void fk_waits_add(FkWaits *to, const FkWaits *more) {
  to->sum_s += more->sum_s;
  to->count += more->count;
  to->all_sum_s += more->all_sum_s;
  to->all_count += more->all_count;
}

FkRecord *fk_record_new(FkKeyKind kind) {
  FkRecord *r = g_new0(FkRecord, 1);
  r->kind = kind;
  return r;
}

void fk_machine_rec_free(gpointer p) {
  FkMachineRec *m = p;
  if (!m)
    return;
  g_free(m->id);
  g_free(m->addr);
  g_free(m);
}

FkMachineRec *fk_machine_rec_copy(const FkMachineRec *m) {
  FkMachineRec *c = g_memdup2(m, sizeof *m);
  c->id = g_strdup(m->id);
  c->addr = g_strdup(m->addr);
  return c;
}

FkEnds *fk_ends_new(const char *chunk) {
  FkEnds *e = g_new0(FkEnds, 1);
  e->chunk = g_strdup(chunk);
  e->done = g_byte_array_new();
  e->released = g_array_new(FALSE, FALSE, sizeof(FkTry));
  return e;
}

FkEnds *fk_ends_copy(const FkEnds *e) {
  FkEnds *c = fk_ends_new(e->chunk);
  g_byte_array_append(c->done, e->done->data, e->done->len);
  g_array_append_vals(c->released, e->released->data, e->released->len);
  return c;
}

void fk_ends_free(gpointer p) {
  FkEnds *e = p;
  if (!e)
    return;
  g_free(e->chunk);
  g_byte_array_unref(e->done);
  g_array_unref(e->released);
  g_free(e);
}

void fk_record_free(FkRecord *r) {
  if (!r)
    return;
  fk_spec_unref(r->spec);
  fk_chunk_free(r->chunk);
  if (r->members)
    g_ptr_array_unref(r->members);
  if (r->ends)
    g_ptr_array_unref(r->ends);
  if (r->split)
    g_hash_table_unref(r->split);
  g_free(r->node);
  g_free(r->life);
  g_free(r);
}

void fk_event_free(FkEvent *e) {
  if (!e)
    return;
  g_free(e->path);
  fk_record_free(e->record);
  g_free(e);
}

static const struct {
  FkKeyKind kind;
  const char *prefix;
} key_prefixes[] = {
    {FK_KEY_JOB, FK_LIVE "j/"},   {FK_KEY_CHUNK, FK_LIVE "t/"},      {FK_KEY_GROUP, FK_LIVE "g/"},
    {FK_KEY_PAGE, FK_LIVE "m/"},  {FK_KEY_NODE, FK_LIVE "n/"},       {FK_KEY_TEAM, FK_LIVE "q/"},
    {FK_KEY_ENDS, FK_LIVE "r/"},  {FK_KEY_FENCE, FK_LIVE "f/"},      {FK_KEY_WAITS, FK_LIVE "w/"},
    {FK_KEY_FINAL, FK_ROOT "d/"}, {FK_KEY_LEADER, FK_LIVE "leader"},
};

char *fk_key(FkKeyKind kind, const char *id) {
  for (guint i = 0; i < G_N_ELEMENTS(key_prefixes); i++)
    if (key_prefixes[i].kind == kind)
      return g_strconcat(key_prefixes[i].prefix, id, NULL);
  return NULL;
}

char *fk_key_chunk(const char *job, guint32 chunk) {
  return g_strdup_printf(FK_LIVE "t/%s/%05u", job, chunk);
}

FkKeyKind fk_key_parse(const char *path, char **id, guint32 *chunk) {
  for (guint i = 0; i < G_N_ELEMENTS(key_prefixes); i++) {
    if (!g_str_has_prefix(path, key_prefixes[i].prefix))
      continue;
    const char *rest = path + strlen(key_prefixes[i].prefix);
    if (key_prefixes[i].kind == FK_KEY_CHUNK) {
      const char *slash = strchr(rest, '/');
      guint64 n;
      if (!slash || !g_ascii_string_to_unsigned(slash + 1, 10, 0, G_MAXUINT32, &n, NULL))
        return FK_KEY_OTHER;
      *id = g_strndup(rest, slash - rest);
      *chunk = (guint32)n;
    } else {
      *id = g_strdup(rest);
    }
    return key_prefixes[i].kind;
  }
  return FK_KEY_OTHER;
}

FkJob *fk_job_ref(FkJob *j) {
  j->refs++;
  return j;
}

void fk_job_unref(gpointer p) {
  FkJob *j = p;
  if (--j->refs > 0)
    return;
  fk_spec_unref(j->spec);
  g_free(j);
}

/* The view has it no more. Probes may refer to it for a while: they find nothing that waits. */
static void job_gone(gpointer p) {
  FkJob *j = p;
  for (guint32 i = 0; i < j->n_chunks; i++) {
    fk_chunk_free(j->chunks[i]);
    fk_chunk_free(j->bases[i]);
  }
  g_clear_pointer(&j->chunks, g_free);
  g_clear_pointer(&j->bases, g_free);
  j->n_chunks = 0;
  j->gone = TRUE;
  fk_job_unref(j);
}

/* core/home.c */
void fk_home_free(FkHome *h);

static void machine_free(gpointer p) {
  FkMachine *m = p;
  if (m->group)
    g_ptr_array_remove_fast(m->group->machines, m);
  fk_machine_rec_free(m->rec);
  fk_machine_rec_free(m->joining);
  g_array_unref(m->books);
  g_hash_table_unref(m->images);
  fk_home_free(m->home);
  if (m->probes)
    g_ptr_array_unref(m->probes);
  g_free(m);
}

static void group_free(gpointer p) {
  FkGroup *g = p;
  g_free(g->home);
  g_free(g->life);
  g_ptr_array_unref(g->machines);
  g_hash_table_unref(g->back);
  g_free(g);
}

static void team_use_free(gpointer p) {
  FkTeamUse *t = p;
  g_hash_table_unref(t->by);
  g_free(t->was_short);
  if (t->split)
    g_hash_table_unref(t->split);
  g_free(t);
}

static void end_page_free(gpointer p) {
  FkEndPage *e = p;
  g_ptr_array_unref(e->ends);
  g_free(e);
}

static void node_free(gpointer p) {
  FkNode *n = p;
  g_free(n->name);
  g_free(n->life);
  g_free(n);
}

static void touch_job(FkView *v, FkJob *j) { g_hash_table_add(v->jobs_touched, fk_job_ref(j)); }

/* All that the job needs is done, or an ancestor of it is cancelled. */
static void dependency_changed(gpointer data, const char *id, gboolean cancelled) {
  FkView *v = data;
  FkJob *j = fk_view_job(v, id);
  if (!j)
    return;
  touch_job(v, j);
  if (cancelled) {
    j->cancelled = j->withdrawn = TRUE;
    j->cancel_seen = v->now;
    return;
  }
  if (!j->held)
    return;
  gint64 ready_ms = fk_deps_ready_ms(v->deps, id);
  j->held = FALSE;
  j->seen = v->now;
  j->could_us = ready_ms ? CLAMP(ready_ms * 1000 - v->wall_offset_us, j->submitted_us, v->now.us) : v->now.us;
}

FkView *fk_view_new(const FkSettings *s) {
  FkView *v = g_new0(FkView, 1);
  v->settings = s;
  v->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_gone);
  v->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
  v->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
  v->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
  v->end_pages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, end_page_free);
  v->ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  v->fences = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, team_use_free);
  v->waits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->finals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  v->final_tasks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
  v->final_order = g_queue_new();
  v->corrections = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->blame = fk_blame_new();
  v->served = fk_served_new();
  v->orphans = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->deps = fk_deps_new(dependency_changed, v);
  v->touched = g_hash_table_new(g_str_hash, g_str_equal);
  v->room_touched = g_hash_table_new(g_str_hash, g_str_equal);
  v->job_list = g_ptr_array_new();
  v->jobs_touched = g_hash_table_new_full(g_direct_hash, g_direct_equal, fk_job_unref, NULL);
  return v;
}

/* Forgets what lives, before reading it again. Finals never change, so they stay. */
void fk_view_clear(FkView *v) {
  fk_deps_clear(v->deps);
  g_ptr_array_set_size(v->job_list, 0);
  g_hash_table_remove_all(v->jobs_touched);
  g_hash_table_remove_all(v->jobs);
  g_hash_table_remove_all(v->machines);
  g_hash_table_remove_all(v->groups);
  g_hash_table_remove_all(v->ends);
  g_hash_table_remove_all(v->end_pages);
  g_hash_table_remove_all(v->fences);
  g_hash_table_remove_all(v->nodes);
  g_hash_table_remove_all(v->teams);
  g_hash_table_remove_all(v->waits);
  g_hash_table_remove_all(v->orphans);
  fk_blame_clear(v->blame);
  fk_served_clear(v->served);
  g_hash_table_remove_all(v->touched);
  g_hash_table_remove_all(v->room_touched);
  g_clear_pointer(&v->leader, g_free);
  g_clear_pointer(&v->leader_life, g_free);
  v->leader_rev.n = 0;
  v->applied.n = 0;
  v->live = FALSE;
}

void fk_view_free(FkView *v) {
  if (!v)
    return;
  fk_view_clear(v);
  g_hash_table_unref(v->jobs);
  g_hash_table_unref(v->machines);
  g_hash_table_unref(v->groups);
  g_hash_table_unref(v->ends);
  g_hash_table_unref(v->end_pages);
  g_hash_table_unref(v->fences);
  g_hash_table_unref(v->nodes);
  g_hash_table_unref(v->teams);
  g_hash_table_unref(v->waits);
  g_hash_table_unref(v->final_tasks);
  g_hash_table_unref(v->finals);
  g_queue_free(v->final_order);
  g_hash_table_unref(v->corrections);
  g_hash_table_unref(v->orphans);
  fk_blame_free(v->blame);
  fk_served_free(v->served);
  g_hash_table_unref(v->touched);
  g_hash_table_unref(v->room_touched);
  g_hash_table_unref(v->jobs_touched);
  g_ptr_array_unref(v->job_list);
  fk_spec_unref(v->service);
  fk_deps_free(v->deps);
  g_free(v);
}

FkJob *fk_view_job(FkView *v, const char *id) { return g_hash_table_lookup(v->jobs, id); }

FkMachine *fk_view_machine(FkView *v, const char *id) { return g_hash_table_lookup(v->machines, id); }

FkMachine *fk_view_machine_ensure(FkView *v, const char *id) {
  FkMachine *m = g_hash_table_lookup(v->machines, id);
  if (!m) {
    m = g_new0(FkMachine, 1);
    m->id = g_intern_string(id);
    m->books = g_array_new(FALSE, FALSE, sizeof(FkBookRef));
    m->idle_since = v->now;
    m->images = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_insert(v->machines, (gpointer)m->id, m);
  }
  return m;
}

void fk_view_drop_machine(FkView *v, FkMachine *m) {
  fk_blame_machine_gone(v->blame, m->id);
  g_hash_table_remove(v->touched, m->id);
  g_hash_table_remove(v->room_touched, m->id);
  g_hash_table_remove(v->machines, m->id);
}

#define GROUPS 32 /* a zone; part of the store's layout */

char *fk_group_id(const char *zone, const char *machine) {
  /* ids that differ in a digit must not fall together: g_str_hash alone is a weak mixer */
  guint32 h = g_str_hash(machine) * 2654435761u;
  return g_strdup_printf("%s.%u", zone, (h >> 8) % GROUPS);
}

FkGroup *fk_view_group(FkView *v, const char *id) {
  FkGroup *g = g_hash_table_lookup(v->groups, id);
  if (!g) {
    g = g_new0(FkGroup, 1);
    g->id = g_intern_string(id);
    const char *dot = strrchr(id, '.');
    g_autofree char *zone = dot ? g_strndup(id, dot - id) : g_strdup(id);
    g->zone = g_intern_string(zone);
    g->machines = g_ptr_array_new();
    g->back = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(v->groups, (gpointer)g->id, g);
  }
  return g;
}

static void join_group(FkMachine *m, FkGroup *g) {
  if (m->group == g)
    return;
  if (m->group)
    g_ptr_array_remove_fast(m->group->machines, m);
  m->group = g;
  g_ptr_array_add(g->machines, m);
}

void fk_view_set_group(FkView *v, FkMachine *m, const char *zone) {
  if (m->group)
    return;
  g_autofree char *id = fk_group_id(zone, m->id);
  join_group(m, fk_view_group(v, id));
}

FkRev fk_view_fence(FkView *v, const char *node) {
  FkFence *f = g_hash_table_lookup(v->fences, node);
  return f ? f->rev : (FkRev){0};
}

FkTeamUse *fk_view_team(FkView *v, const char *name) {
  FkTeamUse *t = g_hash_table_lookup(v->teams, name);
  if (!t) {
    t = g_new0(FkTeamUse, 1);
    t->by = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    g_hash_table_insert(v->teams, g_strdup(name), t);
  }
  return t;
}

static void touch(FkView *v, FkMachine *m) {
  g_hash_table_add(v->touched, (gpointer)m->id);
  g_hash_table_add(v->room_touched, (gpointer)m->id);
}

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
  touch_job(v, j);
  v->work++;
  touch(v, m);
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
    touch_job(v, j);
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
    touch_job(v, j);
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
  touch_job(v, j);
  fk_chunk_free(old);
}

static void set_chunk(FkView *v, FkJob *j, guint32 index, FkChunk *c, FkRev rev) {
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
static void set_ends(FkView *v, const char *id, FkRecord *r, FkRev rev) {
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
  touch_job(v, j);
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

static void set_job(FkView *v, const char *id, FkRecord *r, FkRev rev) {
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
          touch(v, fk_view_machine_ensure(v, g_array_index(j->chunks[i]->bookings, FkBooking, k).machine));
  }
  j->cancelled = r->cancelled || j->withdrawn;
  j->rev = rev;
  touch_job(v, j);
  if (j->cancelled)
    fk_deps_note(v->deps, id, FK_DEP_CANCELLED, 0);
}

static void set_group(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  FkGroup *g = fk_view_group(v, id);
  if (g->rev.n >= rev.n)
    return;
  g_clear_pointer(&g->home, g_free);
  g_clear_pointer(&g->life, g_free);
  g->rev = r ? rev : (FkRev){0};
  if (r) {
    g->home = g_strdup(r->node);
    g->life = g_strdup(r->life);
  }
  for (guint i = 0; i < g->machines->len; i++)
    touch(v, g->machines->pdata[i]);
}

char *fk_key_page(const char *group, guint part) {
  g_autofree char *id = part ? g_strdup_printf("%s+%u", group, part) : g_strdup(group);
  return fk_key(FK_KEY_PAGE, id);
}

guint fk_machine_rec_bytes(const FkMachineRec *m) {
  return (guint)(strlen(m->id) + strlen(m->addr) + strlen(m->type) + 50);
}

/* A machine that a part of its page no longer has, and no other has now, is proven gone: its bookings have
 * ended before. One that moves is in its new part by the same transaction. */
static void set_page(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  const char *plus = strrchr(id, '+');
  g_autofree char *group = plus ? g_strndup(id, plus - id) : g_strdup(id);
  guint64 part = plus ? g_ascii_strtoull(plus + 1, NULL, 10) : 0;
  if (part >= FK_PARTS)
    return;
  FkGroup *g = fk_view_group(v, group);
  if (g->page_rev[part].n >= rev.n)
    return;
  g->page_rev[part] = rev;
  guint bytes = FK_PAGE_BYTES;
  for (guint i = 0; r && i < r->members->len; i++) {
    FkMachineRec *rec = r->members->pdata[i];
    FkMachine *m = fk_view_machine_ensure(v, rec->id);
    join_group(m, g);
    m->page_rev = rev;
    m->part = (guint)part;
    bytes += fk_machine_rec_bytes(rec);
    gboolean fresh = !m->rec, changed = m->mark != rec->mark;
    if (changed) {
      m->mark = rec->mark;
      m->notice_s = rec->notice_s;
      m->mark_seen = v->now;
    }
    if (fresh) {
      m->rec = fk_machine_rec_copy(rec);
      m->rec_seen = m->idle_since = v->now;
    }
    if (fresh || changed)
      touch(v, m);
  }
  g->oversized |= bytes > FK_PAGE_LIMIT(v->settings->value_kb);
  for (guint i = 0; i < g->machines->len; i++) {
    FkMachine *m = g->machines->pdata[i];
    if (m->part != part || m->page_rev.n == rev.n || !m->rec)
      continue;
    g_clear_pointer(&m->rec, fk_machine_rec_free);
    m->mark = NULL;
    m->type = NULL;
    touch(v, m);
  }
}

static void set_team(FkView *v, const char *id, FkRecord *r, FkRev rev) {
  FkTeamUse *t = fk_view_team(v, id);
  t->rev = r ? rev : (FkRev){0};
  t->changed = v->now;
  g_clear_pointer(&t->split, g_hash_table_unref);
  if (!r)
    return;
  t->split = g_steal_pointer(&r->split);
  if (r->node) {
    g_free(t->was_short);
    t->was_short = g_steal_pointer(&r->node);
  }
}

void fk_view_remember_final(FkView *v, const char *id, FkPhase phase, guint32 tasks, gint64 at_ms) {
  fk_deps_note(v->deps, id, phase == FK_PHASE_DONE ? FK_DEP_DONE : FK_DEP_CANCELLED, at_ms);
  if (g_hash_table_contains(v->finals, id))
    return;
  char *key = g_strdup(id);
  g_hash_table_insert(v->finals, key, GINT_TO_POINTER(phase + 1));
  g_hash_table_insert(v->final_tasks, key, GUINT_TO_POINTER(tasks));
  g_queue_push_tail(v->final_order, key);
  if (v->final_order->length > FINALS_KEPT) {
    char *oldest = g_queue_pop_head(v->final_order);
    g_hash_table_remove(v->final_tasks, oldest);
    g_hash_table_remove(v->finals, oldest);
  }
}

gboolean fk_view_final(FkView *v, const char *id, FkPhase *phase, guint32 *tasks) {
  gpointer p = g_hash_table_lookup(v->finals, id);
  if (p) {
    *phase = GPOINTER_TO_INT(p) - 1;
    *tasks = GPOINTER_TO_UINT(g_hash_table_lookup(v->final_tasks, id));
    return TRUE;
  }
  return FALSE;
}

static void apply_small(FkView *v, FkKeyKind kind, const char *id, FkRecord *r, FkRev rev) {
  switch (kind) {
  case FK_KEY_NODE:
    if (r) {
      FkNode *n = g_new0(FkNode, 1);
      n->name = g_strdup(id);
      n->life = g_strdup(r->life);
      n->rev = rev;
      g_hash_table_replace(v->nodes, n->name, n);
    } else {
      g_hash_table_remove(v->nodes, id);
    }
    break;
  case FK_KEY_TEAM:
    set_team(v, id, r, rev);
    break;
  case FK_KEY_FENCE:
    if (r) {
      FkFence f = {rev, r->chains};
      g_hash_table_replace(v->fences, g_strdup(id), g_memdup2(&f, sizeof f));
    } else
      g_hash_table_remove(v->fences, id);
    break;
  case FK_KEY_LEADER:
    g_clear_pointer(&v->leader, g_free);
    g_clear_pointer(&v->leader_life, g_free);
    v->leader_rev.n = 0;
    if (r) {
      v->leader = g_strdup(r->node);
      v->leader_life = g_strdup(r->life);
      v->leader_rev = rev;
    }
    break;
  case FK_KEY_WAITS:
    if (r) {
      FkWaits *w = g_new0(FkWaits, 1);
      *w = r->waits;
      g_hash_table_replace(v->waits, g_strdup(id), w);
    } else {
      g_hash_table_remove(v->waits, id);
    }
    break;
  default:
    break;
  }
}

void fk_view_apply(FkView *v, const char *path, FkRecord *record, FkRev rev) {
  g_autoptr(FkRecord) r = record;
  g_autofree char *id = NULL;
  guint32 chunk = 0;
  FkKeyKind kind = fk_key_parse(path, &id, &chunk);
  if (r && r->kind != kind)
    return;
  switch (kind) {
  case FK_KEY_OTHER:
    break;
  case FK_KEY_JOB:
    set_job(v, id, r, rev);
    break;
  case FK_KEY_CHUNK: {
    FkJob *j = fk_view_job(v, id);
    if (j)
      set_chunk(v, j, chunk, r ? g_steal_pointer(&r->chunk) : NULL, rev);
    if (r && !j)
      g_hash_table_replace(v->orphans, g_strdup(path), g_memdup2(&rev, sizeof rev));
    else
      g_hash_table_remove(v->orphans, path); /* the job has come since, or the chunk is gone */
    break;
  }
  case FK_KEY_GROUP:
    set_group(v, id, r, rev);
    break;
  case FK_KEY_PAGE:
    set_page(v, id, r, rev);
    break;
  case FK_KEY_ENDS:
    set_ends(v, id, r, rev);
    break;
  case FK_KEY_FINAL:
    if (r)
      fk_view_remember_final(v, id, r->phase, r->tasks, r->at_ms);
    break;
  default:
    apply_small(v, kind, id, r, rev);
  }
}

gint64 fk_job_own_due(const FkJob *j) {
  return j->spec->deadline_s < 0 ? G_MAXINT64 : j->submitted_us + (gint64)(j->spec->deadline_s * 1e6);
}

double fk_job_due_s(const FkJob *j) {
  return j->due_us == G_MAXINT64 ? -1 : MAX(0, (double)(j->due_us - j->could_us) / 1e6);
}

FkPhase fk_job_phase(const FkJob *j) {
  if (j->cancelled)
    return FK_PHASE_CANCELLED;
  return j->booked ? FK_PHASE_RUNNING : FK_PHASE_QUEUED;
}

gboolean fk_job_complete(const FkJob *j) { return j->done == j->spec->tasks; }

guint32 fk_job_waiting(const FkJob *j) {
  if (j->cancelled || j->gone || j->held)
    return 0;
  guint32 all = j->spec->tasks - j->done - j->booked;
  return !j->doubted || j->spec->shape == FK_SHAPE_GANG ? all : j->booked ? 0 : MIN(1, all);
}
