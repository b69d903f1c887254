#include "core/state/view_internal.h"

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

guint fk_job_hash(gconstpointer j) { return g_str_hash(((const FkJob *)j)->spec->id); }

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

static void machine_free(gpointer p) {
  FkMachine *m = p;
  if (m->group)
    g_ptr_array_remove_fast(m->group->machines, m);
  fk_machine_rec_free(m->rec);
  fk_machine_rec_free(m->joining);
  g_array_unref(m->books);
  g_hash_table_unref(m->images);
  if (m->home)
    m->home_free(m->home);
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

void fk_view_touch_job(FkView *v, FkJob *j) { g_hash_table_add(v->jobs_touched, fk_job_ref(j)); }

void fk_view_touch(FkView *v, FkMachine *m) {
  g_hash_table_add(v->touched, (gpointer)m->id);
  g_hash_table_add(v->room_touched, (gpointer)m->id);
}

/* All that the job needs is done, or an ancestor of it is cancelled. */
static void dependency_changed(gpointer data, const char *id, gboolean cancelled) {
  FkView *v = data;
  FkJob *j = fk_view_job(v, id);
  if (!j)
    return;
  fk_view_touch_job(v, j);
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
  v->room_dropped = g_ptr_array_new();
  v->job_list = g_ptr_array_new();
  v->jobs_touched = g_hash_table_new_full(fk_job_hash, g_direct_equal, fk_job_unref, NULL);
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
  g_ptr_array_set_size(v->room_dropped, 0);
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
  g_ptr_array_unref(v->room_dropped);
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
  g_ptr_array_add(v->room_dropped, m);
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

void fk_view_join_group(FkMachine *m, FkGroup *g) {
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
  fk_view_join_group(m, fk_view_group(v, id));
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

char *fk_key_page(const char *group, guint part) {
  g_autofree char *id = part ? g_strdup_printf("%s+%u", group, part) : g_strdup(group);
  return fk_key(FK_KEY_PAGE, id);
}

guint fk_machine_rec_bytes(const FkMachineRec *m) {
  return (guint)(strlen(m->id) + strlen(m->addr) + strlen(m->type) + 50);
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
