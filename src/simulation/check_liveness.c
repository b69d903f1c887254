/* Liveness checks: every query is answered, and no job waits for long beside free capacity that it may use.
 * Both are judged once all faults are over. */
#include "simulation/simulation_internal.h"

#define UNANSWERED_MAX_S 75.0
#define STARVED_MAX_S ((double)SIM_FREE_CPUS_SAMPLES)
#define STARVATION_TICKS 5 /* ticks of 0.2 s: a sample a second */
#define QUOTA_EPSILON 1e-6
#define SLOT_EPSILON 1e-4 /* of sums of floats */
#define JUDGED_AFTER_US (60 * G_USEC_PER_SEC)

/* ------------------------------------------------------------------ when faults are over */

static gint64 latest(gint64 a, gint64 b) { return MAX(a, b); }

static gint64 cluster_faults_end(const Sim *sim) {
  const gint64 ends[] = {sim->outage_until,       sim->zone_partition_until, sim->slow_until,
                         sim->peer_refusal_until, sim->late_writes_until,    sim->command_delay_until,
                         sim->duplicates_until,   sim->lost_replies_until,   sim->cloud_outage_until};
  gint64 end = 0;
  for (guint i = 0; i < G_N_ELEMENTS(ends); i++)
    end = latest(end, ends[i]);
  return end;
}

static gint64 controller_faults_end(const Sim *sim, int controller) {
  const SimController *c = &sim->controllers[controller];
  gint64 end = latest(c->store_partition_until, c->worker_partition_until);
  end = latest(end, latest(c->peer_partition_until, c->paused_until));
  return latest(end, sim->store_refusal_until[controller]);
}

static gint64 worker_faults_end(const SimWorker *worker) {
  if (worker->gone)
    return 0;
  return latest(worker->hung_until,
                latest(worker->inbound_partition_until, worker->outbound_partition_until));
}

static gint64 faults_end(const Sim *sim) {
  gint64 end = latest(cluster_faults_end(sim), (gint64)(SIM_FAULTS_SHARE * 1e6 * sim->plan.seconds));
  for (int i = 0; i < sim->controller_count; i++)
    end = latest(end, controller_faults_end(sim, i));
  for (guint i = 0; i < sim->workers->len; i++)
    end = latest(end, worker_faults_end(sim->workers->pdata[i]));
  return end;
}

/* ------------------------------------------------------------------ capacity */

static float free_cpus_on(Sim *sim, const SimWorker *worker) {
  if (worker->gone || !worker->up || worker->faulty || sim->now < worker_faults_end(worker))
    return 0;
  float free_cpus = SIM_MACHINE_CPUS;
  for (guint i = 0; i < worker->model.tasks->len; i++) {
    const FkWorkerTask *task = worker->model.tasks->pdata[i];
    free_cpus -= task->state != FK_TASK_EXITED ? (float)sim_job_find(sim, task->job)->cpus : 0;
  }
  return free_cpus;
}

static guint sample_index(const Sim *sim) {
  return (guint)(sim->now / G_USEC_PER_SEC % SIM_FREE_CPUS_SAMPLES);
}

static void sample_free_cpus(Sim *sim) {
  for (guint i = 0; i < sim->workers->len; i++) {
    SimWorker *worker = sim->workers->pdata[i];
    worker->free_cpus[sample_index(sim)] = free_cpus_on(sim, worker);
  }
}

/* What was free in all samples. */
static float free_cpus_throughout(const SimWorker *worker) {
  float least = worker->free_cpus[0];
  for (guint i = 1; i < SIM_FREE_CPUS_SAMPLES; i++)
    least = MIN(least, worker->free_cpus[i]);
  return least;
}

static gboolean is_north(const SimWorker *worker) { return worker->model.zone[0] == 'n'; }

static void count_task(SimJob *job, const SimWorker *worker, GHashTable *team_cpus) {
  job->placed++;
  if (is_north(worker))
    job->north++;
  else
    job->south++;
  double *used = g_hash_table_lookup(team_cpus, job->team);
  if (!used) {
    used = g_new0(double, 1);
    g_hash_table_insert(team_cpus, job->team, used);
  }
  *used += job->cpus;
}

/* Counts what the machines have, by job and by team. */
static void count_placed(Sim *sim, GHashTable *team_cpus) {
  for (guint i = 0; i < sim->jobs->len; i++) {
    SimJob *job = sim->jobs->pdata[i];
    job->placed = job->north = job->south = 0;
  }
  for (guint i = 0; i < sim->workers->len; i++) {
    const SimWorker *worker = sim->workers->pdata[i];
    for (guint k = 0; !worker->gone && k < worker->model.tasks->len; k++) {
      const FkWorkerTask *task = worker->model.tasks->pdata[k];
      SimJob *job = sim_job_find(sim, task->job);
      if (task->state != FK_TASK_EXITED && !job->finished[task->task])
        count_task(job, worker, team_cpus);
    }
  }
}

/* Tasks that have neither finished nor been placed. */
static guint waiting_tasks(const SimJob *job) {
  guint finished = 0;
  for (guint i = 0; i < job->tasks; i++)
    finished += job->finished[i];
  return job->tasks - finished - MIN(job->placed, job->tasks - finished);
}

/* There is room for what the job waits with, a task or the whole gang: now, or throughout all samples on the
 * same machines. */
static gboolean fits_somewhere(Sim *sim, const SimJob *job, guint waiting, gboolean throughout) {
  guint need = job->shape == FK_SHAPE_GANG ? waiting : 1, north = 0, south = 0;
  for (guint i = 0; i < sim->workers->len; i++) {
    const SimWorker *worker = sim->workers->pdata[i];
    if (worker->gone || (worker->model.spot && !job->spot) ||
        (job->zone && !g_str_equal(job->zone, worker->model.zone)))
      continue;
    float free_cpus = throughout ? free_cpus_throughout(worker) : worker->free_cpus[sample_index(sim)];
    *(is_north(worker) ? &north : &south) += (guint)(free_cpus / job->cpus + SLOT_EPSILON);
  }
  if (job->one_zone)
    return job->north ? north >= need : job->south ? south >= need : MAX(north, south) >= need;
  if (job->spread) {
    guint half = (job->tasks + 1) / 2;
    return MIN(north, half - MIN(half, job->north)) + MIN(south, half - MIN(half, job->south)) >= need;
  }
  return north + south >= need;
}

static gboolean quota_allows(const Sim *sim, const SimJob *job, guint waiting, GHashTable *team_cpus) {
  const FkTeam *team = fk_settings_find_team(sim->settings, job->team);
  const double *used = g_hash_table_lookup(team_cpus, job->team);
  double need = job->cpus * (job->shape == FK_SHAPE_GANG ? waiting : 1);
  return team->max_cpus <= 0 || (used ? *used : 0) + need <= team->max_cpus + QUOTA_EPSILON;
}

/* ------------------------------------------------------------------ starvation */

static void record_quota_use(Sim *sim, GHashTable *team_cpus) {
  for (guint i = 0; i < sim->settings->teams->len; i++) {
    const FkTeam *team = sim->settings->teams->pdata[i];
    const double *used = g_hash_table_lookup(team_cpus, team->name);
    if (used && team->max_cpus > 0)
      sim->result.quota_use_max = MAX(sim->result.quota_use_max, *used / team->max_cpus);
  }
}

static void report_starved(Sim *sim, const SimJob *job, guint waiting) {
  g_autofree char *what = g_strdup_printf(
      "%s: shape %d, %u of %u tasks of %g cpus wait, %u placed, zone %s, %s%s%s", job->id, job->shape,
      waiting, job->tasks, job->cpus, job->placed, job->zone ? job->zone : "any", job->spot ? "spot " : "",
      job->one_zone ? "together " : "", job->spread ? "spread" : "");
  for (guint i = 0; i < sim->workers->len; i++) {
    const SimWorker *worker = sim->workers->pdata[i];
    const FkWorkerModel *model = &worker->model;
    if (!worker->gone && free_cpus_throughout(worker) >= job->cpus)
      g_message("WORLD %s %s spot %d has had %.1f CPUs free, token %" G_GUINT64_FORMAT
                " session %" G_GUINT64_FORMAT " home c-%u",
                model->id, model->zone, model->spot, free_cpus_throughout(worker), model->fencing_token,
                model->incarnation, worker->controller);
  }
  sim_violation(sim, "left waiting", what);
}

static gboolean is_judged(const SimJob *job) {
  return job->accepted && !sim_job_cancel_requested(job) && !job->always_fails && !job->impossible &&
         sim_job_dependencies_done(job);
}

/* The time since which the job could start runs anew with each task that starts. */
static void check_job_starvation(Sim *sim, SimJob *job, gint64 calm_at, GHashTable *team_cpus) {
  guint waiting = waiting_tasks(job);
  gboolean startable =
      waiting && quota_allows(sim, job, waiting, team_cpus) && fits_somewhere(sim, job, waiting, FALSE);
  if (!startable || job->starts != job->startable_starts)
    job->startable_since = 0;
  job->startable_starts = job->starts;
  if (!startable)
    return;
  if (!job->startable_since)
    job->startable_since = sim->now;
  gint64 since = latest(job->startable_since, latest(calm_at, job->accepted_at));
  double starved_s = (double)(sim->now - since) / 1e6;
  sim->result.starved_max_s = MAX(sim->result.starved_max_s, starved_s);
  if (starved_s > STARVED_MAX_S && !sim->plan.skip_starvation_check &&
      fits_somewhere(sim, job, waiting, TRUE))
    report_starved(sim, job, waiting);
}

/* Nobody waits for long while a machine that fits has room and the team is below its quota. */
static void check_starvation(Sim *sim, gint64 calm_at) {
  g_autoptr(GHashTable) team_cpus = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  count_placed(sim, team_cpus);
  sample_free_cpus(sim);
  record_quota_use(sim, team_cpus);
  for (guint i = 0; i < sim->jobs->len; i++)
    if (is_judged(sim->jobs->pdata[i]))
      check_job_starvation(sim, sim->jobs->pdata[i], calm_at, team_cpus);
}

/* ------------------------------------------------------------------ answers and starts */

static void check_answers(Sim *sim, const SimJob *job, gint64 calm_at) {
  gint64 since = latest(latest(job->accepted_at, calm_at), job->answered_at);
  double unanswered_s = (double)(sim->now - since) / 1e6;
  if (sim->now >= calm_at)
    sim->result.unanswered_max_s = MAX(sim->result.unanswered_max_s, unanswered_s);
  if (sim->now - since > (gint64)(UNANSWERED_MAX_S * 1e6))
    sim_violation(sim, "forgotten, no answer", job->id);
}

static void record_start_wait(Sim *sim, const SimJob *job, gint64 calm_at) {
  gint64 until = job->started_at ? job->started_at : sim->now;
  double waited_s = (double)(until - job->accepted_at) / 1e6;
  double waited_in_calm_s = (double)(until - latest(job->accepted_at, calm_at)) / 1e6;
  if (job->large)
    sim->result.large_start_wait_max_s = MAX(sim->result.large_start_wait_max_s, waited_s);
  sim->result.start_wait_max_s = MAX(sim->result.start_wait_max_s, waited_in_calm_s);
}

void sim_check_liveness(Sim *sim) {
  if (sim->plan.services)
    return;
  gint64 calm_at = faults_end(sim);
  if (sim->now / SIM_TICK_US % STARVATION_TICKS == 0)
    check_starvation(sim, calm_at);
  for (guint i = 0; i < sim->jobs->len; i++) {
    const SimJob *job = sim->jobs->pdata[i];
    gboolean polls = !sim->plan.stop_polling_when_final || !(job->reported_done || job->reported_cancelled);
    if (!job->accepted || !polls)
      continue;
    check_answers(sim, job, calm_at);
    if (!sim_job_cancel_requested(job) && !job->always_fails && !job->dependencies)
      record_start_wait(sim, job, calm_at);
  }
}

/* ------------------------------------------------------------------ service level */

/* The part of the job that its user has got: tasks that finished, or that its replicas were started. */
static double served_share(const SimJob *job) {
  if (job->shape == FK_SHAPE_SERVICE)
    return job->starts > 0;
  guint finished = 0;
  for (guint i = 0; i < job->tasks; i++)
    finished += job->finished[i];
  return (double)finished / job->tasks;
}

/* The mean of the class's jobs; 1: none is due. */
static double class_served_share(const Sim *sim, const char *class_name) {
  double due = 0, served = 0;
  for (guint i = 0; i < sim->jobs->len; i++) {
    const SimJob *job = sim->jobs->pdata[i];
    if (!g_str_equal(job->class_name, class_name) || !job->accepted || sim_job_cancel_requested(job) ||
        sim->now < job->accepted_at + JUDGED_AFTER_US)
      continue;
    due++;
    served += served_share(job);
  }
  return due >= 1 ? served / due : 1;
}

guint sim_worst_class_percent(Sim *sim) {
  static const char *const classes[] = {"live",  "arrays", "long",  "huge",     "tiny",  "free",
                                        "bound", "whole",  "zoned", "together", "spread"};
  double worst = 1;
  for (guint i = 0; i < G_N_ELEMENTS(classes); i++) {
    double share = class_served_share(sim, classes[i]);
    worst = MIN(worst, share);
  }
  return (guint)(100 * worst);
}
