#include "core/scheduling/scheduling_queue.h"

#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/long_path.h"
#include "core/scheduling/machine_availability.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/starvation.h"
#include "core/scheduling/team_quota.h"
#include "scheduling_queue/wait_queue.h"

#include <string.h>

/* The cost of a cycle depends on what has changed since the last one, not on the number of waiting jobs. A
 * cycle refreshes the queue position of the jobs whose waiting tasks may have changed, and of
 * REFRESHED_PER_CYCLE others in rotation. Then it selects the first SELECTED_PER_CYCLE jobs of the queue that
 * may start, and the refreshed jobs that come after these. If at most REFRESHED_PER_CYCLE jobs are live,
 * every cycle refreshes all of them. */
#define REFRESHED_PER_CYCLE 256
#define SELECTED_PER_CYCLE 256
/* maximum number of jobs examined to find the first SELECTED_PER_CYCLE ones that may start */
#define EXAMINED_PER_CYCLE_MAX (4 * SELECTED_PER_CYCLE)

#define CLUSTER_COUNT_INTERVAL_S 1.0
/* at most this many blocked jobs, the first ones of the queue, make other jobs leave capacity free */
#define BLOCKED_JOBS_MAX 4
/* a job that is known for a shorter time doesn't count as blocked: it may still find capacity without other
 * jobs yielding */
#define BLOCKED_AFTER_S 1.0
/* Seconds for which a machine's free capacity is left to blocked jobs while nothing starts or ends there:
 * less than the 90 s for which a job may wait beside a machine with room. */
#define YIELD_MAX_S 60.0
/* a pause of this many seconds in which no job had to yield on a machine begins YIELD_MAX_S anew */
#define YIELD_GAP_S 5.0
/* once this share of a class is served, no expensive machines are provisioned for its other jobs */
#define SERVICE_LEVEL_SUFFICIENT 0.5

struct FkSchedulingQueue {
  FkWaitQueue *waiting;           /* FkJob (with references): the jobs that have waiting tasks */
  guint cursor;                   /* index of the job to refresh next in the view's list of jobs */
  guint64 cycle;                  /* number of the latest cycle */
  guint team_count;               /* number of teams in the settings */
  double *team_demand_cpus;       /* demand of each team's waiting tasks, in the settings' order of teams */
  guint waiting_service_tasks;    /* waiting tasks of services */
  guint64 refreshed_count;        /* number of times that a job's queue position was updated, in all cycles */
  FkFairShareDemand *team_shares; /* in the settings' order of teams */
  double cluster_cpus, cluster_gpus; /* capacity of the registered machines that aren't draining */
  FkTime cluster_counted_at;
  GPtrArray *blocked;    /* FkJob (with references): the first blocked jobs, at most BLOCKED_JOBS_MAX */
  double blocked_cpus;   /* CPUs that all blocked jobs of the cycle wait for, not only those in `blocked` */
  double blocked_wait_s; /* time for which this controller has known the first blocked job */
};

FkSchedulingQueue *fk_scheduling_queue_new(const FkSettings *settings) {
  FkSchedulingQueue *queue = g_new0(FkSchedulingQueue, 1);
  queue->waiting = fk_wait_queue_new();
  queue->team_count = settings->teams->len;
  queue->team_demand_cpus = g_new0(double, settings->teams->len);
  queue->team_shares = g_new0(FkFairShareDemand, settings->teams->len);
  queue->blocked = g_ptr_array_new_with_free_func(fk_job_unref);
  return queue;
}

void fk_scheduling_queue_free(FkSchedulingQueue *queue) {
  if (!queue)
    return;
  fk_scheduling_queue_reset(queue);
  fk_wait_queue_free(queue->waiting);
  g_free(queue->team_demand_cpus);
  g_free(queue->team_shares);
  g_ptr_array_unref(queue->blocked);
  g_free(queue);
}

static gboolean accept_all(gpointer job, gpointer unused) { return TRUE; }

static void clear_blocked(FkSchedulingQueue *queue) {
  g_ptr_array_set_size(queue->blocked, 0);
  queue->blocked_cpus = queue->blocked_wait_s = 0;
}

void fk_scheduling_queue_reset(FkSchedulingQueue *queue) {
  g_autoptr(GPtrArray) jobs = g_ptr_array_new_with_free_func(fk_job_unref);
  fk_wait_queue_first(queue->waiting, G_MAXUINT, G_MAXUINT, accept_all, NULL, jobs);
  fk_wait_queue_clear(queue->waiting);
  memset(queue->team_demand_cpus, 0, queue->team_count * sizeof *queue->team_demand_cpus);
  queue->waiting_service_tasks = 0;
  clear_blocked(queue);
}

/* ------------------------------------------------------------------ priority */

/* Returns the time (seconds from now) by which a waiting task must start so that the job meets the tightest
 * objective or deadline that it can still meet; G_MAXDOUBLE if it can meet none. */
static double seconds_to_latest_start(FkController *c, const FkJob *job) {
  const FkSpec *spec = job->spec;
  double needed_s =
      fk_view_expected_run_s(c->view, spec) + fk_time_between((FkTime){job->startable_us}, c->now);
  double best = G_MAXDOUBLE;
  double allowed_s = fk_job_allowed_s(job);
  if (allowed_s >= needed_s)
    best = allowed_s - needed_s;
  /* A service's objective applies to its start. After an outage, the services that can still meet their
   * objective precede the others. */
  const char *kind = spec->shape == FK_SHAPE_SERVICE ? "wait" : "finished";
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    const FkObjective *objective = c->settings->objectives->pdata[i];
    if (g_strcmp0(objective->kind, kind) == 0 && g_strcmp0(objective->class_name, spec->class_name) == 0 &&
        objective->within_s >= needed_s)
      best = MIN(best, objective->within_s - needed_s);
  }
  return best;
}

/* Sets the job's effective priority, its standing and whether it is urgent. A job is urgent if it is aged, or
 * if fk_starvation_affects_largest() applies to the job. A job of a team without a guarantee gets at most the
 * normal priority, so that its priority doesn't put it before jobs of teams with a guarantee. A job that is
 * aged, or that fk_starvation_raises_priority() applies to, gets at least the normal priority; unless its
 * priority is higher, it also gets the best standing. (Without this, one team's six arrays waited for up to
 * 352 s to start on a recorded day.) */
static void update_priority(FkController *c, FkJob *job) {
  gboolean aged = fk_backfill_reservation_is_aged(c, job);
  job->effective_priority = job->inherited_priority;
  job->urgent = aged || fk_starvation_affects_largest(c, job);
  job->fair_share_standing = fk_fair_share_standing(fk_scheduling_queue_team_share(c, job->spec->team));
  if (fk_settings_find_team(c->settings, job->spec->team)->guaranteed_cpus <= 0)
    job->effective_priority = MAX(job->effective_priority, FK_JOB_PRIORITY_NORMAL);
  /* an aged job keeps the raised priority until one of its tasks is allocated or the job is failing */
  if (job->effective_priority < FK_JOB_PRIORITY_NORMAL ||
      !(aged || fk_starvation_raises_priority(c, job, c->leader.scheduling_queue->cluster_cpus)))
    return;
  job->effective_priority = FK_JOB_PRIORITY_NORMAL;
  job->fair_share_standing = FK_STANDING_WITHIN_GUARANTEE;
}

static gboolean has_objective(FkController *c, const FkSpec *spec) {
  for (guint i = 0; i < c->settings->objectives->len; i++)
    if (g_strcmp0(((FkObjective *)c->settings->objectives->pdata[i])->class_name, spec->class_name) == 0)
      return TRUE;
  return spec->deadline_s >= 0;
}

gboolean fk_scheduling_queue_is_low_cost_only(FkController *c, const FkJob *job) {
  const FkTeam *team = fk_settings_find_team(c->settings, job->spec->team);
  const FkServiceLevelRow *row = fk_service_level_class(c->view->service_level, job->spec->class_name);
  return team->guaranteed_cpus <= 0 && job->spec->shape == FK_SHAPE_ARRAY && !has_objective(c, job->spec) &&
         row && (row->expected_jobs <= 0 || fk_service_level_share(row) >= SERVICE_LEVEL_SUFFICIENT) &&
         !fk_starvation_raises_priority(c, job, c->leader.scheduling_queue->cluster_cpus);
}

/* ------------------------------------------------------------------ fair shares */

static void count_cluster_capacity(FkController *c, FkSchedulingQueue *queue) {
  if (fk_time_between(queue->cluster_counted_at, c->now) < CLUSTER_COUNT_INTERVAL_S)
    return;
  queue->cluster_counted_at = c->now;
  queue->cluster_cpus = queue->cluster_gpus = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const FkMachine *machine = value;
    const FkInstanceType *type = fk_machine_is_available(machine) ? fk_machine_type(c, machine) : NULL;
    queue->cluster_cpus += type ? type->cpus : 0;
    queue->cluster_gpus += type ? type->gpus : 0;
  }
}

/* Computes each team's fair share of the fleet from its usage and the demand of its waiting tasks. */
static void divide_fair_shares(FkController *c, FkSchedulingQueue *queue) {
  for (guint i = 0; i < queue->team_count; i++) {
    const FkTeam *team = c->settings->teams->pdata[i];
    const FkTeamUsage *usage = fk_view_ensure_team(c->view, team->name);
    queue->team_shares[i] = (FkFairShareDemand){
        .guarantee = fk_fair_share_dominant(team->guaranteed_cpus, team->guaranteed_gpus, queue->cluster_cpus,
                                            queue->cluster_gpus),
        .quota = team->max_cpus,
        .used = fk_fair_share_dominant(usage->cpus, usage->gpus, queue->cluster_cpus, queue->cluster_gpus),
        .wanted = queue->team_demand_cpus[i] > FK_AMOUNT_EPSILON ? queue->team_demand_cpus[i] : 0};
  }
  fk_fair_share_divide(queue->team_shares, queue->team_count, queue->cluster_cpus);
}

const FkFairShareDemand *fk_scheduling_queue_team_share(FkController *c, const char *team) {
  return &c->leader.scheduling_queue->team_shares[fk_settings_team_index(c->settings, team)];
}

double fk_scheduling_queue_cluster_cpus(FkController *c) { return c->leader.scheduling_queue->cluster_cpus; }

/* ------------------------------------------------------------------ blocked jobs */

/* Finds the blocked jobs: arrays of the normal priority or above that lack nothing but free capacity and that
 * this controller has known for BLOCKED_AFTER_S. */
static void update_blocked_jobs(FkController *c, FkSchedulingQueue *queue, GPtrArray *jobs) {
  clear_blocked(queue);
  for (guint i = 0; i < jobs->len; i++) {
    FkJob *job = jobs->pdata[i];
    double wait_s = fk_time_between(job->first_seen_at, c->now);
    if (job->effective_priority > FK_JOB_PRIORITY_NORMAL)
      break;
    if (job->spec->shape != FK_SHAPE_ARRAY || job->failing || wait_s < BLOCKED_AFTER_S ||
        !fk_team_quota_allows_task(c, job->spec))
      continue;
    queue->blocked_cpus += fk_job_waiting_tasks(job) * job->spec->cpus;
    if (!queue->blocked->len)
      queue->blocked_wait_s = wait_s;
    if (queue->blocked->len < BLOCKED_JOBS_MAX)
      g_ptr_array_add(queue->blocked, fk_job_ref(job));
  }
}

/* Returns the expected seconds until the machine has capacity for a task of the blocked job; G_MAXDOUBLE if
 * the job can't use the machine. Tasks are expected to end on time, sooner than a reservation assumes, so
 * that few tasks are placed in the blocked job's way. */
static double usable_in_s(FkController *c, const FkJob *blocked, const FkMachine *machine) {
  if (!fk_job_waiting_tasks(blocked) || !fk_placement_is_allowed(c, blocked, machine) ||
      fk_long_path_is_blacklisted(c, blocked, machine) || fk_backfill_reservation_blocks(c, blocked, machine))
    return G_MAXDOUBLE;
  return fk_machine_available_in_s(c, machine, blocked->spec, 1);
}

/* Returns the expected seconds until one of the blocked jobs can use the machine, and sets `blocked` to that
 * job; G_MAXDOUBLE and NULL if none can. Computed once a cycle for each machine. */
static double blocked_job_usable_in_s(FkController *c, FkMachine *machine, const FkJob **blocked) {
  const FkSchedulingQueue *queue = c->leader.scheduling_queue;
  if (machine->yield.cycle != queue->cycle) {
    machine->yield.cycle = queue->cycle;
    machine->yield.usable_in_s = G_MAXDOUBLE;
    for (guint i = 0; i < queue->blocked->len; i++) {
      double in_s = usable_in_s(c, queue->blocked->pdata[i], machine);
      if (in_s < machine->yield.usable_in_s) {
        machine->yield.usable_in_s = in_s;
        machine->yield.blocked_index = i;
      }
    }
  }
  *blocked =
      machine->yield.usable_in_s < G_MAXDOUBLE ? queue->blocked->pdata[machine->yield.blocked_index] : NULL;
  return machine->yield.usable_in_s;
}

/* Returns whether the machine's free capacity has been left to blocked jobs for so long, with nothing started
 * or ended there, that others may use it. */
static gboolean yield_has_expired(FkController *c, FkMachine *machine) {
  FkYield *yield = &machine->yield;
  if (!yield->since.us || fk_time_between(yield->last_at, c->now) > YIELD_GAP_S)
    yield->since = c->now;
  yield->last_at = c->now;
  return fk_time_between(yield->since, c->now) > YIELD_MAX_S;
}

/* Counts for the window's log that free capacity was left to the blocked job. */
static void count_yield(FkController *c, const FkJob *blocked) {
  const char *id = blocked->spec->id;
  guint times = GPOINTER_TO_UINT(g_hash_table_lookup(c->launches.yields, id));
  g_hash_table_insert(c->launches.yields, g_strdup(id), GUINT_TO_POINTER(times + 1));
}

gboolean fk_scheduling_queue_must_yield(FkController *c, const FkJob *job, FkMachine *machine) {
  if (fk_backfill_reservation_blocks(c, job, machine))
    return TRUE;
  if (job->effective_priority <= FK_JOB_PRIORITY_NORMAL || job->urgent ||
      job->spec->shape == FK_SHAPE_SERVICE || !c->leader.scheduling_queue->blocked->len)
    return FALSE;
  const FkJob *blocked;
  double usable_in_s = blocked_job_usable_in_s(c, machine, &blocked);
  double run_s = FK_RUN_TIME_MARGIN * fk_view_expected_run_s(c->view, job->spec);
  gboolean ends_before = job->spec->shape == FK_SHAPE_ARRAY && run_s <= usable_in_s;
  if (!blocked || ends_before || yield_has_expired(c, machine))
    return FALSE;
  count_yield(c, blocked);
  return TRUE;
}

const FkJob *fk_scheduling_queue_first_blocked(FkController *c) {
  const GPtrArray *blocked = c->leader.scheduling_queue->blocked;
  const FkJob *job = blocked->len ? blocked->pdata[0] : NULL;
  return job && fk_job_waiting_tasks(job) ? job : NULL;
}

double fk_scheduling_queue_blocked_cpus(FkController *c, double *wait_s) {
  *wait_s = c->leader.scheduling_queue->blocked_wait_s;
  return c->leader.scheduling_queue->blocked_cpus;
}

/* ------------------------------------------------------------------ the queue */

static gboolean has_waiting_tasks(FkController *c, const FkJob *job) {
  return fk_job_waiting_tasks(job) && fk_settings_find_team(c->settings, job->spec->team);
}

/* Updates the job's contribution to its team's demand and to the number of waiting tasks of services. */
static void update_demand(FkController *c, FkSchedulingQueue *queue, FkJob *job) {
  const FkSpec *spec = job->spec;
  if (!fk_settings_find_team(c->settings, spec->team))
    return;
  double tasks = fk_job_waiting_tasks(job);
  double demand = fk_fair_share_dominant(tasks * spec->cpus, tasks * spec->gpus, queue->cluster_cpus,
                                         queue->cluster_gpus);
  guint services = spec->shape == FK_SHAPE_SERVICE ? fk_job_waiting_tasks(job) : 0;
  queue->team_demand_cpus[fk_settings_team_index(c->settings, spec->team)] += demand - job->demand_cpus;
  queue->waiting_service_tasks += services - job->waiting_service_tasks;
  job->demand_cpus = demand;
  job->waiting_service_tasks = services;
}

/* Updates the job's key and its position in the queue. Removes the job if none of its tasks waits or its team
 * isn't in the settings. */
static void refresh_job(FkController *c, FkSchedulingQueue *queue, FkJob *job) {
  queue->refreshed_count++;
  if (!has_waiting_tasks(c, job)) {
    if (fk_wait_queue_remove(queue->waiting, job))
      fk_job_unref(job);
    return;
  }
  job->seconds_to_latest_start = seconds_to_latest_start(c, job);
  update_priority(c, job);
  job->waiting_cpu_s =
      fk_job_waiting_tasks(job) * fk_view_expected_run_s(c->view, job->spec) * job->spec->cpus;
  const FkWaitKey key = {job->effective_priority,
                         job->fair_share_standing,
                         job->urgent,
                         job->seconds_to_latest_start < G_MAXDOUBLE,
                         job->waiting_cpu_s,
                         job->startable_us};
  if (!fk_wait_queue_position(queue->waiting, job))
    fk_job_ref(job);
  fk_wait_queue_put(queue->waiting, job, &key);
}

/* Returns the jobs to refresh (FkJob, with references): those whose waiting tasks may have changed, and the
 * next REFRESHED_PER_CYCLE live jobs in rotation. */
static GPtrArray *jobs_to_refresh(FkController *c, FkSchedulingQueue *queue) {
  GPtrArray *jobs = g_ptr_array_new_with_free_func(fk_job_unref);
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init(&it, c->view->changed_jobs);
  while (g_hash_table_iter_next(&it, &job, NULL))
    g_ptr_array_add(jobs, fk_job_ref(job));
  g_hash_table_remove_all(c->view->changed_jobs);
  const GPtrArray *all = c->view->live_jobs;
  for (guint i = 0; i < MIN(all->len, REFRESHED_PER_CYCLE); i++)
    g_ptr_array_add(jobs, fk_job_ref(all->pdata[queue->cursor++ % all->len]));
  return jobs;
}

/* Returns whether tasks of the job may start now. If more jobs wait than a cycle selects, jobs without quota
 * are left out, so that they don't use up the selection. */
static gboolean can_start(gpointer item, gpointer controller) {
  FkController *c = controller;
  FkJob *job = item;
  gboolean exceeds_selection = fk_wait_queue_size(c->leader.scheduling_queue->waiting) > SELECTED_PER_CYCLE;
  job->quota_available = fk_team_quota_is_available(c, job->spec);
  return has_waiting_tasks(c, job) && fk_time_reached(c->now, job->retry_at) &&
         (job->quota_available || !exceeds_selection);
}

static int compare_by_position(gconstpointer a, gconstpointer b) {
  const FkJob *x = *(FkJob *const *)a, *y = *(FkJob *const *)b;
  return x->queue_position < y->queue_position ? -1 : x->queue_position > y->queue_position;
}

/* Returns the first jobs of the queue, and the jobs refreshed in this cycle that come after these and may
 * start. Since the refresh rotates, each job that may start is selected from time to time. */
static GPtrArray *select_jobs(FkController *c, FkSchedulingQueue *queue, const GPtrArray *refreshed) {
  GPtrArray *jobs = g_ptr_array_new();
  queue->cycle++;
  fk_wait_queue_first(queue->waiting, SELECTED_PER_CYCLE, EXAMINED_PER_CYCLE_MAX, can_start, c, jobs);
  guint first = jobs->len;
  for (guint i = 0; i < first; i++) {
    FkJob *job = jobs->pdata[i];
    job->queue_position = i + 1;
    job->last_cycle = queue->cycle;
  }
  for (guint i = 0; i < refreshed->len && fk_wait_queue_size(queue->waiting) > first; i++) {
    FkJob *job = refreshed->pdata[i];
    if (job->last_cycle == queue->cycle || !can_start(job, c))
      continue;
    job->queue_position = MAX(first + 1, fk_wait_queue_position(queue->waiting, job));
    job->last_cycle = queue->cycle;
    g_ptr_array_add(jobs, job);
  }
  if (jobs->len > first)
    g_ptr_array_sort(jobs, compare_by_position);
  return jobs;
}

static gboolean is_startable_high_priority(FkController *c, const FkJob *job) {
  return job->inherited_priority < FK_JOB_PRIORITY_NORMAL && has_waiting_tasks(c, job) &&
         fk_time_reached(c->now, job->retry_at) && (c->leader.is_leader || !fk_spec_is_long(c, job->spec)) &&
         fk_team_quota_is_available(c, job->spec);
}

gboolean fk_scheduling_queue_has_high_priority(FkController *c) {
  g_autoptr(GPtrArray) first = g_ptr_array_new();
  fk_wait_queue_first(c->leader.scheduling_queue->waiting, 1, 1, accept_all, NULL, first);
  if (first->len && is_startable_high_priority(c, first->pdata[0]))
    return TRUE;
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init(&it, c->view->changed_jobs);
  while (g_hash_table_iter_next(&it, &job, NULL))
    if (is_startable_high_priority(c, job))
      return TRUE;
  return FALSE;
}

guint64 fk_scheduling_queue_refreshed_count(const FkSchedulingQueue *queue) { return queue->refreshed_count; }

GPtrArray *fk_scheduling_queue_select_jobs(FkController *c) {
  FkSchedulingQueue *queue = c->leader.scheduling_queue;
  g_autoptr(GPtrArray) refreshed = jobs_to_refresh(c, queue);
  count_cluster_capacity(c, queue);
  for (guint i = 0; i < refreshed->len; i++)
    update_demand(c, queue, refreshed->pdata[i]);
  divide_fair_shares(c, queue);
  for (guint i = 0; i < refreshed->len; i++)
    refresh_job(c, queue, refreshed->pdata[i]);
  GPtrArray *jobs = select_jobs(c, queue, refreshed);
  c->launches.queued_service_tasks = queue->waiting_service_tasks;
  update_blocked_jobs(c, queue, jobs);
  fk_backfill_reservation_refresh(c, jobs);
  return jobs;
}
