#include "core/scheduling/preemption_cost.h"

#include "core/scheduling/placement.h"

#define IMMEDIATE_VICTIMS_MAX 3 /* maximum number of victims with `immediate_only` */
/* added to a victim's cost if its job has waiting tasks: the job's chunks are written often, so the write
 * that stops the victim may conflict */
#define LAUNCHING_JOB_COST_CORE_S 20.0
#define IMAGE_FETCH_COST_CORE_S 1000.0

typedef struct {
  double cpus, gpus, mem_gb;
} Capacity;

static void capacity_add(Capacity *capacity, const FkSpec *spec) {
  capacity->cpus += spec->cpus;
  capacity->gpus += spec->gpus;
  capacity->mem_gb += spec->mem_gb;
}

static gboolean capacity_fits(const Capacity *capacity, const FkSpec *spec) {
  return capacity->cpus >= spec->cpus - FK_AMOUNT_EPSILON &&
         capacity->gpus >= spec->gpus - FK_AMOUNT_EPSILON &&
         capacity->mem_gb >= spec->mem_gb - FK_AMOUNT_EPSILON;
}

static gboolean stops_immediately(const FkAllocationRef *allocation) {
  return allocation->job->cancelled || allocation->job->spec->checkpoint_s <= 0;
}

static gboolean is_stopping(const FkAllocationRef *allocation) {
  return allocation->stop_requested || allocation->job->cancelled;
}

static gboolean is_victim(const GArray *victims, const FkAllocationRef *allocation) {
  for (guint i = 0; i < victims->len; i++) {
    const FkAllocationRef *victim = &g_array_index(victims, FkAllocationRef, i);
    if (victim->job == allocation->job && victim->task == allocation->task)
      return TRUE;
  }
  return FALSE;
}

double fk_preemption_work_lost(FkController *c, const FkSpec *spec, FkTime since) {
  double ran_s = fk_time_between(since, c->now);
  return (spec->checkpoint_s > 0 ? MIN(ran_s, spec->checkpoint_s) : ran_s) * spec->cpus;
}

/* Returns whether the task's chunk can be written. A chunk that exceeds the size limit can't be written until
 * some of its tasks have ended. */
static gboolean can_be_stopped(FkController *c, const FkAllocationRef *allocation) {
  const FkJob *job = allocation->job;
  const FkChunk *chunk = job->chunks[allocation->task / job->spec->chunk_tasks];
  return chunk && fk_chunk_fits(chunk, c->settings->value_kb, NULL, NULL);
}

static double stop_cost(FkController *c, const FkAllocationRef *allocation) {
  return fk_preemption_work_lost(c, allocation->job->spec, allocation->first_seen_at) +
         (fk_job_waiting_tasks(allocation->job) ? LAUNCHING_JOB_COST_CORE_S : 0);
}

/* Returns the machine's capacity that is neither allocated nor reserved, plus what its stopping tasks will
 * free. With `immediate_only`, only tasks that stop without delay count. */
static Capacity available_capacity(FkController *c, const FkMachine *machine, gboolean immediate_only) {
  const FkInstanceType *type = fk_machine_type(c, machine);
  Capacity available = {type->cpus - machine->allocated_cpus - machine->reserved_cpus,
                        type->gpus - machine->allocated_gpus - machine->reserved_gpus,
                        type->mem_gb - machine->allocated_mem_gb - machine->reserved_mem_gb};
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    if (is_stopping(allocation) && (!immediate_only || stops_immediately(allocation)))
      capacity_add(&available, allocation->job->spec);
  }
  return available;
}

static gboolean is_preemptible(const FkAllocationRef *allocation, const FkSpec *spec,
                               gboolean immediate_only) {
  const FkSpec *running = allocation->job->spec;
  if (is_stopping(allocation) || running->priority <= spec->priority)
    return FALSE;
  return !immediate_only || (stops_immediately(allocation) && running->shape == FK_SHAPE_ARRAY);
}

/* Returns the preemptible task with the lowest stop cost that isn't a victim yet, and sets `cost`; NULL if
 * there is none. */
static const FkAllocationRef *cheapest_victim(FkController *c, const FkSpec *spec, const FkMachine *machine,
                                              gboolean immediate_only, const GArray *victims, double *cost) {
  const FkAllocationRef *best = NULL;
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    if (!is_preemptible(allocation, spec, immediate_only))
      continue;
    double own_cost = stop_cost(c, allocation);
    /* the most expensive check is last: it goes through all running tasks of the job's chunk */
    if ((best && own_cost >= *cost) || is_victim(victims, allocation) || !can_be_stopped(c, allocation))
      continue;
    best = allocation;
    *cost = own_cost;
  }
  return best;
}

/* Finds the tasks to stop so that a task of `spec` fits the machine, and the sum of their stop costs. Returns
 * FALSE if there aren't enough of them. */
static gboolean find_victims(FkController *c, const FkSpec *spec, const FkMachine *machine,
                             gboolean immediate_only, GArray *victims, double *cost) {
  Capacity available = available_capacity(c, machine, immediate_only);
  g_array_set_size(victims, 0);
  *cost = 0;
  while (!capacity_fits(&available, spec)) {
    double victim_cost = 0;
    const FkAllocationRef *victim = cheapest_victim(c, spec, machine, immediate_only, victims, &victim_cost);
    if (!victim || (immediate_only && victims->len >= IMMEDIATE_VICTIMS_MAX))
      return FALSE;
    capacity_add(&available, victim->job->spec);
    *cost += victim_cost;
    g_array_append_val(victims, *victim);
  }
  return TRUE;
}

FkMachine *fk_preemption_best_machine(FkController *c, const FkJob *job, GPtrArray *machines,
                                      gboolean immediate_only, double cost_max, GArray *victims) {
  FkMachine *best = NULL;
  double best_cost = cost_max, victims_cost;
  for (guint i = 0; i < machines->len; i++) {
    FkMachine *machine = machines->pdata[i];
    double image_cost =
        g_hash_table_contains(machine->images, job->spec->image) ? 0 : IMAGE_FETCH_COST_CORE_S;
    if (image_cost >= best_cost || !fk_placement_is_allowed(c, job, machine))
      continue;
    if (find_victims(c, job->spec, machine, immediate_only, victims, &victims_cost) &&
        image_cost + victims_cost < best_cost) {
      best = machine;
      best_cost = image_cost + victims_cost;
    }
  }
  if (best)
    find_victims(c, job->spec, best, immediate_only, victims, &victims_cost);
  return best;
}
