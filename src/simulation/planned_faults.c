/* The plan's own faults: what goes wrong at a set time, for so long, to whom. Roles are found when the time
 * comes: who leads is what the store says. */
#include <string.h>

#include "simulation/simulation_internal.h"
#include "wire/store.h"

static int current_leader(Sim *m) {
  g_autofree char *path = fk_key_path(FK_KEY_LEADER, "");
  const FkStoreItem *it = fk_store_model_get(m->store, path);
  if (!it)
    return -1;
  g_autoptr(cJSON) j = fk_json_parse(it->value, strlen(it->value));
  FkRecord *r = fk_store_record_from_json(path, j);
  int i = r && r->node ? r->node[2] - '0' : -1;
  fk_record_free(r);
  return i;
}

static gint64 fault_end(const Sim *m, const SimFault *f) { return m->now + (gint64)(f->duration_s * 1e6); }

static void fault_controller(Sim *m, const SimFault *f, int i) {
  SimController *c = &m->controllers[i];
  g_debug("WORLD %.3f fault %d of c-%d for %.1f s", m->now / 1e6, f->kind, i, f->duration_s);
  switch (f->kind) {
  case SIM_FAULT_CRASH:
    sim_crash_controller(m, i);
    break;
  case SIM_FAULT_PAUSE:
    c->paused_until = fault_end(m, f);
    break;
  case SIM_FAULT_STORE_REFUSAL:
    m->store_refusal_until[i] = fault_end(m, f);
    break;
  case SIM_FAULT_STORE_PARTITION:
    c->store_partition_until = fault_end(m, f);
    break;
  case SIM_FAULT_WORKER_PARTITION:
    c->worker_partition_until = fault_end(m, f);
    break;
  default:
    c->store_partition_until = c->peer_partition_until = fault_end(m, f);
  }
}

static void fault_machines(Sim *m, const SimFault *f, double share) {
  guint one = (guint)g_rand_int_range(m->rand, 0, (gint)MAX(1, m->workers->len));
  for (guint i = 0; i < m->workers->len; i++) {
    SimWorker *w = m->workers->pdata[i];
    if (w->gone || (i != one && !sim_chance(m, share)))
      continue;
    if (f->kind == SIM_FAULT_MACHINE_HANG)
      w->hung_until = fault_end(m, f);
    else if (f->kind == SIM_FAULT_MACHINE_DEATH)
      sim_worker_lose(m, w);
    else if (f->kind == SIM_FAULT_MACHINE_RESTART)
      sim_worker_restart(m, w);
    else if (f->kind == SIM_FAULT_OUTBOUND_PARTITION)
      w->outbound_partition_until = fault_end(m, f);
    else {
      w->inbound_partition_until = fault_end(m, f);
      w->inbound_held = sim_chance(m, 0.5);
    }
  }
}

#define HUNG_MACHINES_MAX 8

/* Called off within a fifth of a second: jobs that run. */
static void cancel_running_jobs(Sim *m, const SimFault *f, double share) {
  guint hang = f->duration_s > 0 ? HUNG_MACHINES_MAX : 0;
  for (guint i = 0; i < m->jobs->len; i++) {
    SimJob *j = m->jobs->pdata[i];
    if (j->started_at && !j->large && !j->cancel_requested && sim_chance(m, share)) {
      sim_schedule(m, sim_uniform(m, 0, 0.2), sim_user_cancel, j);
      for (guint k = 0; hang && k < m->workers->len; k++) {
        SimWorker *w = m->workers->pdata[k];
        for (guint n = 0; !w->gone && m->now >= w->hung_until && n < w->model.tasks->len; n++)
          if (((FkWorkerTask *)w->model.tasks->pdata[n])->resident &&
              g_str_equal(((FkWorkerTask *)w->model.tasks->pdata[n])->job, j->id)) {
            w->hung_until = fault_end(m, f);
            hang--;
            break;
          }
      }
    }
  }
}

void sim_begin_store_outage(Sim *m, double s) {
  m->outage_until = m->now + (gint64)(s * 1e6);
  fk_store_model_extend_leases(m->store, m->outage_until);
}

static void begin_fault(Sim *m, gpointer p) {
  const SimFault *f = p;
  double share = f->share > 0 ? f->share : 1.0 / 3;
  int leader = current_leader(m), one = leader;
  switch (f->kind) {
  case SIM_FAULT_STORE_OUTAGE:
    sim_begin_store_outage(m, f->duration_s);
    break;
  case SIM_FAULT_STORE_SLOW:
    m->slow_factor = 250;
    m->slow_until = fault_end(m, f);
    break;
  case SIM_FAULT_LATE_WRITES:
    m->late_writes_until = fault_end(m, f);
    m->late_writes_share = share;
    break;
  case SIM_FAULT_PEER_REFUSAL:
    m->peer_refusal_until = fault_end(m, f);
    break;
  case SIM_FAULT_ZONE_PARTITION:
    m->partitioned_zone = sim_chance(m, 0.5) ? "south" : "north";
    m->zone_partition_until = fault_end(m, f);
    break;
  case SIM_FAULT_COMMAND_DELAY:
    m->command_delay_until = fault_end(m, f);
    m->command_delay_share = share;
    break;
  case SIM_FAULT_DUPLICATES:
    m->duplicates_until = fault_end(m, f);
    m->duplicates_share = share;
    break;
  case SIM_FAULT_CANCEL_BURST:
    m->cancel_burst_until = fault_end(m, f);
    break;
  case SIM_FAULT_CANCEL_RUNNING:
    cancel_running_jobs(m, f, share);
    break;
  case SIM_FAULT_CANCEL_AT_COMPLETION:
    m->cancel_at_completion_until = fault_end(m, f);
    m->cancel_at_completion_share = share;
    break;
  case SIM_FAULT_QUERY_BURST:
    m->query_burst_until = fault_end(m, f);
    break;
  case SIM_FAULT_INVALID_REQUESTS:
    m->invalid_requests_until = fault_end(m, f);
    sim_submit_invalid_requests(m, NULL);
    break;
  case SIM_FAULT_LOST_REPLIES:
    m->lost_replies_until = fault_end(m, f);
    m->lost_replies_share = share;
    m->lost_replies_prefix = f->key_prefix;
    break;
  case SIM_FAULT_STALE_HEARTBEATS:
    m->stale_heartbeats_until = fault_end(m, f);
    m->stale_heartbeats_share = share;
    break;
  case SIM_FAULT_CLOUD_OUTAGE:
    m->cloud_outage_until = fault_end(m, f);
    break;
  case SIM_FAULT_MACHINE_HANG:
  case SIM_FAULT_INBOUND_PARTITION:
  case SIM_FAULT_OUTBOUND_PARTITION:
  case SIM_FAULT_MACHINE_DEATH:
  case SIM_FAULT_MACHINE_RESTART:
    fault_machines(m, f, share);
    break;
  default:
    if (f->target == SIM_TARGET_ANY || leader < 0)
      one = g_rand_int_range(m->rand, 0, m->controller_count);
    else if (f->target == SIM_TARGET_FOLLOWER)
      one = (leader + g_rand_int_range(m->rand, 1, m->controller_count)) % m->controller_count;
    for (int i = 0; i < m->controller_count; i++)
      if (f->target == SIM_TARGET_ALL || i == one)
        fault_controller(m, f, i);
  }
  g_debug("WORLD %.3f fault %d begins, for %.1f s", m->now / 1e6, f->kind, f->duration_s);
}

void sim_schedule_faults(Sim *m) {
  for (guint i = 0; i < m->plan.fault_count; i++)
    sim_schedule(m, m->plan.faults[i].at_s, begin_fault, (gpointer)&m->plan.faults[i]);
}

double sim_duplicate_share(const Sim *m) {
  return m->now < m->duplicates_until ? m->duplicates_share : m->plan.copies;
}
