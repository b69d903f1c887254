/* Plans what to provision. The plan simulates where tasks would be placed on capacity that is free now, will
 * be released by running tasks, or is booting. The tasks are the services of silent machines (which no longer
 * respond), the services expected to arrive, and the waiting tasks. For waiting tasks, machines are
 * provisioned only if the tasks would otherwise wait for longer than their allowed wait time, which is
 * derived from their deadlines. Spot machines are provisioned for shorter waits too. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/scheduling/placement.h"

#include <math.h>

#include "fair_share/quota.h"

/* A plan considers at least this many jobs with waiting tasks, if there are as many. */
#define PLANNED_JOBS_MIN 2000
/* A booting instance that is less likely than this to join within one boot time isn't counted as capacity. */
#define PLANNED_BOOT_PROBABILITY 0.3
#define AMOUNT_EPSILON 1e-6

#define BOOT_COST_SERVICE_RUN_S 200.0 /* a service's assumed run time, to weigh the cost of booting */
#define BOOT_COST_TASK_RUN_MIN_S 5.0  /* least run time assumed for a task, to weigh the cost of booting */
#define FETCH_GB_PER_S_MIN 0.01
#define UNKNOWN_READY_S 60.0 /* assumed time until a new machine is ready if there is no offer */

/* Allowed wait time of jobs that would miss all deadlines even on a new machine. */
#define LATE_JOB_ALLOWED_WAIT_S 45.0
/* The deadline assumed for a job that has none is NO_DEADLINE_RUNS expected run times plus NO_DEADLINE_S. */
#define NO_DEADLINE_RUNS 3.0
#define NO_DEADLINE_S 30.0

/* A task counts as overdue if less than this is left of its expected run time. */
#define OVERDUE_TASK_MIN_S 2.0
/* Upper limit on the time by which the estimate for an overdue task is extended because the task has exceeded
 * its expected run time. */
#define OVERDUE_TASK_MAX_S 60.0
#define CANCELLED_TASK_S 1.0 /* assumed time until a cancelled task releases its capacity */
#define BOOTING_MIN_S 2.0    /* least remaining boot time assumed */

#define HEADROOM_ARRIVALS_MAX 2000 /* most expected services per class for which headroom is planned */
#define HEADROOM_TASKS_MAX 8       /* most tasks per expected service for which headroom is planned */

/* ------------------------------------------------------------------ capacity */

/* Returns the expected seconds until the task releases its capacity. */
static double remaining_run_s(FkController *c, const FkAllocationRef *allocation) {
  const FkJob *job = allocation->job;
  double left_s = job->cancelled ? CANCELLED_TASK_S
                                 : fk_view_expected_run_s(c->view, job->spec) -
                                       fk_time_between(allocation->first_seen_at, c->now);
  /* An overdue task is expected to run for OVERDUE_TASK_MIN_S plus `-left_s`, the time by which the task has
   * exceeded its expected run time, limited to OVERDUE_TASK_MAX_S. */
  return left_s < OVERDUE_TASK_MIN_S ? OVERDUE_TASK_MIN_S + MIN(OVERDUE_TASK_MAX_S, -left_s) : left_s;
}

static void add_machine(FkController *c, FkCapacityPlan *plan, const FkMachine *machine,
                        const FkInstanceType *type) {
  const FkOffer offer = {type, machine->record->zone, machine->record->spot};
  const FkCapacity free = {type->cpus - machine->allocated_cpus, type->gpus - machine->allocated_gpus,
                           type->mem_gb - machine->allocated_mem_gb};
  fk_capacity_plan_add(plan, machine->allocations->len ? FK_CAPACITY_BIN_IN_USE : FK_CAPACITY_BIN_IDLE,
                       &offer, 1, free, 0);
  for (guint i = 0; i < machine->allocations->len; i++) {
    const FkAllocationRef *allocation = &g_array_index(machine->allocations, FkAllocationRef, i);
    const FkSpec *spec = allocation->job->spec;
    if (spec->shape == FK_SHAPE_SERVICE && !allocation->job->cancelled)
      continue;
    fk_capacity_plan_add(plan, FK_CAPACITY_BIN_RELEASED, &offer, 1,
                         (FkCapacity){spec->cpus, spec->gpus, spec->mem_gb}, remaining_run_s(c, allocation));
  }
}

static void add_machines(FkController *c, FkCapacityPlan *plan) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkMachine *machine = value;
    const FkInstanceType *type = fk_machine_type(c, machine);
    if (type && fk_machine_is_available(machine) && !machine->pending_drain_reason)
      add_machine(c, plan, machine, type);
  }
}

static FkCapacity type_capacity(const FkInstanceType *type) {
  return (FkCapacity){type->cpus, type->gpus, type->mem_gb};
}

/* Adds booting instances, except those that have failed, are being terminated, or will probably not join
 * within one boot time (PLANNED_BOOT_PROBABILITY). The plan expects a new instance after one nominal boot
 * time, although the model's estimate may be longer. The remaining boot time of a booting instance is scaled
 * in the same proportion: otherwise the booting instance would seem to become ready later than a new one. */
static void add_booting_instances(FkController *c, FkCapacityPlan *plan) {
  const FkAutoscaler *a = c->autoscaling.autoscaler;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, a->booting);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkBootingInstance *instance = value;
    const FkInstanceType *type = g_hash_table_lookup(c->autoscaling.instance_types, instance->type);
    double age = type ? fk_autoscaler_boot_age(c, instance, type) : 0;
    if (!type || instance->failed || g_hash_table_contains(a->terminating, instance->id) ||
        fk_boot_time_join_probability(&a->boot_times, age, 1) < PLANNED_BOOT_PROBABILITY)
      continue;
    double ready_s = fk_boot_time_remaining(&a->boot_times, age) / fk_boot_time_remaining(&a->boot_times, 0) *
                     type->boot_s;
    const FkOffer offer = {type, instance->zone, instance->spot};
    fk_capacity_plan_add(plan, FK_CAPACITY_BIN_BOOTING, &offer, 1, type_capacity(type),
                         MAX(BOOTING_MIN_S, ready_s));
  }
}

static void add_requested_instances(FkController *c, FkCapacityPlan *plan) {
  const GPtrArray *requests = c->autoscaling.autoscaler->requests;
  for (guint i = 0; i < requests->len; i++) {
    const FkProvisionRequest *request = requests->pdata[i];
    const FkInstanceType *type = g_hash_table_lookup(c->autoscaling.instance_types, request->type);
    if (!type)
      continue;
    const FkOffer offer = {type, request->zone, request->spot};
    fk_capacity_plan_add(plan, FK_CAPACITY_BIN_BOOTING, &offer, request->count, type_capacity(type),
                         type->boot_s);
  }
}

/* ------------------------------------------------------------------ offers */

/* An offer, rated for a task. */
typedef struct {
  FkOffer offer;
  guint slots;    /* tasks per machine */
  double ready_s; /* seconds to boot the machine and fetch the image */
  double cost;    /* price per hour and task, raised for the boot time; only for comparisons */
} RankedOffer;

static gboolean offer_in_backoff(FkController *c, const FkOffer *offer) {
  g_autofree char *key = fk_autoscaler_offer_key(offer);
  const FkCapacityShortage *shortage = g_hash_table_lookup(c->autoscaling.autoscaler->shortages, key);
  return shortage && !fk_time_reached(c->now, shortage->until);
}

/* Rates the offer by its price per task, assuming as many of the `tasks` tasks on one machine as fit. The
 * price is raised by the factor 1 + ready_s / (2 * run_s), which charges half of the time until the machine
 * is ready. */
static RankedOffer rank_offer(const FkOffer *offer, const FkSpec *spec, guint tasks, double run_s) {
  const FkInstanceType *type = offer->type;
  RankedOffer ranked = {.offer = *offer};
  ranked.slots = fk_capacity_task_slots(type_capacity(type), spec);
  ranked.ready_s = type->boot_s + spec->image_gb / MAX(FETCH_GB_PER_S_MIN, type->fetch_gb_per_s);
  if (ranked.slots)
    ranked.cost = fk_instance_type_price(type, offer->spot) * (1 + ranked.ready_s / (2 * run_s)) /
                  MIN(ranked.slots, tasks);
  return ranked;
}

/* Replaces `best` if the type's on-demand or spot offer in the zone is cheaper. Skips offers in backoff, spot
 * offers unless the spec allows them, and on-demand offers if `spot_only` is set. */
static void consider_zone(FkController *c, const FkSpec *spec, guint tasks, double run_s, gboolean spot_only,
                          FkOffer offer, RankedOffer *best) {
  for (int spot = spot_only; spot <= (spec->spot ? 1 : 0); spot++) {
    offer.spot = spot;
    if (offer_in_backoff(c, &offer))
      continue;
    RankedOffer ranked = rank_offer(&offer, spec, tasks, run_s);
    if (ranked.slots && ranked.cost < best->cost)
      *best = ranked;
  }
}

/* Stores in `best` the offer with the lowest cost per task for `tasks` tasks with this spec, as rated by
 * rank_offer(). Returns FALSE if there is no offer. */
static gboolean cheapest_offer(FkController *c, const FkSpec *spec, guint tasks, gboolean spot_only,
                               RankedOffer *best) {
  double run_s = spec->shape == FK_SHAPE_SERVICE
                     ? BOOT_COST_SERVICE_RUN_S
                     : MAX(BOOT_COST_TASK_RUN_MIN_S, fk_view_expected_run_s(c->view, spec));
  *best = (RankedOffer){.cost = G_MAXDOUBLE};
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->autoscaling.instance_types);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkInstanceType *type = value;
    if (!fk_placement_fits_type(spec, type))
      continue;
    for (guint i = 0; type->zones[i]; i++)
      if (!spec->zone || g_str_equal(spec->zone, type->zones[i]))
        consider_zone(c, spec, tasks, run_s, spot_only, (FkOffer){.type = type, .zone = type->zones[i]},
                      best);
  }
  return best->cost < G_MAXDOUBLE;
}

/* Adds enough machines of the offer for `tasks` tasks to those to provision. */
static void plan_provision(FkCapacityPlan *plan, const RankedOffer *ranked, guint tasks) {
  guint machines = (tasks + ranked->slots - 1) / ranked->slots;
  fk_capacity_plan_provision(plan, &ranked->offer, machines, ranked->ready_s);
}

/* ------------------------------------------------------------------ allowed wait time */

/* Returns the tightest deadline that a task of the job is expected to meet if it starts at `start_s`, both in
 * seconds since the job became startable; G_MAXDOUBLE if the task is expected to meet none. Sets
 * `has_deadline` to whether the job has any deadline. */
static double tightest_deadline_s(FkController *c, const FkJob *job, double start_s, gboolean *has_deadline) {
  double run_s = fk_view_expected_run_s(c->view, job->spec);
  double deadline_s = G_MAXDOUBLE;
  double own_s = fk_job_allowed_s(job);
  *has_deadline = own_s >= 0;
  if (own_s >= start_s + run_s)
    deadline_s = own_s;
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    const FkObjective *objective = c->settings->objectives->pdata[i];
    if (g_strcmp0(objective->kind, "finished") != 0 ||
        g_strcmp0(objective->class_name, job->spec->class_name) != 0)
      continue;
    *has_deadline = TRUE;
    if (objective->within_s >= start_s + run_s)
      deadline_s = MIN(deadline_s, objective->within_s);
  }
  return deadline_s;
}

/* Returns the allowed wait time of the job's tasks in seconds from now: machines are provisioned for tasks
 * that would otherwise wait for longer. The time is 0 for a service. `ready_s` is the time until a machine
 * provisioned now is ready. */
static double allowed_wait_s(FkController *c, const FkJob *job, double ready_s) {
  if (job->spec->shape == FK_SHAPE_SERVICE)
    return 0;
  double run_s = fk_view_expected_run_s(c->view, job->spec);
  double waited_s = fk_time_between((FkTime){job->startable_us}, c->now);
  gboolean has_deadline;
  double deadline_s = tightest_deadline_s(c, job, waited_s + ready_s, &has_deadline);
  if (deadline_s == G_MAXDOUBLE && has_deadline)
    return LATE_JOB_ALLOWED_WAIT_S;
  if (deadline_s == G_MAXDOUBLE)
    deadline_s = NO_DEADLINE_RUNS * run_s + NO_DEADLINE_S;
  /* The slack covers the spread of run times around their estimate: a job ends with its slowest task. */
  return MAX(0, deadline_s - waited_s - c->settings->tuning.deadline_slack * run_s);
}

/* ------------------------------------------------------------------ demand */

/* Plans capacity for `tasks` tasks of a service with this spec. If the plan has no room, adds machines to
 * provision. Stops if there is no offer. */
static void plan_tasks(FkController *c, FkCapacityPlan *plan, const FkSpec *spec, guint tasks) {
  while (tasks) {
    int bin = fk_capacity_plan_earliest_bin(plan, spec);
    if (bin < 0) {
      RankedOffer cheapest;
      if (!cheapest_offer(c, spec, tasks, FALSE, &cheapest))
        return;
      plan_provision(plan, &cheapest, tasks);
      bin = fk_capacity_plan_earliest_bin(plan, spec);
      if (bin < 0)
        return;
    }
    tasks -= fk_capacity_plan_allocate(plan, bin, spec, tasks, 0);
  }
}

/* Plans capacity for restarting the services of silent machines. */
static void plan_failover(FkController *c, FkCapacityPlan *plan) {
  g_autoptr(GPtrArray) jobs = fk_service_failover_demand(c);
  for (guint i = 0; i < jobs->len; i++)
    plan_tasks(c, plan, ((FkJob *)jobs->pdata[i])->spec, 1);
}

/* Plans headroom for the services that are expected to arrive next. */
static void plan_headroom(FkController *c, FkCapacityPlan *plan) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->autoscaling.autoscaler->arrival_rates);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkArrivalRate *rate = value;
    double arrivals = ceil(rate->per_s * c->settings->tuning.headroom_s);
    guint tasks = MAX(1, MIN(rate->spec->tasks, HEADROOM_TASKS_MAX));
    plan_tasks(c, plan, rate->spec, (guint)CLAMP(arrivals, 1, HEADROOM_ARRIVALS_MAX) * tasks);
  }
}

/* Returns how many of the job's waiting tasks the team's limit of CPUs allows if the team uses `used_cpus`
 * CPUs. */
static guint32 allowed_tasks(FkController *c, const FkJob *job, double used_cpus) {
  const FkSpec *spec = job->spec;
  guint32 waiting = fk_job_waiting_tasks(job);
  if (spec->cpus <= 0)
    return waiting;
  const FkTeam *team = fk_settings_find_team(c->settings, spec->team);
  double allowed = floor(fk_quota_left(team->max_cpus, used_cpus) / spec->cpus + AMOUNT_EPSILON);
  return (guint32)MIN((double)waiting, allowed);
}

/* Plans the job's waiting tasks as far as its team's quota allows. `used_cpus` holds the CPUs that the team
 * uses in the plan; the CPUs of the planned tasks are added to `used_cpus`. */
static void plan_job(FkController *c, FkCapacityPlan *plan, FkJob *job, double *used_cpus) {
  const FkSpec *spec = job->spec;
  guint32 waiting = allowed_tasks(c, job, *used_cpus);
  RankedOffer cheapest;
  gboolean has_offer = cheapest_offer(c, spec, fk_job_waiting_tasks(job), FALSE, &cheapest);
  double allowed_s = allowed_wait_s(c, job, has_offer ? cheapest.ready_s : UNKNOWN_READY_S);
  double run_s = fk_view_expected_run_s(c->view, spec);
  gboolean low_cost_only = spec->spot && fk_scheduling_queue_is_low_cost_only(c, job);
  while (waiting) {
    int bin = fk_capacity_plan_earliest_bin(plan, spec);
    double wait_s = bin >= 0 ? g_array_index(plan->bins, FkCapacityBin, bin).available_s : G_MAXDOUBLE;
    gboolean worth_any = wait_s > allowed_s && !low_cost_only;
    /* Spot machines are cheap, so they are provisioned for a shorter expected wait: the share `spot_patience`
     * of the allowed wait time. */
    gboolean worth_spot = spec->spot && wait_s > allowed_s * c->settings->tuning.spot_patience;
    if ((worth_any || worth_spot) && cheapest_offer(c, spec, waiting, !worth_any, &cheapest) &&
        cheapest.ready_s < wait_s) {
      plan_provision(plan, &cheapest, waiting);
      bin = fk_capacity_plan_earliest_bin(plan, spec);
    }
    if (bin < 0)
      break;
    guint planned = fk_capacity_plan_allocate(plan, bin, spec, waiting, run_s);
    waiting -= planned;
    *used_cpus += planned * spec->cpus;
  }
}

/* Orders jobs by inherited priority (the highest priority of the job and its dependents), highest (lowest
 * number) first. Jobs of equal priority are ordered by the time at which they became startable, earliest
 * first. */
static int compare_by_priority(gconstpointer a, gconstpointer b) {
  const FkJob *x = *(FkJob *const *)a, *y = *(FkJob *const *)b;
  if (x->inherited_priority != y->inherited_priority)
    return (int)x->inherited_priority - (int)y->inherited_priority;
  return x->startable_us < y->startable_us ? -1 : 1;
}

/* Returns the jobs with waiting tasks whose team exists, in the order in which they are planned (FkJob,
 * borrowed). */
static GPtrArray *waiting_jobs(FkController *c) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    FkJob *job = value;
    if (fk_job_waiting_tasks(job) && fk_settings_find_team(c->settings, job->spec->team))
      g_ptr_array_add(jobs, job);
  }
  g_ptr_array_sort(jobs, compare_by_priority);
  return jobs;
}

/* Returns the highest number of jobs in one plan. This is at least the number of machines, including booting
 * machines: each job may occupy a whole machine, and a machine without planned tasks counts as idle. */
static guint planned_jobs_max(FkController *c) {
  guint machines =
      g_hash_table_size(c->view->machines) + g_hash_table_size(c->autoscaling.autoscaler->booting);
  return MAX(PLANNED_JOBS_MIN, machines);
}

/* Returns the entry of the team in `by_team`, which counts the CPUs of running and planned tasks. Owned by
 * `by_team`. */
static double *planned_team_cpus(FkController *c, GHashTable *by_team, const char *team) {
  double *cpus = g_hash_table_lookup(by_team, team);
  if (!cpus) {
    cpus = g_new(double, 1);
    *cpus = fk_view_ensure_team(c->view, team)->cpus;
    g_hash_table_insert(by_team, (gpointer)team, cpus);
  }
  return cpus;
}

void fk_autoscaler_plan_demand(FkController *c, FkCapacityPlan *plan) {
  add_machines(c, plan);
  add_booting_instances(c, plan);
  add_requested_instances(c, plan);
  g_autoptr(GPtrArray) jobs = waiting_jobs(c);
  plan_failover(c, plan);
  plan_headroom(c, plan);
  g_autoptr(GHashTable) team_cpus = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  guint jobs_max = planned_jobs_max(c);
  for (guint i = 0; i < jobs->len && i < jobs_max; i++) {
    FkJob *job = jobs->pdata[i];
    plan_job(c, plan, job, planned_team_cpus(c, team_cpus, job->spec->team));
  }
}
