/* The machines: their workers' models, heartbeats and commands, and the checks when tasks start. */
#include <string.h>

#include "simulation/simulation_internal.h"

void sim_worker_free(gpointer p) {
  SimWorker *w = p;
  fk_worker_model_clear(&w->model);
  g_ptr_array_unref(w->direct_starts);
  g_free(w);
}

static char *task_key(const FkWorkerTask *t) { return g_strdup_printf("%s/%u", t->job, t->task); }

static double cpus_of(gpointer owner, const char *job) { return sim_job_find(owner, job)->cpus; }

static void task_step(Sim *sim, gpointer p);

typedef struct {
  SimWorker *w;
  guint64 serial;
  int stage;
  gboolean attempt_fails; /* by chance; decided when the task starts */
} TaskStep;

/* The model is a worker's first member. */
static SimWorker *owner_of(FkWorkerModel *model) { return (SimWorker *)model; }

static void task_accepted(gpointer owner, FkWorkerModel *model, FkWorkerTask *t) {
  TaskStep *s = g_new0(TaskStep, 1);
  *s = (TaskStep){owner_of(model), t->serial, 0};
  sim_schedule(owner, sim_uniform(owner, 0.1, 3), task_step, s);
}

static void task_left(gpointer owner, FkWorkerModel *model, FkWorkerTask *t) {
  Sim *sim = owner;
  g_autofree char *key = task_key(t);
  if (g_hash_table_lookup(sim->running_on, key) == owner_of(model))
    g_hash_table_remove(sim->running_on, key);
}

static FkWorkerHooks hooks_of(Sim *sim) {
  return (FkWorkerHooks){cpus_of, task_accepted, task_left, sim, &sim->next_serial};
}

static void clear_tasks(Sim *sim, SimWorker *w) {
  g_debug("WORLD %.3f %s wiped", sim->now / 1e6, w->model.id);
  const FkWorkerHooks hooks = hooks_of(sim);
  fk_worker_model_clear_tasks(&w->model, &hooks);
}

/* It is no more, and nothing that ran there. */
void sim_worker_lose(Sim *sim, SimWorker *w) {
  clear_tasks(sim, w);
  w->gone = TRUE;
  w->gone_at = sim->now;
}

gboolean sim_worker_is_hung(Sim *sim, const SimWorker *w) { return sim->now < w->hung_until; }

/* One of the replicas that were lost together runs again. */
static void replica_recovered(Sim *sim, SimJob *j) {
  SimRecovery *r = &sim->result.recovery;
  if (!j->lost)
    return;
  j->lost = FALSE;
  double s = (double)(sim->now - sim->machines_lost_at) / 1e6;
  if (!r->recovered++)
    r->first_s = s;
  if (r->recovered == (r->lost + 1) / 2)
    r->half_s = s;
  r->last_s = s;
  if (r->recovered == r->lost) {
    r->core_ms = (double)sim->core_ns / 1e6;
    sim->finished = TRUE;
  }
}

static void check_start(Sim *sim, SimWorker *w, FkWorkerTask *t) {
  g_debug("WORLD %.3f %s/%u try %" G_GUINT64_FORMAT " starts on %s session %" G_GUINT64_FORMAT
          " token %" G_GUINT64_FORMAT,
          sim->now / 1e6, t->job, t->task, t->attempt, w->model.id, w->model.incarnation,
          w->model.fencing_token);
  SimJob *j = sim_job_find(sim, t->job);
  g_autofree char *key = task_key(t);
  if (g_hash_table_contains(sim->running_on, key))
    sim_violation(sim, "ran_twice", key);
  if (!sim_job_dependencies_done(j))
    sim_violation(sim, "too_early", key);
  if ((w->model.spot && !j->spot) || (j->zone && !g_str_equal(j->zone, w->model.zone)))
    sim_violation(sim, "wrong_place", key);
  double used = j->cpus;
  guint same = 1;
  for (guint i = 0; i < sim->workers->len; i++) {
    SimWorker *o = sim->workers->pdata[i];
    for (guint k = 0; k < o->model.tasks->len; k++) {
      FkWorkerTask *x = o->model.tasks->pdata[k];
      if (!x->resident)
        continue;
      SimJob *xj = sim_job_find(sim, x->job);
      if (g_str_equal(xj->team, j->team))
        used += xj->cpus;
      if (xj == j) {
        if (j->one_zone && !g_str_equal(o->model.zone, w->model.zone))
          sim_violation(sim, "wrong_place", key);
        same += g_str_equal(o->model.zone, w->model.zone);
      }
    }
  }
  if (j->spread && same > (j->tasks + 1) / 2)
    sim_violation(sim, "wrong_place", key);
  if (used > fk_settings_find_team(sim->settings, j->team)->max_cpus + 1e-6)
    sim_violation(sim, "quota", key);
  if (j->reported_cancelled &&
      sim->now > j->cancelled_at + (gint64)(sim->settings->cancellation_deadline_s * 1e6))
    sim_violation(sim, "ran_cancelled", key);
  sim->result.started++;
}

static void task_step(Sim *sim, gpointer p) {
  TaskStep *s = p;
  SimWorker *w = s->w;
  FkWorkerTask *t = w->gone ? NULL : fk_worker_model_task(&w->model, s->serial);
  if (!t || t->state == FK_TASK_EXITED) {
    g_free(s);
    return;
  }
  if (sim_worker_is_hung(sim, w)) {
    sim_schedule(sim, (w->hung_until - sim->now) / 1e6 + 0.01, task_step, s);
    return;
  }
  SimJob *j = sim_job_find(sim, t->job);
  if (s->stage == 0 && j->attempt_failure_chance > 0)
    s->attempt_fails = sim_chance(sim, j->attempt_failure_chance);
  gboolean fails = (w->faulty || j->always_fails || s->attempt_fails) && !j->finished[t->task];
  if (s->stage == 0) {
    check_start(sim, w, t);
    g_autofree char *key = task_key(t);
    g_hash_table_insert(sim->running_on, g_steal_pointer(&key), w);
    t->resident = TRUE;
    t->state = FK_TASK_RUNNING;
    s->stage = 1;
    replica_recovered(sim, j);
    if (!j->started_at)
      j->started_at = sim->now;
    j->starts++;
    if (fails || j->finished[t->task] || j->shape != FK_SHAPE_SERVICE) {
      sim_schedule(sim,
                   j->finished[t->task] ? 0
                   : fails              ? 0.5
                                        : j->run_s * sim_uniform(sim, 0.5, 1.5),
                   task_step, s);
      return;
    }
    g_free(s);
    return;
  }
  const FkWorkerHooks hooks = hooks_of(sim);
  fk_worker_model_release_task(&w->model, &hooks, t);
  t->state = FK_TASK_EXITED;
  t->exit_reason = fails ? FK_EXIT_ERROR : FK_EXIT_DONE;
  if (t->exit_reason == FK_EXIT_DONE) {
    j->finished[t->task] = 1;
    sim->result.finished++;
    if (sim->now < sim->cancel_at_completion_until && !memchr(j->finished, 0, j->tasks) &&
        sim_chance(sim, sim->cancel_at_completion_share))
      sim_schedule(sim, sim_uniform(sim, 0, 0.05), sim_user_cancel, j);
  }
  g_free(s);
}

SimWorker *sim_worker_find(Sim *sim, const char *id) { return g_hash_table_lookup(sim->workers_by_id, id); }

void sim_worker_check_lease(Sim *sim, SimWorker *w) {
  const FkWorkerHooks hooks = hooks_of(sim);
  gboolean had_tasks = w->model.tasks->len > 0;
  if (!fk_worker_model_check_lease(&w->model, &hooks, sim->now, sim->settings->worker_lease_s))
    return;
  sim->result.expired_leases += had_tasks;
  g_debug("WORLD %.3f %s session %" G_GUINT64_FORMAT " has begun", sim->now / 1e6, w->model.id,
          w->model.incarnation);
}

/* What arrives at the worker is carried out if token and session stand, however late, and as often as it
 * comes. Whether it was; -1: it can't arrive now. */
static int take_command(Sim *sim, SimCall *c, void (*again)(Sim *, gpointer)) {
  SimWorker *w = sim_worker_find(sim, c->output->addr);
  if (!w || w->gone || !w->up)
    return -1;
  if (sim->now < w->inbound_partition_until && !w->inbound_held)
    return -1;
  if (sim_worker_is_hung(sim, w) || sim->now < w->inbound_partition_until) {
    sim_schedule(sim, (MAX(w->hung_until, w->inbound_partition_until) - sim->now) / 1e6 + 0.02, again, c);
    return -1;
  }
  sim_worker_check_lease(sim, w);
  const FkWorkerHooks hooks = hooks_of(sim);
  return fk_worker_model_command(&w->model, &hooks, c->output->incarnation, c->output->fencing_token,
                                 c->output->commands);
}

static void duplicate_command_arrives(Sim *sim, gpointer p) {
  take_command(sim, p, duplicate_command_arrives);
}

#define DIRECT_STARTS_MAX 100 /* commands that a machine's restart may repeat */

static gboolean has_start(const GPtrArray *commands) {
  for (guint i = 0; i < commands->len; i++)
    if (((const FkCommand *)commands->pdata[i])->kind == FK_COMMAND_START)
      return TRUE;
  return FALSE;
}

static void remember_direct_starts(SimWorker *w, SimCall *c) {
  if (!has_start(c->output->commands))
    return;
  if (w->direct_starts->len == DIRECT_STARTS_MAX)
    g_ptr_array_remove_index(w->direct_starts, 0);
  g_ptr_array_add(w->direct_starts, c);
}

/* Copies of what a machine had carried out before its restart reach it once more. */
static void schedule_late_copies(Sim *sim, const SimWorker *w) {
  if (sim->plan.late_copies_to_s <= 0)
    return;
  for (guint i = 0; i < w->direct_starts->len; i++)
    sim_schedule(sim, sim_uniform(sim, sim->plan.late_copies_from_s, sim->plan.late_copies_to_s),
                 duplicate_command_arrives, w->direct_starts->pdata[i]);
}

void sim_worker_command_arrives(Sim *sim, gpointer p) {
  SimCall *c = p;
  int ok = take_command(sim, c, sim_worker_command_arrives);
  if (ok < 0)
    return;
  SimWorker *w = sim_worker_find(sim, c->output->addr);
  if (ok)
    remember_direct_starts(w, c);
  FkHeartbeat *says = fk_worker_model_heartbeat(&w->model);
  if (sim->now < sim->command_delay_until && sim_chance(sim, sim->command_delay_share))
    fk_heartbeat_free(says); /* the answer is held for longer than anybody waits for it */
  else
    sim_call_reply(c, (SimAnswer){.outcome = ok ? FK_OUTCOME_OK : FK_OUTCOME_CONFLICT, .heartbeat = says});
  if (sim_chance(sim, sim_duplicate_share(sim)))
    sim_schedule(sim, sim_duplicate_delay_s(sim), duplicate_command_arrives, c);
}

typedef struct {
  SimWorker *w;
  guint64 report;
  double next_s;
  gboolean move;
} NextHeartbeat;

static void next_heartbeat(Sim *sim, gpointer p) {
  NextHeartbeat *n = p;
  SimWorker *w = n->w;
  if (w->heartbeat_in_flight == n->report) {
    w->heartbeat_in_flight = 0;
    if (n->move)
      w->controller = (w->controller + 1) % (guint)sim->controller_count;
    sim_worker_send_heartbeat(sim, w);
  }
  g_free(n);
}

static void schedule_heartbeat(Sim *sim, SimWorker *w, guint64 report, double s, gboolean move) {
  NextHeartbeat *n = g_new0(NextHeartbeat, 1);
  *n = (NextHeartbeat){w, report, 0, move};
  sim_schedule(sim, s, next_heartbeat, n);
}

typedef struct {
  int controller;
  guint generation;
  FkHeartbeat *report;
  SimRequest *req;
} HeartbeatInFlight;

#define STALE_HEARTBEATS_MAX 200

static FkHeartbeat *heartbeat_copy(const FkHeartbeat *r) {
  FkHeartbeat *n = fk_heartbeat_new();
  n->machine = g_strdup(r->machine);
  n->addr = g_strdup(r->addr);
  n->type = g_strdup(r->type);
  n->zone = g_strdup(r->zone);
  n->spot = r->spot;
  n->incarnation = r->incarnation;
  n->sequence = r->sequence;
  n->fencing_token = r->fencing_token;
  n->termination_notice_s = r->termination_notice_s;
  for (guint i = 0; i < r->tasks->len; i++) {
    FkTaskStatus *t = g_memdup2(r->tasks->pdata[i], sizeof(FkTaskStatus));
    t->job = g_strdup(t->job);
    g_ptr_array_add(n->tasks, t);
  }
  return n;
}

/* A copy of a report comes, at any controller in any life; nobody waits for its answer. */
static void duplicate_arrives(Sim *sim, gpointer p) {
  FkHeartbeat *report = p;
  int i = g_rand_int_range(sim->rand, 0, sim->controller_count);
  if (!sim->controllers[i].core || sim->now < sim->controllers[i].paused_until) {
    fk_heartbeat_free(report);
    return;
  }
  sim->controllers[i].version->heartbeat_received(sim->controllers[i].core, sim_controller_now(sim, i),
                                                  (FkRequestId){++sim->next_request}, report);
  sim_dispatch_outputs(sim, i);
}

typedef struct {
  FkHeartbeat *report;
  int controller;
} StaleHeartbeat;

static void stale_heartbeat_arrives(Sim *sim, gpointer p) {
  StaleHeartbeat *k = p;
  if (sim_defer_while_paused(sim, k->controller, stale_heartbeat_arrives, k))
    return;
  if (sim->controllers[k->controller].core) {
    sim->controllers[k->controller].version->heartbeat_received(
        sim->controllers[k->controller].core, sim_controller_now(sim, k->controller),
        (FkRequestId){++sim->next_request}, k->report);
    sim_dispatch_outputs(sim, k->controller);
  } else {
    fk_heartbeat_free(k->report);
  }
  g_free(k);
}

void sim_release_stale_heartbeats(Sim *sim) {
  for (guint i = 0; i < sim->stale_heartbeats->len; i++)
    for (int to = 0; to < sim->controller_count; to++) {
      StaleHeartbeat *k = g_new0(StaleHeartbeat, 1);
      *k = (StaleHeartbeat){heartbeat_copy(sim->stale_heartbeats->pdata[i]), to};
      /* before the new leader has acted, as it does, and after */
      sim_schedule(sim, sim_chance(sim, 0.5) ? sim_uniform(sim, 0, 0.3) : sim_uniform(sim, 0.3, 4),
                   stale_heartbeat_arrives, k);
    }
  g_ptr_array_set_size(sim->stale_heartbeats, 0);
}

static void heartbeat_arrives(Sim *sim, gpointer p) {
  HeartbeatInFlight *h = p;
  SimController *c = &sim->controllers[h->controller];
  if (sim_defer_while_paused(sim, h->controller, heartbeat_arrives, h))
    return;
  if (c->core && c->generation == h->generation) {
    guint64 id = ++sim->next_request;
    g_hash_table_insert(sim->requests, g_memdup2(&id, sizeof id), h->req);
    gint64 began = sim_profile_begin(sim);
    c->version->heartbeat_received(c->core, sim_controller_now(sim, h->controller), (FkRequestId){id},
                                   h->report);
    sim_profile_end(sim, began);
    sim_dispatch_outputs(sim, h->controller);
  } else {
    fk_heartbeat_free(h->report);
    g_free(h->req);
  }
  g_free(h);
}

void sim_worker_send_heartbeat(Sim *sim, gpointer p) {
  SimWorker *w = p;
  if (w->gone || !w->up || w->heartbeat_in_flight)
    return;
  if (sim_worker_is_hung(sim, w)) {
    sim_schedule(sim, (w->hung_until - sim->now) / 1e6 + 0.03, sim_worker_send_heartbeat, w);
    return;
  }
  sim_worker_check_lease(sim, w);
  w->heartbeat_in_flight = ++sim->next_serial;
  schedule_heartbeat(sim, w, w->heartbeat_in_flight, 5, TRUE); /* no answer within 4 s: the next, 1 s later */
  SimController *c = &sim->controllers[w->controller];
  if (!c->core || sim->now < w->outbound_partition_until)
    return;
  HeartbeatInFlight *h = g_new0(HeartbeatInFlight, 1);
  SimRequest *r = g_new0(SimRequest, 1);
  *r = (SimRequest){0, w, {sim->now}, w->heartbeat_in_flight, w->model.incarnation, NULL, 0};
  *h = (HeartbeatInFlight){(int)w->controller, c->generation, fk_worker_model_heartbeat(&w->model), r};
  for (guint copies = 3; copies && sim_chance(sim, sim_duplicate_share(sim)); copies--)
    sim_schedule(sim, sim_duplicate_delay_s(sim), duplicate_arrives, heartbeat_copy(h->report));
  if (sim->now < sim->stale_heartbeats_until && sim->stale_heartbeats->len < STALE_HEARTBEATS_MAX &&
      sim_chance(sim, sim->stale_heartbeats_share))
    g_ptr_array_add(sim->stale_heartbeats, heartbeat_copy(h->report));
  /* a cut may hold a report back and deliver it late */
  double d = sim_zones_partitioned(sim, sim_controller_zone((int)w->controller), w->model.zone)
                 ? sim_partition_remaining_s(sim)
             : sim->now < c->worker_partition_until ? (c->worker_partition_until - sim->now) / 1e6 + 0.01
             : sim_chance(sim, sim->plan.late)      ? sim_uniform(sim, 1, 20)
                                                    : 0.002;
  sim_schedule(sim, d, heartbeat_arrives, h);
}

void sim_worker_reply_arrives(Sim *sim, gpointer p) {
  SimReply *r = p;
  SimWorker *w = r->worker;
  if (!w->gone && !sim_worker_is_hung(sim, w) && sim->now >= w->inbound_partition_until &&
      w->heartbeat_in_flight == r->request.heartbeat && sim->now - r->request.sent.us < 4000000) {
    sim_worker_check_lease(sim, w);
    if (w->heartbeat_in_flight == r->request.heartbeat) {
      guint64 report = w->heartbeat_in_flight =
          ++sim->next_serial; /* answered: its time can't run out any more */
      if (r->status == 200) {
        const FkWorkerHooks hooks = hooks_of(sim);
        fk_worker_model_heartbeat_answered(&w->model, &hooks, r->request.incarnation, r->request.sent.us,
                                           r->fencing_token, r->commands);
        schedule_heartbeat(sim, w, report, sim->settings->heartbeat_interval_s * sim_uniform(sim, 0.2, 1.25),
                           FALSE);
      } else if (r->status == 421 && r->redirect_to >= 0 && r->redirect_to != (int)w->controller) {
        w->controller = (guint)r->redirect_to;
        schedule_heartbeat(sim, w, report, 0.2, FALSE);
      } else {
        schedule_heartbeat(sim, w, report, 1, TRUE);
      }
    }
  }
  if (r->commands)
    g_ptr_array_unref(r->commands);
  g_free(r);
}

static void worker_booted(Sim *sim, gpointer p) {
  SimWorker *w = p;
  if (w->gone)
    return;
  w->up = TRUE;
  w->model.lease_start = sim->now;
  sim_worker_send_heartbeat(sim, w);
}

SimWorker *sim_worker_new(Sim *sim, const char *zone, gboolean spot, double boot) {
  SimWorker *w = g_new0(SimWorker, 1);
  g_autofree char *id = g_strdup_printf("i-%06" G_GUINT64_FORMAT, ++sim->next_machine);
  fk_worker_model_init(&w->model, id, id, "box8", zone, spot, SIM_MACHINE_CPUS);
  w->direct_starts = g_ptr_array_new();
  w->controller = (guint)g_rand_int_range(sim->rand, 0, sim->controller_count);
  w->created_at = sim->now;
  w->faulty = sim->plan.machine_deaths && sim_chance(sim, 0.1);
  g_ptr_array_add(sim->workers, w);
  g_hash_table_insert(sim->workers_by_id, w->model.id, w);
  if (boot < 0.6 || !sim_chance(sim, sim->plan.boot_failure_chance))
    sim_schedule(sim, boot, worker_booted, w);
  return w;
}

static void worker_restarted(Sim *sim, gpointer p) {
  SimWorker *w = p;
  if (w->gone)
    return;
  w->up = TRUE;
  w->model.incarnation = 1;
  w->model.sequence = w->model.fencing_token = w->heartbeat_in_flight = 0;
  w->controller =
      (guint)g_rand_int_range(sim->rand, 0, sim->controller_count); /* it knows of nobody's claim */
  w->model.lease_start = sim->now;
  schedule_late_copies(sim, w);
  sim_worker_send_heartbeat(sim, w);
}

void sim_worker_restart(Sim *sim, SimWorker *w) {
  if (w->gone || !w->up)
    return;
  g_debug("WORLD %.3f %s begins anew", sim->now / 1e6, w->model.id);
  clear_tasks(sim, w);
  w->up = FALSE;
  w->heartbeat_in_flight = ++sim->next_serial; /* no answer counts any more */
  sim_schedule(sim, sim_uniform(sim, 0.05, 0.5), worker_restarted, w);
}
