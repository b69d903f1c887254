/* The view: creating, clearing and freeing its tables, and looking up their entries. */
#include "core/state/view_internal.h"

#include <string.h>

/* Frees the job's chunks, marks the job as removed and releases the view's reference. Other references may
 * keep the job for a while; a removed job has no waiting tasks. */
static void job_release(gpointer data) {
  FkJob *job = data;
  for (guint32 i = 0; i < job->chunk_count; i++) {
    fk_chunk_free(job->chunks[i]);
    fk_chunk_free(job->base_chunks[i]);
  }
  g_clear_pointer(&job->chunks, g_free);
  g_clear_pointer(&job->base_chunks, g_free);
  job->chunk_count = 0;
  job->removed = TRUE;
  fk_job_unref(job);
}

static void machine_free(gpointer data) {
  FkMachine *machine = data;
  if (machine->shard)
    g_ptr_array_remove_fast(machine->shard->machines, machine);
  fk_machine_record_free(machine->record);
  fk_machine_record_free(machine->pending_record);
  g_array_unref(machine->allocations);
  g_hash_table_unref(machine->images);
  if (machine->worker)
    machine->worker_state_free(machine->worker);
  if (machine->probes)
    g_ptr_array_unref(machine->probes);
  g_free(machine);
}

static void shard_free(gpointer data) {
  FkShard *shard = data;
  g_free(shard->owner);
  g_free(shard->owner_incarnation);
  g_ptr_array_unref(shard->machines);
  g_hash_table_unref(shard->returned_machines);
  g_free(shard);
}

static void team_usage_free(gpointer data) {
  FkTeamUsage *team = data;
  g_hash_table_unref(team->cpus_by_controller);
  g_free(team->last_exhausted_by);
  if (team->partition)
    g_hash_table_unref(team->partition);
  g_free(team);
}

static void completion_page_free(gpointer data) {
  FkCompletionPage *page = data;
  g_ptr_array_unref(page->records);
  g_free(page);
}

static void node_free(gpointer data) {
  FkControllerNode *node = data;
  g_free(node->name);
  g_free(node->incarnation);
  g_strfreev(node->unreachable_zones);
  g_free(node);
}

void fk_view_mark_job_changed(FkView *v, FkJob *job) { g_hash_table_add(v->changed_jobs, fk_job_ref(job)); }

void fk_view_mark_machine_changed(FkView *v, FkMachine *machine) {
  g_hash_table_add(v->changed_machines, (gpointer)machine->id);
  g_hash_table_add(v->capacity_changed, (gpointer)machine->id);
}

/* FkDependencyChangedFunc: unblocks a job whose dependencies are all done or, if `cancelled`, marks the job
 * as cancelled because an ancestor is cancelled. */
static void job_readiness_changed(gpointer data, const char *id, gboolean cancelled) {
  FkView *v = data;
  FkJob *job = fk_view_find_job(v, id);
  if (!job)
    return;
  fk_view_mark_job_changed(v, job);
  if (cancelled) {
    job->cancelled = job->ancestor_cancelled = TRUE;
    job->cancelled_at = v->now;
    return;
  }
  if (!job->blocked)
    return;
  gint64 ready_ms = fk_dependency_graph_ready_ms(v->dependencies, id);
  job->blocked = FALSE;
  job->first_seen_at = v->now;
  job->startable_us =
      ready_ms ? CLAMP(ready_ms * 1000 - v->wall_offset_us, job->submitted_us, v->now.us) : v->now.us;
}

FkView *fk_view_new(const FkSettings *settings) {
  FkView *v = g_new0(FkView, 1);
  v->settings = settings;
  v->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_release);
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
  v->dependencies = fk_dependency_graph_new(job_readiness_changed, v);
  v->changed_machines = g_hash_table_new(g_str_hash, g_str_equal);
  v->capacity_changed = g_hash_table_new(g_str_hash, g_str_equal);
  v->removed_machines = g_ptr_array_new();
  v->live_jobs = g_ptr_array_new();
  v->changed_jobs = g_hash_table_new_full(fk_job_hash, g_direct_equal, fk_job_unref, NULL);
  return v;
}

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
  g_ptr_array_set_size(v->removed_machines, 0);
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
  g_ptr_array_unref(v->removed_machines);
  g_hash_table_unref(v->changed_jobs);
  g_ptr_array_unref(v->live_jobs);
  fk_spec_unref(v->latest_service);
  fk_dependency_graph_free(v->dependencies);
  g_free(v);
}

FkJob *fk_view_find_job(FkView *v, const char *id) { return g_hash_table_lookup(v->jobs, id); }

FkMachine *fk_view_find_machine(FkView *v, const char *id) { return g_hash_table_lookup(v->machines, id); }

FkMachine *fk_view_ensure_machine(FkView *v, const char *id) {
  FkMachine *machine = g_hash_table_lookup(v->machines, id);
  if (!machine) {
    machine = g_new0(FkMachine, 1);
    machine->id = g_intern_string(id);
    machine->allocations = g_array_new(FALSE, FALSE, sizeof(FkAllocationRef));
    machine->idle_since = v->now;
    machine->images = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_insert(v->machines, (gpointer)machine->id, machine);
  }
  return machine;
}

void fk_view_remove_machine(FkView *v, FkMachine *machine) {
  fk_fault_attribution_remove_machine(v->fault_attribution, machine->id);
  g_hash_table_remove(v->changed_machines, machine->id);
  g_hash_table_remove(v->capacity_changed, machine->id);
  g_ptr_array_add(v->removed_machines, machine);
  g_hash_table_remove(v->machines, machine->id);
}

#define SHARDS_PER_ZONE 32 /* must never change, because the ids of shards in the store depend on it */

char *fk_shard_id_for_machine(const char *zone, const char *machine) {
  /* The multiplication spreads ids that differ in one digit over the shards. The low bits of g_str_hash()
   * alone are not mixed enough. */
  guint32 hash = g_str_hash(machine) * 2654435761u;
  return g_strdup_printf("%s.%u", zone, (hash >> 8) % SHARDS_PER_ZONE);
}

FkShard *fk_view_ensure_shard(FkView *v, const char *id) {
  FkShard *shard = g_hash_table_lookup(v->shards, id);
  if (!shard) {
    shard = g_new0(FkShard, 1);
    shard->id = g_intern_string(id);
    const char *dot = strrchr(id, '.');
    g_autofree char *zone = dot ? g_strndup(id, dot - id) : g_strdup(id);
    shard->zone = g_intern_string(zone);
    shard->machines = g_ptr_array_new();
    shard->returned_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(v->shards, (gpointer)shard->id, shard);
  }
  return shard;
}

void fk_view_move_to_shard(FkMachine *machine, FkShard *shard) {
  if (machine->shard == shard)
    return;
  if (machine->shard)
    g_ptr_array_remove_fast(machine->shard->machines, machine);
  machine->shard = shard;
  g_ptr_array_add(shard->machines, machine);
}

void fk_view_assign_shard(FkView *v, FkMachine *machine, const char *zone) {
  if (machine->shard)
    return;
  g_autofree char *id = fk_shard_id_for_machine(zone, machine->id);
  fk_view_move_to_shard(machine, fk_view_ensure_shard(v, id));
}

FkRev fk_view_launch_fence_rev(FkView *v, const char *node) {
  FkLaunchFence *fence = g_hash_table_lookup(v->launch_fences, node);
  return fence ? fence->rev : (FkRev){0};
}

FkTeamUsage *fk_view_ensure_team(FkView *v, const char *name) {
  FkTeamUsage *team = g_hash_table_lookup(v->teams, name);
  if (!team) {
    team = g_new0(FkTeamUsage, 1);
    team->cpus_by_controller = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    g_hash_table_insert(v->teams, g_strdup(name), team);
  }
  return team;
}
