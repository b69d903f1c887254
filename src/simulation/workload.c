/* The workload: which jobs are submitted, and when. */
#include "simulation/simulation_internal.h"

#define PIPELINE_STAGES 5
#define ZONE_BOUND_TASKS_MIN 45 /* more than a chunk of 1 KiB holds */
#define ZONE_BOUND_TASKS_MAX 70
#define ZONE_BOUND_SERVICE_SHARE 0.1
#define ZONE_BOUND_GANG_SHARE 0.1
#define ZONE_BOUND_SERVICE_S 40.0
#define ZONE_BOUND_FAILURE_CHANCE 0.05
#define INVALID_REQUEST_INTERVAL_S 0.5
#define BEST_EFFORT_ROUNDS 60 /* of a second */

/* Recurrent submissions end with the time in which faults are injected, or at the plan's time. */
static gboolean submission_continues(const Sim *sim) {
  double until_s =
      sim->plan.submit_until_s > 0 ? sim->plan.submit_until_s : sim->plan.seconds * SIM_FAULTS_SHARE;
  return sim->now < (gint64)(until_s * 1e6);
}

/* A job with the next id. */
static SimJob *new_job(Sim *sim) {
  SimJob *job = g_new0(SimJob, 1);
  job->id = g_strdup_printf("run-%06u", sim->result.submitted++);
  g_ptr_array_add(sim->jobs, job);
  g_hash_table_insert(sim->jobs_by_id, job->id, job);
  return job;
}

/* One service a machine. */
void sim_submit_services(Sim *sim) {
  for (guint i = 0; i < sim->plan.services; i++) {
    SimJob *job = new_job(sim);
    job->team = g_strdup(i % 2 ? "red" : "blue");
    job->class_name = "live";
    job->priority = FK_JOB_PRIORITY_HIGH;
    job->shape = FK_SHAPE_SERVICE;
    job->tasks = 1;
    job->cpus = SIM_MACHINE_CPUS;
    job->finished = g_new0(guint8, 1);
    sim_schedule(sim, sim_uniform(sim, 1, 0.6 * sim->plan.loss_at_s), sim_user_submit_only, job);
  }
}

/* The usual mix: services, gangs and arrays of all placements. */
void sim_submit_jobs(Sim *sim, gpointer data) {
  SimJob *job = new_job(sim);
  job->team = g_strdup(sim_chance(sim, 0.5) ? "red" : "blue");
  job->shape = sim_chance(sim, 0.15)                     ? FK_SHAPE_SERVICE
               : sim->plan.gangs && sim_chance(sim, 0.2) ? FK_SHAPE_GANG
                                                         : FK_SHAPE_ARRAY;
  job->tasks =
      (guint32)(job->shape == FK_SHAPE_ARRAY ? g_rand_int_range(sim->rand, 1, sim_chance(sim, 0.1) ? 40 : 6)
                                             : g_rand_int_range(sim->rand, 1, 4));
  job->cpus = sim_chance(sim, 0.5) ? 2 : 4;
  job->spot = job->shape != FK_SHAPE_SERVICE && sim_chance(sim, 0.7);
  job->zone = sim_chance(sim, 0.1) ? g_strdup("south") : NULL;
  job->one_zone = sim_chance(sim, 0.15);
  job->spread = !job->one_zone && !job->zone && sim_chance(sim, 0.1);
  job->run_s = sim->plan.run_s > 0 ? sim->plan.run_s : sim_uniform(sim, 1, 15);
  job->priority = job->shape == FK_SHAPE_SERVICE ? FK_JOB_PRIORITY_HIGH : FK_JOB_PRIORITY_NORMAL;
  job->class_name = job->shape == FK_SHAPE_SERVICE ? "live"
                    : job->shape == FK_SHAPE_GANG  ? "gangs"
                                                   : "arrays";
  job->always_fails = job->shape == FK_SHAPE_ARRAY && sim->plan.failing_job_chance > 0 &&
                      sim_chance(sim, sim->plan.failing_job_chance);
  job->finished = g_new0(guint8, job->tasks);
  sim_user_step(sim, job);
  if (submission_continues(sim))
    sim_schedule(sim, sim_uniform(sim, 0.5, 6) / (sim->plan.scale > 0 ? sim->plan.scale : 1), sim_submit_jobs,
                 NULL);
}

/* Jobs that are hard to place: a whole machine for each task, in one zone, spread over both, a gang, one with
 * many tasks. Small ones fill every gap beside them. */
void sim_submit_large_jobs(Sim *sim, gpointer data) {
  static const struct {
    FkShape shape;
    guint32 tasks;
    double cpus;
    gboolean one_zone, spread, in_zone;
    const char *class_name;
  } kinds[] = {{FK_SHAPE_ARRAY, 6, 8, FALSE, FALSE, FALSE, "whole"},
               {FK_SHAPE_ARRAY, 4, 8, FALSE, FALSE, TRUE, "zoned"},
               {FK_SHAPE_ARRAY, 4, 8, TRUE, FALSE, FALSE, "together"},
               {FK_SHAPE_ARRAY, 4, 8, FALSE, TRUE, FALSE, "spread"},
               {FK_SHAPE_GANG, 3, 8, FALSE, FALSE, FALSE, "gangs"},
               {FK_SHAPE_ARRAY, 120, 4, FALSE, FALSE, FALSE, "arrays"}};
  for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
    SimJob *job = new_job(sim);
    job->team = g_strdup(i % 2 ? "red" : "blue");
    job->shape = kinds[i].shape;
    job->tasks = kinds[i].tasks;
    job->cpus = kinds[i].cpus;
    job->one_zone = kinds[i].one_zone;
    job->spread = kinds[i].spread;
    job->zone = kinds[i].in_zone ? g_strdup("south") : NULL;
    job->class_name = kinds[i].class_name;
    job->priority = FK_JOB_PRIORITY_NORMAL;
    job->spot = TRUE;
    job->large = TRUE;
    job->run_s = 10;
    job->finished = g_new0(guint8, job->tasks);
    sim_user_step(sim, job);
  }
}

/* Repeats of known jobs, and jobs that can never run: too many CPUs, an unknown team, an unknown zone, too
 * many tasks, an unknown dependency. */
void sim_submit_invalid_requests(Sim *sim, gpointer data) {
  if (sim->now >= sim->invalid_requests_until)
    return;
  SimJob *job =
      sim->jobs->len ? sim->jobs->pdata[g_rand_int_range(sim->rand, 0, (gint)sim->jobs->len)] : NULL;
  if (job && job->accepted && !job->reported_done)
    sim_user_query(sim, job, SIM_QUERY_SUBMIT);
  else if (job && job->reported_done)
    sim_user_query(sim, job, SIM_QUERY_CANCEL); /* of what is done: it stays done */
  job = new_job(sim);
  guint kind = (guint)g_rand_int_range(
      sim->rand, 0,
      sim->plan.pipelines_per_s > 0 && sim->now >= (gint64)(sim->plan.pipelines_from_s * 1e6) ? 5 : 4);
  job->impossible = TRUE;
  job->team = g_strdup(kind == 1 ? "nobody" : "red");
  job->class_name = "odd";
  job->priority = FK_JOB_PRIORITY_NORMAL;
  job->shape = kind == 3 ? FK_SHAPE_SERVICE : FK_SHAPE_ARRAY;
  job->tasks = kind == 3 ? 100000 : 1;
  job->cpus = kind == 0 ? 8.5 : 1;
  job->zone = kind == 2 ? g_strdup("nowhere") : NULL;
  job->unknown_dependency = kind == 4 ? "run-999998" : NULL;
  job->finished = g_new0(guint8, job->tasks);
  sim_user_query(sim, job, SIM_QUERY_SUBMIT);
  sim_schedule(sim, INVALID_REQUEST_INTERVAL_S, sim_submit_invalid_requests, NULL);
}

/* One-task jobs, so many a second for as long as jobs are submitted; a quarter of them is cancelled, at any
 * time or at the moment of the end. */
void sim_submit_small_jobs(Sim *sim, gpointer data) {
  SimJob *job = new_job(sim);
  job->team = g_strdup(sim_chance(sim, 0.5) ? "red" : "blue");
  job->class_name = "tiny";
  job->priority = FK_JOB_PRIORITY_NORMAL;
  job->shape = FK_SHAPE_ARRAY;
  job->tasks = 1;
  job->cpus = 0.5;
  job->spot = TRUE;
  job->run_s = sim_uniform(sim, 1, 15);
  job->finished = g_new0(guint8, 1);
  sim_user_step(sim, job);
  if (sim->plan.cancels && sim_chance(sim, 0.25))
    sim_schedule(sim, sim_uniform(sim, 0.05, 1.5 * job->run_s), sim_user_cancel, job);
  if (submission_continues(sim))
    sim_schedule(sim, 1 / sim->plan.small_jobs_per_s, sim_submit_small_jobs, NULL);
}

/* Arrays, and now and then a service or a gang, whose tasks' zones depend on one another. All have more tasks
 * than fit into one chunk. Few run at once, so that a job often has nothing running in the zone that it began
 * in. */
void sim_submit_zone_bound_jobs(Sim *sim, gpointer data) {
  SimJob *job = new_job(sim);
  double kind = sim_uniform(sim, 0, 1);
  job->team = g_strdup(sim_chance(sim, 0.5) ? "red" : "blue");
  job->shape = kind < ZONE_BOUND_SERVICE_SHARE                           ? FK_SHAPE_SERVICE
               : kind < ZONE_BOUND_SERVICE_SHARE + ZONE_BOUND_GANG_SHARE ? FK_SHAPE_GANG
                                                                         : FK_SHAPE_ARRAY;
  job->class_name = "zone_bound";
  job->priority = job->shape == FK_SHAPE_SERVICE ? FK_JOB_PRIORITY_HIGH : FK_JOB_PRIORITY_NORMAL;
  job->tasks = (guint32)g_rand_int_range(sim->rand, ZONE_BOUND_TASKS_MIN, ZONE_BOUND_TASKS_MAX);
  job->cpus = job->shape == FK_SHAPE_ARRAY ? SIM_MACHINE_CPUS / 2 : SIM_MACHINE_CPUS / 32;
  job->one_zone = sim_chance(sim, 0.7);
  job->spread = !job->one_zone;
  job->spot = TRUE;
  job->run_s = sim_uniform(sim, 0.3, 1.5);
  job->attempt_failure_chance = job->shape == FK_SHAPE_ARRAY ? ZONE_BOUND_FAILURE_CHANCE : 0;
  job->finished = g_new0(guint8, job->tasks);
  sim_user_step(sim, job);
  if (job->shape == FK_SHAPE_SERVICE)
    sim_schedule(sim, ZONE_BOUND_SERVICE_S, sim_user_cancel, job);
  if (submission_continues(sim))
    sim_schedule(sim, 1 / sim->plan.zone_bound_jobs_per_s, sim_submit_zone_bound_jobs, NULL);
}

/* An array job of one CPU a task. Takes `dependencies`. */
static SimJob *new_stage(Sim *sim, const char *class_name, guint32 tasks, double run_s,
                         FkJobPriority priority, GPtrArray *dependencies) {
  SimJob *job = new_job(sim);
  job->team = g_strdup(sim_chance(sim, 0.5) ? "red" : "blue");
  job->class_name = class_name;
  job->priority = priority;
  job->shape = FK_SHAPE_ARRAY;
  job->tasks = tasks;
  job->cpus = 1;
  job->spot = TRUE;
  job->run_s = run_s;
  job->dependencies = dependencies;
  job->finished = g_new0(guint8, tasks);
  return job;
}

/* `b` may be NULL. */
static GPtrArray *job_list(SimJob *a, SimJob *b) {
  GPtrArray *list = g_ptr_array_new();
  g_ptr_array_add(list, a);
  if (b)
    g_ptr_array_add(list, b);
  return list;
}

/* A pipeline: first -> two wide ones -> third -> last, which depends on the first as well. Sometimes the
 * first depends on an earlier job. */
void sim_submit_pipelines(Sim *sim, gpointer data) {
  SimJob *earlier =
      sim->jobs->len ? sim->jobs->pdata[g_rand_int_range(sim->rand, 0, (gint)sim->jobs->len)] : NULL;
  if (earlier && (earlier->shape != FK_SHAPE_ARRAY || earlier->impossible || !sim_chance(sim, 0.4)))
    earlier = NULL;
  SimJob *stages[PIPELINE_STAGES];
  stages[0] = new_stage(sim, "first", 3, sim_uniform(sim, 1, 6), FK_JOB_PRIORITY_LOW,
                        earlier ? job_list(earlier, NULL) : NULL);
  stages[1] =
      new_stage(sim, "wide", 12, sim_uniform(sim, 2, 8), FK_JOB_PRIORITY_LOW, job_list(stages[0], NULL));
  stages[2] =
      new_stage(sim, "wide", 6, sim_uniform(sim, 2, 8), FK_JOB_PRIORITY_LOW, job_list(stages[0], NULL));
  stages[3] = new_stage(sim, "third", 2, sim_uniform(sim, 1, 6), FK_JOB_PRIORITY_NORMAL,
                        job_list(stages[1], stages[2]));
  stages[4] =
      new_stage(sim, "last", 2, sim_uniform(sim, 1, 4), FK_JOB_PRIORITY_HIGH, job_list(stages[0], stages[3]));
  stages[4]->submit_after_dependencies = sim_chance(sim, 0.15);
  for (guint i = 0; i < PIPELINE_STAGES; i++)
    sim_user_step(sim, stages[i]);
  if (sim_chance(sim, 0.2)) {
    SimJob *cancelled = stages[g_rand_int_range(sim->rand, 0, PIPELINE_STAGES)];
    sim_schedule(sim, sim_uniform(sim, 0.2, 40), sim_user_cancel, cancelled);
  }
  if (submission_continues(sim))
    sim_schedule(sim, sim_uniform(sim, 0.5, 1.5) / sim->plan.pipelines_per_s, sim_submit_pipelines, NULL);
}

/* A chain, in which each job depends on the one before it, and a fan of jobs that depend on one. */
void sim_submit_chain_and_fan(Sim *sim, gpointer data) {
  SimJob *last = NULL;
  for (guint i = 0; i < sim->plan.chain_length; i++) {
    SimJob *job =
        new_stage(sim, "deep", 1, i ? 1 : 60, FK_JOB_PRIORITY_NORMAL, last ? job_list(last, NULL) : NULL);
    sim_user_step(sim, job);
    if (!i && sim->plan.cancel_chain_at_s > 0)
      sim_schedule(sim, sim->plan.cancel_chain_at_s - 5, sim_user_cancel, job);
    last = job;
  }
  SimJob *first = sim->plan.fan_out ? new_stage(sim, "deep", 1, 60, FK_JOB_PRIORITY_NORMAL, NULL) : NULL;
  if (first) {
    sim_user_step(sim, first);
    if (sim->plan.cancel_chain_at_s > 0)
      sim_schedule(sim, sim->plan.cancel_chain_at_s - 5, sim_user_cancel, first);
  }
  for (guint i = 0; i < sim->plan.fan_out; i++) {
    SimJob *job = new_stage(sim, "deep", 1, 2, FK_JOB_PRIORITY_NORMAL, job_list(first, NULL));
    sim_schedule(sim, sim_uniform(sim, 0, 0.02 * sim->plan.fan_out), sim_user_step, job);
  }
}

/* Best-effort work: none of it is guaranteed any capacity, and all of it is to be served. */
static void submit_best_effort_job(Sim *sim, const char *team, const char *class_name, guint32 tasks,
                                   double cpus, double run_s) {
  SimJob *job = new_job(sim);
  job->team = g_strdup(team);
  job->class_name = class_name;
  job->priority = FK_JOB_PRIORITY_LOW;
  job->shape = FK_SHAPE_ARRAY;
  job->tasks = tasks;
  job->cpus = cpus;
  job->spot = TRUE;
  job->run_s = run_s;
  job->finished = g_new0(guint8, tasks);
  sim_user_step(sim, job);
}

void sim_submit_best_effort_jobs(Sim *sim, gpointer data) {
  guint round = GPOINTER_TO_UINT(data);
  if (!round)
    submit_best_effort_job(sim, "guest", "long", 60, 2, 40);
  if (round == 5) {
    submit_best_effort_job(sim, "unlimited", "free", 30, 2, 10);
    submit_best_effort_job(sim, "borrower", "bound", 30, 2, 10);
  }
  if (round == 10)
    submit_best_effort_job(sim, "guest", "huge", 400, 0.25, 2);
  if (round >= 20 && round < BEST_EFFORT_ROUNDS)
    submit_best_effort_job(sim, "guest", "tiny", 1, 0.25, 10);
  if (round < BEST_EFFORT_ROUNDS)
    sim_schedule(sim, 1, sim_submit_best_effort_jobs, GUINT_TO_POINTER(round + 1));
}
