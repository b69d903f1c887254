/* Stops running tasks so that they are restarted later: tasks on machines to be evacuated, the tasks of gangs
 * that have lost a member, tasks preempted for services, and tasks whose capacity is reclaimed for a blocked
 * job (core/scheduling/preemption.h). */
#include "core/leader/leader_internal.h"
#include "core/scheduling/long_path.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/preemption_cost.h"
#include "core/scheduling/team_quota.h"

#include "core/scheduling/capacity_index.h"
#include "core/scheduling/launch_batch.h"
#include "core/scheduling/stop_transaction.h"

#define PREEMPTION_INTERVAL_S 4.0        /* least time between two preemptions for the same job */
#define SCAN_INTERVAL_S 0.1              /* between two scans of all machines and jobs */
#define SCAN_INTERVAL_PER_MACHINE_S 1e-4 /* added to the interval for each machine */
/* Most services per scan for which preemption is attempted: each attempt examines all machines. */
#define PREEMPTION_ATTEMPTS_MAX 8
/* Time after FkJob.gang_launch_until for the launches of all members to appear in the view. */
#define GANG_GRACE_S 2.0
/* An evacuation doesn't stop a task of an array if the task's expected remaining run time is at most this
 * multiple of the remaining notice time of its machine. */
#define NOTICE_RUN_RATIO 1.5

/* Reserves capacity on the machine for the service for which tasks are preempted, so that the capacity isn't
 * given to another job in the meantime. */
static void reserve_capacity(FkController *c, FkMachine *machine, const FkSpec *spec) {
  machine->reserved_cpus += spec->cpus;
  machine->reserved_gpus += spec->gpus;
  machine->reserved_mem_gb += spec->mem_gb;
  FkReservation reservation = {
      machine->id, g_intern_string(spec->team), spec->cpus, spec->gpus, spec->mem_gb, 0};
  g_array_append_val(c->launches.reservations, reservation);
}

/* Preempts tasks to make room for a service. Chooses the machine where preemption costs least: the lost work,
 * plus a fixed cost if the service's image isn't cached. Does nothing if the service fits on a machine
 * without preemption, if its team's quota is used up, or if tasks were preempted for the job less than
 * PREEMPTION_INTERVAL_S ago. */
static void preempt_for_service(FkController *c, FkStopTransaction *stops, FkJob *job, GPtrArray *machines) {
  if (!fk_team_quota_allows_task(c, job->spec) ||
      fk_time_between(job->preempted_for_at, c->now) < PREEMPTION_INTERVAL_S ||
      fk_long_path_best_machine(c, job, machines, NULL))
    return;
  g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(FkAllocationRef));
  FkMachine *machine = fk_preemption_best_machine(c, job, machines, FALSE, G_MAXDOUBLE, victims);
  if (!machine)
    return;
  for (guint i = 0; i < victims->len; i++) {
    FkAllocationRef *victim = &g_array_index(victims, FkAllocationRef, i);
    g_info("task preempted task=%s/%u machine=%s for=%s", victim->job->spec->id, victim->task, machine->id,
           job->spec->id);
    fk_stop_transaction_add(c, stops, victim->job, victim->task);
  }
  job->preempted_for_at = c->now;
  reserve_capacity(c, machine, job->spec);
}

/* Returns whether the machine's tasks must be stopped: the machine is drained for consolidation, or the cloud
 * is about to reclaim it. */
static gboolean needs_evacuation(const FkMachine *machine) {
  return machine->record && (g_strcmp0(machine->drain_reason, FK_DRAIN_REASON_DRAIN) == 0 ||
                             g_strcmp0(machine->drain_reason, "notice") == 0);
}

/* Stops the machine's services, and the tasks of arrays that probably can't end within the remaining notice
 * time (NOTICE_RUN_RATIO): their work during that time would be lost. A stopped task saves its progress if it
 * can. Without a termination notice, `notice_s` starts at -1 s and falls. In that case, tasks that aren't
 * overdue are stopped at once. Tasks overdue by more than NOTICE_RUN_RATIO seconds are stopped later, the
 * most overdue last. Tasks of gangs and of cancelled jobs aren't stopped. */
static void evacuate(FkController *c, FkStopTransaction *stops, const FkMachine *machine) {
  double notice_s = machine->notice_s - fk_time_between(machine->drain_reason_since, c->now);
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    const FkSpec *spec = allocation->job->spec;
    if (allocation->stop_requested || allocation->job->cancelled || spec->shape == FK_SHAPE_GANG)
      continue;
    double left_s =
        fk_view_expected_run_s(c->view, spec) - fk_time_between(allocation->first_seen_at, c->now);
    if (spec->shape == FK_SHAPE_SERVICE || left_s > NOTICE_RUN_RATIO * notice_s)
      fk_stop_transaction_add(c, stops, allocation->job, allocation->task);
  }
}

static void evacuate_machines(FkController *c, FkStopTransaction *stops) {
  GHashTableIter it;
  gpointer machine;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &machine))
    if (needs_evacuation(machine))
      evacuate(c, stops, machine);
}

static gboolean service_needs_preemption(FkController *c, const FkJob *job) {
  return job->spec->shape == FK_SHAPE_SERVICE && fk_job_waiting_tasks(job) &&
         fk_time_reached(c->now, job->retry_at) && !c->launches.launching &&
         c->view->applied.n >= c->launches.wait_rev.n &&
         fk_time_between(job->preempted_for_at, c->now) >= PREEMPTION_INTERVAL_S;
}

/* Returns whether the job is a gang that has lost a member: some of its tasks are allocated and others wait,
 * although the time for its launch is over. Such a gang can't continue: all its tasks are stopped, and later
 * restarted together. */
static gboolean gang_is_broken(FkController *c, const FkJob *job) {
  return job->spec->shape == FK_SHAPE_GANG && !job->cancelled && job->allocated &&
         fk_job_waiting_tasks(job) &&
         fk_time_reached(c->now, fk_time_add(job->gang_launch_until, GANG_GRACE_S));
}

static void scan_jobs(FkController *c, FkStopTransaction *stops) {
  g_autoptr(GPtrArray) machines = fk_capacity_index_usable_machines(c);
  evacuate_machines(c, stops);
  guint attempts_left = PREEMPTION_ATTEMPTS_MAX;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkJob *job = value;
    if (attempts_left && service_needs_preemption(c, job)) {
      attempts_left--;
      preempt_for_service(c, stops, job, machines);
    }
    if (gang_is_broken(c, job))
      fk_stop_transaction_add_job(c, stops, job);
  }
}

void fk_leader_preemption_tick(FkController *c) {
  if (!fk_time_reached(c->now, c->leader.next_preemption_scan_at))
    return;
  guint machine_count = g_hash_table_size(c->view->machines);
  c->leader.next_preemption_scan_at =
      fk_time_add(c->now, SCAN_INTERVAL_S + SCAN_INTERVAL_PER_MACHINE_S * machine_count);
  if (c->leader.preempting || c->view->applied.n < c->leader.preempt_wait_rev.n ||
      !fk_time_reached(c->now, c->leader.next_preemption_at))
    return;
  FkStopTransaction stops = {0};
  scan_jobs(c, &stops);
  fk_preemption_reclaim(c, &stops);
  fk_stop_transaction_send(c, &stops);
}
