/* The cloud, which rents machines. */
#include "simulation/simulation_internal.h"

/* Something runs there, or is to; ended attempts may stay in its reports for long. */
static gboolean at_work(const SimWorker *w) {
  for (guint i = 0; i < w->model.tasks->len; i++)
    if (((FkWorkerTask *)w->model.tasks->pdata[i])->state != FK_TASK_EXITED)
      return TRUE;
  return FALSE;
}

void sim_cloud_handle(Sim *sim, gpointer p) {
  SimCall *c = p;
  FkOutput *o = c->output;
  if (sim->now < sim->cloud_outage_until) {
    sim_call_reply(c, (SimAnswer){.outcome = FK_OUTCOME_REFUSED});
    return;
  }
  switch (o->kind) {
  case FK_OUTPUT_LIST_INSTANCE_TYPES: {
    GPtrArray *types = g_ptr_array_new();
    FkInstanceType *t = g_new0(FkInstanceType, 1);
    *t = (FkInstanceType){g_strdup("box8"), 8, 0, 32, 1, 0.4, 0.1, 5, g_strsplit("north,south", ",", 0)};
    g_ptr_array_add(types, t);
    if (!sim_call_is_pending(c)) {
      fk_instance_type_free(t);
      g_ptr_array_unref(types);
    } else {
      sim_call_complete(c, (SimAnswer){.outcome = FK_OUTCOME_OK, .list = types});
    }
    break;
  }
  case FK_OUTPUT_PROVISION: {
    sim->result.recovery.provision_calls += sim->machines_lost_at > 0;
    GPtrArray *names = g_hash_table_lookup(sim->provisioned, o->name);
    if (!names) {
      guint here = 0;
      for (guint i = 0; i < sim->workers->len; i++)
        here += !((SimWorker *)sim->workers->pdata[i])->gone;
      if (here >= MAX(sim->plan.machines, sim->plan.up)) {
        sim_call_reply(c, (SimAnswer){.outcome = FK_OUTCOME_CONFLICT});
        return;
      }
      names = g_ptr_array_new_with_free_func(g_free);
      for (guint i = 0; i < o->count && here + i < MAX(sim->plan.machines, sim->plan.up); i++) {
        double boot_s =
            sim->plan.boot_s > 0 ? sim_uniform(sim, 0.6, sim->plan.boot_s) : sim_uniform(sim, 1, 8);
        g_ptr_array_add(names, g_strdup(sim_worker_new(sim, o->zone, o->spot, boot_s)->model.id));
      }
      g_hash_table_insert(sim->provisioned, g_strdup(o->name), names);
    }
    sim_call_reply(c, (SimAnswer){.outcome = FK_OUTCOME_OK, .list = g_ptr_array_ref(names)});
    break;
  }
  case FK_OUTPUT_TERMINATE:
    sim->result.recovery.terminate_calls += sim->machines_lost_at > 0;
    for (guint i = 0; i < o->names->len; i++) {
      SimWorker *w = sim_worker_find(sim, o->names->pdata[i]);
      if (w && !w->gone) {
        /* what runs there runs well, and is lost for nothing */
        sim->result.healthy_terminated +=
            w->up && !w->faulty && !sim->plan.deaths && !sim->plan.hangs && at_work(w);
        sim_worker_lose(sim, w);
      }
    }
    sim_call_reply(c, (SimAnswer){.outcome = FK_OUTCOME_OK});
    break;
  default: {
    GPtrArray *list = g_ptr_array_new_with_free_func(fk_cloud_machine_free);
    for (guint i = 0; i < sim->workers->len; i++) {
      SimWorker *w = sim->workers->pdata[i];
      if (w->gone || sim->now - w->created_at < 4000000)
        continue; /* the list lags */
      FkCloudMachine *l = g_new0(FkCloudMachine, 1);
      *l = (FkCloudMachine){g_strdup(w->model.id),
                            g_strdup(w->model.id),
                            g_strdup(w->model.type),
                            g_strdup(w->model.zone),
                            w->model.spot,
                            w->up ? FK_CLOUD_MACHINE_RUNNING : FK_CLOUD_MACHINE_BOOTING,
                            (sim->now - w->created_at) / 1e6};
      g_ptr_array_add(list, l);
    }
    sim_call_reply(c, (SimAnswer){.outcome = FK_OUTCOME_OK, .list = list});
  }
  }
}
