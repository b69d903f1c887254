/* The records of live jobs, applied one by one. */
#include "core/state/view_internal.h"

#define SERVICE_TASKS_COUNTED_MAX 8 /* of one service, in the rate at which services arrive */

static void list_job(FkView *v, FkJob *job) {
  job->list_index = v->live_jobs->len;
  g_ptr_array_add(v->live_jobs, job);
}

static void unlist_job(FkView *v, FkJob *job) {
  g_ptr_array_remove_index_fast(v->live_jobs, job->list_index);
  if (job->list_index < v->live_jobs->len)
    ((FkJob *)v->live_jobs->pdata[job->list_index])->list_index = job->list_index;
}

static void remove_job(FkView *v, const char *id, FkJob *job) {
  for (guint32 i = 0; i < job->chunk_count; i++)
    if (job->chunks[i]) {
      /* the last results of a small job end it in the same transaction */
      for (guint k = 0; !job->cancelled && k < job->chunks[i]->allocations->len; k++) {
        const FkAllocation *allocation = &g_array_index(job->chunks[i]->allocations, FkAllocation, k);
        fk_fault_attribution_task_succeeded(v->fault_attribution, id, allocation->machine);
        if (allocation->start_observed)
          fk_view_learn_run_time(v, job->spec, fk_time_between(allocation->first_seen_at, v->now));
      }
      fk_view_remove_chunk(v, job, job->chunks[i]);
      char *path = fk_store_key_chunk_path(id, i);
      g_hash_table_replace(v->orphan_chunks, path, g_memdup2(&job->base_chunks[i]->rev, sizeof(FkRev)));
    }
  if (!job->cancelled)
    fk_service_level_job_ended(v->service_level, job->spec->class_name, job->spec->team,
                               fk_spec_cpu_seconds(job->spec));
  fk_fault_attribution_remove_job(v->fault_attribution, id);
  fk_dependency_graph_set_state(v->dependencies, id, FK_DEPENDENCY_UNKNOWN,
                                0); /* its terminal record comes with this, or is known already */
  fk_dependency_graph_remove(v->dependencies, id);
  fk_view_mark_job_changed(v, job);
  unlist_job(v, job);
  g_hash_table_remove(v->jobs, id);
}

/* The job is blocked by those of its dependencies that aren't known to be done. */
static void add_dependencies(FkView *v, FkJob *job) {
  char **dependencies = job->spec->dependencies;
  if (!dependencies)
    return;
  job->blocked = TRUE;
  fk_dependency_graph_add(v->dependencies, job->spec->id, dependencies);
  for (guint i = 0; dependencies[i]; i++) {
    FkPhase phase;
    guint32 tasks;
    const FkJob *dependency = fk_view_find_job(v, dependencies[i]);
    if (dependency)
      fk_dependency_graph_set_state(v->dependencies, dependencies[i],
                                    dependency->cancelled ? FK_DEPENDENCY_CANCELLED : FK_DEPENDENCY_LIVE, 0);
    else if (fk_view_find_terminal_job(v, dependencies[i], &phase, &tasks))
      fk_dependency_graph_set_state(v->dependencies, dependencies[i],
                                    phase == FK_PHASE_DONE ? FK_DEPENDENCY_DONE : FK_DEPENDENCY_CANCELLED, 0);
  }
}

static FkJob *add_job(FkView *v, const char *id, FkSpec *spec) {
  FkJob *job = g_new0(FkJob, 1);
  job->ref_count = 1;
  job->spec = fk_spec_ref(spec);
  job->chunk_count = fk_spec_chunk_count(spec);
  job->chunks = g_new0(FkChunk *, job->chunk_count);
  job->base_chunks = g_new0(FkChunk *, job->chunk_count);
  job->first_seen_at = v->now;
  job->submitted_us = MIN(spec->submitted_ms * 1000 - v->wall_offset_us, v->now.us);
  job->startable_us = job->submitted_us;
  job->deadline_us = fk_job_own_deadline_us(job);
  job->inherited_priority = spec->priority;
  g_hash_table_insert(v->jobs, spec->id, job);
  list_job(v, job);
  /* a dependent may have come before it */
  fk_dependency_graph_set_state(v->dependencies, id, FK_DEPENDENCY_LIVE, 0);
  add_dependencies(v, job);
  return job;
}

static void count_service(FkView *v, FkSpec *spec) {
  fk_spec_unref(v->latest_service);
  v->latest_service = fk_spec_ref(spec);
  v->service_arrivals += MIN(spec->tasks, SERVICE_TASKS_COUNTED_MAX);
}

/* The job is cancelled now: its tasks are to be stopped. */
static void mark_machines_changed(FkView *v, const FkJob *job) {
  for (guint32 i = 0; i < job->chunk_count; i++)
    for (guint k = 0; job->chunks[i] && k < job->chunks[i]->allocations->len; k++) {
      const FkAllocation *allocation = &g_array_index(job->chunks[i]->allocations, FkAllocation, k);
      fk_view_mark_machine_changed(v, fk_view_ensure_machine(v, allocation->machine));
    }
}

void fk_view_set_job(FkView *v, const char *id, FkRecord *record, FkRev rev) {
  FkJob *job = fk_view_find_job(v, id);
  if (job && job->rev.n >= rev.n)
    return;
  if (!record) {
    if (job)
      remove_job(v, id, job);
    return;
  }
  if (!job) {
    job = add_job(v, id, record->spec);
    if (job->spec->shape == FK_SHAPE_SERVICE)
      count_service(v, job->spec);
  }
  if (record->cancelled && !job->cancelled) {
    job->cancelled_at = v->now;
    mark_machines_changed(v, job);
  }
  job->cancelled = record->cancelled || job->ancestor_cancelled;
  job->rev = rev;
  fk_view_mark_job_changed(v, job);
  if (job->cancelled)
    fk_dependency_graph_set_state(v->dependencies, id, FK_DEPENDENCY_CANCELLED, 0);
}
