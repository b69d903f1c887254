/* Whose turn it is: the order of waiting jobs, who must leave room to whom, and what each team is due. */
#include "core/scheduling/scheduling_queue.h"

#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/launch_batch.h"
#include "scheduling_queue/wait_queue.h"

#include <string.h>

/* A look costs by what has changed since the last, not by what waits: jobs whose waiting may have changed
 * take their places anew, and of the others so many a look, in turns; then the first of them are read off.
 * With fewer jobs than this all take part in every look. */
#define REFRESHED_PER_CYCLE 256
#define SELECTED_PER_CYCLE 256
#define EXAMINED_PER_CYCLE_MAX (4 * SELECTED_PER_CYCLE)

#define FLEET_COUNT_INTERVAL_S 1.0 /* the fleet's size is looked at so often */
#define BLOCKED_JOBS_MAX 4         /* of the jobs that others yield to, the first */
#define BACK_OFF_AFTER_S 1.0       /* who has waited for less may yet find room beside them */

struct FkSchedulingQueue {
  FkWaitQueue *queue; /* FkJob, with a reference: those with tasks that wait */
  guint cursor;       /* of the view's list of jobs: who takes its place anew next */
  guint64 cycle;      /* counts them */
  guint team_count;   /* of the settings */
  double
      *team_demand_cpus;  /* CPUs of the fleet that a team's jobs wait for; in the settings' order of teams */
  guint waiting_services; /* tasks of services that wait */
  guint64 refreshed_count;        /* jobs that took their places anew, in all looks */
  FkFairShareDemand *team_shares; /* in the settings' order of teams */
  double fleet_cpus, fleet_gpus;  /* of the machines that are up */
  FkTime counted_at;
  GPtrArray *blocked; /* FkJob, with a reference: arrays that wait though it is their turn */
  double blocked_cpus, blocked_wait_s;
};

FkSchedulingQueue *fk_scheduling_queue_new(const FkSettings *s) {
  FkSchedulingQueue *o = g_new0(FkSchedulingQueue, 1);
  o->queue = fk_wait_queue_new();
  o->team_count = s->teams->len;
  o->team_demand_cpus = g_new0(double, s->teams->len);
  o->team_shares = g_new0(FkFairShareDemand, s->teams->len);
  o->blocked = g_ptr_array_new_with_free_func(fk_job_unref);
  return o;
}

void fk_scheduling_queue_free(FkSchedulingQueue *o) {
  if (!o)
    return;
  fk_scheduling_queue_reset(o);
  fk_wait_queue_free(o->queue);
  g_free(o->team_demand_cpus);
  g_free(o->team_shares);
  g_ptr_array_unref(o->blocked);
  g_free(o);
}

static gboolean accept_all(gpointer job, gpointer unused) { return TRUE; }

void fk_scheduling_queue_reset(FkSchedulingQueue *o) {
  g_autoptr(GPtrArray) jobs = g_ptr_array_new_with_free_func(fk_job_unref);
  fk_wait_queue_first(o->queue, G_MAXUINT, G_MAXUINT, accept_all, NULL, jobs);
  fk_wait_queue_clear(o->queue);
  memset(o->team_demand_cpus, 0, o->team_count * sizeof *o->team_demand_cpus);
  o->waiting_services = 0;
  g_ptr_array_set_size(o->blocked, 0);
  o->blocked_cpus = o->blocked_wait_s = 0;
}

double fk_job_latest_start(FkController *c, const FkJob *j, double slack) {
  const FkSpec *s = j->spec;
  double left =
      slack * fk_view_expected_run_s(c->view, s) + fk_time_between((FkTime){j->startable_us}, c->now);
  double best = G_MAXDOUBLE;
  double due = fk_job_allowed_s(j);
  if (due >= left)
    best = due - left;
  for (guint i = 0; i < c->settings->objectives->len; i++) {
    const FkObjective *o = c->settings->objectives->pdata[i];
    /* a service's aim is its start: after an outage those that can still have it come before those that can't
     */
    if (g_strcmp0(o->kind, s->shape == FK_SHAPE_SERVICE ? "wait" : "finished") == 0 &&
        g_strcmp0(o->class_name, s->class_name) == 0 && o->within_s >= left)
      best = MIN(best, o->within_s - left);
  }
  return best;
}

static void count_fleet_capacity(FkController *c, FkSchedulingQueue *o) {
  if (fk_time_between(o->counted_at, c->now) < FLEET_COUNT_INTERVAL_S)
    return;
  o->counted_at = c->now;
  o->fleet_cpus = o->fleet_gpus = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->machines);
  while (g_hash_table_iter_next(&it, NULL, &p)) {
    const FkMachine *m = p;
    const FkInstanceType *t = m->record && !m->drain_reason ? fk_machine_type(c, m) : NULL;
    o->fleet_cpus += t ? t->cpus : 0;
    o->fleet_gpus += t ? t->gpus : 0;
  }
}

/* What each team is due, by what waits and what is booked now. */
static void divide_fair_shares(FkController *c, FkSchedulingQueue *o) {
  for (guint i = 0; i < o->team_count; i++) {
    const FkTeam *t = c->settings->teams->pdata[i];
    const FkTeamUsage *use = fk_view_ensure_team(c->view, t->name);
    o->team_shares[i] = (FkFairShareDemand){
        .guarantee =
            fk_fair_share_dominant(t->guaranteed_cpus, t->guaranteed_gpus, o->fleet_cpus, o->fleet_gpus),
        .quota = t->max_cpus,
        .used = fk_fair_share_dominant(use->cpus, use->gpus, o->fleet_cpus, o->fleet_gpus),
        .wanted = o->team_demand_cpus[i] > FK_AMOUNT_EPSILON ? o->team_demand_cpus[i] : 0};
  }
  fk_fair_share_divide(o->team_shares, o->team_count, o->fleet_cpus);
}

const FkFairShareDemand *fk_scheduling_queue_team_share(FkController *c, const char *team) {
  return &c->leader.scheduling_queue->team_shares[fk_settings_team_index(c->settings, team)];
}

/* A rank orders a team's own work, and that of teams which have a claim to room. Who has none can't outrank
 * them by it; and who is hardly served at all, or hasn't begun for too long, gets a floor, as if its rank
 * were the usual one. (A guest's six sweeps waited for up to 352 s to begin on a recorded day.) */
static void update_priority(FkController *c, FkJob *j) {
  j->effective_priority = j->inherited_priority;
  gboolean overdue = fk_backfill_reservation_is_aged(c, j);
  j->urgent = overdue || fk_starvation_affects_largest(c, j);
  j->fair_share_standing = fk_fair_share_standing(fk_scheduling_queue_team_share(c, j->spec->team));
  if (fk_settings_find_team(c->settings, j->spec->team)->guaranteed_cpus <= 0)
    j->effective_priority = MAX(j->effective_priority, FK_JOB_PRIORITY_NORMAL);
  /* whoever must begin soon is lifted until its first task has */
  if (j->effective_priority < FK_JOB_PRIORITY_NORMAL ||
      !(overdue || fk_starvation_lifts(c, j, c->leader.scheduling_queue->fleet_cpus)))
    return;
  j->effective_priority = FK_JOB_PRIORITY_NORMAL;
  j->fair_share_standing = FK_STANDING_PROTECTED;
}

/* Arrays of the usual rank that could have started, but for room. */
static void update_blocked_jobs(FkController *c, FkSchedulingQueue *o, GPtrArray *jobs) {
  g_ptr_array_set_size(o->blocked, 0);
  o->blocked_cpus = o->blocked_wait_s = 0;
  for (guint i = 0; i < jobs->len; i++) {
    FkJob *j = jobs->pdata[i];
    double waited = fk_time_between(j->first_seen_at, c->now);
    if (j->effective_priority > FK_JOB_PRIORITY_NORMAL)
      break;
    if (j->spec->shape != FK_SHAPE_ARRAY || j->failing || waited < BACK_OFF_AFTER_S ||
        !fk_team_quota_allows_task(c, j->spec))
      continue;
    o->blocked_cpus += fk_job_waiting_tasks(j) * j->spec->cpus;
    if (!o->blocked->len)
      o->blocked_wait_s = waited;
    if (o->blocked->len < BLOCKED_JOBS_MAX)
      g_ptr_array_add(o->blocked, fk_job_ref(j));
  }
}

static gboolean has_objective(FkController *c, const FkSpec *s) {
  for (guint i = 0; i < c->settings->objectives->len; i++)
    if (g_strcmp0(((FkObjective *)c->settings->objectives->pdata[i])->class_name, s->class_name) == 0)
      return TRUE;
  return s->deadline_s >= 0;
}

#define SERVICE_LEVEL_SUFFICIENT 0.5 /* of a class is served */

gboolean fk_scheduling_queue_is_low_cost_only(FkController *c, const FkJob *j) {
  const FkTeam *team = fk_settings_find_team(c->settings, j->spec->team);
  const FkServiceLevelRow *row = fk_service_level_class(c->view->service_level, j->spec->class_name);
  return team->guaranteed_cpus <= 0 && j->spec->shape == FK_SHAPE_ARRAY && !has_objective(c, j->spec) &&
         row && (row->expected_jobs <= 0 || fk_service_level_share(row) >= SERVICE_LEVEL_SUFFICIENT) &&
         !fk_starvation_lifts(c, j, c->leader.scheduling_queue->fleet_cpus);
}

gboolean fk_scheduling_queue_must_back_off(FkController *c, const FkJob *j, const FkMachine *m) {
  if (fk_backfill_reservation_blocks(c, j, m))
    return TRUE;
  if (j->effective_priority <= FK_JOB_PRIORITY_NORMAL || j->urgent || j->spec->shape == FK_SHAPE_SERVICE)
    return FALSE;
  for (guint i = 0; i < c->leader.scheduling_queue->blocked->len; i++) {
    const FkJob *first = c->leader.scheduling_queue->blocked->pdata[i];
    if (fk_job_waiting_tasks(first) && fk_placement_is_allowed(c, first, m))
      return TRUE;
  }
  return FALSE;
}

double fk_scheduling_queue_fleet_cpus(FkController *c) { return c->leader.scheduling_queue->fleet_cpus; }

const FkJob *fk_scheduling_queue_first_blocked(FkController *c) {
  const FkJob *j =
      c->leader.scheduling_queue->blocked->len ? c->leader.scheduling_queue->blocked->pdata[0] : NULL;
  return j && fk_job_waiting_tasks(j) ? j : NULL;
}

double fk_scheduling_queue_blocked_cpus(FkController *c, double *waited_s) {
  *waited_s = c->leader.scheduling_queue->blocked_wait_s;
  return c->leader.scheduling_queue->blocked_cpus;
}

/* ------------------------------------------------------------------ the order, kept */

static gboolean has_waiting_tasks(FkController *c, const FkJob *j) {
  return fk_job_waiting_tasks(j) && fk_settings_find_team(c->settings, j->spec->team);
}

/* What it wants counts for its team, and for the services. */
static void update_demand(FkController *c, FkSchedulingQueue *o, FkJob *j) {
  const FkSpec *s = j->spec;
  if (!fk_settings_find_team(c->settings, s->team))
    return;
  double tasks = fk_job_waiting_tasks(j);
  double wants = fk_fair_share_dominant(tasks * s->cpus, tasks * s->gpus, o->fleet_cpus, o->fleet_gpus);
  guint services = s->shape == FK_SHAPE_SERVICE ? fk_job_waiting_tasks(j) : 0;
  o->team_demand_cpus[fk_settings_team_index(c->settings, s->team)] += wants - j->demand_cpus;
  o->waiting_services += services - j->waiting_services;
  j->demand_cpus = wants;
  j->waiting_services = services;
}

static void refresh_job(FkController *c, FkSchedulingQueue *o, FkJob *j) {
  o->refreshed_count++;
  if (!has_waiting_tasks(c, j)) {
    if (fk_wait_queue_remove(o->queue, j))
      fk_job_unref(j);
    return;
  }
  j->latest_start_s = fk_job_latest_start(c, j, 1.0);
  update_priority(c, j);
  j->waiting_cpu_s = fk_job_waiting_tasks(j) * fk_view_expected_run_s(c->view, j->spec) * j->spec->cpus;
  const FkWaitKey key = {j->effective_priority,           j->fair_share_standing, j->urgent,
                         j->latest_start_s < G_MAXDOUBLE, j->waiting_cpu_s,       j->startable_us};
  if (!fk_wait_queue_place(o->queue, j))
    fk_job_ref(j);
  fk_wait_queue_put(o->queue, j, &key);
}

/* Whose waiting may have changed, and the next of all jobs in turns: references. */
static GPtrArray *jobs_to_refresh(FkController *c, FkSchedulingQueue *o) {
  GPtrArray *jobs = g_ptr_array_new_with_free_func(fk_job_unref);
  GHashTableIter it;
  gpointer j;
  g_hash_table_iter_init(&it, c->view->changed_jobs);
  while (g_hash_table_iter_next(&it, &j, NULL))
    g_ptr_array_add(jobs, fk_job_ref(j));
  g_hash_table_remove_all(c->view->changed_jobs);
  const GPtrArray *all = c->view->live_jobs;
  for (guint i = 0; i < MIN(all->len, REFRESHED_PER_CYCLE); i++)
    g_ptr_array_add(jobs, fk_job_ref(all->pdata[o->cursor++ % all->len]));
  return jobs;
}

static gboolean can_start(gpointer job, gpointer controller) {
  FkController *c = controller;
  FkJob *j = job;
  /* where more wait than are looked at, those that can start nowhere give up their places to others */
  gboolean crowded = fk_wait_queue_size(c->leader.scheduling_queue->queue) > SELECTED_PER_CYCLE;
  j->quota_available = fk_team_quota_has_room(c, j->spec);
  return has_waiting_tasks(c, j) && fk_time_reached(c->now, j->retry_at) && (j->quota_available || !crowded);
}

static int compare_by_place(gconstpointer a, gconstpointer b) {
  const FkJob *x = *(FkJob *const *)a, *y = *(FkJob *const *)b;
  return x->queue_position < y->queue_position ? -1 : x->queue_position > y->queue_position;
}

/* The first in the order, and those of the jobs refreshed now that come after them: so each has its turn. */
static GPtrArray *select_jobs(FkController *c, FkSchedulingQueue *o, const GPtrArray *refreshed) {
  GPtrArray *jobs = g_ptr_array_new();
  o->cycle++;
  fk_wait_queue_first(o->queue, SELECTED_PER_CYCLE, EXAMINED_PER_CYCLE_MAX, can_start, c, jobs);
  guint first = jobs->len;
  for (guint i = 0; i < first; i++) {
    FkJob *j = jobs->pdata[i];
    j->queue_position = i + 1;
    j->last_cycle = o->cycle;
  }
  for (guint i = 0; i < refreshed->len && fk_wait_queue_size(o->queue) > first; i++) {
    FkJob *j = refreshed->pdata[i];
    if (j->last_cycle == o->cycle || !can_start(j, c))
      continue;
    j->queue_position = MAX(first + 1, fk_wait_queue_place(o->queue, j));
    j->last_cycle = o->cycle;
    g_ptr_array_add(jobs, j);
  }
  if (jobs->len > first)
    g_ptr_array_sort(jobs, compare_by_place);
  return jobs;
}

static gboolean is_urgent(FkController *c, const FkJob *j) {
  return j->inherited_priority < FK_JOB_PRIORITY_NORMAL && has_waiting_tasks(c, j) &&
         fk_time_reached(c->now, j->retry_at) && (c->leader.is_leader || !fk_spec_is_long(c, j->spec)) &&
         fk_team_quota_has_room(c, j->spec);
}

gboolean fk_scheduling_queue_has_urgent(FkController *c) {
  g_autoptr(GPtrArray) first = g_ptr_array_new();
  fk_wait_queue_first(c->leader.scheduling_queue->queue, 1, 1, accept_all, NULL, first);
  if (first->len && is_urgent(c, first->pdata[0]))
    return TRUE;
  GHashTableIter it;
  gpointer j;
  g_hash_table_iter_init(&it, c->view->changed_jobs);
  while (g_hash_table_iter_next(&it, &j, NULL))
    if (is_urgent(c, j))
      return TRUE;
  return FALSE;
}

guint64 fk_scheduling_queue_refreshed_count(const FkSchedulingQueue *o) { return o->refreshed_count; }

GPtrArray *fk_scheduling_queue_select_jobs(FkController *c) {
  FkSchedulingQueue *o = c->leader.scheduling_queue;
  g_autoptr(GPtrArray) refreshed = jobs_to_refresh(c, o);
  count_fleet_capacity(c, o);
  for (guint i = 0; i < refreshed->len; i++)
    update_demand(c, o, refreshed->pdata[i]);
  divide_fair_shares(c, o);
  for (guint i = 0; i < refreshed->len; i++)
    refresh_job(c, o, refreshed->pdata[i]);
  GPtrArray *jobs = select_jobs(c, o, refreshed);
  c->launches.services_waiting = o->waiting_services;
  update_blocked_jobs(c, o, jobs);
  fk_backfill_reservation_refresh(c, jobs);
  return jobs;
}
