/* The recovery experiment's loss of machines, which happens once, and what it costs in services. */
#include "simulation/simulation_internal.h"

/* The workers that report to each controller, by its number. */
static void count_workers(const Sim *sim, guint workers[SIM_CONTROLLERS_MAX]) {
  for (guint i = 0; i < sim->workers->len; i++) {
    const SimWorker *worker = sim->workers->pdata[i];
    workers[worker->controller] += !worker->gone && worker->up;
  }
}

/* The leader, or the follower with the most workers. */
static guint target_controller(Sim *sim) {
  int leader = sim_leader(sim);
  if (sim->plan.loss == SIM_LOSS_WORKERS_OF_LEADER && leader >= 0)
    return (guint)leader;
  guint workers[SIM_CONTROLLERS_MAX] = {0}, target = leader == 0;
  count_workers(sim, workers);
  for (guint i = 0; i < SIM_CONTROLLERS_MAX; i++)
    target = (int)i != leader && workers[i] > workers[target] ? i : target;
  return target;
}

static GPtrArray *machines_here(const Sim *sim) {
  GPtrArray *here = g_ptr_array_new();
  for (guint i = 0; i < sim->workers->len; i++) {
    SimWorker *worker = sim->workers->pdata[i];
    if (!worker->gone)
      g_ptr_array_add(here, worker);
  }
  return here;
}

/* Every so manyth machine, up to the plan's share. */
static GPtrArray *share_of(const Sim *sim, const GPtrArray *here) {
  GPtrArray *lost = g_ptr_array_new();
  guint every = (guint)MAX(1, 1 / sim->plan.loss_share + 0.5);
  for (guint i = 0; i < here->len; i += every)
    g_ptr_array_add(lost, here->pdata[i]);
  return lost;
}

static GPtrArray *workers_of(const GPtrArray *here, guint controller) {
  GPtrArray *lost = g_ptr_array_new();
  for (guint i = 0; i < here->len; i++)
    if (((SimWorker *)here->pdata[i])->controller == controller)
      g_ptr_array_add(lost, here->pdata[i]);
  return lost;
}

static void lose_machine(Sim *sim, SimWorker *worker) {
  for (guint k = 0; k < worker->model.tasks->len; k++) {
    const FkWorkerTask *task = worker->model.tasks->pdata[k];
    if (task->resident)
      sim->result.recovery.lost += sim_job_find(sim, task->job)->lost = TRUE;
  }
  if (sim->plan.loss_hangs)
    worker->hung_until = (gint64)(sim->plan.seconds * 1e6);
  else
    sim_worker_lose(sim, worker);
}

void sim_lose_machines(Sim *sim, gpointer unused) {
  g_autoptr(GPtrArray) here = machines_here(sim);
  g_autoptr(GPtrArray) lost =
      sim->plan.loss == SIM_LOSS_SHARE ? share_of(sim, here) : workers_of(here, target_controller(sim));
  sim->result.recovery.up = g_hash_table_size(sim->running_on);
  sim->result.recovery.machines_lost = lost->len;
  sim->machines_lost_at = sim->now;
  for (guint i = 0; i < lost->len; i++)
    lose_machine(sim, lost->pdata[i]);
  g_debug("WORLD %.3f of %u machines %u are lost", sim->now / 1e6, here->len, lost->len);
}
