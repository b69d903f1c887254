/* What to provision: a simulation of placing all that waits on what is free now, will be released by running
 * tasks, or is booting. Only work that would wait for longer than it has patience is provisioned for. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/scheduling/placement.h"

#include <math.h>

#include "fair_share/quota.h"

#define PLANNED_JOBS_MIN 2000        /* at least so many are looked at; more wait for a later plan */
#define PLANNED_BOOT_PROBABILITY 0.3 /* to join within a boot time: below it a replacement is planned */
#define AMOUNT_EPSILON 1e-6

#define SERVICE_COST_RUN_S 200.0 /* a service's run time, for the share of its cost that is booting */
#define TASK_COST_RUN_MIN_S 5.0
#define FETCH_GB_PER_S_MIN 0.01
#define UNKNOWN_READY_S 60.0 /* where nothing is offered */

#define LATE_JOB_PATIENCE_S 45.0 /* of work that no machine provisioned now would finish in time */
#define NO_DEADLINE_RUNS 3.0     /* work without a deadline waits for so many of its run times, ... */
#define NO_DEADLINE_S 30.0       /* ... and so long beside */

#define OVERDUE_TASK_MIN_S 2.0  /* until a task past its expected run time is taken to end */
#define OVERDUE_TASK_MAX_S 60.0 /* ... at most so much longer */
#define CANCELLED_TASK_S 1.0
#define BOOTING_MIN_S 2.0

#define HEADROOM_ARRIVALS_MAX 2000
#define HEADROOM_TASKS_MAX 8 /* of one service */

/* ------------------------------------------------------------------ capacity */

/* Seconds until the task releases what it has allocated. */
static double remaining_run_s(FkController *c, const FkAllocationRef *allocation) {
  const FkJob *job = allocation->job;
  double left_s = job->cancelled ? CANCELLED_TASK_S
                                 : fk_view_expected_run_s(c->view, job->spec) -
                                       fk_time_between(allocation->first_seen_at, c->now);
  /* a task that is late may take as long again as it's late */
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
    if (type && !machine->drain_reason && !machine->pending_drain_reason)
      add_machine(c, plan, machine, type);
  }
}

static FkCapacity type_capacity(const FkInstanceType *type) {
  return (FkCapacity){type->cpus, type->gpus, type->mem_gb};
}

/* Instances that will probably join soon. The remaining boot time is taken relative to that of a new
 * instance, which the plan expects after one boot time: otherwise those under way would look later than any
 * other. */
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

/* An offer, as seen by a task. */
typedef struct {
  FkOffer offer;
  guint slots;    /* tasks a machine */
  double ready_s; /* boot and fetch of the image */
  double cost;    /* a task */
} RankedOffer;

static gboolean offer_is_short(FkController *c, const FkOffer *offer) {
  g_autofree char *key = fk_autoscaler_offer_key(offer);
  const FkCapacityShortage *shortage = g_hash_table_lookup(c->autoscaling.autoscaler->shortages, key);
  return shortage && !fk_time_reached(c->now, shortage->until);
}

/* Price a task, where up to `tasks` share a machine and the time until it is ready is paid for as well. */
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

/* Replaces `best` where an offer of the type in the zone is cheaper. */
static void consider_zone(FkController *c, const FkSpec *spec, guint tasks, double run_s, gboolean spot_only,
                          FkOffer offer, RankedOffer *best) {
  for (int spot = spot_only; spot <= (spec->spot ? 1 : 0); spot++) {
    offer.spot = spot;
    if (offer_is_short(c, &offer))
      continue;
    RankedOffer ranked = rank_offer(&offer, spec, tasks, run_s);
    if (ranked.slots && ranked.cost < best->cost)
      *best = ranked;
  }
}

/* The cheapest way to get room for up to `tasks` more tasks like this. FALSE: nothing is offered. */
static gboolean cheapest_offer(FkController *c, const FkSpec *spec, guint tasks, gboolean spot_only,
                               RankedOffer *best) {
  double run_s = spec->shape == FK_SHAPE_SERVICE
                     ? SERVICE_COST_RUN_S
                     : MAX(TASK_COST_RUN_MIN_S, fk_view_expected_run_s(c->view, spec));
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

/* Enough machines for so many tasks. */
static void plan_provision(FkCapacityPlan *plan, const RankedOffer *ranked, guint tasks) {
  guint machines = (tasks + ranked->slots - 1) / ranked->slots;
  fk_capacity_plan_provision(plan, &ranked->offer, machines, ranked->ready_s);
}

/* ------------------------------------------------------------------ patience */

/* The tightest deadline, in seconds from the submission, that a task can meet if it starts at `start_s`;
 * G_MAXDOUBLE: none. `has_deadline` says whether there is any at all. */
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

/* How long a task of the job may wait from now before it's worth money to start it sooner, if a machine
 * provisioned now is ready after `ready_s`. */
static double patience_s(FkController *c, const FkJob *job, double ready_s) {
  if (job->spec->shape == FK_SHAPE_SERVICE)
    return 0;
  double run_s = fk_view_expected_run_s(c->view, job->spec);
  double waited_s = fk_time_between((FkTime){job->startable_us}, c->now);
  gboolean has_deadline;
  double deadline_s = tightest_deadline_s(c, job, waited_s + ready_s, &has_deadline);
  if (deadline_s == G_MAXDOUBLE && has_deadline)
    return LATE_JOB_PATIENCE_S;
  if (deadline_s == G_MAXDOUBLE)
    deadline_s = NO_DEADLINE_RUNS * run_s + NO_DEADLINE_S;
  /* the last task is the one that counts, and run times spread round their estimate */
  return MAX(0, deadline_s - waited_s - c->settings->tuning.deadline_slack * run_s);
}

/* ------------------------------------------------------------------ demand */

/* Room for so many tasks at once, provisioned where there is none. */
static void plan_tasks(FkController *c, FkCapacityPlan *plan, const FkSpec *spec, guint tasks) {
  while (tasks) {
    int bin = fk_capacity_plan_earliest(plan, spec);
    if (bin < 0) {
      RankedOffer cheapest;
      if (!cheapest_offer(c, spec, tasks, FALSE, &cheapest))
        return;
      plan_provision(plan, &cheapest, tasks);
      bin = fk_capacity_plan_earliest(plan, spec);
      if (bin < 0)
        return;
    }
    tasks -= fk_capacity_plan_allocate(plan, bin, spec, tasks, 0);
  }
}

/* Services that run on lost machines. */
static void plan_failover(FkController *c, FkCapacityPlan *plan) {
  g_autoptr(GPtrArray) jobs = fk_service_failover_demand(c);
  for (guint i = 0; i < jobs->len; i++)
    plan_tasks(c, plan, ((FkJob *)jobs->pdata[i])->spec, 1);
}

/* Headroom for the services that are expected next. */
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

/* Waiting tasks that the team's quota allows, of which `used_cpus` are used. */
static guint32 allowed_tasks(FkController *c, const FkJob *job, double used_cpus) {
  const FkSpec *spec = job->spec;
  guint32 waiting = fk_job_waiting_tasks(job);
  if (spec->cpus <= 0)
    return waiting;
  const FkTeam *team = fk_settings_find_team(c->settings, spec->team);
  double allowed = floor(fk_quota_left(team->max_cpus, used_cpus) / spec->cpus + AMOUNT_EPSILON);
  return (guint32)MIN((double)waiting, allowed);
}

/* Plans the job's waiting tasks. `used_cpus`: of its team, added to. */
static void plan_job(FkController *c, FkCapacityPlan *plan, FkJob *job, double *used_cpus) {
  const FkSpec *spec = job->spec;
  guint32 waiting = allowed_tasks(c, job, *used_cpus);
  RankedOffer cheapest;
  gboolean has_offer = cheapest_offer(c, spec, fk_job_waiting_tasks(job), FALSE, &cheapest);
  double patience = patience_s(c, job, has_offer ? cheapest.ready_s : UNKNOWN_READY_S);
  double run_s = fk_view_expected_run_s(c->view, spec);
  gboolean low_cost_only = spec->spot && fk_scheduling_queue_is_low_cost_only(c, job);
  while (waiting) {
    int bin = fk_capacity_plan_earliest(plan, spec);
    double wait_s = bin >= 0 ? g_array_index(plan->bins, FkCapacityBin, bin).available_s : G_MAXDOUBLE;
    gboolean worth_any = wait_s > patience && !low_cost_only;
    /* spot machines are cheap: there is less patience before those are provisioned */
    gboolean worth_spot = spec->spot && wait_s > patience * c->settings->tuning.spot_patience;
    if ((worth_any || worth_spot) && cheapest_offer(c, spec, waiting, !worth_any, &cheapest) &&
        cheapest.ready_s < wait_s) {
      plan_provision(plan, &cheapest, waiting);
      bin = fk_capacity_plan_earliest(plan, spec);
    }
    if (bin < 0)
      break;
    guint planned = fk_capacity_plan_allocate(plan, bin, spec, waiting, run_s);
    waiting -= planned;
    *used_cpus += planned * spec->cpus;
  }
}

/* By priority, then by how long they have been startable. */
static int compare_by_priority(gconstpointer a, gconstpointer b) {
  const FkJob *x = *(FkJob *const *)a, *y = *(FkJob *const *)b;
  if (x->inherited_priority != y->inherited_priority)
    return (int)x->inherited_priority - (int)y->inherited_priority;
  return x->startable_us < y->startable_us ? -1 : 1;
}

/* FkJob, borrowed: those with waiting tasks, in the order in which they are planned. */
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

/* As many jobs are planned as there are machines, up or on their way: each may want one of its own, and a
 * machine that nothing is planned for counts as idle. */
static guint planned_jobs_max(FkController *c) {
  guint machines =
      g_hash_table_size(c->view->machines) + g_hash_table_size(c->autoscaling.autoscaler->booting);
  return MAX(PLANNED_JOBS_MIN, machines);
}

/* CPUs that the team's planned tasks use. */
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
