#include "simulation/scale/simulated_workers.h"

#include "common/random.h"
#include "simulation/scale/addresses.h"
#include "simulation/scale/workload.h"

#define HTTP_CALLS_MAX 4000
#define ANSWER_BYTES_MAX (1 << 20)
#define INITIAL_BOOT_S_MAX 5.0 /* workers of the start are up by then */
#define INITIAL_AGE_S 60.0     /* of the workers of the start, as the cloud lists them */
#define CACHED_IMAGE_FETCH_S 0.02
#define RESTART_S_MIN 1
#define RESTART_S_MAX 5
#define QUICK_RESTART_S_MIN 0.05
#define QUICK_RESTART_S_MAX 0.5

static gint64 now_plus(double delay_s) { return g_get_monotonic_time() + (gint64)(delay_s * 1e6); }

void fk_simulated_workers_schedule(FkSimulatedWorkers *workers, double delay_s, FkEventQueueFn fn,
                                   gpointer data) {
  fk_event_queue_add(workers->event_queue, now_plus(delay_s), fn, data);
}

const FkSpec *fk_simulated_workers_spec(FkSimulatedWorkers *workers, const char *job) {
  FkSpec *spec = g_hash_table_lookup(workers->specs, job);
  if (!spec && (spec = fk_scale_job(workers->plan, job)))
    g_hash_table_insert(workers->specs, spec->id, spec);
  return spec;
}

/* ------------------------------------------------------------------ events of one boot */

typedef struct {
  FkSimulatedWorker *worker;
  guint boots;
} BootEvent;

static void schedule_for_boot(FkSimulatedWorkers *workers, FkSimulatedWorker *worker, gint64 at_us,
                              FkEventQueueFn fn) {
  BootEvent *event = g_new0(BootEvent, 1);
  *event = (BootEvent){worker, worker->boots};
  fk_event_queue_add(workers->event_queue, at_us, fn, event);
}

static gboolean boot_event_is_void(const BootEvent *event) {
  return event->worker->terminated || event->worker->boots != event->boots;
}

/* ------------------------------------------------------------------ leases */

static gint64 lease_end_us(const FkSimulatedWorkers *workers, const FkSimulatedWorker *worker) {
  return worker->model.lease_start + (gint64)(workers->plan->lease_s * 1e6);
}

gboolean fk_simulated_workers_check_lease(FkSimulatedWorkers *workers, FkSimulatedWorker *worker,
                                          gint64 now) {
  if (!worker->up || worker->remote)
    return FALSE;
  workers->release_time_us = lease_end_us(workers, worker);
  gboolean expired =
      fk_worker_model_check_lease(&worker->model, &workers->model_hooks, now, workers->plan->lease_s);
  workers->release_time_us = 0;
  fk_metrics_log_add(workers->metrics, "leases_ended", expired);
  return expired;
}

/* As above; a heartbeat soon reports the next incarnation. */
static void check_lease_and_report(FkSimulatedWorkers *workers, FkSimulatedWorker *worker, gint64 now) {
  if (fk_simulated_workers_check_lease(workers, worker, now))
    workers->hooks.on_state_changed(workers, worker);
}

static void on_lease_timer(gpointer owner, gpointer data);

/* The lease is valid up to and including its end: the timer is due right after. */
static void start_lease_timer(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  schedule_for_boot(workers, worker, lease_end_us(workers, worker) + 1, on_lease_timer);
}

/* When the lease was renewed meanwhile, the timer is set to its new end. */
static void on_lease_timer(gpointer owner, gpointer data) {
  FkSimulatedWorkers *workers = owner;
  g_autofree BootEvent *event = data;
  if (boot_event_is_void(event))
    return;
  check_lease_and_report(workers, event->worker, g_get_monotonic_time());
  start_lease_timer(workers, event->worker);
}

/* ------------------------------------------------------------------ tasks */

typedef struct {
  FkSimulatedWorker *worker;
  guint64 serial;
} TaskEvent;

static void schedule_for_task(FkSimulatedWorkers *workers, FkSimulatedWorker *worker, guint64 serial,
                              double delay_s, FkEventQueueFn fn) {
  TaskEvent *event = g_new0(TaskEvent, 1);
  *event = (TaskEvent){worker, serial};
  fk_simulated_workers_schedule(workers, delay_s, fn, event);
}

/* NULL when the task has exited or was released. */
static FkWorkerTask *task_of_event(const TaskEvent *event) {
  FkSimulatedWorker *worker = event->worker;
  FkWorkerTask *task = worker->terminated ? NULL : fk_worker_model_task(&worker->model, event->serial);
  return task && task->state != FK_TASK_EXITED ? task : NULL;
}

static char *task_key(const FkWorkerTask *task) { return g_strdup_printf("%s/%u", task->job, task->task); }

static void on_task_done(gpointer owner, gpointer data) {
  FkSimulatedWorkers *workers = owner;
  g_autofree TaskEvent *event = data;
  FkSimulatedWorker *worker = event->worker;
  gint64 now = g_get_monotonic_time();
  check_lease_and_report(workers, worker, now);
  FkWorkerTask *task = task_of_event(event);
  if (!task)
    return;
  g_hash_table_add(workers->finished_tasks, task_key(task));
  fk_event_log_add_at(workers->events, now, FK_RUN_EVENT_TASK_DONE, task->job, task->task, worker->model.id);
  fk_metrics_log_add(workers->metrics, "ended", 1);
  task->resident = FALSE; /* its end is logged here, not by on_task_released */
  task->state = FK_TASK_EXITED;
  task->exit_reason = FK_EXIT_DONE;
  workers->hooks.on_state_changed(workers, worker);
}

static void on_image_fetched(gpointer owner, gpointer data) {
  FkSimulatedWorkers *workers = owner;
  g_autofree TaskEvent *event = data;
  FkSimulatedWorker *worker = event->worker;
  gint64 now = g_get_monotonic_time();
  check_lease_and_report(workers, worker, now);
  FkWorkerTask *task = task_of_event(event);
  if (!task)
    return;
  const FkSpec *spec = fk_simulated_workers_spec(workers, task->job);
  g_autofree char *key = task_key(task);
  g_hash_table_add(worker->images, g_strdup(spec->image));
  task->state = FK_TASK_RUNNING;
  task->resident = TRUE;
  fk_event_log_add_at(workers->events, now, FK_RUN_EVENT_TASK_STARTED, task->job, task->task,
                      worker->model.id);
  fk_metrics_log_add(workers->metrics, "began", 1);
  gboolean finished_before = g_hash_table_contains(workers->finished_tasks, key);
  double run_s = finished_before ? 0 : fk_scale_task_run_s(workers->plan, spec, task->task);
  schedule_for_task(workers, worker, task->serial, run_s, on_task_done);
  workers->hooks.on_state_changed(workers, worker);
}

static double job_cpus(gpointer owner, const char *job) {
  const FkSpec *spec = fk_simulated_workers_spec(owner, job);
  return spec ? spec->cpus : -1;
}

static void on_task_accepted(gpointer owner, FkWorkerModel *model, FkWorkerTask *task) {
  FkSimulatedWorker *worker = (FkSimulatedWorker *)model;
  const FkSpec *spec = fk_simulated_workers_spec(owner, task->job);
  gboolean cached = g_hash_table_contains(worker->images, spec->image);
  double fetch_s = cached ? CACHED_IMAGE_FETCH_S : spec->image_gb;
  schedule_for_task(owner, worker, task->serial, fetch_s, on_image_fetched);
}

static void on_task_released(gpointer owner, FkWorkerModel *model, FkWorkerTask *task) {
  FkSimulatedWorkers *workers = owner;
  gint64 at_us = workers->release_time_us ? workers->release_time_us : g_get_monotonic_time();
  fk_event_log_add_at(workers->events, at_us, FK_RUN_EVENT_TASK_LOST, task->job, task->task, model->id);
  fk_metrics_log_add(workers->metrics, "left", 1);
}

/* ------------------------------------------------------------------ machines */

static void on_boot(gpointer owner, gpointer data) {
  FkSimulatedWorkers *workers = owner;
  g_autofree BootEvent *event = data;
  FkSimulatedWorker *worker = event->worker;
  if (boot_event_is_void(event))
    return;
  if (worker->remote) {
    worker->up = TRUE;
    return;
  }
  g_autoptr(GError) error = NULL;
  if (worker->listener < 0)
    worker->listener = fk_stand_in_listener_add(workers->listener, worker->model.addr, &error);
  if (worker->listener < 0) {
    g_warning("worker listen failed worker=%s error=%s", worker->model.id, error->message);
    return;
  }
  worker->up = TRUE;
  worker->model.lease_start = g_get_monotonic_time();
  start_lease_timer(workers, worker);
  workers->hooks.on_booted(workers, worker);
}

static void schedule_boot(FkSimulatedWorkers *workers, FkSimulatedWorker *worker, double delay_s) {
  schedule_for_boot(workers, worker, now_plus(delay_s), on_boot);
}

FkSimulatedWorker *fk_simulated_workers_boot(FkSimulatedWorkers *workers, const char *zone, gboolean spot,
                                             double boot_s) {
  guint controllers = fk_scale_region_controllers(workers->plan, workers->region);
  FkSimulatedWorker *worker = g_new0(FkSimulatedWorker, 1);
  worker->number = workers->all->len;
  worker->listener = -1;
  worker->created_us = g_get_monotonic_time();
  worker->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  worker->controller = (guint)g_rand_int_range(workers->rand, 0, (gint32)controllers);
  g_autofree char *id = g_strdup_printf("i-%u%05u", workers->region + 1, worker->number),
                  *addr = fk_scale_worker_addr(workers->plan, workers->region, worker->number);
  fk_worker_model_init(&worker->model, id, addr, FK_SCALE_INSTANCE_TYPE, zone, spot,
                       fk_scale_worker_cpus(workers->plan));
  g_ptr_array_add(workers->all, worker);
  g_hash_table_insert(workers->by_addr, worker->model.addr, worker);
  schedule_boot(workers, worker, boot_s);
  return worker;
}

/* The machine is down: its tasks are lost, its address is closed and its heartbeats are void. */
static void shut_down(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  fk_simulated_workers_check_lease(workers, worker, g_get_monotonic_time());
  fk_worker_model_clear_tasks(&worker->model, &workers->model_hooks);
  worker->up = FALSE;
  worker->heartbeat_id = ++workers->last_serial;
  fk_stand_in_listener_remove(worker->listener);
  worker->listener = -1;
}

void fk_simulated_workers_terminate(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  if (worker->terminated)
    return;
  shut_down(workers, worker);
  worker->terminated = TRUE;
}

void fk_simulated_workers_fail(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  if (worker->terminated)
    return;
  fk_metrics_log_add(workers->metrics, "died", !worker->remote);
  worker->failed_us = g_get_monotonic_time();
  fk_simulated_workers_terminate(workers, worker);
}

static void restart(FkSimulatedWorkers *workers, FkSimulatedWorker *worker, double back_s) {
  fk_metrics_log_add(workers->metrics, "restarted", !worker->remote);
  shut_down(workers, worker);
  worker->boots++;
  worker->model.incarnation = 1;
  worker->model.sequence = worker->model.fencing_token = 0;
  g_hash_table_remove_all(worker->images);
  schedule_boot(workers, worker, back_s);
}

void fk_simulated_workers_restart(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  if (worker->terminated || !worker->up)
    return;
  worker->gets_copies = FALSE;
  restart(workers, worker, fk_random_uniform(workers->rand, RESTART_S_MIN, RESTART_S_MAX));
}

void fk_simulated_workers_restart_at_once(FkSimulatedWorkers *workers, FkSimulatedWorker *worker) {
  if (worker->terminated || !worker->up)
    return;
  worker->gets_copies = TRUE;
  restart(workers, worker, fk_random_uniform(workers->rand, QUICK_RESTART_S_MIN, QUICK_RESTART_S_MAX));
}

guint fk_simulated_workers_count(const FkSimulatedWorkers *workers) {
  guint count = 0;
  for (guint i = 0; i < workers->all->len; i++)
    count += !((FkSimulatedWorker *)workers->all->pdata[i])->terminated;
  return count;
}

/* ------------------------------------------------------------------ all workers of the process */

void fk_simulated_workers_sample(FkSimulatedWorkers *workers) {
  guint up = 0, running = 0, fetching = 0, exited = 0;
  for (guint i = 0; i < workers->all->len; i++) {
    const FkSimulatedWorker *worker = workers->all->pdata[i];
    up += worker->up && !worker->remote;
    for (guint k = 0; k < worker->model.tasks->len; k++) {
      const FkWorkerTask *task = worker->model.tasks->pdata[k];
      running += task->resident;
      fetching += task->state == FK_TASK_FETCHING;
      exited += task->state == FK_TASK_EXITED;
    }
  }
  fk_metrics_log_set(workers->metrics, "up", up);
  fk_metrics_log_set(workers->metrics, "running", running);
  fk_metrics_log_set(workers->metrics, "fetching", fetching);
  fk_metrics_log_set(workers->metrics, "exited", exited);
}

void fk_simulated_workers_boot_initial(FkSimulatedWorkers *workers) {
  const FkScalePlan *plan = workers->plan;
  guint zones = fk_scale_region_zones(plan, workers->region);
  for (guint i = 0; i < fk_scale_region_workers(plan, workers->region); i++) {
    g_autofree char *zone = fk_scale_zone(workers->region, i % zones);
    double boot_s = fk_random_uniform(workers->rand, 0, INITIAL_BOOT_S_MAX);
    FkSimulatedWorker *worker = fk_simulated_workers_boot(workers, zone, FALSE, boot_s);
    worker->remote = i % plan->worker_processes != workers->process;
    worker->created_us -= (gint64)(INITIAL_AGE_S * 1e6);
  }
}

gboolean fk_simulated_workers_open(FkSimulatedWorkers *workers, const FkScalePlan *plan, guint region,
                                   guint process, GError **error) {
  g_autofree char *name = fk_scale_worker_process_name(region, process);
  *workers = (FkSimulatedWorkers){.plan = plan, .region = region, .process = process};
  workers->rand = g_rand_new_with_seed((guint32)(plan->seed * 1000 + region));
  workers->fault_rand = g_rand_new_with_seed((guint32)(plan->seed * 1000 + region + 500));
  workers->event_queue = fk_event_queue_new(workers);
  workers->http = fk_http_client_new_for_many_hosts(HTTP_CALLS_MAX, ANSWER_BYTES_MAX);
  workers->all = g_ptr_array_new();
  workers->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
  workers->specs = g_hash_table_new(g_str_hash, g_str_equal);
  workers->finished_tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  workers->model_hooks =
      (FkWorkerHooks){job_cpus, on_task_accepted, on_task_released, workers, &workers->last_serial};
  workers->metrics = fk_metrics_log_new(plan->output_dir, name, plan->start_us, 0, error);
  workers->events = workers->metrics ? fk_event_log_new(plan->output_dir, name, error) : NULL;
  return workers->events != NULL;
}

void fk_simulated_workers_close(FkSimulatedWorkers *workers) {
  for (guint i = 0; i < workers->all->len; i++) /* answers that still arrive are void */
    ((FkSimulatedWorker *)workers->all->pdata[i])->heartbeat_id = ++workers->last_serial;
  fk_event_queue_clear(workers->event_queue, g_free);
  g_clear_pointer(&workers->event_queue, fk_event_queue_free);
  g_clear_pointer(&workers->events, fk_event_log_free);
  g_clear_pointer(&workers->metrics, fk_metrics_log_free);
}
