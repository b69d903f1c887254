#include "simulation/scale/worker_faults.h"

#include "simulation/scale/addresses.h"

#define MACHINES_PER_RACK 40
#define RESTART_SHARE 0.951                    /* 1,700 restarts for 88 failures a day */
#define FAULTS_PER_MACHINE_DAY (1788.0 / 7600) /* restarts and failures */
#define FAULTED_REGION 0                       /* of rack and zone failures and restarts */

/* Any machine; with several processes, one that all of them know. */
static FkSimulatedWorker *random_worker(FkSimulatedWorkers *workers) {
  guint count = workers->plan->worker_processes > 1 ? fk_scale_region_workers(workers->plan, workers->region)
                                                    : workers->all->len;
  return workers->all->pdata[g_rand_int_range(workers->fault_rand, 0, (gint32)count)];
}

static void fail_rack(gpointer owner, gpointer unused) {
  FkSimulatedWorkers *workers = owner;
  const FkSimulatedWorker *first = random_worker(workers);
  guint remaining = MACHINES_PER_RACK;
  for (guint i = first->number; i < workers->all->len && remaining; i++) {
    FkSimulatedWorker *worker = workers->all->pdata[i];
    if (worker->terminated || !g_str_equal(worker->model.zone, first->model.zone))
      continue;
    fk_simulated_workers_fail(workers, worker);
    remaining--;
  }
}

static void fail_zone(gpointer owner, gpointer unused) {
  FkSimulatedWorkers *workers = owner;
  g_autofree char *zone = fk_scale_zone(workers->region, 0);
  for (guint i = 0; i < workers->all->len; i++) {
    FkSimulatedWorker *worker = workers->all->pdata[i];
    if (!worker->terminated && g_str_equal(worker->model.zone, zone))
      fk_simulated_workers_fail(workers, worker);
  }
}

static void fail_or_restart_one(gpointer owner, gpointer unused) {
  FkSimulatedWorkers *workers = owner;
  FkSimulatedWorker *worker = random_worker(workers);
  if (g_rand_double(workers->fault_rand) < RESTART_SHARE)
    fk_simulated_workers_restart(workers, worker);
  else
    fk_simulated_workers_fail(workers, worker);
}

static void restart_all(gpointer owner, gpointer unused) {
  FkSimulatedWorkers *workers = owner;
  for (guint i = 0; i < workers->all->len; i++)
    fk_simulated_workers_restart_at_once(workers, workers->all->pdata[i]);
}

static void schedule_at(FkSimulatedWorkers *workers, double at_s, FkEventQueueFn fn) {
  fk_event_queue_add(workers->event_queue, workers->plan->start_us + (gint64)(at_s * 1e6), fn, NULL);
}

static void schedule_churn(FkSimulatedWorkers *workers, const FkScaleFault *fault) {
  guint count = (guint)(FAULTS_PER_MACHINE_DAY * workers->all->len + 0.5);
  for (guint i = 0; i < count; i++)
    schedule_at(workers, fault->at_s + g_rand_double(workers->fault_rand) * fault->duration_s,
                fail_or_restart_one);
}

static void schedule_fault(FkSimulatedWorkers *workers, const FkScaleFault *fault) {
  switch (fault->kind) {
  case FK_SCALE_FAULT_CHURN:
    schedule_churn(workers, fault);
    break;
  case FK_SCALE_FAULT_RACK:
    if (workers->region == FAULTED_REGION)
      schedule_at(workers, fault->at_s, fail_rack);
    break;
  case FK_SCALE_FAULT_ZONE:
    if (workers->region == FAULTED_REGION)
      schedule_at(workers, fault->at_s, fail_zone);
    break;
  case FK_SCALE_FAULT_RESTART:
    if (workers->region == FAULTED_REGION)
      schedule_at(workers, fault->at_s, restart_all);
    break;
  case FK_SCALE_FAULT_KILL:
  case FK_SCALE_FAULT_STOP:
  case FK_SCALE_FAULT_STORE:
  case FK_SCALE_FAULT_PARTITION:
    break; /* not of machines */
  }
}

void fk_worker_faults_schedule(FkSimulatedWorkers *workers) {
  const GArray *faults = workers->plan->faults;
  for (guint i = 0; i < faults->len; i++)
    schedule_fault(workers, &g_array_index(faults, FkScaleFault, i));
}
