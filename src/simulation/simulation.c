/* The simulation's run: events, clocks, and what is checked all the time. */
#include "common/random.h"
#include "simulation/simulation_internal.h"

#define CLOCK_DRIFT 0.0005 /* the most that the protocol allows */
#define CLOCK_START_US G_USEC_PER_SEC
#define HEALED_MARGIN_S 0.01
#define DEFAULT_CONTROLLERS 3
#define DEFAULT_MACHINES 3
#define FIRST_BOOT_S 0.5
#define FIRST_CHECK_S 1.0
#define FIRST_JOB_S 1.0
#define FIRST_PIPELINE_S 5.0
#define FIRST_SPECIAL_JOB_S 15.0 /* best-effort, large and small jobs */
#define FIRST_FAULT_S 20.0

/* ------------------------------------------------------------------ events */

/* The event queue knows nothing of the simulation. */
typedef struct {
  SimEventFn fn;
  gpointer data;
} ScheduledEvent;

static void run_scheduled(gpointer owner, gpointer data) {
  ScheduledEvent event = *(ScheduledEvent *)data;
  g_free(data);
  event.fn(owner, event.data);
}

void sim_schedule(Sim *sim, double delay_s, SimEventFn fn, gpointer data) {
  ScheduledEvent *event = g_new0(ScheduledEvent, 1);
  *event = (ScheduledEvent){fn, data};
  sim->event_count++;
  fk_event_queue_add(sim->events, sim->now + (gint64)(delay_s * 1e6), run_scheduled, event);
}

gboolean sim_chance(Sim *sim, double probability) { return g_rand_double(sim->rand) < probability; }

double sim_uniform(Sim *sim, double from, double to) { return fk_random_uniform(sim->rand, from, to); }

void sim_violation(Sim *sim, const char *rule, const char *what) {
  if (!sim->result.violation)
    sim->result.violation = g_strdup_printf("%s: %s at %.3f s (seed %" G_GUINT64_FORMAT ")", rule, what,
                                            sim->now / 1e6, sim->plan.seed);
}

/* ------------------------------------------------------------------ clocks and zones */

/* The monotonic clocks drift apart: by all that is allowed, one fast and the next slow, or each a little more
 * than the one before. */
FkTime sim_controller_time(const Sim *sim, int controller, gint64 when) {
  double alternating = controller % 2 ? CLOCK_DRIFT : -CLOCK_DRIFT;
  double drift = sim->plan.clock_skew ? alternating : CLOCK_DRIFT * (controller - 1);
  return (FkTime){CLOCK_START_US + (gint64)((double)when * (1 + drift))};
}

FkTime sim_controller_now(Sim *sim, int controller) { return sim_controller_time(sim, controller, sim->now); }

gboolean sim_zones_partitioned(const Sim *sim, const char *a, const char *b) {
  return sim->now < sim->zone_partition_until &&
         (g_strcmp0(a, sim->partitioned_zone) == 0) != (g_strcmp0(b, sim->partitioned_zone) == 0);
}

double sim_partition_remaining_s(const Sim *sim) {
  return (double)(sim->zone_partition_until - sim->now) / 1e6 + HEALED_MARGIN_S;
}

gint64 sim_profile_begin(const Sim *sim) {
  return sim->machines_lost_at && sim->plan.clock_ns ? sim->plan.clock_ns() : 0;
}

void sim_profile_end(Sim *sim, gint64 began) {
  if (began)
    sim->core_ns += sim->plan.clock_ns() - began;
}

/* ------------------------------------------------------------------ the round of checks */

/* A task of a cancelled job must have stopped within the deadline, unless its machine hangs. */
static void check_task(Sim *sim, const SimWorker *worker, const FkWorkerTask *task) {
  const SimJob *job = sim_job_find(sim, task->job);
  if (!task->resident || !job->reported_cancelled)
    return;
  double ran_s = (double)(sim->now - job->cancelled_at) / 1e6;
  sim->result.cancel_stopped_max_s = MAX(sim->result.cancel_stopped_max_s, ran_s);
  if (sim->now > job->cancelled_at + (gint64)(sim->settings->cancellation_deadline_s * 1e6) &&
      !sim_worker_is_hung(sim, worker))
    sim_violation(sim, "ran_cancelled", task->job);
}

static void check_worker(Sim *sim, SimWorker *worker) {
  if (worker->gone || !worker->up)
    return;
  sim_worker_check_lease(sim, worker); /* a hung machine may resume within its lease, not after */
  for (guint i = 0; i < worker->model.tasks->len; i++)
    check_task(sim, worker, worker->model.tasks->pdata[i]);
}

static void tick(Sim *sim, gpointer unused) {
  if (sim->now >= sim->outage_until)
    fk_store_model_expire_leases(sim->store, sim->now);
  sim_store_notify_watches(sim);
  for (guint i = 0; i < sim->workers->len; i++)
    check_worker(sim, sim->workers->pdata[i]);
  sim_check_liveness(sim);
  sim_schedule(sim, SIM_TICK_S, tick, NULL);
}

/* ------------------------------------------------------------------ the run */

static Sim *sim_new(const FkSettings *settings, const SimPlan *plan) {
  Sim *sim = g_new0(Sim, 1);
  sim->settings = settings;
  sim->plan = *plan;
  sim->controller_count = plan->controllers ? (int)plan->controllers : DEFAULT_CONTROLLERS;
  sim->rand = g_rand_new_with_seed((guint32)plan->seed);
  sim->events = fk_event_queue_new(sim);
  sim->store = fk_store_model_new(0);
  sim->provisioned =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  sim->stale_heartbeats = g_ptr_array_new_with_free_func((GDestroyNotify)fk_heartbeat_free);
  sim->workers = g_ptr_array_new_with_free_func(sim_worker_free);
  sim->jobs = g_ptr_array_new_with_free_func(sim_job_free);
  sim->workers_by_id = g_hash_table_new(g_str_hash, g_str_equal);
  sim->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
  sim->calls = g_ptr_array_new();
  sim->watches = g_ptr_array_new();
  sim->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  sim->running_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return sim;
}

static void sim_free(Sim *sim) {
  sim_controllers_free(sim);
  for (guint i = 0; i < sim->calls->len; i++) {
    SimCall *call = sim->calls->pdata[i];
    call->version->output_free(call->output);
    g_free(call);
  }
  g_ptr_array_unref(sim->calls);
  g_ptr_array_unref(sim->watches);
  fk_event_queue_free(sim->events);
  g_hash_table_unref(sim->requests);
  g_hash_table_unref(sim->running_on);
  fk_store_model_free(sim->store);
  g_hash_table_unref(sim->provisioned);
  g_ptr_array_unref(sim->stale_heartbeats);
  g_hash_table_unref(sim->workers_by_id);
  g_hash_table_unref(sim->jobs_by_id);
  g_ptr_array_unref(sim->workers);
  g_ptr_array_unref(sim->jobs);
  g_rand_free(sim->rand);
  g_free(sim);
}

/* Every third machine is a spot machine in the south. */
static void boot_first_machines(Sim *sim) {
  for (guint i = 0; i < MAX(DEFAULT_MACHINES, sim->plan.up); i++)
    sim_worker_new(sim, i % 3 ? "north" : "south", i % 3 == 2, FIRST_BOOT_S);
}

/* Nothing but services, and the loss of a share of the machines. */
static void schedule_recovery(Sim *sim) {
  sim_submit_services(sim);
  sim_schedule(sim, sim->plan.loss_at_s, sim_lose_machines, NULL);
}

static void schedule_workload(Sim *sim) {
  const SimPlan *plan = &sim->plan;
  double first_pipeline_s = MAX(FIRST_PIPELINE_S, plan->pipelines_from_s);
  sim_schedule(sim, FIRST_JOB_S, sim_submit_jobs, NULL);
  if (plan->best_effort_teams)
    sim_schedule(sim, FIRST_SPECIAL_JOB_S, sim_submit_best_effort_jobs, NULL);
  if (plan->large_jobs)
    sim_schedule(sim, FIRST_SPECIAL_JOB_S, sim_submit_large_jobs, NULL);
  if (plan->pipelines_per_s > 0)
    sim_schedule(sim, first_pipeline_s, sim_submit_pipelines, NULL);
  if (plan->chain_length || plan->fan_out)
    sim_schedule(sim, first_pipeline_s, sim_submit_chain_and_fan, NULL);
  if (plan->small_jobs_per_s > 0)
    sim_schedule(sim, FIRST_SPECIAL_JOB_S, sim_submit_small_jobs, NULL);
  if (plan->zone_bound_jobs_per_s > 0)
    sim_schedule(sim, FIRST_SPECIAL_JOB_S, sim_submit_zone_bound_jobs, NULL);
}

static void schedule_faults(Sim *sim) {
  if (sim->plan.fault_count)
    sim_schedule_faults(sim);
  else
    sim_schedule(sim, FIRST_FAULT_S, sim_random_fault, NULL);
}

static guint count_keys(const Sim *sim, const char *prefix) {
  gboolean more;
  g_autoptr(GPtrArray) keys = fk_store_model_list(sim->store, prefix, NULL, G_MAXUINT, G_MAXSIZE, &more);
  return keys->len;
}

static void count_job(Sim *sim, const SimJob *job) {
  SimResult *result = &sim->result;
  result->done += job->reported_done;
  result->cancelled += job->reported_cancelled;
  result->dependents_done += job->dependencies && job->reported_done;
  result->dependents_cancelled += job->dependencies && job->reported_cancelled && !job->cancel_requested;
  if (job->accepted && job->shape != FK_SHAPE_SERVICE && !job->reported_done &&
      !sim_job_cancel_requested(job)) {
    result->unfinished++;
    g_message("unfinished: %s shape %d tasks %u", job->id, job->shape, job->tasks);
  }
}

static void count_results(Sim *sim) {
  for (guint i = 0; i < sim->jobs->len; i++)
    count_job(sim, sim->jobs->pdata[i]);
  sim->result.worst_class_percent = sim_worst_class_percent(sim);
  sim->result.live_jobs = count_keys(sim, "fk/l/j/");
  sim->result.live_keys = count_keys(sim, "fk/l/");
}

SimResult sim_run(const FkSettings *settings, const SimPlan *plan) {
  Sim *sim = sim_new(settings, plan);
  sim_controllers_start(sim);
  boot_first_machines(sim);
  sim_schedule(sim, FIRST_CHECK_S, tick, NULL);
  if (plan->services) {
    schedule_recovery(sim);
  } else {
    schedule_workload(sim);
    schedule_faults(sim);
  }
  while (sim->now < (gint64)(plan->seconds * 1e6) && !sim->result.violation && !sim->finished) {
    sim->now = fk_event_queue_next_due(sim->events);
    fk_event_queue_run_next(sim->events);
  }
  count_results(sim);
  SimResult result = sim->result;
  sim_free(sim);
  return result;
}
