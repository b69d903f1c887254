#include "core/state/view_internal.h"

#include <string.h>

/* Finals are permanent in the store; memory keeps only the latest of them. */
#define TERMINAL_JOBS_KEPT 20000

void fk_wait_times_add(FkWaitTimes *to, const FkWaitTimes *more) {
  to->capped_sum_s += more->capped_sum_s;
  to->capped_count += more->capped_count;
  to->sum_s += more->sum_s;
  to->count += more->count;
}

FkRecord *fk_record_new(FkKeyKind kind) {
  FkRecord *r = g_new0(FkRecord, 1);
  r->kind = kind;
  return r;
}

void fk_machine_record_free(gpointer p) {
  FkMachineRecord *m = p;
  if (!m)
    return;
  g_free(m->id);
  g_free(m->addr);
  g_free(m);
}

FkMachineRecord *fk_machine_record_copy(const FkMachineRecord *m) {
  FkMachineRecord *c = g_memdup2(m, sizeof *m);
  c->id = g_strdup(m->id);
  c->addr = g_strdup(m->addr);
  return c;
}

FkCompletionRecord *fk_completion_record_new(const char *chunk) {
  FkCompletionRecord *e = g_new0(FkCompletionRecord, 1);
  e->chunk = g_strdup(chunk);
  e->done = g_byte_array_new();
  e->released = g_array_new(FALSE, FALSE, sizeof(FkReleasedAttempt));
  return e;
}

FkCompletionRecord *fk_completion_record_copy(const FkCompletionRecord *e) {
  FkCompletionRecord *c = fk_completion_record_new(e->chunk);
  g_byte_array_append(c->done, e->done->data, e->done->len);
  g_array_append_vals(c->released, e->released->data, e->released->len);
  return c;
}

void fk_completion_record_free(gpointer p) {
  FkCompletionRecord *e = p;
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
  if (r->machines)
    g_ptr_array_unref(r->machines);
  if (r->completions)
    g_ptr_array_unref(r->completions);
  if (r->partition)
    g_hash_table_unref(r->partition);
  g_free(r->node);
  g_free(r->incarnation);
  g_free(r);
}

void fk_store_event_free(FkStoreEvent *e) {
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
    {FK_KEY_JOB, FK_STORE_LIVE_ROOT "j/"},         {FK_KEY_CHUNK, FK_STORE_LIVE_ROOT "t/"},
    {FK_KEY_SHARD, FK_STORE_LIVE_ROOT "g/"},       {FK_KEY_MACHINE_PAGE, FK_STORE_LIVE_ROOT "m/"},
    {FK_KEY_NODE, FK_STORE_LIVE_ROOT "n/"},        {FK_KEY_TEAM, FK_STORE_LIVE_ROOT "q/"},
    {FK_KEY_COMPLETIONS, FK_STORE_LIVE_ROOT "r/"}, {FK_KEY_LAUNCH_FENCE, FK_STORE_LIVE_ROOT "f/"},
    {FK_KEY_WAIT_TIMES, FK_STORE_LIVE_ROOT "w/"},  {FK_KEY_TERMINAL_JOB, FK_STORE_ROOT "d/"},
    {FK_KEY_LEADER, FK_STORE_LIVE_ROOT "leader"},
};

char *fk_key_path(FkKeyKind kind, const char *id) {
  for (guint i = 0; i < G_N_ELEMENTS(key_prefixes); i++)
    if (key_prefixes[i].kind == kind)
      return g_strconcat(key_prefixes[i].prefix, id, NULL);
  return NULL;
}

char *fk_key_chunk_path(const char *job, guint32 chunk) {
  return g_strdup_printf(FK_STORE_LIVE_ROOT "t/%s/%05u", job, chunk);
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
  j->ref_count++;
  return j;
}

guint fk_job_hash(gconstpointer j) { return g_str_hash(((const FkJob *)j)->spec->id); }

void fk_job_unref(gpointer p) {
  FkJob *j = p;
  if (--j->ref_count > 0)
    return;
  fk_spec_unref(j->spec);
  g_free(j);
}

/* The view has it no more. Probes may refer to it for a while: they find nothing that waits. */
static void job_removed(gpointer p) {
  FkJob *j = p;
  for (guint32 i = 0; i < j->chunk_count; i++) {
    fk_chunk_free(j->chunks[i]);
    fk_chunk_free(j->base_chunks[i]);
  }
  g_clear_pointer(&j->chunks, g_free);
  g_clear_pointer(&j->base_chunks, g_free);
  j->chunk_count = 0;
  j->removed = TRUE;
  fk_job_unref(j);
}

/* core/home.c */

static void machine_free(gpointer p) {
  FkMachine *m = p;
  if (m->shard)
    g_ptr_array_remove_fast(m->shard->machines, m);
  fk_machine_record_free(m->record);
  fk_machine_record_free(m->pending_record);
  g_array_unref(m->allocations);
  g_hash_table_unref(m->images);
  if (m->worker)
    m->worker_state_free(m->worker);
  if (m->probes)
    g_ptr_array_unref(m->probes);
  g_free(m);
}

static void shard_free(gpointer p) {
  FkShard *g = p;
  g_free(g->owner);
  g_free(g->owner_incarnation);
  g_ptr_array_unref(g->machines);
  g_hash_table_unref(g->returned_machines);
  g_free(g);
}

static void team_usage_free(gpointer p) {
  FkTeamUsage *t = p;
  g_hash_table_unref(t->cpus_by_controller);
  g_free(t->last_exhausted_by);
  if (t->partition)
    g_hash_table_unref(t->partition);
  g_free(t);
}

static void completion_page_free(gpointer p) {
  FkCompletionPage *e = p;
  g_ptr_array_unref(e->ends);
  g_free(e);
}

static void node_free(gpointer p) {
  FkControllerNode *n = p;
  g_free(n->name);
  g_free(n->incarnation);
  g_free(n);
}

void fk_view_mark_job_changed(FkView *v, FkJob *j) { g_hash_table_add(v->changed_jobs, fk_job_ref(j)); }

void fk_view_mark_machine_changed(FkView *v, FkMachine *m) {
  g_hash_table_add(v->changed_machines, (gpointer)m->id);
  g_hash_table_add(v->capacity_changed, (gpointer)m->id);
}

/* All that the job needs is done, or an ancestor of it is cancelled. */
static void dependency_changed(gpointer data, const char *id, gboolean cancelled) {
  FkView *v = data;
  FkJob *j = fk_view_find_job(v, id);
  if (!j)
    return;
  fk_view_mark_job_changed(v, j);
  if (cancelled) {
    j->cancelled = j->ancestor_cancelled = TRUE;
    j->cancelled_at = v->now;
    return;
  }
  if (!j->blocked)
    return;
  gint64 ready_ms = fk_dependency_graph_ready_ms(v->dependencies, id);
  j->blocked = FALSE;
  j->first_seen_at = v->now;
  j->startable_us =
      ready_ms ? CLAMP(ready_ms * 1000 - v->wall_offset_us, j->submitted_us, v->now.us) : v->now.us;
}

FkView *fk_view_new(const FkSettings *s) {
  FkView *v = g_new0(FkView, 1);
  v->settings = s;
  v->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_removed);
  v->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
  v->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
  v->shards = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shard_free);
  v->completion_pages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, completion_page_free);
  v->completions_by_chunk =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  v->launch_fences = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, team_usage_free);
  v->wait_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->terminal_phases = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  v->terminal_task_counts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
  v->terminal_order = g_queue_new();
  v->estimate_corrections = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->fault_attribution = fk_fault_attribution_new();
  v->service_level = fk_service_level_new();
  v->orphan_chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  v->dependencies = fk_dependency_graph_new(dependency_changed, v);
  v->changed_machines = g_hash_table_new(g_str_hash, g_str_equal);
  v->capacity_changed = g_hash_table_new(g_str_hash, g_str_equal);
  v->capacity_removed = g_ptr_array_new();
  v->live_jobs = g_ptr_array_new();
  v->changed_jobs = g_hash_table_new_full(fk_job_hash, g_direct_equal, fk_job_unref, NULL);
  return v;
}

/* Forgets what lives, before reading it again. Finals never change, so they stay. */
void fk_view_clear(FkView *v) {
  fk_dependency_graph_clear(v->dependencies);
  g_ptr_array_set_size(v->live_jobs, 0);
  g_hash_table_remove_all(v->changed_jobs);
  g_hash_table_remove_all(v->jobs);
  g_hash_table_remove_all(v->machines);
  g_hash_table_remove_all(v->shards);
  g_hash_table_remove_all(v->completions_by_chunk);
  g_hash_table_remove_all(v->completion_pages);
  g_hash_table_remove_all(v->launch_fences);
  g_hash_table_remove_all(v->nodes);
  g_hash_table_remove_all(v->teams);
  g_hash_table_remove_all(v->wait_times);
  g_hash_table_remove_all(v->orphan_chunks);
  fk_fault_attribution_clear(v->fault_attribution);
  fk_service_level_clear(v->service_level);
  g_hash_table_remove_all(v->changed_machines);
  g_hash_table_remove_all(v->capacity_changed);
  g_ptr_array_set_size(v->capacity_removed, 0);
  g_clear_pointer(&v->leader, g_free);
  g_clear_pointer(&v->leader_incarnation, g_free);
  v->leader_rev.n = 0;
  v->applied.n = 0;
  v->caught_up = FALSE;
}

void fk_view_free(FkView *v) {
  if (!v)
    return;
  fk_view_clear(v);
  g_hash_table_unref(v->jobs);
  g_hash_table_unref(v->machines);
  g_hash_table_unref(v->shards);
  g_hash_table_unref(v->completions_by_chunk);
  g_hash_table_unref(v->completion_pages);
  g_hash_table_unref(v->launch_fences);
  g_hash_table_unref(v->nodes);
  g_hash_table_unref(v->teams);
  g_hash_table_unref(v->wait_times);
  g_hash_table_unref(v->terminal_task_counts);
  g_hash_table_unref(v->terminal_phases);
  g_queue_free(v->terminal_order);
  g_hash_table_unref(v->estimate_corrections);
  g_hash_table_unref(v->orphan_chunks);
  fk_fault_attribution_free(v->fault_attribution);
  fk_service_level_free(v->service_level);
  g_hash_table_unref(v->changed_machines);
  g_hash_table_unref(v->capacity_changed);
  g_ptr_array_unref(v->capacity_removed);
  g_hash_table_unref(v->changed_jobs);
  g_ptr_array_unref(v->live_jobs);
  fk_spec_unref(v->latest_service);
  fk_dependency_graph_free(v->dependencies);
  g_free(v);
}

FkJob *fk_view_find_job(FkView *v, const char *id) { return g_hash_table_lookup(v->jobs, id); }

FkMachine *fk_view_find_machine(FkView *v, const char *id) { return g_hash_table_lookup(v->machines, id); }

FkMachine *fk_view_ensure_machine(FkView *v, const char *id) {
  FkMachine *m = g_hash_table_lookup(v->machines, id);
  if (!m) {
    m = g_new0(FkMachine, 1);
    m->id = g_intern_string(id);
    m->allocations = g_array_new(FALSE, FALSE, sizeof(FkAllocationRef));
    m->idle_since = v->now;
    m->images = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_insert(v->machines, (gpointer)m->id, m);
  }
  return m;
}

void fk_view_remove_machine(FkView *v, FkMachine *m) {
  fk_fault_attribution_remove_machine(v->fault_attribution, m->id);
  g_hash_table_remove(v->changed_machines, m->id);
  g_hash_table_remove(v->capacity_changed, m->id);
  g_ptr_array_add(v->capacity_removed, m);
  g_hash_table_remove(v->machines, m->id);
}

#define SHARDS_PER_ZONE 32 /* a zone; part of the store's layout */

char *fk_shard_id_for_machine(const char *zone, const char *machine) {
  /* ids that differ in a digit must not fall together: g_str_hash alone is a weak mixer */
  guint32 h = g_str_hash(machine) * 2654435761u;
  return g_strdup_printf("%s.%u", zone, (h >> 8) % SHARDS_PER_ZONE);
}

FkShard *fk_view_ensure_shard(FkView *v, const char *id) {
  FkShard *g = g_hash_table_lookup(v->shards, id);
  if (!g) {
    g = g_new0(FkShard, 1);
    g->id = g_intern_string(id);
    const char *dot = strrchr(id, '.');
    g_autofree char *zone = dot ? g_strndup(id, dot - id) : g_strdup(id);
    g->zone = g_intern_string(zone);
    g->machines = g_ptr_array_new();
    g->returned_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(v->shards, (gpointer)g->id, g);
  }
  return g;
}

void fk_view_join_shard(FkMachine *m, FkShard *g) {
  if (m->shard == g)
    return;
  if (m->shard)
    g_ptr_array_remove_fast(m->shard->machines, m);
  m->shard = g;
  g_ptr_array_add(g->machines, m);
}

void fk_view_assign_shard(FkView *v, FkMachine *m, const char *zone) {
  if (m->shard)
    return;
  g_autofree char *id = fk_shard_id_for_machine(zone, m->id);
  fk_view_join_shard(m, fk_view_ensure_shard(v, id));
}

FkRev fk_view_launch_fence_rev(FkView *v, const char *node) {
  FkLaunchFence *f = g_hash_table_lookup(v->launch_fences, node);
  return f ? f->rev : (FkRev){0};
}

FkTeamUsage *fk_view_ensure_team(FkView *v, const char *name) {
  FkTeamUsage *t = g_hash_table_lookup(v->teams, name);
  if (!t) {
    t = g_new0(FkTeamUsage, 1);
    t->cpus_by_controller = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    g_hash_table_insert(v->teams, g_strdup(name), t);
  }
  return t;
}

void fk_view_add_terminal_job(FkView *v, const char *id, FkPhase phase, guint32 tasks, gint64 at_ms) {
  fk_dependency_graph_set_state(v->dependencies, id,
                                phase == FK_PHASE_DONE ? FK_DEPENDENCY_DONE : FK_DEPENDENCY_CANCELLED, at_ms);
  if (g_hash_table_contains(v->terminal_phases, id))
    return;
  char *key = g_strdup(id);
  g_hash_table_insert(v->terminal_phases, key, GINT_TO_POINTER(phase + 1));
  g_hash_table_insert(v->terminal_task_counts, key, GUINT_TO_POINTER(tasks));
  g_queue_push_tail(v->terminal_order, key);
  if (v->terminal_order->length > TERMINAL_JOBS_KEPT) {
    char *oldest = g_queue_pop_head(v->terminal_order);
    g_hash_table_remove(v->terminal_task_counts, oldest);
    g_hash_table_remove(v->terminal_phases, oldest);
  }
}

gboolean fk_view_find_terminal_job(FkView *v, const char *id, FkPhase *phase, guint32 *tasks) {
  gpointer p = g_hash_table_lookup(v->terminal_phases, id);
  if (p) {
    *phase = GPOINTER_TO_INT(p) - 1;
    *tasks = GPOINTER_TO_UINT(g_hash_table_lookup(v->terminal_task_counts, id));
    return TRUE;
  }
  return FALSE;
}

char *fk_key_machine_page_path(const char *group, guint part) {
  g_autofree char *id = part ? g_strdup_printf("%s+%u", group, part) : g_strdup(group);
  return fk_key_path(FK_KEY_MACHINE_PAGE, id);
}

guint fk_machine_record_bytes(const FkMachineRecord *m) {
  return (guint)(strlen(m->id) + strlen(m->addr) + strlen(m->type) + 50);
}

gint64 fk_job_own_deadline_us(const FkJob *j) {
  return j->spec->deadline_s < 0 ? G_MAXINT64 : j->submitted_us + (gint64)(j->spec->deadline_s * 1e6);
}

double fk_job_allowed_s(const FkJob *j) {
  return j->deadline_us == G_MAXINT64 ? -1 : MAX(0, (double)(j->deadline_us - j->startable_us) / 1e6);
}

FkPhase fk_job_phase(const FkJob *j) {
  if (j->cancelled)
    return FK_PHASE_CANCELLED;
  return j->allocated ? FK_PHASE_RUNNING : FK_PHASE_QUEUED;
}

gboolean fk_job_is_complete(const FkJob *j) { return j->done == j->spec->tasks; }

guint32 fk_job_waiting_tasks(const FkJob *j) {
  if (j->cancelled || j->removed || j->blocked)
    return 0;
  guint32 all = j->spec->tasks - j->done - j->allocated;
  return !j->failing || j->spec->shape == FK_SHAPE_GANG ? all : j->allocated ? 0 : MIN(1, all);
}
