/* Consolidation drains a machine that costs far more than its tasks need. At most one machine is drained per
 * CONSOLIDATION_INTERVAL_S, only while no task waits, and only if the machine's tasks fit on cheaper machines
 * that are in use. The restarted tasks lose work, which costs less than keeping the machine. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/scheduling/placement.h"

/* Least ratio of a drained machine's price to the price of the cheapest capacity for the machine's tasks. */
#define PRICE_RATIO_MIN 4.0
#define CONSOLIDATION_INTERVAL_S 0.5
#define ROOM_RATIO 2            /* tasks for which cheaper machines must have room / tasks on the machine */
#define RESTART_MARGIN_S 5.0    /* time for restarting a task */
#define RUN_TIME_MAX_RATIO 1.6  /* longest assumed run time / expected run time */
#define REMAINING_MIN_RATIO 0.6 /* shortest assumed remaining run time / expected remaining run time */
#define SERVICE_STABLE_S 30.0   /* run time from which a service may be moved */

/* The progress of a task, in seconds. */
typedef struct {
  double waited_s; /* time since the job became startable */
  double run_s;    /* expected total run time */
  double left_s;   /* expected remaining run time */
} TaskProgress;

/* Returns whether a restart of the task doesn't change whether the deadline is met. Either the deadline will
 * be missed anyway, even with the shortest assumed remaining run time, or the deadline will still be met
 * after a restart, even with the longest assumed run time. */
static gboolean deadline_allows_restart(double deadline_s, const TaskProgress *task) {
  return deadline_s < task->waited_s + REMAINING_MIN_RATIO * task->left_s ||
         deadline_s >= task->waited_s + RUN_TIME_MAX_RATIO * task->run_s + RESTART_MARGIN_S;
}

static gboolean deadline_has_slack(double deadline_s, const TaskProgress *task) {
  return deadline_s >= task->waited_s + RUN_TIME_MAX_RATIO * task->run_s;
}

/* Returns whether all deadlines of the job allow a restart, and at least one of these deadlines is met even
 * with the task's longest assumed run time. */
static gboolean deadlines_allow_restart(FkController *c, const FkJob *job, const TaskProgress *task) {
  double own_s = fk_job_allowed_s(job);
  if (own_s >= 0 && !deadline_allows_restart(own_s, task))
    return FALSE;
  gboolean has_slack = own_s >= 0 && deadline_has_slack(own_s, task);
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    const FkObjective *objective = c->settings->objectives->pdata[i];
    if (g_strcmp0(objective->kind, "finished") != 0 ||
        g_strcmp0(objective->class_name, job->spec->class_name) != 0)
      continue;
    if (!deadline_allows_restart(objective->within_s, task))
      return FALSE;
    has_slack |= deadline_has_slack(objective->within_s, task);
  }
  return has_slack;
}

/* Returns whether the task can be restarted on another machine without harm: a service that has run for
 * SERVICE_STABLE_S, or a task of an array whose deadlines allow a restart. Tasks of gangs and of cancelled
 * jobs, and tasks that are being stopped, can't be moved. */
static gboolean task_can_move(FkController *c, const FkAllocationRef *allocation) {
  const FkJob *job = allocation->job;
  if (allocation->stop_requested || job->cancelled || job->spec->shape == FK_SHAPE_GANG)
    return FALSE;
  double ran_s = fk_time_between(allocation->first_seen_at, c->now);
  if (job->spec->shape == FK_SHAPE_SERVICE)
    return ran_s >= SERVICE_STABLE_S;
  TaskProgress task = {.waited_s = fk_time_between((FkTime){job->startable_us}, c->now),
                       .run_s = fk_view_expected_run_s(c->view, job->spec)};
  task.left_s = MAX(0, task.run_s - ran_s);
  return deadlines_allow_restart(c, job, &task);
}

/* Returns the machine's price divided by the price of its tasks on the cheapest machines; 0 if the machine
 * has no tasks or no known type, isn't available, or has a task that can't be restarted elsewhere. */
static double price_ratio(FkController *c, const FkMachine *machine) {
  const FkInstanceType *type = fk_machine_type(c, machine);
  if (!type || !fk_machine_is_available(machine) || !machine->allocations->len)
    return 0;
  double needed_price = 0;
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    if (!task_can_move(c, allocation))
      return 0;
    needed_price += fk_autoscaler_cheapest_price(c, allocation->job->spec);
  }
  return fk_instance_type_price(type, machine->record->spot) / needed_price;
}

static gboolean any_task_waits(FkController *c) {
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &job))
    if (fk_job_waiting_tasks(job))
      return TRUE;
  return FALSE;
}

/* Returns the machine with the highest price ratio, and stores this ratio in `ratio`. Returns NULL if no
 * machine's ratio is above PRICE_RATIO_MIN. */
static FkMachine *most_overpriced_machine(FkController *c, double *ratio) {
  FkMachine *worst = NULL;
  *ratio = PRICE_RATIO_MIN;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkMachine *machine = value;
    double machine_ratio = machine->record ? price_ratio(c, machine) : 0;
    if (machine_ratio > *ratio) {
      worst = machine;
      *ratio = machine_ratio;
    }
  }
  return worst;
}

/* Returns the spec of the machine's task that is hardest to place: the one with the most CPUs and, among
 * equals, one that may not run on spot machines. The check for room on other machines assumes this spec for
 * all tasks of the machine. */
static const FkSpec *hardest_to_place(const FkMachine *machine) {
  const FkSpec *hardest = g_array_index(machine->allocations, FkAllocationRef, 0).job->spec;
  for (guint i = 1; i < machine->allocations->len; i++) {
    const FkSpec *spec = g_array_index(machine->allocations, FkAllocationRef, i).job->spec;
    if (spec->cpus > hardest->cpus || (spec->cpus == hardest->cpus && !spec->spot))
      hardest = spec;
  }
  return hardest;
}

/* Returns how many tasks with this spec fit on machines that are in use, available, and cheaper than
 * `drained`. */
static guint slots_elsewhere(FkController *c, const FkMachine *drained, const FkSpec *spec) {
  double price = fk_instance_type_price(drained->type, drained->record->spot);
  guint slots = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkMachine *machine = value;
    const FkInstanceType *type = fk_machine_type(c, machine);
    if (!type || machine == drained || !fk_machine_is_available(machine) || !machine->allocations->len ||
        (machine->record->spot && !spec->spot) || !fk_placement_fits_type(spec, type) ||
        fk_instance_type_price(type, machine->record->spot) >= price)
      continue;
    const FkCapacity free = {type->cpus - machine->allocated_cpus, type->gpus - machine->allocated_gpus,
                             type->mem_gb - machine->allocated_mem_gb};
    slots += fk_capacity_task_slots(free, spec);
  }
  return slots;
}

void fk_autoscaler_consolidate(FkController *c) {
  FkAutoscaler *a = c->autoscaling.autoscaler;
  if (!fk_time_reached(c->now, a->next_consolidation_at))
    return;
  a->next_consolidation_at = fk_time_add(c->now, CONSOLIDATION_INTERVAL_S);
  if (any_task_waits(c))
    return;
  double ratio;
  FkMachine *machine = most_overpriced_machine(c, &ratio);
  if (!machine)
    return;
  if (slots_elsewhere(c, machine, hardest_to_place(machine)) < ROOM_RATIO * machine->allocations->len)
    return;
  g_info("machine drained reason=consolidation machine=%s type=%s tasks=%u price_ratio=%.1f", machine->id,
         machine->record->type, machine->allocations->len, ratio);
  fk_machine_registry_set_drain_reason(c, machine, FK_DRAIN_REASON_DRAIN, -1);
}
