#include "simulation/scale/addresses.h"
#include "simulation/scale/worker_stand_in.h"
#include "simulation/scale/workload.h"

#include "simulation/scale/simulated_workers.h"

#define CALLS_MOST 4000
#define ANSWER_MOST (1 << 20)
#define UP_WITHIN_S 5.0 /* of the beginning: machines that are there from the start */
#define LISTED_BEFORE_S 60.0
#define FETCHED_S 0.02 /* an image that is at hand */
#define RACK 40
#define RESTART_SHARE 0.951           /* 1,700 restarts for 88 failures a day */
#define CHURN_A_DAY (1788.0 / 7600.0) /* a machine */

void fk_simulated_workers_schedule(FkSimulatedWorkers *f, double seconds, FkEventQueueFn fn, gpointer data) {
  fk_event_queue_add(f->agenda, g_get_monotonic_time() + (gint64)(seconds * 1e6), fn, data);
}

const FkSpec *fk_simulated_workers_spec(FkSimulatedWorkers *f, const char *job) {
  FkSpec *s = g_hash_table_lookup(f->specs, job);
  if (!s && (s = fk_scale_job(f->plan, job)))
    g_hash_table_insert(f->specs, s->id, s);
  return s;
}

/* ------------------------------------------------------------------ leases */

static gint64 lease_us(const FkSimulatedWorkers *f) { return (gint64)(f->plan->lease_s * 1e6); }

gboolean fk_simulated_workers_check_lease(FkSimulatedWorkers *f, FkSimulatedWorker *m, gint64 now) {
  if (!m->up || m->elsewhere)
    return FALSE;
  f->left_us = m->model.lease_start + lease_us(f);
  gboolean ended = fk_worker_model_check_lease(&m->model, &f->hooks, now, f->plan->lease_s);
  f->left_us = 0;
  fk_metrics_log_add(f->series, "leases_ended", ended);
  return ended;
}

/* As above; a report tells of the next session soon. */
static void look_at_lease(FkSimulatedWorkers *f, FkSimulatedWorker *m, gint64 now) {
  if (fk_simulated_workers_check_lease(f, m, now))
    fk_heartbeats_state_changed(f, m);
}

/* What is planned for one life of a machine. */
typedef struct {
  FkSimulatedWorker *machine;
  guint life;
} Life;

static void plan_life(FkSimulatedWorkers *f, FkSimulatedWorker *m, gint64 at, FkEventQueueFn fn) {
  Life *l = g_new0(Life, 1);
  *l = (Life){m, m->life};
  fk_event_queue_add(f->agenda, at, fn, l);
}

static void lease_is_due(gpointer fleet, gpointer data);

/* The lease stands until its end, and is over right after. */
static void watch_lease(FkSimulatedWorkers *f, FkSimulatedWorker *m) {
  plan_life(f, m, m->model.lease_start + lease_us(f) + 1, lease_is_due);
}

/* Where it was renewed meanwhile, its new end is waited for. */
static void lease_is_due(gpointer fleet, gpointer data) {
  FkSimulatedWorkers *f = fleet;
  g_autofree Life *l = data;
  FkSimulatedWorker *m = l->machine;
  if (m->gone || m->life != l->life)
    return;
  look_at_lease(f, m, g_get_monotonic_time());
  watch_lease(f, m);
}

/* ------------------------------------------------------------------ tasks */

typedef struct {
  FkSimulatedWorker *machine;
  guint64 serial;
} Step;

static void schedule(FkSimulatedWorkers *f, FkSimulatedWorker *m, guint64 serial, double seconds,
                     FkEventQueueFn fn) {
  Step *s = g_new0(Step, 1);
  *s = (Step){m, serial};
  fk_simulated_workers_schedule(f, seconds, fn, s);
}

/* The task that the step is about; NULL: it is no more. */
static FkWorkerTask *task_of(const Step *s) {
  FkWorkerTask *t = s->machine->gone ? NULL : fk_worker_model_task(&s->machine->model, s->serial);
  return t && t->state != FK_TASK_EXITED ? t : NULL;
}

static char *task_key(const FkWorkerTask *t) { return g_strdup_printf("%s/%u", t->job, t->task); }

static void task_ends(gpointer fleet, gpointer data) {
  FkSimulatedWorkers *f = fleet;
  g_autofree Step *s = data;
  gint64 now = g_get_monotonic_time();
  look_at_lease(f, s->machine, now);
  FkWorkerTask *t = task_of(s);
  if (!t)
    return;
  g_hash_table_add(f->finished, task_key(t));
  fk_event_log_add_at(f->events, now, FK_RUN_EVENT_TASK_DONE, t->job, t->task, s->machine->model.id);
  fk_metrics_log_add(f->series, "ended", 1);
  t->resident = FALSE; /* told already */
  t->state = FK_TASK_EXITED;
  t->exit_reason = FK_EXIT_DONE;
  fk_heartbeats_state_changed(f, s->machine);
}

static void task_begins(gpointer fleet, gpointer data) {
  FkSimulatedWorkers *f = fleet;
  g_autofree Step *s = data;
  gint64 now = g_get_monotonic_time();
  look_at_lease(f, s->machine, now);
  FkWorkerTask *t = task_of(s);
  if (!t)
    return;
  const FkSpec *spec = fk_simulated_workers_spec(f, t->job);
  g_autofree char *key = task_key(t);
  g_hash_table_add(s->machine->images, g_strdup(spec->image));
  t->state = FK_TASK_RUNNING;
  t->resident = TRUE;
  fk_event_log_add_at(f->events, now, FK_RUN_EVENT_TASK_STARTED, t->job, t->task, s->machine->model.id);
  fk_metrics_log_add(f->series, "began", 1);
  double run_s = g_hash_table_contains(f->finished, key) ? 0 : fk_scale_task_run_s(f->plan, spec, t->task);
  schedule(f, s->machine, t->serial, run_s, task_ends);
  fk_heartbeats_state_changed(f, s->machine);
}

static double cpus_of(gpointer fleet, const char *job) {
  const FkSpec *s = fk_simulated_workers_spec(fleet, job);
  return s ? s->cpus : -1;
}

static void task_accepted(gpointer fleet, FkWorkerModel *w, FkWorkerTask *t) {
  FkSimulatedWorker *m = (FkSimulatedWorker *)w;
  const FkSpec *s = fk_simulated_workers_spec(fleet, t->job);
  double fetch_s = g_hash_table_contains(m->images, s->image) ? FETCHED_S : s->image_gb;
  schedule(fleet, m, t->serial, fetch_s, task_begins);
}

static void task_left(gpointer fleet, FkWorkerModel *w, FkWorkerTask *t) {
  FkSimulatedWorkers *f = fleet;
  gint64 at = f->left_us ? f->left_us : g_get_monotonic_time();
  fk_event_log_add_at(f->events, at, FK_RUN_EVENT_TASK_LOST, t->job, t->task, w->id);
  fk_metrics_log_add(f->series, "left", 1);
}

/* ------------------------------------------------------------------ machines */

static void boots(gpointer fleet, gpointer data) {
  FkSimulatedWorkers *f = fleet;
  g_autofree Life *l = data;
  FkSimulatedWorker *m = l->machine;
  if (m->gone || m->life != l->life)
    return;
  if (m->elsewhere) {
    m->up = TRUE;
    return;
  }
  g_autoptr(GError) error = NULL;
  if (m->listening < 0)
    m->listening = fk_stand_in_listener_add(f->addresses, m->model.addr, &error);
  if (m->listening < 0) {
    g_warning("a worker can't listen: %s", error->message);
    return;
  }
  m->up = TRUE;
  m->model.lease_start = g_get_monotonic_time();
  watch_lease(f, m);
  fk_heartbeats_start(f, m);
}

static void boot_in(FkSimulatedWorkers *f, FkSimulatedWorker *m, double seconds) {
  plan_life(f, m, g_get_monotonic_time() + (gint64)(seconds * 1e6), boots);
}

FkSimulatedWorker *fk_simulated_workers_boot(FkSimulatedWorkers *f, const char *zone, gboolean spot,
                                             double boot_s) {
  FkSimulatedWorker *m = g_new0(FkSimulatedWorker, 1);
  m->number = f->machines->len;
  m->listening = -1;
  m->born = g_get_monotonic_time();
  m->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  m->home = (guint)g_rand_int_range(f->rand, 0, (gint32)fk_scale_region_controllers(f->plan, f->region));
  g_autofree char *id = g_strdup_printf("i-%u%05u", f->region + 1, m->number),
                  *addr = fk_scale_worker_addr(f->plan, f->region, m->number);
  fk_worker_model_init(&m->model, id, addr, FK_SCALE_INSTANCE_TYPE, zone, spot,
                       fk_scale_worker_cpus(f->plan));
  g_ptr_array_add(f->machines, m);
  g_hash_table_insert(f->by_addr, m->model.addr, m);
  boot_in(f, m, boot_s);
  return m;
}

static void close_address(FkSimulatedWorker *m) {
  fk_stand_in_listener_remove(m->listening);
  m->listening = -1;
}

void fk_simulated_workers_terminate(FkSimulatedWorkers *f, FkSimulatedWorker *m) {
  if (m->gone)
    return;
  fk_simulated_workers_check_lease(f, m, g_get_monotonic_time());
  fk_worker_model_clear_tasks(&m->model, &f->hooks);
  m->gone = TRUE;
  m->up = FALSE;
  m->report = ++f->serial;
  close_address(m);
}

static void die(FkSimulatedWorkers *f, FkSimulatedWorker *m) {
  if (m->gone)
    return;
  fk_metrics_log_add(f->series, "died", !m->elsewhere);
  m->died = g_get_monotonic_time();
  fk_simulated_workers_terminate(f, m);
}

/* The machine is back within seconds, and knows nothing of before. */
static void restart(FkSimulatedWorkers *f, FkSimulatedWorker *m) {
  if (m->gone || !m->up)
    return;
  fk_metrics_log_add(f->series, "restarted", !m->elsewhere);
  fk_simulated_workers_check_lease(f, m, g_get_monotonic_time());
  fk_worker_model_clear_tasks(&m->model, &f->hooks);
  m->up = FALSE;
  m->life++;
  m->report = ++f->serial;
  m->model.incarnation = 1;
  m->model.sequence = m->model.fencing_token = 0;
  g_hash_table_remove_all(m->images);
  close_address(m);
  boot_in(f, m, g_rand_double_range(f->rand, 1, 5));
}

guint fk_simulated_workers_count(const FkSimulatedWorkers *f) {
  guint n = 0;
  for (guint i = 0; i < f->machines->len; i++)
    n += !((FkSimulatedWorker *)f->machines->pdata[i])->gone;
  return n;
}

/* ------------------------------------------------------------------ faults */

/* Faults meet any machine; with several processes, of those that all of them know. */
static FkSimulatedWorker *any_machine(FkSimulatedWorkers *f) {
  guint n = f->plan->worker_processes > 1 ? fk_scale_region_workers(f->plan, f->region) : f->machines->len;
  return f->machines->pdata[g_rand_int_range(f->fault_rand, 0, (gint32)n)];
}

static void rack_dies(gpointer fleet, gpointer unused) {
  FkSimulatedWorkers *f = fleet;
  FkSimulatedWorker *first = any_machine(f);
  guint left = RACK;
  for (guint i = first->number; i < f->machines->len && left; i++) {
    FkSimulatedWorker *m = f->machines->pdata[i];
    if (m->gone || !g_str_equal(m->model.zone, first->model.zone))
      continue;
    die(f, m);
    left--;
  }
}

static void zone_dies(gpointer fleet, gpointer unused) {
  FkSimulatedWorkers *f = fleet;
  g_autofree char *zone = fk_scale_zone(f->region, 0);
  for (guint i = 0; i < f->machines->len; i++) {
    FkSimulatedWorker *m = f->machines->pdata[i];
    if (!m->gone && g_str_equal(m->model.zone, zone))
      die(f, m);
  }
}

static void one_fails(gpointer fleet, gpointer unused) {
  FkSimulatedWorkers *f = fleet;
  FkSimulatedWorker *m = any_machine(f);
  if (g_rand_double(f->fault_rand) < RESTART_SHARE)
    restart(f, m);
  else
    die(f, m);
}

static void plan_churn(FkSimulatedWorkers *f, const FkScaleFault *fault) {
  guint n = (guint)(CHURN_A_DAY * f->machines->len + 0.5);
  for (guint i = 0; i < n; i++) {
    double at_s = fault->at_s + g_rand_double(f->fault_rand) * fault->duration_s;
    fk_event_queue_add(f->agenda, f->plan->start_us + (gint64)(at_s * 1e6), one_fails, NULL);
  }
}

static void plan_faults(FkSimulatedWorkers *f) {
  for (guint i = 0; i < f->plan->faults->len; i++) {
    const FkScaleFault *fault = &g_array_index(f->plan->faults, FkScaleFault, i);
    gint64 at = f->plan->start_us + (gint64)(fault->at_s * 1e6);
    if (fault->kind == FK_SCALE_FAULT_CHURN)
      plan_churn(f, fault);
    else if (f->region == 0 && fault->kind == FK_SCALE_FAULT_RACK)
      fk_event_queue_add(f->agenda, at, rack_dies, NULL);
    else if (f->region == 0 && fault->kind == FK_SCALE_FAULT_ZONE)
      fk_event_queue_add(f->agenda, at, zone_dies, NULL);
  }
}

/* ------------------------------------------------------------------ the process */

static void sample(gpointer data) {
  FkSimulatedWorkers *f = data;
  guint up = 0, on = 0, fetching = 0, exited = 0;
  for (guint i = 0; i < f->machines->len; i++) {
    const FkSimulatedWorker *m = f->machines->pdata[i];
    up += m->up && !m->elsewhere;
    for (guint k = 0; k < m->model.tasks->len; k++) {
      const FkWorkerTask *t = m->model.tasks->pdata[k];
      on += t->resident;
      fetching += t->state == FK_TASK_FETCHING;
      exited += t->state == FK_TASK_EXITED;
    }
  }
  fk_metrics_log_set(f->series, "up", up);
  fk_metrics_log_set(f->series, "running", on);
  fk_metrics_log_set(f->series, "fetching", fetching);
  fk_metrics_log_set(f->series, "exited", exited);
}

void fk_simulated_workers_boot_initial(FkSimulatedWorkers *f) {
  guint zones = fk_scale_region_zones(f->plan, f->region);
  for (guint i = 0; i < fk_scale_region_workers(f->plan, f->region); i++) {
    g_autofree char *zone = fk_scale_zone(f->region, i % zones);
    FkSimulatedWorker *m =
        fk_simulated_workers_boot(f, zone, FALSE, g_rand_double_range(f->rand, 0, UP_WITHIN_S));
    m->elsewhere = i % f->plan->worker_processes != f->part;
    m->born -= (gint64)(LISTED_BEFORE_S * 1e6);
  }
}

gboolean fk_worker_stand_in_open(FkSimulatedWorkers *f, const FkScalePlan *p, guint region, guint part,
                                 GError **error) {
  g_autofree char *name = fk_scale_worker_process_name(region, part);
  *f = (FkSimulatedWorkers){.plan = p, .region = region, .part = part};
  f->rand = g_rand_new_with_seed((guint32)(p->seed * 1000 + region));
  f->fault_rand = g_rand_new_with_seed((guint32)(p->seed * 1000 + region + 500));
  f->agenda = fk_event_queue_new(f);
  f->http = fk_http_client_new_for_many_hosts(CALLS_MOST, ANSWER_MOST);
  f->machines = g_ptr_array_new();
  f->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
  f->specs = g_hash_table_new(g_str_hash, g_str_equal);
  f->finished = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  f->hires = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  f->hooks = (FkWorkerHooks){cpus_of, task_accepted, task_left, f, &f->serial};
  f->series = fk_metrics_log_new(p->output_dir, name, p->start_us, 0, error);
  f->events = f->series ? fk_event_log_new(p->output_dir, name, error) : NULL;
  f->addresses = f->events ? fk_stand_in_listener_new(fk_heartbeats_on_command, f, error) : NULL;
  if (!f->addresses || (part == 0 && !fk_cloud_stand_in_open(f, error)))
    return FALSE;
  fk_event_queue_start_clock(f->agenda);
  return TRUE;
}

void fk_worker_stand_in_close(FkSimulatedWorkers *f) {
  for (guint i = 0; i < f->machines->len; i++) /* an answer that still comes is void */
    ((FkSimulatedWorker *)f->machines->pdata[i])->report = ++f->serial;
  fk_agenda_drop(f->agenda, g_free);
  g_clear_pointer(&f->agenda, fk_event_queue_free);
  g_clear_pointer(&f->events, fk_event_log_free);
  g_clear_pointer(&f->series, fk_metrics_log_free);
}

int fk_scale_worker_stand_in(const FkScalePlan *p, guint region, guint part) {
  g_autoptr(GError) error = NULL;
  FkSimulatedWorkers f;
  if (!fk_worker_stand_in_open(&f, p, region, part, &error)) {
    g_autofree char *name = fk_scale_worker_process_name(region, part);
    return fk_stand_in_start_failed(name, error);
  }
  fk_simulated_workers_boot_initial(&f);
  plan_faults(&f);
  fk_metrics_log_start(f.series, sample, &f);
  fk_stand_in_run(p);
  fk_worker_stand_in_close(&f);
  return 0;
}
