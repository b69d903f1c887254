/* Tasks that the leader stops although their job goes on. They are started again elsewhere. */
#include "core/leader/leader_internal.h"
#include "core/scheduling/long_path.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/preemption_cost.h"
#include "core/scheduling/team_quota.h"

#include "core/scheduling/capacity_index.h"
#include "core/scheduling/launch_batch.h"
#include "core/scheduling/stop_transaction.h"

#define PREEMPTION_INTERVAL_S 4.0        /* between two attempts for one job */
#define SCAN_INTERVAL_S 0.1              /* between two scans of all jobs, ... */
#define SCAN_INTERVAL_PER_MACHINE_S 1e-4 /* ... and as much more for each machine */
#define PREEMPTION_ATTEMPTS_MAX 8        /* a scan: each looks at all machines */
#define GANG_GRACE_S 2.0                 /* for members whose launch the view doesn't show yet */
#define NOTICE_RUN_RATIO 1.5 /* a task stays if what is left of it fits into the notice so often */

/* Capacity that victims leave must not be counted on by a second service. */
static void reserve_capacity(FkController *c, FkMachine *machine, const FkSpec *spec) {
  machine->reserved_cpus += spec->cpus;
  machine->reserved_gpus += spec->gpus;
  machine->reserved_mem_gb += spec->mem_gb;
  FkReservation reservation = {
      machine->id, g_intern_string(spec->team), spec->cpus, spec->gpus, spec->mem_gb, 0};
  g_array_append_val(c->launches.reservations, reservation);
}

/* Makes room for a service that fits nowhere, where the least work is lost and the image is cached. */
static void preempt_for(FkController *c, FkStopTransaction *stops, FkJob *job, GPtrArray *machines) {
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

/* Whether the machine is drained, or the cloud will take it back. */
static gboolean is_evacuated(const FkMachine *machine) {
  return machine->record && (g_strcmp0(machine->drain_reason, FK_DRAIN_REASON_DRAIN) == 0 ||
                             g_strcmp0(machine->drain_reason, "notice") == 0);
}

/* Stops what can't end within the machine's notice, so that the rest of the notice isn't lost as well. A task
 * that can save its progress does so. What is about to end in time stays. */
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
    if (is_evacuated(machine))
      evacuate(c, stops, machine);
}

static gboolean service_needs_preemption(FkController *c, const FkJob *job) {
  return job->spec->shape == FK_SHAPE_SERVICE && fk_job_waiting_tasks(job) &&
         fk_time_reached(c->now, job->retry_at) && !c->launches.launching &&
         c->view->applied.n >= c->launches.wait_rev.n &&
         fk_time_between(job->preempted_for_at, c->now) >= PREEMPTION_INTERVAL_S;
}

/* A gang that lost a member can't go on: all its tasks start again together. */
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
      preempt_for(c, stops, job, machines);
    }
    if (gang_is_broken(c, job))
      fk_stop_transaction_add_job(c, stops, job);
  }
}

void fk_leader_preemption_tick(FkController *c) {
  if (!fk_time_reached(c->now, c->leader.preempt_checked_at))
    return;
  guint machine_count = g_hash_table_size(c->view->machines);
  c->leader.preempt_checked_at =
      fk_time_add(c->now, SCAN_INTERVAL_S + SCAN_INTERVAL_PER_MACHINE_S * machine_count);
  if (c->leader.preempting || c->view->applied.n < c->leader.preempt_wait_rev.n ||
      !fk_time_reached(c->now, c->leader.next_preemption_at))
    return;
  FkStopTransaction stops = {0};
  scan_jobs(c, &stops);
  fk_preemption_reclaim(c, &stops);
  fk_stop_transaction_send(c, &stops);
}
