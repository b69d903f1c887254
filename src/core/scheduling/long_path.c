#include "core/scheduling/long_path.h"

#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/preemption_cost.h"
#include "core/scheduling/reservation.h"
#include "core/scheduling/scheduling_queue.h"
#include "core/scheduling/service_reserve.h"
#include "core/scheduling/team_quota.h"

#define GANG_LAUNCH_S 8.0 /* time limit for all transactions of one gang's launch */
/* if fetching the image takes longer than this, preemption is tried on machines that have the image */
#define IMAGE_FETCH_LONG_S 1.0
/* maximum work lost by a preemption that only avoids the wait for an image */
#define WORK_LOST_MAX_CORE_S 60.0
/* maximum number of searches for victims in a cycle: each examines all machines and their tasks */
#define PREEMPTION_SEARCHES_MAX 3
/* maximum number of tasks of services and gangs for which a cycle reserves capacity */
#define RESERVED_TASKS_MAX 24
#define GANG_RESERVES_QUOTA_S 60.0 /* an aged gang that waits for machines reserves quota for this long */
#define FETCH_GB_PER_S_MIN 0.01

/* Terms of the cost of a machine. */
#define FETCH_NOTICEABLE_S 0.3
#define FETCH_COST 10.0
#define FETCH_COST_PER_S 0.5
#define PRICE_WEIGHT 3.0
#define LONG_TASKS_BONUS 0.5
#define BLACKLISTED_COST 1000.0

/* ------------------------------------------------------------------ the best machine */

static double image_fetch_s(FkController *c, const FkJob *job, const FkMachine *machine) {
  if (g_hash_table_contains(machine->images, job->spec->image))
    return 0;
  return job->spec->image_gb / MAX(FETCH_GB_PER_S_MIN, fk_machine_type(c, machine)->fetch_gb_per_s);
}

/* Returns the cost of placing a task of the job on the machine; lower is better. The cost is much higher if
 * the fetch of the image takes a noticeable time. It also grows with the machine's price, since a few
 * replicas must not keep the largest machine in use, and with the machine's free share. Machines that already
 * run long tasks are preferred. */
static double machine_cost(FkController *c, const FkJob *job, const FkMachine *machine) {
  const FkInstanceType *type = fk_machine_type(c, machine);
  double fetch_s = image_fetch_s(c, job, machine);
  double price = fk_instance_type_price(type, machine->record->spot);
  double free_share =
      (type->cpus - machine->allocated_cpus - machine->reserved_cpus - job->spec->cpus) / type->cpus;
  return (fetch_s > FETCH_NOTICEABLE_S ? FETCH_COST : 0) + fetch_s * FETCH_COST_PER_S + price * PRICE_WEIGHT +
         free_share - (machine->allocated_long_cpus > 0 ? LONG_TASKS_BONUS : 0);
}

/* Returns whether the job may use blacklisted machines as a last resort. The blacklist keeps newly arrived
 * long jobs off machines that short tasks need. It doesn't apply to jobs above the normal priority: services
 * would otherwise wait for tasks that they may preempt. Nor does it apply to a job that has waited for longer
 * than tuning.max_wait_s, the bound on the mean wait of short tasks. */
static gboolean ignores_blacklist(FkController *c, const FkJob *job) {
  return job->spec->priority < FK_JOB_PRIORITY_NORMAL ||
         fk_time_between((FkTime){job->startable_us}, c->now) > c->settings->tuning.max_wait_s;
}

gboolean fk_long_path_is_blacklisted(FkController *c, const FkJob *job, const FkMachine *machine) {
  return machine->blacklisted && fk_spec_is_long(c, job->spec) && !ignores_blacklist(c, job);
}

/* Returns whether the machine's free capacity is kept for other jobs. Gangs only respect reservations: they
 * are placed as a whole or not at all. */
static gboolean is_kept_for_others(FkController *c, const FkJob *job, FkMachine *machine) {
  return job->spec->shape == FK_SHAPE_GANG ? fk_backfill_reservation_blocks(c, job, machine)
                                           : fk_scheduling_queue_must_yield(c, job, machine);
}

FkMachine *fk_long_path_best_machine(FkController *c, const FkJob *job, GPtrArray *machines,
                                     const char *zone) {
  FkMachine *best = NULL;
  double best_cost = 0;
  for (guint i = 0; i < machines->len; i++) {
    FkMachine *machine = machines->pdata[i];
    if (fk_long_path_is_blacklisted(c, job, machine) || (zone && !g_str_equal(zone, machine->record->zone)) ||
        !fk_placement_fits_machine(c, machine, job->spec) || !fk_placement_is_allowed(c, job, machine))
      continue;
    double cost = machine_cost(c, job, machine) + (machine->blacklisted ? BLACKLISTED_COST : 0);
    if ((!best || cost < best_cost) && !is_kept_for_others(c, job, machine)) {
      best = machine;
      best_cost = cost;
    }
  }
  return best;
}

/* ------------------------------------------------------------------ gangs */

static guint zone_count(GHashTable *zones, const char *zone) {
  return GPOINTER_TO_UINT(g_hash_table_lookup(zones, zone));
}

static void count_in_zone(GHashTable *zones, const char *zone) {
  g_hash_table_insert(zones, (gpointer)zone, GUINT_TO_POINTER(zone_count(zones, zone) + 1));
}

/* Returns a table: zone -> number of the job's allocations on machines in that zone. */
static GHashTable *tasks_by_zone(FkController *c, const FkJob *job) {
  GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint32 i = 0; i < job->chunk_count; i++)
    for (guint k = 0; job->chunks[i] && k < job->chunks[i]->allocations->len; k++) {
      const FkAllocation *allocation = &g_array_index(job->chunks[i]->allocations, FkAllocation, k);
      const FkMachine *machine = fk_view_find_machine(c->view, allocation->machine);
      if (machine && machine->record)
        count_in_zone(zones, machine->record->zone);
    }
  return zones;
}

/* Returns a machine for each waiting task of the gang, limited to `zone` (NULL: any zone); NULL if there is
 * no capacity for all of these tasks now. */
static GPtrArray *plan_gang_in_zone(FkController *c, FkJob *job, GPtrArray *machines, const char *zone) {
  g_autoptr(GPtrArray) plan = g_ptr_array_new();
  g_autoptr(GHashTable) zones = tasks_by_zone(c, job);
  g_autoptr(GPtrArray) open = g_ptr_array_copy(machines, NULL, NULL);
  guint32 waiting = fk_job_waiting_tasks(job), half = (job->spec->tasks + 1) / 2;
  while (plan->len < waiting) {
    FkMachine *machine = fk_long_path_best_machine(c, job, open, zone);
    if (!machine)
      break;
    if (job->spec->spread && zone_count(zones, machine->record->zone) >= half) {
      g_ptr_array_remove_fast(open, machine);
      continue;
    }
    count_in_zone(zones, machine->record->zone);
    fk_machine_adjust_reserved(machine, job->spec, 1);
    g_ptr_array_add(plan, machine);
  }
  for (guint i = 0; i < plan->len; i++)
    fk_machine_adjust_reserved(plan->pdata[i], job->spec, -1);
  return plan->len == waiting ? g_steal_pointer(&plan) : NULL;
}

/* Returns a machine for each waiting task of the gang; NULL if there is no capacity for all of these tasks
 * now. A gang that must run in one zone is planned in the first zone with enough capacity. */
static GPtrArray *plan_gang(FkController *c, FkJob *job, GPtrArray *machines) {
  if (!job->spec->one_zone)
    return plan_gang_in_zone(c, job, machines, NULL);
  GPtrArray *plan = NULL;
  for (guint i = 0; !plan && i < c->settings->zones->len; i++)
    plan = plan_gang_in_zone(c, job, machines, c->settings->zones->pdata[i]);
  return plan;
}

/* Starts a launch of the gang. All of its tasks get the same attempt number, which is higher than any number
 * used before. */
static void begin_gang_launch(FkController *c, FkJob *job) {
  job->gang_launch_until = fk_time_add(c->now, GANG_LAUNCH_S);
  job->gang_attempt.n = 1;
  job->gang_allocated = 0;
  for (guint32 i = 0; i < job->chunk_count; i++)
    if (job->chunks[i])
      job->gang_attempt.n = MAX(job->gang_attempt.n, job->chunks[i]->next_attempt);
}

/* Places the waiting tasks of the gang if there is capacity for all of them. A part of a gang would only
 * occupy its machines and wait. */
static void place_gang(FkController *c, FkLaunchBatch *batch, FkJob *job, GPtrArray *machines) {
  /* A gang launch that takes several transactions continues only until its time limit, and only while all
   * tasks that it has allocated are still allocated. If one of these tasks has ended, continuing would start
   * it again with the same attempt number. */
  if (job->allocated &&
      (fk_time_reached(c->now, job->gang_launch_until) || job->allocated != job->gang_allocated))
    return;
  if (!fk_team_quota_allows_tasks(c, job->spec, fk_job_waiting_tasks(job)))
    return;
  g_autoptr(GPtrArray) plan = plan_gang(c, job, machines);
  if (!plan)
    return;
  if (!job->allocated)
    begin_gang_launch(c, job);
  for (guint i = 0; i < plan->len; i++) {
    if (!fk_launch_batch_allocate(c, batch, job, plan->pdata[i]))
      return;
    job->gang_allocated++;
  }
}

/* ------------------------------------------------------------------ services and long arrays */

/* The state of one cycle of the long path. */
typedef struct {
  GPtrArray *machines; /* FkMachine with free capacity; borrowed */
  /* all usable machines except those that preemption has used in this cycle; NULL until needed */
  GPtrArray *usable;
  GPtrArray *unplaceable; /* FkSpec (borrowed) for which there is no capacity, even by preemption */
  guint searches_left;    /* remaining searches for victims of preemption in this cycle */
  double spare_slots;     /* slots that arrays may still use (service_reserve.h) */
} Cycle;

/* Returns whether two jobs have the same requirements: if there is no capacity for one of them, there is none
 * for the other. Jobs that are limited to some types or have the constraint `one_zone` or `spread` never
 * count as the same. */
static gboolean has_same_demand(const FkSpec *a, const FkSpec *b) {
  return a->cpus == b->cpus && a->gpus == b->gpus && a->mem_gb == b->mem_gb && a->priority == b->priority &&
         a->spot == b->spot && g_strcmp0(a->zone, b->zone) == 0 && !a->types && !b->types &&
         g_str_equal(a->image, b->image) && !a->one_zone && !b->one_zone && !a->spread && !b->spread;
}

static gboolean is_unplaceable(const Cycle *cycle, const FkSpec *spec) {
  for (guint i = 0; i < cycle->unplaceable->len; i++)
    if (has_same_demand(cycle->unplaceable->pdata[i], spec))
      return TRUE;
  return FALSE;
}

/* Places one task by preemption, so that a task above the normal priority needn't wait for free capacity or
 * for a long image fetch. Only tasks of lower priority that stop immediately are preempted, at a total cost
 * below `cost_max`. Returns whether a task was placed. */
static gboolean preempt(FkController *c, FkLaunchBatch *batch, Cycle *cycle, FkJob *job, double cost_max) {
  g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(FkAllocationRef));
  if (!cycle->usable)
    cycle->usable = fk_capacity_index_usable_machines(c);
  FkMachine *machine = fk_preemption_best_machine(c, job, cycle->usable, TRUE, cost_max, victims);
  if (!machine || !fk_launch_batch_preempt(c, batch, job, machine, victims))
    return FALSE;
  /* the same victims must not be chosen for two placements */
  g_ptr_array_remove_fast(cycle->usable, machine);
  return TRUE;
}

/* Places one waiting task. Returns FALSE if no further task of the job can be placed. */
static gboolean place_task(FkController *c, FkLaunchBatch *batch, Cycle *cycle, FkJob *job) {
  FkMachine *best = fk_long_path_best_machine(c, job, cycle->machines, NULL);
  if (cycle->searches_left && job->spec->priority < FK_JOB_PRIORITY_NORMAL &&
      (!best || image_fetch_s(c, job, best) > IMAGE_FETCH_LONG_S)) {
    cycle->searches_left--;
    if (preempt(c, batch, cycle, job, best ? WORK_LOST_MAX_CORE_S : G_MAXDOUBLE))
      return TRUE;
    if (!best && !job->has_failed)
      g_ptr_array_add(cycle->unplaceable, job->spec);
  }
  return best && (job->urgent || fk_service_reserve_permits(c, best, job->spec, &cycle->spare_slots)) &&
         fk_launch_batch_allocate(c, batch, job, best);
}

static void place_job(FkController *c, FkLaunchBatch *batch, Cycle *cycle, FkJob *job) {
  if (!fk_spec_is_long(c, job->spec) || is_unplaceable(cycle, job->spec))
    return;
  if (job->spec->shape == FK_SHAPE_GANG) {
    place_gang(c, batch, job, cycle->machines);
    return;
  }
  guint32 waiting = fk_job_waiting_tasks(job);
  while (waiting-- && fk_team_quota_allows_task(c, job->spec))
    if (!place_task(c, batch, cycle, job))
      return;
}

void fk_long_path_place(FkController *c, FkLaunchBatch *batch, GPtrArray *jobs, GPtrArray *machines) {
  g_autoptr(GPtrArray) unplaceable = g_ptr_array_new();
  Cycle cycle = {.machines = machines,
                 .unplaceable = unplaceable,
                 .searches_left = PREEMPTION_SEARCHES_MAX,
                 .spare_slots =
                     fk_service_reserve_spare_slots(c, machines, g_hash_table_size(c->view->machines), 1)};
  /* Each job needs a write of its own: once the writes are used up, examining all machines for each of
   * hundreds of waiting jobs would be wasted work. */
  for (guint i = 0; i < jobs->len; i++) {
    if (fk_launch_batch_is_full(c, batch) || fk_launch_batch_is_out_of_writes(c, batch))
      break;
    place_job(c, batch, &cycle, jobs->pdata[i]);
  }
  g_clear_pointer(&cycle.usable, g_ptr_array_unref);
}

/* ------------------------------------------------------------------ capacity reserved for the long path */

/* Reserves capacity for one task on the machine (NULL: no capacity). Also reserves quota, except for a
 * service of a team whose quota is partitioned: the leader's share covers the service. */
static void reserve(FkController *c, GArray *reserved, FkMachine *machine, const FkSpec *spec) {
  FkReservation reservation = {machine ? machine->id : NULL,
                               g_intern_string(spec->team),
                               spec->cpus,
                               spec->gpus,
                               spec->mem_gb,
                               spec->cpus};
  FkTeamUsage *usage = fk_view_ensure_team(c->view, spec->team);
  if (machine)
    fk_machine_adjust_reserved(machine, spec, 1);
  if (usage->partition && spec->shape != FK_SHAPE_GANG) {
    /* this quota counts against the leader's share, not against this controller's */
    reservation.quota_cpus = 0;
  } else {
    usage->reserved_cpus += spec->cpus;
    usage->reserved_gpus += spec->gpus;
  }
  g_array_append_val(reserved, reservation);
}

void fk_long_path_release(FkController *c, GArray *reserved) {
  for (guint i = 0; i < reserved->len; i++) {
    const FkReservation *reservation = &g_array_index(reserved, FkReservation, i);
    FkMachine *machine = reservation->machine ? fk_view_find_machine(c->view, reservation->machine) : NULL;
    FkTeamUsage *usage = fk_view_ensure_team(c->view, reservation->team);
    if (machine) {
      machine->reserved_cpus -= reservation->cpus;
      machine->reserved_gpus -= reservation->gpus;
      machine->reserved_mem_gb -= reservation->mem_gb;
    }
    usage->reserved_cpus -= reservation->quota_cpus;
    usage->reserved_gpus -= reservation->quota_cpus > 0 ? reservation->gpus : 0;
  }
}

/* Returns whether a waiting gang reserves its team's quota. If there are machines for all waiting tasks of
 * the gang, the gang reserves the quota that becomes free: tasks that start one by one could otherwise keep
 * it waiting forever. A gang that waits for machines must not reserve quota: with a spread gang in a fleet
 * that had lost all machines of a zone, no other job of its team could start although machines were idle. An
 * aged gang still reserves quota for a while, so that capacity can be made available for it. */
static gboolean gang_reserves_quota(FkController *c, const FkJob *job, gboolean has_machines) {
  double aged_s = fk_backfill_reservation_aged_s(c, job);
  return has_machines || (aged_s >= 0 && aged_s < GANG_RESERVES_QUOTA_S);
}

static void reserve_for_gang(FkController *c, FkJob *job, GPtrArray *machines, GArray *reserved,
                             guint *tasks_left) {
  g_autoptr(GPtrArray) plan = plan_gang(c, job, machines);
  if (!gang_reserves_quota(c, job, plan != NULL))
    return;
  guint tasks = MIN(fk_job_waiting_tasks(job), *tasks_left);
  for (guint i = 0; i < tasks; i++)
    reserve(c, reserved, plan && !c->leader.is_leader ? plan->pdata[i] : NULL, job->spec);
  *tasks_left -= tasks;
}

static void reserve_for_service(FkController *c, FkJob *job, GPtrArray *machines, GArray *reserved,
                                guint *tasks_left) {
  for (guint32 left = fk_job_waiting_tasks(job); left && *tasks_left; left--, (*tasks_left)--) {
    FkMachine *machine = c->leader.is_leader ? NULL : fk_long_path_best_machine(c, job, machines, NULL);
    if (machine)
      reserve(c, reserved, machine, job->spec);
  }
}

void fk_long_path_reserve(FkController *c, GPtrArray *jobs, GPtrArray *machines, GArray *reserved) {
  guint tasks_left = RESERVED_TASKS_MAX;
  for (guint i = 0; i < jobs->len && tasks_left; i++) {
    FkJob *job = jobs->pdata[i];
    if (job->spec->shape == FK_SHAPE_GANG)
      reserve_for_gang(c, job, machines, reserved, &tasks_left);
    else if (job->spec->shape == FK_SHAPE_SERVICE)
      reserve_for_service(c, job, machines, reserved, &tasks_left);
  }
}
