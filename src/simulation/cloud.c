/* The cloud: it provisions machines under the idempotency keys of requests, terminates and lists them. */
#include "simulation/simulation_internal.h"

#define INSTANCE_TYPE "box8"
#define BOOT_MIN_S 1.0
#define BOOT_MAX_S 8.0
#define FAST_BOOT_MIN_S 0.6 /* where the plan says the longest boot */
#define LIST_LAG_US (4 * G_USEC_PER_SEC)
#define LIST_LAG_STEPS 3 /* once, one and a half times, twice LIST_LAG_US */

static void list_instance_types(SimCall *call) {
  if (!sim_call_is_pending(call))
    return;
  FkInstanceType *type = g_new0(FkInstanceType, 1);
  *type = (FkInstanceType){g_strdup(INSTANCE_TYPE),          SIM_MACHINE_CPUS, 0, 32, 1, 0.4, 0.1, 5,
                           g_strsplit("north,south", ",", 0)};
  GPtrArray *types = g_ptr_array_new();
  g_ptr_array_add(types, type);
  sim_call_complete(call, (SimAnswer){.outcome = FK_OUTCOME_OK, .list = types});
}

/* ------------------------------------------------------------------ provisioning */

static guint count_machines(const Sim *sim) {
  guint machines = 0;
  for (guint i = 0; i < sim->workers->len; i++)
    machines += !((SimWorker *)sim->workers->pdata[i])->gone;
  return machines;
}

/* Ids of up to `count` new machines. */
static GPtrArray *boot_machines(Sim *sim, const FkOutput *request, guint count) {
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  for (guint i = 0; i < count; i++) {
    double boot_s = sim->plan.boot_s > 0 ? sim_uniform(sim, FAST_BOOT_MIN_S, sim->plan.boot_s)
                                         : sim_uniform(sim, BOOT_MIN_S, BOOT_MAX_S);
    g_ptr_array_add(ids, g_strdup(sim_worker_new(sim, request->zone, request->spot, boot_s)->model.id));
  }
  return ids;
}

/* A repeated request gets the machines of the first one. */
static void provision(Sim *sim, SimCall *call) {
  const FkOutput *request = call->output;
  sim->result.recovery.provision_calls += sim->machines_lost_at > 0;
  GPtrArray *ids = g_hash_table_lookup(sim->provisioned, request->name);
  if (!ids) {
    guint machines = count_machines(sim), machines_max = MAX(sim->plan.machines, sim->plan.up);
    if (machines >= machines_max) {
      sim_call_reply(call, (SimAnswer){.outcome = FK_OUTCOME_CONFLICT});
      return;
    }
    if (sim->machines_lost_at && sim->result.recovery.provisioned_s <= 0)
      sim->result.recovery.provisioned_s = (double)(sim->now - sim->machines_lost_at) / 1e6;
    ids = boot_machines(sim, request, MIN(request->count, machines_max - machines));
    g_hash_table_insert(sim->provisioned, g_strdup(request->name), ids);
  }
  sim_call_reply(call, (SimAnswer){.outcome = FK_OUTCOME_OK, .list = g_ptr_array_ref(ids)});
}

/* ------------------------------------------------------------------ termination and listing */

/* Something runs there, or is to; ended attempts may stay in its heartbeats for long. */
static gboolean is_at_work(const SimWorker *worker) {
  for (guint i = 0; i < worker->model.tasks->len; i++)
    if (((FkWorkerTask *)worker->model.tasks->pdata[i])->state != FK_TASK_EXITED)
      return TRUE;
  return FALSE;
}

static void terminate(Sim *sim, SimCall *call) {
  const GPtrArray *ids = call->output->names;
  sim->result.recovery.terminate_calls += sim->machines_lost_at > 0;
  for (guint i = 0; i < ids->len; i++) {
    SimWorker *worker = sim_worker_find(sim, ids->pdata[i]);
    if (!worker || worker->gone)
      continue;
    gboolean healthy = worker->up && !worker->faulty && !sim->plan.machine_deaths && !sim->plan.machine_hangs;
    sim->result.healthy_terminated += healthy && is_at_work(worker);
    sim_worker_lose(sim, worker);
  }
  sim_call_reply(call, (SimAnswer){.outcome = FK_OUTCOME_OK});
}

static FkCloudMachine *listed_machine(const Sim *sim, const SimWorker *worker) {
  const FkWorkerModel *model = &worker->model;
  FkCloudMachine *machine = g_new0(FkCloudMachine, 1);
  *machine = (FkCloudMachine){g_strdup(model->id),
                              g_strdup(model->id),
                              g_strdup(model->type),
                              g_strdup(model->zone),
                              model->spot,
                              worker->up ? FK_CLOUD_MACHINE_RUNNING : FK_CLOUD_MACHINE_BOOTING,
                              (sim->now - worker->created_at) / 1e6};
  return machine;
}

/* Whether a list of that moment has the machine: a machine that was listed stays so until it is gone. */
static gboolean is_listed(SimWorker *worker, gint64 as_of) {
  worker->listed |= worker->created_at <= as_of;
  return worker->listed && (!worker->gone || worker->gone_at > as_of);
}

/* The list lags by once to twice the usual time, by turns, so that one may be older than the one before. */
static void list_machines(Sim *sim, SimCall *call) {
  gint64 as_of =
      sim->now - LIST_LAG_US - LIST_LAG_US * (sim->lists++ % LIST_LAG_STEPS) / (LIST_LAG_STEPS - 1);
  GPtrArray *list = g_ptr_array_new_with_free_func(fk_cloud_machine_free);
  for (guint i = 0; i < sim->workers->len; i++)
    if (is_listed(sim->workers->pdata[i], as_of))
      g_ptr_array_add(list, listed_machine(sim, sim->workers->pdata[i]));
  sim_call_reply(call, (SimAnswer){.outcome = FK_OUTCOME_OK, .list = list});
}

void sim_cloud_handle(Sim *sim, gpointer data) {
  SimCall *call = data;
  if (sim->now < sim->cloud_outage_until) {
    sim_call_reply(call, (SimAnswer){.outcome = FK_OUTCOME_REFUSED});
    return;
  }
  if (call->output->kind == FK_OUTPUT_LIST_INSTANCE_TYPES)
    list_instance_types(call);
  else if (call->output->kind == FK_OUTPUT_PROVISION)
    provision(sim, call);
  else if (call->output->kind == FK_OUTPUT_TERMINATE)
    terminate(sim, call);
  else
    list_machines(sim, call);
}
