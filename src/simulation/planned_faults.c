/* Planned faults: what goes wrong at a set time, for so long, to whom. Roles are resolved when the time
 * comes: the leader is who the store says. */
#include <string.h>

#include "simulation/simulation_internal.h"
#include "wire/store.h"

int sim_leader(Sim *sim) {
  g_autofree char *path = fk_store_key_path(FK_STORE_KEY_LEADER, "");
  const FkStoreItem *it = fk_store_model_get(sim->store, path);
  if (!it)
    return -1;
  g_autoptr(cJSON) j = fk_json_parse(it->value, strlen(it->value));
  FkRecord *r = fk_store_record_from_json(path, j);
  int i = r && r->node ? r->node[2] - '0' : -1;
  fk_record_free(r);
  return i;
}

static gint64 fault_end(const Sim *sim, const SimFault *f) {
  return sim->now + (gint64)(f->duration_s * 1e6);
}

static void fault_controller(Sim *sim, const SimFault *f, int i) {
  SimController *c = &sim->controllers[i];
  g_debug("WORLD %.3f fault %d of c-%d for %.1f s", sim->now / 1e6, f->kind, i, f->duration_s);
  switch (f->kind) {
  case SIM_FAULT_CRASH:
    sim_crash_controller(sim, i);
    break;
  case SIM_FAULT_PAUSE:
    c->paused_until = fault_end(sim, f);
    break;
  case SIM_FAULT_STORE_REFUSAL:
    sim->store_refusal_until[i] = fault_end(sim, f);
    break;
  case SIM_FAULT_STORE_PARTITION:
    c->store_partition_until = fault_end(sim, f);
    break;
  case SIM_FAULT_WORKER_PARTITION:
    c->worker_partition_until = fault_end(sim, f);
    break;
  default:
    c->store_partition_until = c->peer_partition_until = fault_end(sim, f);
  }
}

static void fault_machines(Sim *sim, const SimFault *f, double share) {
  guint one = (guint)g_rand_int_range(sim->rand, 0, (gint)MAX(1, sim->workers->len));
  for (guint i = 0; i < sim->workers->len; i++) {
    SimWorker *w = sim->workers->pdata[i];
    if (w->gone || (i != one && !sim_chance(sim, share)))
      continue;
    if (f->kind == SIM_FAULT_MACHINE_HANG)
      w->hung_until = fault_end(sim, f);
    else if (f->kind == SIM_FAULT_MACHINE_DEATH)
      sim_worker_lose(sim, w);
    else if (f->kind == SIM_FAULT_MACHINE_RESTART)
      sim_worker_restart(sim, w);
    else if (f->kind == SIM_FAULT_OUTBOUND_PARTITION)
      w->outbound_partition_until = fault_end(sim, f);
    else {
      w->inbound_partition_until = fault_end(sim, f);
      w->inbound_held = sim_chance(sim, 0.5);
    }
  }
}

#define HUNG_MACHINES_MAX 8

/* Running jobs are cancelled within a fifth of a second; some of their machines hang. */
static void cancel_running_jobs(Sim *sim, const SimFault *f, double share) {
  guint hang = f->duration_s > 0 ? HUNG_MACHINES_MAX : 0;
  for (guint i = 0; i < sim->jobs->len; i++) {
    SimJob *j = sim->jobs->pdata[i];
    if (j->started_at && !j->large && !j->cancel_requested && sim_chance(sim, share)) {
      sim_schedule(sim, sim_uniform(sim, 0, 0.2), sim_user_cancel, j);
      for (guint k = 0; hang && k < sim->workers->len; k++) {
        SimWorker *w = sim->workers->pdata[k];
        for (guint n = 0; !w->gone && sim->now >= w->hung_until && n < w->model.tasks->len; n++)
          if (((FkWorkerTask *)w->model.tasks->pdata[n])->resident &&
              g_str_equal(((FkWorkerTask *)w->model.tasks->pdata[n])->job, j->id)) {
            w->hung_until = fault_end(sim, f);
            hang--;
            break;
          }
      }
    }
  }
}

void sim_begin_store_outage(Sim *sim, double s) {
  sim->outage_until = sim->now + (gint64)(s * 1e6);
  fk_store_model_extend_leases(sim->store, sim->outage_until);
}

#define SLOW_FACTOR 250.0 /* the store answers after up to 1.5 s */
#define DEFAULT_SHARE (1.0 / 3)

/* Faults of controllers: roles are resolved now. */
static void fault_targets(Sim *sim, const SimFault *fault) {
  int leader = sim_leader(sim), one = leader;
  if (fault->target == SIM_TARGET_ANY || leader < 0)
    one = g_rand_int_range(sim->rand, 0, sim->controller_count);
  else if (fault->target == SIM_TARGET_FOLLOWER)
    one = (leader + g_rand_int_range(sim->rand, 1, sim->controller_count)) % sim->controller_count;
  for (int i = 0; i < sim->controller_count; i++)
    if (fault->target == SIM_TARGET_ALL || i == one)
      fault_controller(sim, fault, i);
}

/* Faults of messages and services. FALSE: it isn't one. */
static gboolean fault_messages(Sim *sim, const SimFault *fault, double share) {
  gint64 end = fault_end(sim, fault);
  switch (fault->kind) {
  case SIM_FAULT_STORE_OUTAGE:
    sim_begin_store_outage(sim, fault->duration_s);
    return TRUE;
  case SIM_FAULT_STORE_SLOW:
    sim->slow_factor = SLOW_FACTOR;
    sim->slow_until = end;
    return TRUE;
  case SIM_FAULT_LATE_WRITES:
    sim->late_writes_until = end;
    sim->late_writes_share = share;
    return TRUE;
  case SIM_FAULT_PEER_REFUSAL:
    sim->peer_refusal_until = end;
    return TRUE;
  case SIM_FAULT_ZONE_PARTITION:
    sim->partitioned_zone = sim_chance(sim, 0.5) ? "south" : "north";
    sim->zone_partition_until = end;
    return TRUE;
  case SIM_FAULT_COMMAND_DELAY:
    sim->command_delay_until = end;
    sim->command_delay_share = share;
    return TRUE;
  case SIM_FAULT_DUPLICATES:
    sim->duplicates_until = end;
    sim->duplicates_share = share;
    return TRUE;
  case SIM_FAULT_LOST_REPLIES:
    sim->lost_replies_until = end;
    sim->lost_replies_share = share;
    sim->lost_replies_prefix = fault->key_prefix;
    return TRUE;
  case SIM_FAULT_STALE_HEARTBEATS:
    sim->stale_heartbeats_until = end;
    sim->stale_heartbeats_share = share;
    return TRUE;
  case SIM_FAULT_CLOUD_OUTAGE:
    sim->cloud_outage_until = end;
    return TRUE;
  default:
    return FALSE;
  }
}

/* What users do beside their usual behaviour. FALSE: it isn't one of these. */
static gboolean fault_users(Sim *sim, const SimFault *fault, double share) {
  gint64 end = fault_end(sim, fault);
  switch (fault->kind) {
  case SIM_FAULT_CANCEL_BURST:
    sim->cancel_burst_until = end;
    return TRUE;
  case SIM_FAULT_CANCEL_RUNNING:
    cancel_running_jobs(sim, fault, share);
    return TRUE;
  case SIM_FAULT_CANCEL_AT_COMPLETION:
    sim->cancel_at_completion_until = end;
    sim->cancel_at_completion_share = share;
    return TRUE;
  case SIM_FAULT_QUERY_BURST:
    sim->query_burst_until = end;
    return TRUE;
  case SIM_FAULT_INVALID_REQUESTS:
    sim->invalid_requests_until = end;
    sim_submit_invalid_requests(sim, NULL);
    return TRUE;
  default:
    return FALSE;
  }
}

static gboolean is_machine_fault(SimFaultKind kind) {
  return kind == SIM_FAULT_MACHINE_HANG || kind == SIM_FAULT_INBOUND_PARTITION ||
         kind == SIM_FAULT_OUTBOUND_PARTITION || kind == SIM_FAULT_MACHINE_DEATH ||
         kind == SIM_FAULT_MACHINE_RESTART;
}

static void begin_fault(Sim *sim, gpointer data) {
  const SimFault *fault = data;
  double share = fault->share > 0 ? fault->share : DEFAULT_SHARE;
  if (is_machine_fault(fault->kind))
    fault_machines(sim, fault, share);
  else if (!fault_messages(sim, fault, share) && !fault_users(sim, fault, share))
    fault_targets(sim, fault);
  g_debug("WORLD %.3f fault %d begins, for %.1f s", sim->now / 1e6, fault->kind, fault->duration_s);
}

void sim_schedule_faults(Sim *sim) {
  for (guint i = 0; i < sim->plan.fault_count; i++)
    sim_schedule(sim, sim->plan.faults[i].at_s, begin_fault, (gpointer)&sim->plan.faults[i]);
}

double sim_duplicate_share(const Sim *sim) {
  return sim->now < sim->duplicates_until ? sim->duplicates_share : sim->plan.duplicate_chance;
}
