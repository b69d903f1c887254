/* The chunks of live jobs: computes the effective chunk from the stored record and the completions, and
 * incrementally updates the amounts allocated on each machine, to each team and to each job. */
#include "core/state/view_internal.h"

static gboolean is_long(const FkSpec *spec, const FkView *v) {
  return spec->shape != FK_SHAPE_ARRAY || spec->estimate_s >= v->settings->tuning.short_cutoff_s;
}

static void add_controller_cpus(FkTeamUsage *team, const char *controller, double cpus) {
  double *used = g_hash_table_lookup(team->cpus_by_controller, controller);
  if (!used) {
    used = g_new0(double, 1);
    g_hash_table_insert(team->cpus_by_controller, (gpointer)controller, used);
  }
  *used += cpus;
}

void fk_view_add_or_remove_allocation(FkView *v, FkJob *job, const FkAllocation *allocation, int sign) {
  const FkSpec *spec = job->spec;
  FkTeamUsage *team = fk_view_ensure_team(v, spec->team);
  FkMachine *machine = fk_view_ensure_machine(v, allocation->machine);
  add_controller_cpus(team, allocation->launched_by, sign * spec->cpus);
  team->cpus += sign * spec->cpus;
  team->gpus += sign * spec->gpus;
  machine->allocated_cpus += sign * spec->cpus;
  machine->allocated_gpus += sign * spec->gpus;
  machine->allocated_mem_gb += sign * spec->mem_gb;
  if (is_long(spec, v))
    machine->allocated_long_cpus += sign * spec->cpus;
  if (sign > 0) {
    FkAllocationRef ref = {job, allocation->task, allocation->attempt, allocation->stop_requested,
                           allocation->first_seen_at};
    g_array_append_val(machine->allocations, ref);
    g_hash_table_add(machine->images, (gpointer)g_intern_string(spec->image));
  } else {
    for (guint k = 0; k < machine->allocations->len; k++) {
      FkAllocationRef *ref = &g_array_index(machine->allocations, FkAllocationRef, k);
      if (ref->job == job && ref->task == allocation->task && ref->attempt.n == allocation->attempt.n) {
        g_array_remove_index_fast(machine->allocations, k);
        break;
      }
    }
    if (!machine->allocations->len) {
      /* Resets the amounts to 0, so that rounding errors do not accumulate. */
      machine->allocated_cpus = machine->allocated_gpus = machine->allocated_mem_gb =
          machine->allocated_long_cpus = 0;
      machine->idle_since = v->now;
    }
  }
  machine->yield.since.us = 0;
  job->allocated += (guint32)sign;
  if (!job->allocated)
    job->unallocated_since = v->now;
  fk_view_mark_job_changed(v, job);
  v->allocation_updates++;
  fk_view_mark_machine_changed(v, machine);
}

void fk_view_remove_chunk(FkView *v, FkJob *job, const FkChunk *chunk) {
  for (guint i = 0; i < chunk->allocations->len; i++)
    fk_view_add_or_remove_allocation(v, job, &g_array_index(chunk->allocations, FkAllocation, i), -1);
  job->done -= chunk->done_count;
}

static gboolean is_same_allocation(const FkAllocation *first, const FkAllocation *second) {
  return first->task == second->task && first->attempt.n == second->attempt.n &&
         first->machine == second->machine && first->launched_by == second->launched_by &&
         first->stop_requested == second->stop_requested;
}

/* Sets `first_seen_at` and `start_observed` of the new chunk's allocations. The values are copied if the old
 * chunk has the same attempt; otherwise they are the current time and whether the view is caught up. Also
 * records the success of each allocation of the old chunk whose task has become done in the new chunk, and
 * its run time if its start was observed. `old`: the old chunk; NULL if there is none. */
static void carry_over_attempt_state(FkView *v, FkJob *job, const FkChunk *old, FkChunk *chunk) {
  for (guint i = 0; i < chunk->allocations->len; i++) {
    FkAllocation *allocation = &g_array_index(chunk->allocations, FkAllocation, i);
    FkAllocation *previous = old ? fk_chunk_find_allocation(old, allocation->task) : NULL;
    gboolean same = previous && previous->attempt.n == allocation->attempt.n;
    allocation->first_seen_at = same ? previous->first_seen_at : v->now;
    allocation->start_observed = same ? previous->start_observed : v->caught_up;
  }
  for (guint i = 0; old && i < old->allocations->len; i++) {
    const FkAllocation *allocation = &g_array_index(old->allocations, FkAllocation, i);
    if (!chunk->done[allocation->task - chunk->first_task] || old->done[allocation->task - chunk->first_task])
      continue;
    fk_view_attempt_succeeded(v, job, allocation);
    if (allocation->start_observed)
      fk_view_learn_run_time(v, job->spec, fk_time_between(allocation->first_seen_at, v->now));
  }
}

/* Marks the completed tasks as done, except tasks that have no allocation in the chunk. */
static void apply_completed(FkChunk *chunk, const FkCompletionRecord *completion) {
  for (guint i = 0; i < MIN(completion->done->len, chunk->task_count); i++) {
    const FkAllocation *allocation = completion->done->data[i] && !chunk->done[i]
                                         ? fk_chunk_find_allocation(chunk, chunk->first_task + i)
                                         : NULL;
    if (allocation)
      fk_chunk_finish(chunk, allocation->task, allocation->attempt);
  }
}

static void apply_released(FkChunk *chunk, const FkCompletionRecord *completion) {
  for (guint i = 0; i < completion->released->len; i++) {
    const FkReleasedAttempt *released = &g_array_index(completion->released, FkReleasedAttempt, i);
    fk_chunk_release(chunk, released->task, released->attempt);
  }
}

/* All done tasks are applied before all released attempts, so a result takes precedence over a release of the
 * same attempt. Two controllers may record different ends of an attempt: one records the task as done, and
 * another, such as the leader after the cloud has confirmed a termination, records the attempt as lost. If
 * the order of the writes decided, a controller that lists both pages could compute another state than a
 * controller that watched the writes. */
FkChunk *fk_view_effective_chunk(FkView *v, const FkJob *job, guint32 index) {
  FkChunk *chunk = fk_chunk_copy(job->base_chunks[index]);
  g_autofree char *key = g_strdup_printf("%s/%u", job->spec->id, index);
  GPtrArray *completions = g_hash_table_lookup(v->completions_by_chunk, key);
  for (guint i = 0; completions && i < completions->len; i++)
    apply_completed(chunk, completions->pdata[i]);
  for (guint i = 0; completions && i < completions->len; i++)
    apply_released(chunk, completions->pdata[i]);
  return chunk;
}

/* Updates the allocated amounts only for allocations that differ between the old and the new chunk, because
 * most of a chunk stays unchanged. */
void fk_view_set_effective_chunk(FkView *v, FkJob *job, guint32 index, FkChunk *chunk) {
  FkChunk *old = job->chunks[index];
  if (chunk)
    carry_over_attempt_state(v, job, old, chunk);
  if (index < job->first_waiting_chunk_hint)
    job->first_waiting_chunk_hint = index;
  job->chunks[index] = chunk;
  if (!old || !chunk) {
    if (old)
      fk_view_remove_chunk(v, job, old);
    for (guint i = 0; chunk && i < chunk->allocations->len; i++)
      fk_view_add_or_remove_allocation(v, job, &g_array_index(chunk->allocations, FkAllocation, i), +1);
    job->done += chunk ? chunk->done_count : 0;
    fk_view_mark_job_changed(v, job);
    fk_chunk_free(old);
    return;
  }
  /* Indexed by task: the old allocation; NULL if there is none or the allocation is already handled. */
  g_autofree const FkAllocation **unmatched = g_new0(const FkAllocation *, chunk->task_count);
  for (guint i = 0; i < old->allocations->len; i++) {
    const FkAllocation *allocation = &g_array_index(old->allocations, FkAllocation, i);
    unmatched[allocation->task - old->first_task] = allocation;
  }
  for (guint i = 0; i < chunk->allocations->len; i++) {
    const FkAllocation *allocation = &g_array_index(chunk->allocations, FkAllocation, i),
                       **previous = &unmatched[allocation->task - chunk->first_task];
    if (*previous && is_same_allocation(*previous, allocation)) {
      *previous = NULL;
      continue;
    }
    if (*previous)
      fk_view_add_or_remove_allocation(v, job, *previous, -1);
    *previous = NULL;
    fk_view_add_or_remove_allocation(v, job, allocation, +1);
  }
  for (guint32 i = 0; i < chunk->task_count; i++)
    if (unmatched[i])
      fk_view_add_or_remove_allocation(v, job, unmatched[i], -1);
  job->done += chunk->done_count - old->done_count;
  fk_view_mark_job_changed(v, job);
  fk_chunk_free(old);
}

void fk_view_set_chunk(FkView *v, FkJob *job, guint32 index, FkChunk *chunk, FkRev rev) {
  if (index >= job->chunk_count || (chunk && chunk->task_count != fk_spec_chunk_tasks(job->spec, index)) ||
      (job->base_chunks[index] && job->base_chunks[index]->rev.n >= rev.n)) {
    fk_chunk_free(chunk);
    return;
  }
  fk_chunk_free(job->base_chunks[index]);
  job->base_chunks[index] = chunk;
  if (!chunk) {
    fk_view_set_effective_chunk(v, job, index, NULL);
    return;
  }
  chunk->rev = rev;
  fk_view_set_effective_chunk(v, job, index, fk_view_effective_chunk(v, job, index));
}
